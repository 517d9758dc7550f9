// Keeps the buckets of rate limits in the state directory, so that a restart gives no key a full bucket.
//
// Rule: all buckets are written once every kSnapshotPeriodS, a part at each timer.
// Input: the rules in force.
// Output: the segmented log "limits".
// Error bound: after a crash a bucket is at most kSnapshotPeriodS old (older where a limit has over a
// million keys), so a key may be granted again at most its rate times that and what the bucket held then.
// Where to see it: the log lines "limits: ...". Owned by app::RulesComponent; owns one timer and the log
// file.
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

/// The storage of one process.
class BucketStorage {
  public:
    static constexpr double kSnapshotPeriodS = 5;
    static constexpr double kWritePeriodS = 0.1;

    /// `rules`: returns those in force, or null. Restores the buckets that an earlier process wrote for
    /// limits of the same definition. Throws storage::Error if the directory cannot be read.
    BucketStorage(const std::string& directory, std::function<Rules*()> rules, net::Timers& timers,
                  Log& log);
    void start();
    /// Writes a whole snapshot; the process ends.
    void stop();

  private:
    // When a bucket was written: by the wall clock, and by the clock since the machine's boot, which no
    // step of the wall clock affects.
    struct Timestamp {
        std::int64_t unix_ms = 0;
        std::int64_t boot_ms = 0;
        std::uint64_t boot = 0;   // identifies the boot; 0: not known
        static Timestamp now();
        double age_s(const Timestamp& now) const;   // s, never negative
    };
    struct StoredBucket {
        Timestamp written_at;
        Limiter::SavedBucket bucket;
    };
    void read_record(std::uint32_t type, std::string_view payload,
                     std::map<std::string, StoredBucket>& found) const;
    void restore(const std::map<std::string, StoredBucket>& found);
    bool write_next_part();   // false: the snapshot is complete or cannot be written
    bool begin_snapshot();
    void on_timer();

    const std::function<Rules*()> rules_;
    Log& log_;
    net::Timer timer_;
    std::unique_ptr<storage::SegmentedLog> log_file_;
    std::vector<std::uint64_t> previous_segments_;   // of earlier snapshots
    std::size_t next_limit_ = 0;                     // to be written
    std::size_t next_slot_ = 0;                      // of that limit
    double snapshot_began_at_s_ = -1e18;
    bool writing_ = false;        // a snapshot is being written
    bool write_failed_ = false;   // and it was logged
};

}   // namespace slatejunction::rules
