// Agreement of the fleet on how often each shard of the shared counter has lost its state. That number is
// the shard's incarnation, which the messages between ingresses carry.
//
// The fleet keeps one incarnation entry on each shard, which the leader sets. An ingress that reads a lower
// total than before, or whose own check shows a loss, reports a suspected loss to the leader (src/lease).
// The leader reads the entry itself. If it was lost, the leader increments the incarnation, sets the entry
// again and broadcasts the incarnation.
//
// - Inputs: totals that were read, messages, leadership and the time (s).
// - Outputs: reads and writes of the entry, messages, and shards whose loss is confirmed.
// - Bound: all ingresses know of a loss within loss_propagation_bound_s().
// - Observability: the event sentinel_seen, which keeps this module's former name ("sentinel"), and the log
//   line of a lost state (driver.cpp).
//
// A loss that one ingress finds takes effect on all of them at once, and an ingress with a wrong check
// empties no buckets but its own. Incarnations are carried by messages only, so a call that the counter
// carries out twice does no harm.
//
// A state machine without I/O or a clock, owned and called by Driver. An ingress that receives no messages
// relies on its own check.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace slatejunction::quota {

inline constexpr double kIncarnationReadPeriodS = 1;        ///< between two reads of a shard by one ingress
inline constexpr double kLossReportRetryS = 0.3;            ///< until a suspected loss is reported again
inline constexpr double kIncarnationBroadcastPeriodS = 5;   ///< between two broadcasts by the leader

/// Returns the longest time (s) from a loss until every ingress that receives the leader's messages knows
/// of it: one ingress reads the entry, the leader is notified, reads it and broadcasts. `call_s` is the
/// longest time of a call to the counter, `one_way_s` that of a message. Each lost message adds
/// kLossReportRetryS.
double loss_propagation_bound_s(double call_s, double one_way_s);

/// Message between ingresses about one shard.
struct IncarnationMessage {
    /// The values are part of the wire format.
    enum class Kind { loss_suspected = 1, incarnation_announced = 2 } kind = Kind::loss_suspected;
    unsigned shard = 0;
    std::uint64_t incarnation = 0;   ///< the sender's incarnation of the shard
};
std::string serialize(const IncarnationMessage& message);
/// Returns nothing if `bytes` are not a valid message.
std::optional<IncarnationMessage> parse_incarnation_message(std::string_view bytes);

/// One ingress's state machine of the agreement, as the leader or as a follower.
class CounterIncarnation {
  public:
    explicit CounterIncarnation(unsigned shards) : shards_(shards) {}

    /// All times are Unix time (s), by which the counter's generations are numbered.
    void on_leadership_change(double now, bool is_leader);
    /// Handles a loss of the shard's state that this ingress's SharedQuota has proven. An expired check
    /// does not prove a loss.
    void on_local_loss(double now, unsigned shard);
    /// Handles the total that the shard's entry of `generation` holds.
    void on_read(double now, unsigned shard, std::int64_t generation, double total);
    void on_message(double now, const IncarnationMessage& message);
    void on_timer(double now);
    double next_deadline() const { return next_deadline_s_; }

    /// A read (amount 0) or a write (amount 1) of the entry. Only the leader writes, and the caller checks
    /// its lease immediately before a write.
    struct CounterAdd {
        unsigned shard = 0;
        std::int64_t generation = 0;
        double amount = 0;
    };
    std::vector<CounterAdd> take_adds() { return std::exchange(pending_adds_, {}); }
    struct OutgoingMessage {
        bool broadcast = false;   ///< whether to send it to all ingresses instead of to the leader
        IncarnationMessage message;
    };
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
    /// Returns the shards whose shared buckets must count as empty, because of a loss that this ingress had
    /// not found itself.
    std::vector<unsigned> take_confirmed_losses() { return std::exchange(confirmed_losses_, {}); }

    std::uint64_t incarnation(unsigned shard) const { return shards_[shard].incarnation; }
    /// Number of losses that this ingress has confirmed as the leader.
    std::uint64_t confirmed_losses() const { return confirmed_loss_count_; }
    /// Number of suspected losses that this ingress, as the leader, has found to be wrong.
    std::uint64_t false_alarms() const { return false_alarms_; }

  private:
    struct ShardState {
        std::uint64_t incarnation = 0;   // 0 until the first incarnation is known
        std::int64_t generation = -1;    // generation of last_total
        double last_total = 0;
        bool loss_suspected = false;       // a loss that no incarnation accounts for yet
        bool loss_known_locally = false;   // this ingress's SharedQuota knows of the loss already
        bool loss_to_verify = false;       // leader only: the next read decides on a suspected loss
        double last_read_at_s = 0;
        double last_reported_at_s = 0;    // time of the last report to the leader
        double next_broadcast_at_s = 0;   // leader only
        // Until this time a new leader's incarnation is provisional, so that the others have time to send
        // theirs.
        double incarnation_provisional_until_s = 0;
    };
    void confirm_loss(double now, unsigned shard);
    void broadcast_incarnation(double now, unsigned shard);
    void adopt_incarnation(double now, unsigned shard, std::uint64_t incarnation);
    void suspect_loss(double now, unsigned shard);
    void request_read(double now, unsigned shard);
    void on_loss_suspected(double now, const IncarnationMessage& message);
    void on_incarnation_announced(double now, const IncarnationMessage& message);
    void on_leader_timer(double now, unsigned shard);
    void on_follower_timer(double now, unsigned shard);

    std::vector<ShardState> shards_;
    bool is_leader_ = false;
    double next_deadline_s_ = 0;
    std::vector<CounterAdd> pending_adds_;
    std::vector<OutgoingMessage> outgoing_;
    std::vector<unsigned> confirmed_losses_;
    std::uint64_t confirmed_loss_count_ = 0;
    std::uint64_t false_alarms_ = 0;
};

}   // namespace slatejunction::quota
