// Stores the buckets of rate limits in the state directory, so that a restart does not refill them.
//
// - Rule: a snapshot of all buckets starts every kSnapshotPeriodS; each timer tick writes a part of it.
// - Inputs: the rules in force.
// - Output: the segmented log "limits".
// - Error bound: after a crash a restored bucket is at most kSnapshotPeriodS old, or as old as the time
//   that one snapshot takes where that is longer, as for a limit with over a million keys. A key may be
//   granted again at most its rate times that age plus what its bucket held when it was written.
// - Visible in: the log lines "limits: ...".
//
// Owned by app::RulesComponent; owns one timer and the log file.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "log/log.hpp"
#include "net/timers.hpp"
#include "rules/rules.hpp"
#include "storage/segmented_log.hpp"

namespace slatejunction::rules {

/// Restores the buckets when it is constructed and writes snapshots of them from then on.
class BucketStorage {
  public:
    static constexpr double kSnapshotPeriodS = 5;
    static constexpr double kWritePeriodS = 0.1;

    /// Restores the buckets that an earlier process wrote for limits of the same definition. `rules`
    /// returns the rules in force, or null if there are none. Throws storage::Error if the directory cannot
    /// be read.
    BucketStorage(const std::string& directory, std::function<Rules*()> rules, net::Timers& timers,
                  Log& log);
    /// Arms the timer that writes snapshots.
    void start();
    /// Disarms the timer and writes a whole snapshot at once, as the process ends.
    void stop();

  private:
    // When a bucket was written, by the wall clock and by the clock that counts from the machine's boot.
    // Steps of the wall clock do not affect the latter.
    struct Timestamp {
        std::int64_t unix_ms = 0;
        std::int64_t boot_ms = 0;
        std::uint64_t boot_id = 0;   // identifies the boot; 0: unknown
        static Timestamp now();
        double age_s(const Timestamp& now) const;   // never negative
    };
    struct StoredBucket {
        Timestamp written_at;
        Limiter::SavedBucket bucket;
    };
    void read_record(std::uint32_t type, std::string_view payload,
                     std::map<std::string, StoredBucket>& stored_buckets) const;
    void restore(const std::map<std::string, StoredBucket>& stored_buckets);
    // Returns false if the snapshot is complete or cannot be written.
    bool write_next_part();
    // Returns false if no new segment can be created.
    bool begin_snapshot();
    void on_timer();

    const std::function<Rules*()> rules_;
    Log& log_;
    net::Timer timer_;
    std::unique_ptr<storage::SegmentedLog> log_file_;
    std::vector<std::uint64_t> previous_segments_;   // numbers of the segments of earlier snapshots
    std::size_t next_limit_ = 0;                     // index of the limit that the next part belongs to
    std::size_t next_slot_ = 0;                      // slot of that limit at which the next part starts
    double snapshot_started_at_s_ = -1e18;
    bool writing_ = false;        // a snapshot is being written
    bool write_failed_ = false;   // the last snapshot failed to start, and this was logged
};

}   // namespace slatejunction::rules
