// Who of an old and a new process of one ingress accepts connections, who tells its consumers to go, and
// who answers the next one that comes. Pure: facts in, and what is to hold afterwards.
#pragma once

namespace slatejunction::hot_restart {

class RestartRole {
  public:
    enum class State {
        alone,                // no other process
        takeover_requested,   // an heir has come and readies itself
        handed_over,          // an heir accepts
        preparing,            // took over from an elder, which accepts still
        taken_over            // the elder finishes what it has
    };

    State state() const { return state_; }
    bool accepts() const { return state_ != State::handed_over && state_ != State::preparing; }
    bool draining() const { return state_ == State::handed_over; }   // consumers are to go, then it ends
    bool answers() const { return accepts() && !yields_; }           // the next process that comes
    bool paired() const { return state_ != State::alone; }           // there is another process
    bool is_old_process() const {
        return state_ == State::takeover_requested || state_ == State::handed_over;
    }

    // Facts. False: it is not the time for that, and nothing has changed.
    bool on_takeover_requested() { return !yields_ && move(State::alone, State::takeover_requested); }
    bool heir_took() { return move(State::takeover_requested, State::handed_over); }
    // The heir ends, or has ended, before this process has: it accepts again.
    bool heir_back() {
        return move(State::takeover_requested, State::alone) || move(State::handed_over, State::alone);
    }
    bool took_over() { return move(State::alone, State::preparing); }
    bool prepared() { return move(State::preparing, State::taken_over); }
    // Nobody else accepts any more then, be this process ready or not.
    bool elder_gone() {
        return move(State::preparing, State::alone) || move(State::taken_over, State::alone);
    }

    // Told to end. One that has an elder gives back to it, and must not stand in its way any more.
    void end() { yields_ = yields_ || state_ == State::preparing || state_ == State::taken_over; }

  private:
    bool move(State from, State to) {
        if (state_ != from) return false;
        state_ = to;
        return true;
    }
    State state_ = State::alone;
    bool yields_ = false;
};

}   // namespace slatejunction::hot_restart
