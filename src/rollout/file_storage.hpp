// ReplicaStorage and FollowerStorage in files of the state directory: the log as a snapshot
// (storage::write_checked_file) with segments of records after it (storage::SegmentedLog). Damaged files
// are set aside, and the log ends at the last record before the damage.
//
// Durability: a killed process finds everything that was reported as durable. On power loss a follower may
// lose its newest versions and pulls them again; a replica loses nothing, as each append is synced to the
// disk.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "rollout/storage.hpp"
#include "storage/segmented_log.hpp"
#include "storage/state_directory.hpp"

namespace slatejunction::rollout {

/// A log under `name` in a directory: NAME.log, and the segments NAME-NUMBER.
class LogFile {
  public:
    /// Throws storage::Error for a directory or file that can't be read, or of another version. `writer`:
    /// as that of storage::SegmentedLog.
    LogFile(std::string directory, std::string name, storage::SegmentedLog::Writer writer = {});

    Log take_log() { return std::move(log_); }   // as found at the start, once
    std::uint64_t commit_index() const { return commit_index_; }
    /// Something was cut off, set aside or is missing: the log may lack what was stored.
    bool damaged() const { return damaged_; }
    /// There is a snapshot, so that missing files are noticed at the next start.
    bool has_snapshot() const { return has_snapshot_; }
    /// Once after the start, before any other write: rewrites a damaged log, so that later records do not
    /// follow the damage that ends the reading.
    bool rewrite_if_damaged();
    const std::vector<std::string>& set_aside() const { return set_aside_; }   // paths

    /// False: no part of it is found again, see last_error().
    bool append(const std::vector<Record>& records);   // all or none
    bool truncate(std::uint64_t number);
    bool replace(const Log& log, std::uint64_t committed);
    const std::string& last_error() const { return last_error_; }

  private:
    void load();
    bool read_entry(std::uint32_t type, std::string_view payload);
    bool ensure_segment();   // opens a segment to append to
    bool append_entry(std::uint32_t type, const std::string& payload);

    const std::string directory_, name_;
    Log log_;
    std::uint64_t commit_index_ = 0, first_segment_ = 0;
    bool damaged_ = false, reading_stopped_ = false, has_snapshot_ = false;
    std::vector<std::string> set_aside_;
    std::unique_ptr<storage::SegmentedLog> segments_;
    std::string last_error_;
};

/// The active version of a follower.
class FollowerFileStorage final : public FollowerStorage {
  public:
    explicit FollowerFileStorage(const std::string& directory, storage::SegmentedLog::Writer writer = {});
    FollowerStored take_stored() { return {file_.take_log()}; }
    bool append(const std::vector<Record>& records) override;
    bool replace(const Log& log) override;
    const LogFile& file() const { return file_; }

  private:
    LogFile file_;
};

/// The promise and the log of a replica.
class ReplicaFileStorage final : public ReplicaStorage {
  public:
    explicit ReplicaFileStorage(const std::string& directory, storage::SegmentedLog::Writer writer = {});
    ReplicaStored take_stored();
    bool save_promise(std::uint64_t term, bool remembers) override;
    bool append(const std::vector<Record>& records) override { return file_.append(records); }
    bool truncate(std::uint64_t number) override { return file_.truncate(number); }
    bool replace(const Log& log, std::uint64_t committed) override { return file_.replace(log, committed); }
    void save_commit_index(std::uint64_t) override {}   // stored with the next snapshot
    const LogFile& file() const { return file_; }
    const std::string& last_error() const { return last_error_.empty() ? file_.last_error() : last_error_; }

  private:
    const std::string directory_;
    LogFile file_;
    std::uint64_t promised_ = 0;
    bool storage_intact_ = false;
    std::string last_error_;
};

}   // namespace slatejunction::rollout
