#include "lease/acceptor_storage.hpp"

#include "lease.pb.h"
#include "storage/state_directory.hpp"

namespace slatejunction::lease {
namespace {

constexpr char kMagic[] = "sjlease1", kNotesMagic[] = "sjnotes1";   // and version
constexpr char kFile[] = "leases", kNotesFile[] = "notes";

// What the file holds; nothing where there is none or it is broken.
template <class Wire>
std::optional<Wire> take(const std::string& directory, const char* file, const char* magic,
                         std::string& broken) {
    const auto body = storage::read_checked_file(directory, file, magic, broken);
    Wire all;
    if (!body) return {};
    if (all.ParseFromString(*body)) return all;
    broken = storage::set_aside(directory + "/" + file);
    return {};
}

}   // namespace

void write(const AcceptorState& memory, wire::Memory& out) {
    out.set_step(memory.step);
    for (const auto& [lease, grant] : memory.grants) {
        wire::Granted& one = *out.add_granted();
        one.set_lease(lease);
        one.set_holder(grant.holder);
        one.set_round(grant.round);
        one.set_number(grant.number);
        one.set_number_of(grant.number_of);
        one.set_name(grant.name);
    }
}

AcceptorState read(const wire::Memory& in) {
    AcceptorState memory;
    memory.step = in.step();
    for (const wire::Granted& one : in.granted())
        memory.grants[one.lease()] = {one.holder(),    one.round(), one.number(),
                                      one.number_of(), 0,           one.name()};
    return memory;
}

void write(const RegisterAcceptor::Registers& kept, wire::Notes& out) {
    for (const auto& [name, one] : kept) {
        wire::NoteKept& to = *out.add_kept();
        to.set_name(name);
        to.set_promised(one.promised);
        to.set_number(one.note.fencing_token);
        to.set_sequence(one.note.sequence);
        to.set_text(one.note.text);
    }
}

RegisterAcceptor::Registers read(const wire::Notes& in) {
    RegisterAcceptor::Registers all;
    for (const wire::NoteKept& one : in.kept())
        all[one.name()] = {one.promised(), {one.number(), one.sequence(), one.text()}};
    return all;
}

FileAcceptorStorage::FileAcceptorStorage(const std::string& directory) : directory_(directory) {
    if (const auto all = take<wire::Memory>(directory, kFile, kMagic, broken_)) memory_ = lease::read(*all);
}

bool FileAcceptorStorage::save(std::uint32_t step, const std::map<std::string, Grant>& grants) {
    wire::Memory all;
    write({step, grants}, all);
    return storage::write_checked_file(directory_, kFile, kMagic, all.SerializeAsString(), why_);
}

FileRegisterStorage::FileRegisterStorage(const std::string& directory) : directory_(directory) {
    if (const auto all = take<wire::Notes>(directory, kNotesFile, kNotesMagic, broken_))
        kept_ = lease::read(*all);
}

bool FileRegisterStorage::save(const RegisterAcceptor::Registers& kept) {
    wire::Notes all;
    write(kept, all);
    return storage::write_checked_file(directory_, kNotesFile, kNotesMagic, all.SerializeAsString(), why_);
}

}   // namespace slatejunction::lease
