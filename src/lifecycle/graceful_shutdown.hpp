// How a process of this program ends: told to (SIGTERM, SIGINT), or because a new process has taken over
// its listening socket. Pure: facts and times in, what is to be done now out. No I/O and no clock.
//
// Told to end, it goes on as long as that serves somebody, and never beyond stop_bound_s(). From SIGTERM
// on:
//   at once                   serves all that comes, each answer closes its connection
//   Shutdown::kStillComingS   ends idle connections; ends as soon as nothing but health checks comes
//   close_after_s()           lets no new handshake begin; kHandshakesS later listens no more
//   force_after_s()           answers all that is open; kAnswersS later ends every connection
//   stop_bound_s()            the other parts have ended too, kPartsS at least were theirs; exit
//   kMarginS later            the earliest SIGKILL
#pragma once

#include <cstddef>
#include <optional>

#include "slatejunction/gateway.hpp"

namespace slatejunction::lifecycle {

// The platform's part (PROTOCOL, "Figures"): SIGKILL comes no earlier than the longest deadline, taken as
// kLongestCountedS where it is longer or not known, plus kKillAfterS after SIGTERM, and new connections
// come for up to kArrivalsS after it.
inline constexpr double kLongestCountedS = 3.0;
inline constexpr double kKillAfterS = 0.7;
inline constexpr double kArrivalsS = 0.4;
// A process may be held up for so long between reading its clock and acting (STANDING, "Beyond this
// bench").
inline constexpr double kHeldUpS = 0.15;
// What is kept free before SIGKILL, for signals and loops that come late on a busy machine.
inline constexpr double kMarginS = 0.2;
// Of the bound: for the parts beside the ingress (last samples) and the log's last lines, at least.
inline constexpr double kPartsS = 0.05;
// For the answers that are forced to be written, and connections read for the last time.
inline constexpr double kAnswersS = 0.05;
// From refusing new connections until the listening socket is closed, which resets every handshake that has
// not ended: long beside one on a machine that is busy.
inline constexpr double kHandshakesS = 0.05;
// From refusing new connections until what is open is forced: for requests that came with the last
// connections. Less where deadlines are so short that new connections still come then.
inline constexpr double kLastCallsS = 0.5;
// A process that has handed over is not killed until it is told to end: beyond the longest deadline it has
// that long for large bodies.
inline constexpr double kHandedMoreS = 60.0;

// The longest of the classes' deadlines (s); 0 where none is known.
double longest_deadline_s(const slatejunction::Settings& settings);

// Seconds from SIGTERM until the earliest SIGKILL. A longest deadline of 0 is not known.
double earliest_kill_s(double longest_deadline_s);
// Seconds from SIGTERM until the process has ended, whatever clients, providers and other systems do.
double stop_bound_s(double longest_deadline_s);
// Seconds from SIGTERM until what is still open is answered by force: no request that came within
// kArrivalsS of it and has kLongestCountedS or less is cut short before its own time is up.
double force_after_s(double longest_deadline_s);
// Seconds from SIGTERM until nothing new is accepted, however much still comes.
double close_after_s(double longest_deadline_s);

// The final status of a request that is still open when the time is up. 503 says that it may be sent again;
// 504 is for one of which an attempt was begun.
constexpr int forced_status(bool sent_on) { return sent_on ? 504 : 503; }

class GracefulShutdown {
  public:
    // Told to end, connections are kept for kStillComingS, then until they were idle for kQuietS; as long
    // must nothing new have come before the process listens no more.
    static constexpr double kGraceS = 0.6;
    static constexpr double kQuietS = 0.15;
    // After a handover idle connections are kept longer: whoever asks once more is told to go by the
    // answer, and no close crosses a request.
    static constexpr double kHandedStillComingS = 1.2;
    static constexpr double kHandedQuietS = 0.5;
    static constexpr double kCheckIntervalS = 0.05;   // between two calls of advance(), at most

    enum class State {
        serving,     // neither told nor handed over
        finishing,   // still listens, if no other process does
        refusing,    // makes no new connections; handshakes that have begun end, and are accepted
        closed,      // listens no more, serves what it has
        forcing,     // what was open has been answered; what still comes is turned away
        ended
    };
    enum class Action {
        none,
        refuse_handshakes,      // let no new handshake begin, for kHandshakesS
        stop_listening,         // take what waits to be accepted, then listen no more
        answer_open_requests,   // answer every open request, see forced_status()
        end                     // end every connection, then the process
    };
    struct Facts {
        double now = 0;                 // s
        bool another_accepts = false;   // a new process has the listening socket
        std::size_t connections = 0;    // of clients
        std::size_t in_use = 0;         // of these, on which anything but health checks has come
        double last_request_at = 0;     // s; the last one that is no health check
        double last_unknown_at = 0;     // s; the newest connection on which nothing has come
    };

    // `longest_deadline_s`: 0 where it is not known.
    explicit GracefulShutdown(double longest_deadline_s) : longest_deadline_s_(longest_deadline_s) {}

    void request_stop(double now);   // to end; only the first time counts
    void hand_over(double now);      // a new process accepts from now on
    void cancel_hand_over();         // it has gone: this one accepts again

    bool stop_requested() const { return told_at_.has_value(); }
    bool draining() const { return told_at_ || handed_at_; }
    State state() const { return state_; }
    // What comes from now on is answered 503 at once.
    bool rejects_new_requests() const { return state_ == State::forcing || state_ == State::ended; }
    // Connections that were idle for longer are to be ended; none: not yet.
    std::optional<double> max_idle_s(double now) const;
    // Call it with new facts until it returns none or end.
    Action advance(const Facts& facts);
    double advance_again_at(double now) const;
    // The time at which the process has to be gone; infinite when it is not to end.
    double ends_by() const;

  private:
    bool over(double now, double told_s, double handed_s) const;
    bool quiet(const Facts& facts) const;
    double close_at() const;
    double force_at() const;

    const double longest_deadline_s_;
    std::optional<double> told_at_, handed_at_;   // s
    double refused_at_ = 0, forced_at_ = 0;       // s
    State state_ = State::serving;
};

}   // namespace slatejunction::lifecycle
