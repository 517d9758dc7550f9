// Figures that survive a killed process: numbers under fixed names, changed several at a time as one.
//
// In a file they lie in memory that the file is mapped to. An update writes its new values to a redo list,
// arms it, writes the figures and disarms it, so that a process killed at any instruction leaves either all
// of an update or none of it. Each figure carries a check of its value, place and file. An update allocates
// nothing, locks nothing and calls nothing of the system. Power that fails may lose pages not yet written
// back by the kernel: that is found by the checks, not repaired.
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
    struct Change {
        std::uint32_t cell = 0;
        double by = 0;
    };
    static constexpr std::size_t kChangesMost = 64;   // in one update

    // In memory only, all 0.
    PersistentCounters(std::size_t count, std::int64_t now_ms);
    // In the file `path`, which is made where it is not there. `names` are distinct and give each figure
    // its place; figures of names that the file knows go on, others begin at 0, and names that are gone are
    // dropped. Throws Error for a file of another version, which is left alone, and when the file can't be
    // made (no room, no permission). A file cut or changed anywhere is set aside: see broken().
    PersistentCounters(const std::string& path, const std::vector<std::string>& names, std::int64_t now_ms);
    ~PersistentCounters();
    PersistentCounters(PersistentCounters&&) noexcept;
    PersistentCounters& operator=(PersistentCounters&&) = delete;

    // What a file holds, by name, without changing it. Throws Error when it can't be read, is broken or of
    // another version.
    static std::vector<std::pair<std::string, double>> read(const std::string& path);

    double get(std::size_t cell) const { return figures_ ? of_file(cell) : values_[cell]; }
    // All or none survive a kill. The cells are distinct, at most kChangesMost.
    void apply(std::span<const Change> changes);
    void set(std::uint32_t cell, double value);
    std::size_t size() const { return count_; }
    bool durable() const { return figures_ != nullptr; }
    std::int64_t created_ms() const { return created_ms_; }   // Unix time; when the figures began at 0
    const std::string& broken() const { return broken_; }     // where a broken file was put; empty: none
    std::size_t dropped() const { return dropped_; }          // figures whose names are gone

  private:
    struct Figure {
        std::uint64_t bits, check;
    };
    struct Redo;
    double of_file(std::size_t cell) const;
    void put(std::uint64_t cell, std::uint64_t bits);
    std::uint64_t check(std::uint64_t cell, std::uint64_t bits) const;
    void map(const std::string& path, std::size_t size);
    // Reads the file into `values`; false: it is broken.
    bool load(const std::string& path, std::vector<std::pair<std::string, double>>& values);

    std::size_t count_;
    std::vector<double> values_;
    char* base_ = nullptr;
    std::size_t size_ = 0;
    Redo* redo_ = nullptr;
    Figure* figures_ = nullptr;
    std::int64_t created_ms_;
    std::string broken_;
    std::size_t dropped_ = 0;
};

}   // namespace slatejunction::storage
