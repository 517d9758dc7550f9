// Counters that survive a killed process. They have fixed names, and several of them are updated
// atomically. With a file they are stored in mapped memory, next to a redo log of one update. Times are
// Unix ms.
//
// Invariants:
// - A process killed at any instruction leaves either all of an update or nothing of it: the update is
//   written to the redo log, the log is armed, the values are written, the log is disarmed.
// - Each value has a checksum of its value, its index and the creation time of the file, so that damage
//   is found when the file is read.
// - An update allocates nothing, takes no lock and makes no system call.
//
// A power loss may lose pages that the kernel has not written back: the checksums detect that, but it is
// not repaired. Used by metrics::Measures. Never throws after construction.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "storage/state_directory.hpp"

namespace slatejunction::storage {

class PersistentCounters {
  public:
    /// Adds `by` to the counter at `index`.
    struct Change {
        std::uint32_t index = 0;
        double by = 0;
    };
    static constexpr std::size_t kMaxChanges = 64;   // in one update

    /// Counters in memory only, all 0. `now_ms`: Unix time.
    PersistentCounters(std::size_t count, std::int64_t now_ms);
    /// Counters in the file `path`, created if missing. `names` are distinct and define the order of the
    /// counters. Counters that the file has continue, others start at 0, and counters of the file that
    /// `names` lacks are dropped. Throws Error for a file of another version, which is left unchanged, and
    /// when the file can't be created (disk full, permissions). A damaged file is set aside: see broken().
    PersistentCounters(const std::string& path, const std::vector<std::string>& names, std::int64_t now_ms);
    ~PersistentCounters();
    PersistentCounters(const PersistentCounters&) = delete;
    PersistentCounters& operator=(const PersistentCounters&) = delete;
    PersistentCounters(PersistentCounters&&) noexcept;
    PersistentCounters& operator=(PersistentCounters&&) = delete;

    /// The values of a file by name; the file is unchanged. Throws Error when it can't be read, is damaged
    /// or of another version.
    static std::vector<std::pair<std::string, double>> read(const std::string& path);

    double get(std::size_t index) const { return slots_ ? slot_value(index) : values_[index]; }
    /// Applies the changes atomically with respect to a kill. The indices are distinct; there are at most
    /// kMaxChanges.
    void apply(std::span<const Change> changes);
    void set(std::uint32_t index, double value);
    std::size_t size() const { return count_; }
    bool durable() const { return slots_ != nullptr; }
    std::int64_t created_ms() const { return created_ms_; }   // Unix time of the creation
    /// The new path of a damaged file that was set aside; empty: none.
    const std::string& broken() const { return broken_; }
    std::size_t dropped() const { return dropped_; }   // counters of the file that had no name here

  private:
    struct Slot {
        std::uint64_t bits, checksum;
    };
    struct Redo;
    double slot_value(std::size_t index) const;
    void write_slot(std::uint64_t index, std::uint64_t bits);
    std::uint64_t slot_checksum(std::uint64_t index, std::uint64_t bits) const;
    void map(const std::string& path, std::size_t size);
    /// Reads the file into `values`; false if it is damaged.
    bool load(const std::string& path, std::vector<std::pair<std::string, double>>& values);
    bool replay_redo(const std::string& bytes, std::vector<Slot>& slots) const;
    bool read_values(const std::string& bytes, std::size_t names_at, const std::vector<Slot>& slots,
                     std::vector<std::pair<std::string, double>>& values) const;

    std::size_t count_;
    std::vector<double> values_;
    char* base_ = nullptr;
    std::size_t size_ = 0;
    Redo* redo_ = nullptr;
    Slot* slots_ = nullptr;
    std::int64_t created_ms_;
    std::string broken_;
    std::size_t dropped_ = 0;
};

}   // namespace slatejunction::storage
