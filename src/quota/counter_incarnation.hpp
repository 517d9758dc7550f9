// Agreement of the fleet on how often each part of the shared counter has lost its state (its incarnation,
// called epoch here and in its messages).
//
// Rule: an ingress that finds the fleet's own name on a part lower than before, or its own check gone,
// reports a suspected loss to the leader (src/lease); the leader reads the name itself and, if it was
// lost, raises the epoch, sets the name again and broadcasts the epoch.
// Inputs: totals that were read, messages, leadership, the time (s).
// Output: reads and writes of the name, messages, parts whose loss is confirmed.
// Bound: loss_propagation_bound_s() until all ingresses know.
// Reason: one ingress's finding counts at all of them at once, and an ingress with a wrong check empties
// nobody's buckets but its own. Epochs come by messages alone, so a call that is carried out twice does
// no harm.
// Where to see it: the event sentinel_seen ("sentinel" is the earlier word for this module) and the log
// line of a lost state (driver.cpp).
//
// A state machine without I/O or clock, owned and called by Driver. An ingress that receives no messages
// relies on its own check.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace slatejunction::quota {

inline constexpr double kIncarnationReadPeriodS = 1;   ///< s, between two reads of a part by one ingress
inline constexpr double kLossReportRetryS = 0.3;       ///< s, until a suspected loss is reported again
inline constexpr double kEpochBroadcastPeriodS = 5;    ///< s, between the leader's broadcasts

/// Time (s) from a loss until every ingress that receives the leader's messages knows of it: one ingress
/// reads, the leader is notified and reads, and broadcasts. `call_s`: of a call to the counter,
/// `one_way_s`: of a message, at most. Each message that is lost adds kLossReportRetryS.
double loss_propagation_bound_s(double call_s, double one_way_s);

/// What ingresses send each other about one part.
struct IncarnationMessage {
    /// The values are those on the wire.
    enum class Kind { loss_suspected = 1, epoch_announced = 2 } kind = Kind::loss_suspected;
    unsigned part = 0;
    std::uint64_t epoch = 0;   ///< as the sender knows it
};
std::string serialize(const IncarnationMessage& message);
/// Nothing: `bytes` are no such message.
std::optional<IncarnationMessage> parse_incarnation_message(std::string_view bytes);

/// One ingress's part in the agreement.
class CounterIncarnation {
  public:
    explicit CounterIncarnation(unsigned parts) : parts_(parts) {}

    /// Times are fleet time (s, Unix), which the counter's generations are of.
    void on_leadership_change(double now, bool is_leader);
    /// SharedQuota here has proven that the part lost its state (not merely that its own check had
    /// expired).
    void on_local_loss(double now, unsigned part);
    /// The name of that generation held `total`.
    void on_read(double now, unsigned part, std::int64_t generation, double total);
    void on_message(double now, const IncarnationMessage& message);
    void on_timer(double now);
    double next_deadline() const { return next_deadline_s_; }

    /// A read (amount 0) or a write (amount 1) of the name. Only the leader writes; the caller asks its
    /// lease right before.
    struct CounterAdd {
        unsigned part = 0;
        std::int64_t generation = 0;
        double amount = 0;
    };
    std::vector<CounterAdd> take_adds() { return std::exchange(pending_adds_, {}); }
    struct OutgoingMessage {
        bool broadcast = false;   ///< to all ingresses; else to the leader
        IncarnationMessage message;
    };
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
    /// Parts whose shared buckets are to count as empty, as other ingresses have found.
    std::vector<unsigned> take_confirmed_losses() { return std::exchange(confirmed_losses_, {}); }

    std::uint64_t epoch(unsigned part) const { return parts_[part].epoch; }
    /// Losses that this ingress has confirmed as the leader.
    std::uint64_t confirmed_losses() const { return confirmed_loss_count_; }
    /// Suspected losses that this ingress, as the leader, found to be none.
    std::uint64_t false_alarms() const { return false_alarms_; }

  private:
    struct PartState {
        std::uint64_t epoch = 0;
        std::int64_t generation = -1;   // of last_total
        double last_total = 0;
        bool loss_suspected = false;       // a loss that no epoch accounts for yet
        bool loss_known_locally = false;   // SharedQuota here knows of it already
        bool loss_to_verify = false;       // leader: suspected by some ingress, the next read decides
        double last_read_at_s = 0;
        double last_reported_at_s = 0;    // to the leader
        double next_broadcast_at_s = 0;   // leader
        double epoch_provisional_until_s =
            0;   // a new leader's epoch, until others had time to send theirs
    };
    void confirm_loss(double now, unsigned part);
    void broadcast_epoch(double now, unsigned part);
    void adopt_epoch(double now, unsigned part, std::uint64_t epoch);
    void suspect_loss(double now, unsigned part);
    void request_read(double now, unsigned part);
    void on_loss_suspected(double now, const IncarnationMessage& message);
    void on_epoch_announced(double now, const IncarnationMessage& message);
    void on_leader_timer(double now, unsigned part);
    void on_follower_timer(double now, unsigned part);

    std::vector<PartState> parts_;
    bool is_leader_ = false;
    double next_deadline_s_ = 0;
    std::vector<CounterAdd> pending_adds_;
    std::vector<OutgoingMessage> outgoing_;
    std::vector<unsigned> confirmed_losses_;
    std::uint64_t confirmed_loss_count_ = 0;
    std::uint64_t false_alarms_ = 0;
};

}   // namespace slatejunction::quota
