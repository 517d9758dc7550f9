// Graceful shutdown: when a process stops listening, answers its open requests and exits, after SIGTERM or
// SIGINT or because a new process has taken over its listening socket.
//
// Input: those two events and Inputs (s, net::now(); connections). Output: Action, which the caller carries
// out. Pure: no I/O, no clock, no callbacks. Owned and called by ingress::Ingress.
//
// After SIGTERM a process serves as long as requests arrive, and exits within stop_bound_s(). The steps,
// with their time since SIGTERM:
// - 0: it serves every request, and each response closes its connection.
// - GracefulShutdown::kIdleGraceS: it closes idle connections, and takes the next step early if nothing but
//   health checks arrives.
// - close_after_s(): it refuses new handshakes, and stops listening kHandshakeDrainS later.
// - force_after_s(): it answers all open requests, and closes every connection kForcedAnswersS later.
// - stop_bound_s(): the other components have stopped, for which they had kComponentStopS, and the process
//   exits. The earliest SIGKILL comes kKillMarginS later.
#pragma once

#include <cstddef>
#include <optional>

#include "slatejunction/gateway.hpp"

namespace slatejunction::lifecycle {

/// The platform guarantees that SIGKILL follows SIGTERM no earlier than after the longest deadline plus
/// kKillDelayS, where a deadline that is longer or unknown counts as kMaxCountedDeadlineS. New connections
/// arrive for up to kLateConnectionsS after SIGTERM.
inline constexpr double kMaxCountedDeadlineS = 3.0;
inline constexpr double kKillDelayS = 0.7;
inline constexpr double kLateConnectionsS = 0.4;
/// The longest time for which the platform may keep the process from running between reading its clock and
/// acting.
inline constexpr double kMaxSchedulingDelayS = 0.15;
/// Time from the exit of the process to the earliest SIGKILL.
inline constexpr double kKillMarginS = 0.2;
/// Time for the last messages of the other components (such as metric samples) and the last log lines.
inline constexpr double kComponentStopS = 0.05;
/// Time for writing the forced answers and the last reads of connections.
inline constexpr double kForcedAnswersS = 0.05;
/// Time from refusing handshakes until the listening socket is closed, which resets every handshake that is
/// not complete.
inline constexpr double kHandshakeDrainS = 0.05;
/// Time from refusing handshakes until answers are forced, for requests on the last connections. It is
/// shorter where deadlines are so short that new connections would still arrive at its start.
inline constexpr double kLastRequestsS = 0.5;
/// After a hand-over, the time for large bodies beyond the longest deadline.
inline constexpr double kDrainingExtraS = 60.0;

/// The longest deadline of the classes (s); 0: none is known.
double longest_deadline_s(const slatejunction::Settings& settings);

/// These functions return times since SIGTERM (s). A `longest_deadline_s` of 0 means that it is unknown.
double earliest_kill_s(double longest_deadline_s);
/// When the process has exited at the latest, whatever clients, backends and other systems do.
double stop_bound_s(double longest_deadline_s);
/// When open requests are answered by force. A request that arrived within kLateConnectionsS after SIGTERM,
/// with a deadline of at most kMaxCountedDeadlineS, is never cut short.
double force_after_s(double longest_deadline_s);
/// When new handshakes are refused, however many connections still arrive.
double close_after_s(double longest_deadline_s);

/// The status of a forced answer: 504 if an attempt was forwarded, else 503, which allows a retry.
constexpr int forced_status(bool forwarded) { return forwarded ? 504 : 503; }

/// State machine. Its events are request_stop(), hand_over(), cancel_hand_over(), and the passing of time
/// in advance(). States are entered in their order, and some are skipped; only cancel_hand_over() leads
/// back, to serving.
class GracefulShutdown {
  public:
    /// After SIGTERM idle connections are kept for kIdleGraceS, then closed once they have been idle for
    /// kMaxIdleS. Listening ends early once no request has arrived for kMaxIdleS either.
    static constexpr double kIdleGraceS = 0.6;
    static constexpr double kMaxIdleS = 0.15;
    /// The same after a hand-over; longer, so that a client learns of the close from a response, and no
    /// close crosses a request.
    static constexpr double kDrainingIdleGraceS = 1.2;
    static constexpr double kDrainingMaxIdleS = 0.5;
    /// The longest time between two calls of advance().
    static constexpr double kCheckIntervalS = 0.05;

    enum class State {
        serving,     // no stop was requested, and nothing is handed over
        finishing,   // listens unless another process accepts; responses close their connections
        refusing,    // refuses new handshakes, but accepts connections whose handshake has begun
        closed,      // does not listen, but serves the open connections
        forcing,     // has answered the open requests, and rejects new ones
        ended
    };
    enum class Action {
        none,
        refuse_handshakes,      // for kHandshakeDrainS
        stop_listening,         // accept the pending connections, then stop listening
        answer_open_requests,   // each with forced_status()
        end                     // close every connection, then exit
    };
    struct Inputs {
        double now = 0;                         // s
        bool another_process_accepts = false;   // a new process has the listening socket
        std::size_t connections = 0;            // of clients
        std::size_t in_use = 0;                 // of these, with a request that is no health check
        double last_request_at = 0;             // s; health checks do not count
        double last_unused_at = 0;              // s; arrival of the newest connection without a request
    };

    /// `longest_deadline_s`: 0 if it is unknown.
    explicit GracefulShutdown(double longest_deadline_s) : longest_deadline_s_(longest_deadline_s) {}

    /// SIGTERM or SIGINT has arrived; only the first one counts.
    void request_stop(double now);
    /// A new process accepts from now on.
    void hand_over(double now);
    /// The new process has exited: this one accepts again.
    void cancel_hand_over();

    bool stop_requested() const { return stop_requested_at_.has_value(); }
    bool draining() const { return stop_requested_at_ || handed_over_at_; }
    State state() const { return state_; }
    /// Whether new requests are answered 503 at once.
    bool rejects_new_requests() const { return state_ == State::forcing || state_ == State::ended; }
    /// Connections that have been idle for longer must be closed; nullopt: idle connections are kept.
    std::optional<double> max_idle_s(double now) const;
    /// Returns the next action. Must be called again, with new inputs, until it returns none or end.
    Action advance(const Inputs& inputs);
    /// When advance() must be called next (s).
    double advance_again_at(double now) const;
    /// The time by which the process must have exited (s); infinite while it is not stopping.
    double ends_by() const;

  private:
    Action enter(State state, Action action);
    Action advance_finishing(const Inputs& inputs);
    bool past_grace(double now) const;
    bool no_requests_arrive(const Inputs& inputs) const;
    double stop_listening_at() const;
    double force_answers_at() const;

    const double longest_deadline_s_;
    std::optional<double> stop_requested_at_, handed_over_at_;   // s
    double handshakes_refused_at_ = 0, answers_forced_at_ = 0;   // s
    State state_ = State::serving;
};

}   // namespace slatejunction::lifecycle
