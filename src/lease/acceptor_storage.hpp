// A voter's memory in a file of the state directory: whole, checked, put in place by a rename after the
// bytes have reached the disk, so that a killed process and a machine that loses power leave either the old
// or the new one. Written only when a lease changes hands or number, not when it is renewed.
#pragma once

#include <optional>
#include <string>

#include "lease/lease_node.hpp"
#include "lease/replicated_register.hpp"

namespace slatejunction::lease {

class FileAcceptorStorage final : public AcceptorStorage {
  public:
    // Throws storage::Error when the file is there and can't be read. A broken one is put aside, see
    // broken().
    explicit FileAcceptorStorage(const std::string& directory);
    bool save(std::uint32_t step, const std::map<std::string, Grant>& grants) override;
    // What an earlier process kept; null: nothing, so the voter waits.
    const AcceptorState* restored() const { return memory_ ? &*memory_ : nullptr; }
    const std::string& quarantined_path() const { return broken_; }
    const std::string& last_error() const { return why_; }   // of the last failure

  private:
    const std::string directory_;
    std::optional<AcceptorState> memory_;
    std::string broken_, why_;
};

// The same for what a voter keeps of notes.
class FileRegisterStorage {
  public:
    explicit FileRegisterStorage(const std::string& directory);   // throws as FileHome
    bool save(const RegisterAcceptor::Registers& kept);
    // What an earlier process kept; null: nothing.
    const RegisterAcceptor::Registers* restored() const { return kept_ ? &*kept_ : nullptr; }
    const std::string& quarantined_path() const { return broken_; }
    const std::string& last_error() const { return why_; }

  private:
    const std::string directory_;
    std::optional<RegisterAcceptor::Registers> kept_;
    std::string broken_, why_;
};

namespace wire {
class Memory;
class Notes;
}   // namespace wire
void write(const AcceptorState& memory, wire::Memory& out);
AcceptorState read(const wire::Memory& in);
void write(const RegisterAcceptor::Registers& kept, wire::Notes& out);
RegisterAcceptor::Registers read(const wire::Notes& in);

}   // namespace slatejunction::lease
