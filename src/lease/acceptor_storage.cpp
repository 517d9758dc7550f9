#include "lease/acceptor_storage.hpp"

#include "lease.pb.h"
#include "storage/state_directory.hpp"

namespace slatejunction::lease {
namespace {

// File signatures, each with the version of the format.
constexpr char kGrantsMagic[] = "sjlease1", kRegistersMagic[] = "sjnotes1";
constexpr char kGrantsFile[] = "leases", kRegistersFile[] = "notes";

// Returns the content of the file; nothing if there is no file or it is broken. A broken file is
// quarantined.
template <class Proto>
std::optional<Proto> load(const std::string& directory, const char* file, const char* magic,
                          std::string& quarantined_path) {
    const auto body = storage::read_checked_file(directory, file, magic, quarantined_path);
    if (!body) return {};
    Proto content;
    if (content.ParseFromString(*body)) return content;
    quarantined_path = storage::set_aside(directory + "/" + file);
    return {};
}

}   // namespace

void encode(const AcceptorState& state, wire::Memory& out) {
    out.set_step(state.epoch);
    for (const auto& [lease, grant] : state.grants) {
        wire::Granted& entry = *out.add_granted();
        entry.set_lease(lease);
        entry.set_holder(grant.holder);
        entry.set_round(grant.round);
        entry.set_number(grant.fencing_token);
        entry.set_number_of(grant.token_owner);
        entry.set_name(grant.holder_name);
    }
}

AcceptorState decode(const wire::Memory& in) {
    AcceptorState state;
    state.epoch = in.step();
    for (const wire::Granted& entry : in.granted()) {
        Grant grant;
        grant.holder = entry.holder();
        grant.round = entry.round();
        grant.fencing_token = entry.number();
        grant.token_owner = entry.number_of();
        grant.holder_name = entry.name();
        state.grants[entry.lease()] = grant;
    }
    return state;
}

void encode(const RegisterAcceptor::Registers& registers, wire::Notes& out) {
    for (const auto& [name, stored] : registers) {
        wire::NoteKept& entry = *out.add_kept();
        entry.set_name(name);
        entry.set_promised(stored.promised_token);
        entry.set_number(stored.value.fencing_token);
        entry.set_sequence(stored.value.sequence);
        entry.set_text(stored.value.text);
    }
}

RegisterAcceptor::Registers decode(const wire::Notes& in) {
    RegisterAcceptor::Registers registers;
    for (const wire::NoteKept& entry : in.kept())
        registers[entry.name()] = {entry.promised(), {entry.number(), entry.sequence(), entry.text()}};
    return registers;
}

FileAcceptorStorage::FileAcceptorStorage(const std::string& directory) : directory_(directory) {
    const auto content = load<wire::Memory>(directory, kGrantsFile, kGrantsMagic, quarantined_path_);
    if (content) restored_ = lease::decode(*content);
}

bool FileAcceptorStorage::save(std::uint32_t epoch, const std::map<std::string, Grant>& grants) {
    wire::Memory content;
    encode({epoch, grants}, content);
    return storage::write_checked_file(directory_, kGrantsFile, kGrantsMagic, content.SerializeAsString(),
                                       last_error_);
}

FileRegisterStorage::FileRegisterStorage(const std::string& directory) : directory_(directory) {
    const auto content = load<wire::Notes>(directory, kRegistersFile, kRegistersMagic, quarantined_path_);
    if (content) restored_ = lease::decode(*content);
}

bool FileRegisterStorage::save(const RegisterAcceptor::Registers& registers) {
    wire::Notes content;
    encode(registers, content);
    return storage::write_checked_file(directory_, kRegistersFile, kRegistersMagic,
                                       content.SerializeAsString(), last_error_);
}

}   // namespace slatejunction::lease
