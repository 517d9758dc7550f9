// Stores an acceptor's state in files of the state directory: grants in `leases`, registers in `notes`.
//
// Each save writes the whole file with a checksum, and renames it into place after the bytes have reached
// the disk. A killed process or a power loss therefore leaves the old state or the new one, never a mix.
// A broken file is quarantined when it is read (quarantined_path()) and counts as lost state; without its
// grants the acceptor starts in recovery. Grants are saved when a lease changes its holder or token or is
// released, not at each renewal.
//
// src/app/fleet_component owns both objects and logs their errors.
#pragma once

#include <optional>
#include <string>

#include "lease/lease_node.hpp"
#include "lease/replicated_register.hpp"

namespace slatejunction::lease {

class FileAcceptorStorage final : public AcceptorStorage {
  public:
    /// Throws storage::Error if the file exists and cannot be read.
    explicit FileAcceptorStorage(const std::string& directory);
    bool save(std::uint32_t epoch, const std::map<std::string, Grant>& grants) override;
    /// Returns what an earlier process saved; null if there is no intact file.
    const AcceptorState* restored() const { return restored_ ? &*restored_ : nullptr; }
    /// Returns where a broken file was moved to; empty if there was none.
    const std::string& quarantined_path() const { return quarantined_path_; }
    const std::string& last_error() const { return last_error_; }

  private:
    const std::string directory_;
    std::optional<AcceptorState> restored_;
    std::string quarantined_path_, last_error_;
};

class FileRegisterStorage {
  public:
    /// Throws storage::Error if the file exists and cannot be read.
    explicit FileRegisterStorage(const std::string& directory);
    bool save(const RegisterAcceptor::Registers& registers);
    /// Returns what an earlier process saved; null if there is no intact file.
    const RegisterAcceptor::Registers* restored() const { return restored_ ? &*restored_ : nullptr; }
    /// Returns where a broken file was moved to; empty if there was none.
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
/// Conversions to and from the files' messages, which a hot restart also transfers.
void encode(const AcceptorState& state, wire::Memory& out);
AcceptorState decode(const wire::Memory& in);
void encode(const RegisterAcceptor::Registers& registers, wire::Notes& out);
RegisterAcceptor::Registers decode(const wire::Notes& in);

}   // namespace slatejunction::lease
