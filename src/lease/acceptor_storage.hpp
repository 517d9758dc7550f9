// An acceptor's state in files of the state directory: grants in `leases`, registers in `notes`.
//
// Each save writes the whole file with a checksum, and renames it into place after the bytes have
// reached the disk: a killed process or a power loss leaves the old state or the new one, never a
// part.
// Inputs: the acceptor's state.
// Output: whether it was saved; at the start, the restored state. A broken file is put aside
// (quarantined_path) and counts as lost state: the acceptor then waits. Grants are saved when a lease
// changes its holder or token, not at each renewal.
// Used by src/app/fleet_component, which owns both objects and logs their errors.
#pragma once

#include <optional>
#include <string>

#include "lease/lease_node.hpp"
#include "lease/replicated_register.hpp"

namespace slatejunction::lease {

class FileAcceptorStorage final : public AcceptorStorage {
  public:
    /// Throws storage::Error when the file exists and can't be read.
    explicit FileAcceptorStorage(const std::string& directory);
    bool save(std::uint32_t epoch, const std::map<std::string, Grant>& grants) override;
    /// What an earlier process saved; null: nothing.
    const AcceptorState* restored() const { return restored_ ? &*restored_ : nullptr; }
    /// Where a broken file was put; empty: there was none.
    const std::string& quarantined_path() const { return quarantined_path_; }
    const std::string& last_error() const { return last_error_; }

  private:
    const std::string directory_;
    std::optional<AcceptorState> restored_;
    std::string quarantined_path_, last_error_;
};

class FileRegisterStorage {
  public:
    /// Throws storage::Error when the file exists and can't be read.
    explicit FileRegisterStorage(const std::string& directory);
    bool save(const RegisterAcceptor::Registers& registers);
    /// What an earlier process saved; null: nothing.
    const RegisterAcceptor::Registers* restored() const { return restored_ ? &*restored_ : nullptr; }
    /// Where a broken file was put; empty: there was none.
    const std::string& quarantined_path() const { return quarantined_path_; }
    const std::string& last_error() const { return last_error_; }

  private:
    const std::string directory_;
    std::optional<RegisterAcceptor::Registers> restored_;
    std::string quarantined_path_, last_error_;
};

namespace wire {
class Memory;
class Notes;
}   // namespace wire
/// The file's messages, which a hot restart hands over too.
void encode(const AcceptorState& state, wire::Memory& out);
AcceptorState decode(const wire::Memory& in);
void encode(const RegisterAcceptor::Registers& registers, wire::Notes& out);
RegisterAcceptor::Registers decode(const wire::Notes& in);

}   // namespace slatejunction::lease
