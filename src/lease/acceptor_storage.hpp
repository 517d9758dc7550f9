// A voter's memory in a file of the state directory: whole, checked, put in place by a rename after the
// bytes have reached the disk, so that a killed process and a machine that loses power leave either the old
// or the new one. Written only when a lease changes hands or number, not when it is renewed.
#pragma once

#include <optional>
#include <string>

#include "lease/lease_node.hpp"
#include "lease/replicated_register.hpp"

namespace slatejunction::lease {

class FileHome final : public Home {
  public:
    // Throws storage::Error when the file is there and can't be read. A broken one is put aside, see
    // broken().
    explicit FileHome(const std::string& directory);
    bool keep(std::uint32_t step, const std::map<std::string, Grant>& grants) override;
    // What an earlier process kept; null: nothing, so the voter waits.
    const Memory* memory() const { return memory_ ? &*memory_ : nullptr; }
    const std::string& broken() const { return broken_; }
    const std::string& why() const { return why_; }   // of the last failure

  private:
    const std::string directory_;
    std::optional<Memory> memory_;
    std::string broken_, why_;
};

// The same for what a voter keeps of notes.
class NotesHome {
  public:
    explicit NotesHome(const std::string& directory);   // throws as FileHome
    bool keep(const NoteKeeper::All& kept);
    // What an earlier process kept; null: nothing.
    const NoteKeeper::All* kept() const { return kept_ ? &*kept_ : nullptr; }
    const std::string& broken() const { return broken_; }
    const std::string& why() const { return why_; }

  private:
    const std::string directory_;
    std::optional<NoteKeeper::All> kept_;
    std::string broken_, why_;
};

namespace wire {
class Memory;
class Notes;
}   // namespace wire
void write(const Memory& memory, wire::Memory& out);
Memory read(const wire::Memory& in);
void write(const NoteKeeper::All& kept, wire::Notes& out);
NoteKeeper::All read(const wire::Notes& in);

}   // namespace slatejunction::lease
