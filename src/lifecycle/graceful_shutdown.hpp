// When a process stops listening, answers what is open and ends: after SIGTERM or SIGINT, or because a new
// process has taken over its listening socket.
//
// Input: those two events and Facts (s, net::now(); connections). Output: Action, what the caller does now.
// Pure: no I/O, no clock, no callbacks. Owned and called by ingress::Ingress, which carries the actions
// out.
//
// After SIGTERM it serves as long as requests arrive, and ends within stop_bound_s():
//   at once                       serves all that comes, each answer closes its connection
//   GracefulShutdown::kIdleGraceS closes idle connections; takes the next step early if nothing but health
//   checks arrives close_after_s()               lets no new handshake begin; kHandshakeDrainS later
//   listens no more force_after_s()               answers all that is open; kForcedAnswersS later closes
//   every connection stop_bound_s()                the other components have ended, for which they had
//   kComponentStopS; exit kKillMarginS later            the earliest SIGKILL
#pragma once

#include <cstddef>
#include <optional>

#include "slatejunction/gateway.hpp"

namespace slatejunction::lifecycle {

/// What the platform promises: SIGKILL comes no earlier after SIGTERM than the longest
/// deadline plus kKillDelayS, where a deadline that is longer or not known counts as kMaxCountedDeadlineS.
/// New connections come for up to kLateConnectionsS after SIGTERM.
inline constexpr double kMaxCountedDeadlineS = 3.0;
inline constexpr double kKillDelayS = 0.7;
inline constexpr double kLateConnectionsS = 0.4;
/// The longest time for which the process may be kept from running between reading its clock and acting
/// on the platform.
inline constexpr double kMaxSchedulingDelayS = 0.15;
/// Between the end of the process and the earliest SIGKILL.
inline constexpr double kKillMarginS = 0.2;
/// For the components beside the ingress (last samples) and the last log lines.
inline constexpr double kComponentStopS = 0.05;
/// For writing the forced answers, and for the last reads of connections.
inline constexpr double kForcedAnswersS = 0.05;
/// From refusing handshakes until the listening socket is closed, which resets every handshake still under
/// way.
inline constexpr double kHandshakeDrainS = 0.05;
/// From refusing handshakes until answers are forced, for requests on the last connections. Less where
/// deadlines are so short that new connections still come then.
inline constexpr double kLastRequestsS = 0.5;
/// A process that has handed over has so long for large bodies, beyond the longest deadline.
inline constexpr double kDrainingExtraS = 60.0;

/// The longest of the classes' deadlines (s); 0 where none is known.
double longest_deadline_s(const slatejunction::Settings& settings);

/// Times from SIGTERM (s). A `longest_deadline_s` of 0 is not known.
double earliest_kill_s(double longest_deadline_s);
/// Until the process has ended, whatever clients, backends and other systems do.
double stop_bound_s(double longest_deadline_s);
/// Until open requests are answered by force. A request that came within kLateConnectionsS and has a
/// deadline of kMaxCountedDeadlineS or less is never cut short.
double force_after_s(double longest_deadline_s);
/// Until nothing new is accepted, however much still comes.
double close_after_s(double longest_deadline_s);

/// The status of an answer that is forced: 504 if an attempt was forwarded, else 503, which allows a retry.
constexpr int forced_status(bool forwarded) { return forwarded ? 504 : 503; }

/// State machine. Events: request_stop(), hand_over(), cancel_hand_over(), and the passing of time in
/// advance(). States follow in their order, some are skipped; only cancel_hand_over() leads back, to
/// serving.
class GracefulShutdown {
  public:
    /// After SIGTERM idle connections are kept for kIdleGraceS, then closed once they have been idle for
    /// kMaxIdleS. So long must no request have come before listening ends early.
    static constexpr double kIdleGraceS = 0.6;
    static constexpr double kMaxIdleS = 0.15;
    /// The same after a hand-over; longer, so that a client learns of it by an answer and no close crosses
    /// a request.
    static constexpr double kDrainingIdleGraceS = 1.2;
    static constexpr double kDrainingMaxIdleS = 0.5;
    /// The longest time between two calls of advance().
    static constexpr double kCheckIntervalS = 0.05;

    enum class State {
        serving,     // neither event has come
        finishing,   // listens, unless another process does; answers close their connections
        refusing,    // makes no new connection; handshakes under way end, and are accepted
        closed,      // listens no more, serves what is open
        forcing,     // open requests have been answered; new ones are rejected
        ended
    };
    enum class Action {
        none,
        refuse_handshakes,      // for kHandshakeDrainS
        stop_listening,         // accept what waits, then listen no more
        answer_open_requests,   // each with forced_status()
        end                     // close every connection, then end the process
    };
    struct Facts {
        double now = 0;                         // s
        bool another_process_accepts = false;   // a new process has the listening socket
        std::size_t connections = 0;            // of clients
        std::size_t in_use = 0;                 // of these, with any request but health checks
        double last_request_at = 0;             // s; health checks do not count
        double last_unused_at = 0;              // s; when the newest connection without a request came
    };

    /// `longest_deadline_s`: 0 where it is not known.
    explicit GracefulShutdown(double longest_deadline_s) : longest_deadline_s_(longest_deadline_s) {}

    /// SIGTERM or SIGINT; only the first one counts.
    void request_stop(double now);
    /// A new process accepts from now on.
    void hand_over(double now);
    /// The new process has ended: this one accepts again.
    void cancel_hand_over();

    bool stop_requested() const { return stop_requested_at_.has_value(); }
    bool draining() const { return stop_requested_at_ || handed_over_at_; }
    State state() const { return state_; }
    /// Requests that come now are answered 503 at once.
    bool rejects_new_requests() const { return state_ == State::forcing || state_ == State::ended; }
    /// Connections that have been idle for longer are to be closed; none: not yet.
    std::optional<double> max_idle_s(double now) const;
    /// Call it again with new facts until it returns none or end.
    Action advance(const Facts& facts);
    /// When advance() is to be called next (s).
    double advance_again_at(double now) const;
    /// When the process has to have ended (s); infinite if it is not to end.
    double ends_by() const;

  private:
    Action enter(State state, Action action);
    Action advance_finishing(const Facts& facts);
    bool past_grace(double now) const;
    bool no_requests_arrive(const Facts& facts) const;
    double stop_listening_at() const;
    double force_answers_at() const;

    const double longest_deadline_s_;
    std::optional<double> stop_requested_at_, handed_over_at_;   // s
    double handshakes_refused_at_ = 0, answers_forced_at_ = 0;   // s
    State state_ = State::serving;
};

}   // namespace slatejunction::lifecycle
