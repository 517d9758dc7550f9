// Rate limits by key that hold across all ingresses of a fleet.
//
// Each key has an owner, one of the alive ingresses, which keeps the key's token bucket. Every other
// ingress decides on its own, so no request waits for a reply: it admits a request while the units that it
// has admitted and the owner does not know of stay within Settings::max_unreported_units, unless the
// owner's last reply shows that the bucket lacks the units. It reports what it admitted to the owner. While
// the owner does not reply, an ingress admits from its fallback bucket, an even share of rate and burst.
//
// - Inputs: requests (limit, key, units), datagrams, the alive members and the time (s).
// - Outputs: whether to admit a request or how long to wait (s), datagrams and the next deadline.
// - Error bound: error_bound() in staleness_bound.hpp gives the units admitted beyond burst + rate * t.
// - Observability: the error bound of each limit is printed at startup
//   (app/fleet_rate_limit_component.cpp), and rejections are counted by rule (rules::RuleCount).
//
// The owner is the alive ingress with the highest rendezvous hash of its name and the key (Thaler and
// Ravishankar, 1998), so a membership change moves only the keys of the ingresses that joined or left.
// Membership is only a hint: each ingress that considers itself the owner grants the fraction of the rate
// that belongs to the members it sees. A wrong member list therefore costs no more than error_bound()
// states, and only while it is wrong.
//
// A state machine without I/O or a clock: equal settings, seed and inputs give equal outputs.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet_rate_limit/staleness_bound.hpp"

namespace slatejunction::fleet_rate_limit {

namespace wire {
class Batch;
}

/// Time without a reply after which an owner counts as unresponsive and fallback buckets are used.
inline constexpr double kUnresponsiveAfterS = 0.25;
/// Longest time between two checks for a process pause.
inline constexpr double kPauseCheckPeriodS = 0.25;
/// Time without any event that counts as a pause of the process. Other ingresses may have owned its keys
/// during the pause.
inline constexpr double kProcessPauseS = 1;
/// Time after which a report without a reply is sent again.
inline constexpr double kRetransmitS = 0.08;
/// Longest delay of a report while the key is far from its limit.
inline constexpr double kReportDelayS = 0.5;
inline constexpr std::size_t kMaxBatchKeys = 30;     ///< keys in one datagram
inline constexpr std::size_t kRepliesKept = 16;      ///< replies kept per reporting process
inline constexpr std::size_t kMaxReporters = 1024;   ///< reporting processes that are remembered

/// Settings of one ingress.
struct Settings {
    std::string name;   ///< name of this ingress
    /// Sorted names of all ingresses of the fleet, including this one.
    std::vector<std::string> ingresses;
    /// Units of a key that may be admitted before the owner knows of them.
    double max_unreported_units = 2;
    std::size_t max_keys = 100'000;   ///< keys tracked as a reporter, and as many again as an owner
};

/// One ingress's state machine of the fleet-wide rate limits: it owns some keys and reports on the others.
class RateLimitNode {
  public:
    RateLimitNode(Settings settings, std::uint64_t seed);

    /// Defines or changes a limit. `limit` is derived from the definition and is equal on all ingresses.
    void define(std::uint32_t limit, const LimitSpec& spec) { specs_[limit] = spec; }
    /// Sets the members that are alive: sorted, including this ingress. Names that are not in
    /// Settings::ingresses are ignored.
    void set_alive_members(double now, std::vector<std::string> alive);

    /// Returns the time (s) until a request of `units` may be admitted, or 0 if it may be admitted now.
    /// Consumes nothing.
    double retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double units);
    /// Consumes the units of an admitted request.
    void consume(double now, std::uint32_t limit, std::uint64_t key, double units);

    /// Handles a datagram from ingress `from`; `process` identifies the sender's incarnation.
    void on_datagram(double now, const std::string& from, std::uint64_t process, std::string_view body);
    void on_timer(double now);
    double next_deadline() const;
    struct OutgoingDatagram {
        std::string to;
        std::string body;
    };
    std::vector<OutgoingDatagram> take_outgoing() { return std::exchange(outgoing_, {}); }

    const std::string& owner(std::uint32_t limit, std::uint64_t key) const;
    /// Whether the owner has left a report without a reply for kUnresponsiveAfterS.
    bool owner_unresponsive(const std::string& owner) const;
    std::size_t reported_keys() const { return reporter_states_.size(); }
    std::size_t owned_buckets() const { return owned_buckets_.size(); }
    /// Number of evicted keys whose bucket was not full or whose usage was not reported.
    std::uint64_t lossy_evictions() const { return lossy_evictions_; }
    std::uint64_t malformed_datagrams() const { return malformed_datagrams_; }
    /// Number of pauses of this process of at least kProcessPauseS.
    std::uint64_t process_pauses() const { return process_pauses_; }
    std::uint64_t datagrams_sent() const { return datagrams_sent_; }

  private:
    static constexpr double kNeverS = -1e18;
    struct BucketId {
        std::uint32_t limit = 0;
        std::uint64_t key = 0;
        bool operator==(const BucketId&) const = default;
    };
    struct BucketIdHash {
        std::size_t operator()(const BucketId& id) const {
            return static_cast<std::size_t>(id.key ^ (id.limit * 0x9e3779b97f4a7c15ULL));
        }
    };
    // State of a key that another ingress owns.
    struct ReporterState {
        double owner_level = 0;                // units left in the bucket, by the owner's last reply
        double owner_level_at_s = kNeverS;     // time of that reply; kNeverS if there is none
        double unreported_units = 0;           // admitted by the owner's level and not reported
        double in_flight_units = 0;            // admitted by the owner's level, in the report in flight
        double fallback_units = 0;             // admitted from the fallback bucket and not reported
        double in_flight_fallback_units = 0;   // admitted from the fallback bucket, in the report in flight
        double unreported_since_s = 0;         // time of the first unit that is not reported
        double fallback_full_at_s = kNeverS;   // time at which the fallback bucket is full again
        double last_used_at_s = 0;
        bool report_queued = false;
    };
    // Bucket of a key that this ingress owns.
    struct OwnedBucket {
        double full_at_s = 0;   // time at which the bucket is full again (GCRA's theoretical arrival time)
        double last_used_at_s = 0;
    };
    // A report that has no reply yet.
    struct Report {
        std::uint64_t number = 0;
        std::string owner;
        std::vector<BucketId> buckets;
        std::string body;
        double last_sent_at_s = 0;
    };
    // A process that reports usage to this ingress.
    struct Reporter {
        // Report numbers and the reply datagrams, which are sent again for a duplicate report.
        std::deque<std::pair<std::uint64_t, std::string>> recent_replies;
        std::uint64_t highest_number = 0;
        double last_received_at_s = 0;
    };

    void detect_process_pause(double now);
    void rescale_owned_buckets(double now, double before, double after);
    void requeue_reports_to_departed_owners(double now);
    void reassign_queued_reports(double now);
    const LimitSpec* find_spec(std::uint32_t limit) const;
    double visible_fraction() const;
    double owner_retry_after_s(double now, const BucketId& id, const LimitSpec& spec, double units) const;
    double available_units(const LimitSpec& spec, const ReporterState& state, double now) const;
    double fallback_units_available(const LimitSpec& spec, const ReporterState& state, double now) const;
    double charge_owned_bucket(double now, const BucketId& id, const LimitSpec& spec, double units,
                               std::optional<double> last_known_level);
    void report_if_due(double now, const BucketId& id, ReporterState& state);
    void send_reports(double now, const std::string& owner);
    void on_report(double now, const std::string& from, std::uint64_t process, const wire::Batch& batch);
    void on_reply(double now, const wire::Batch& batch);
    void requeue_report(double now, Report& report);
    double retransmit_period_s(const std::string& owner) const;
    template <class Table, class IsLossless>
    void evict_one(Table& table, IsLossless is_lossless);

    const Settings settings_;
    std::mt19937_64 random_;
    std::map<std::uint32_t, LimitSpec> specs_;
    std::vector<std::string> alive_members_;
    std::unordered_map<BucketId, ReporterState, BucketIdHash> reporter_states_;
    std::unordered_map<BucketId, OwnedBucket, BucketIdHash> owned_buckets_;
    std::map<std::string, std::vector<BucketId>> queued_reports_;   // by owner
    std::map<std::uint64_t, Report> reports_in_flight_;             // by report number
    std::map<std::string, double> awaiting_reply_since_s_;          // by owner; negative if unresponsive
    std::map<std::uint64_t, Reporter> reporters_;                   // by process
    std::vector<OutgoingDatagram> outgoing_;
    std::uint64_t last_report_number_ = 0;
    std::uint64_t lossy_evictions_ = 0;
    std::uint64_t malformed_datagrams_ = 0;
    std::uint64_t datagrams_sent_ = 0;
    std::uint64_t process_pauses_ = 0;
    double deferred_reports_at_s_ = 1e18;   // time at which the first deferred report is due
    double last_event_at_s_ = kNeverS;
};

}   // namespace slatejunction::fleet_rate_limit
