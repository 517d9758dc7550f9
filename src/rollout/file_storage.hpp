// Implements ReplicaStorage and FollowerStorage in files of the state directory. A log is stored as a
// snapshot (storage::write_checked_file) and segments of the records after it (storage::SegmentedLog).
// Damaged files are set aside, and the restored log ends at the last record before the damage.
//
// Everything that was reported as durable survives the process being killed. On power loss, a follower may
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

/// A stored log: the snapshot file NAME.log and the segment files NAME-NUMBER of a directory.
class LogFile {
  public:
    /// Reads the stored log. Throws storage::Error if the directory or a file cannot be read or a file has
    /// another format version. `writer` is passed on to storage::SegmentedLog.
    LogFile(std::string directory, std::string name, storage::SegmentedLog::Writer writer = {});

    /// Returns the log as found at the start. To be called once.
    Log take_log() { return std::move(log_); }
    std::uint64_t commit_index() const { return commit_index_; }
    /// Whether stored data was cut off, set aside or is missing, so that the log may be incomplete.
    bool damaged() const { return damaged_; }
    /// Whether there is a snapshot, which allows missing segments to be detected at the next start.
    bool has_snapshot() const { return has_snapshot_; }
    /// Rewrites the log unless it is intact and has a snapshot. To be called once after the start, before
    /// any other write: records appended after damaged data would not be read at the next start.
    bool rewrite_if_damaged();
    /// The paths of damaged files that were set aside.
    const std::vector<std::string>& set_aside() const { return set_aside_; }

    /// These methods return false if the write failed; no part of it is then found after a restart, and
    /// last_error() tells why. append() stores all or none of the records.
    bool append(const std::vector<Record>& records);
    bool truncate(std::uint64_t number);
    bool replace(const Log& log, std::uint64_t committed);
    const std::string& last_error() const { return last_error_; }

  private:
    void load();
    bool read_entry(std::uint32_t type, std::string_view payload);
    bool ensure_segment();   // opens a segment to append to unless one is open
    bool append_entry(std::uint32_t type, const std::string& payload);

    const std::string directory_, name_;
    Log log_;
    std::uint64_t commit_index_ = 0, first_segment_ = 0;
    bool damaged_ = false, reading_stopped_ = false, has_snapshot_ = false;
    std::vector<std::string> set_aside_;
    std::unique_ptr<storage::SegmentedLog> segments_;
    std::string last_error_;
};

/// Stores the active version of a follower.
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

/// Stores the promise and the log of a replica.
class ReplicaFileStorage final : public ReplicaStorage {
  public:
    explicit ReplicaFileStorage(const std::string& directory, storage::SegmentedLog::Writer writer = {});
    ReplicaStored take_stored();
    bool save_promise(std::uint64_t term, bool storage_intact) override;
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
