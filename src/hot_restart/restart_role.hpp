// The role of a process in a hot restart: which of the old and the new process of one ingress accepts
// connections, which one drains, and which one answers a further process that asks to take over.
//
// Input: the events below. Output: state(), and the predicates derived from it. Pure: no I/O, no clock.
// Owned and called by RestartChannel, which sends and receives the messages.
#pragma once

namespace slatejunction::hot_restart {

/// State machine of one process. An event that does not fit the state returns false and changes nothing.
class RestartRole {
  public:
    enum class State {
        alone,                // there is no other process
        takeover_requested,   // old process: a new one is preparing
        handed_over,          // old process: the new one accepts
        preparing,            // new process: the old one still accepts
        taken_over            // new process: it accepts, the old one drains
    };

    State state() const { return state_; }
    bool accepts() const { return state_ != State::handed_over && state_ != State::preparing; }
    /// Whether this process closes its client connections, then exits.
    bool draining() const { return state_ == State::handed_over; }
    /// Whether this process answers the next one that asks to take over.
    bool answers() const { return accepts() && !yields_; }
    bool paired() const { return state_ != State::alone; }
    bool is_old_process() const {
        return state_ == State::takeover_requested || state_ == State::handed_over;
    }

    /// Old process: a new one asks to take over. Returns false if the answer is "busy".
    bool on_takeover_requested() { return !yields_ && transition(State::alone, State::takeover_requested); }
    /// Old process: the new one accepts.
    bool on_new_process_accepts() { return transition(State::takeover_requested, State::handed_over); }
    /// Old process: the new one is stopping or has exited. This one accepts again.
    bool on_new_process_gone() {
        return transition(State::takeover_requested, State::alone) ||
               transition(State::handed_over, State::alone);
    }
    /// New process: the old one has sent its state.
    bool on_state_received() { return transition(State::alone, State::preparing); }
    /// New process: it is ready to accept.
    bool on_prepared() { return transition(State::preparing, State::taken_over); }
    /// New process: the old one has exited, so that this one must accept, ready or not.
    bool on_old_process_gone() {
        return transition(State::preparing, State::alone) || transition(State::taken_over, State::alone);
    }

    /// This process is to stop. A new process yields to the old one, and answers no further process.
    void on_stop_requested() {
        yields_ = yields_ || state_ == State::preparing || state_ == State::taken_over;
    }

  private:
    bool transition(State from, State to) {
        if (state_ != from) return false;
        state_ = to;
        return true;
    }
    State state_ = State::alone;
    bool yields_ = false;   // a new process that is stopping
};

}   // namespace slatejunction::hot_restart
