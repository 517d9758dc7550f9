#include "lifecycle/graceful_shutdown.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace slatejunction::lifecycle {

static_assert(kKillAfterS - kMarginS - kPartsS - kAnswersS >= kArrivalsS - 1e-9,
              "a request that comes last must have its whole time");
static_assert(kMarginS > kHeldUpS, "a signal that is heard late must not let SIGKILL come first");
static_assert(kHandshakesS < kLastCallsS, "what was accepted last must have time to be served");

double longest_deadline_s(const slatejunction::Settings& settings) {
    double longest = 0;
    for (const auto& one : settings.classes)
        if (std::isfinite(one.deadline_s)) longest = std::max(longest, one.deadline_s);
    return longest;
}

double earliest_kill_s(double longest_deadline_s) {
    const bool counted = longest_deadline_s > 0 && longest_deadline_s < kLongestCountedS;
    return (counted ? longest_deadline_s : kLongestCountedS) + kKillAfterS;
}

double stop_bound_s(double longest_deadline_s) { return earliest_kill_s(longest_deadline_s) - kMarginS; }

double force_after_s(double longest_deadline_s) {
    return stop_bound_s(longest_deadline_s) - kPartsS - kAnswersS;
}

double close_after_s(double longest_deadline_s) {
    return std::max(kArrivalsS, force_after_s(longest_deadline_s) - kLastCallsS);
}

void GracefulShutdown::request_stop(double now) {
    if (told_at_) return;
    told_at_ = now;
    if (state_ == State::serving) state_ = State::finishing;
}

void GracefulShutdown::hand_over(double now) {
    handed_at_ = now;
    if (state_ == State::serving) state_ = State::finishing;
}

// The listening socket was never closed meanwhile, only held.
void GracefulShutdown::cancel_hand_over() {
    if (state_ == State::ended) return;
    handed_at_.reset();
    if (!told_at_) state_ = State::serving;
}

bool GracefulShutdown::over(double now, double told_s, double handed_s) const {
    return (told_at_ && now - *told_at_ > told_s) || (handed_at_ && now - *handed_at_ > handed_s);
}

std::optional<double> GracefulShutdown::max_idle_s(double now) const {
    if (rejects_new_requests()) return 0;
    if (told_at_ && now - *told_at_ > kGraceS) return kQuietS;
    if (handed_at_ && now - *handed_at_ > kHandedStillComingS) return kHandedQuietS;
    return std::nullopt;
}

// Health checks count for nothing here, however many there are: they would never cease.
bool GracefulShutdown::quiet(const Facts& facts) const {
    return facts.in_use == 0 && facts.now - facts.last_request_at > kQuietS &&
           facts.now - facts.last_unknown_at > kQuietS;
}

double GracefulShutdown::close_at() const {
    if (told_at_) return *told_at_ + close_after_s(longest_deadline_s_);
    return force_at() - kLastCallsS;
}

double GracefulShutdown::force_at() const {
    if (told_at_) return *told_at_ + force_after_s(longest_deadline_s_);
    return *handed_at_ + std::max(longest_deadline_s_, kLongestCountedS) + kHandedMoreS;
}

double GracefulShutdown::ends_by() const {
    if (!draining()) return std::numeric_limits<double>::infinity();
    return force_at() + kAnswersS + kPartsS;
}

GracefulShutdown::Action GracefulShutdown::advance(const Facts& facts) {
    const bool may_end = over(facts.now, kGraceS, kGraceS);
    switch (state_) {
        case State::serving:
        case State::ended:
            return Action::none;
        case State::finishing:
            if (facts.another_accepts) {
                if (may_end && facts.connections == 0) return state_ = State::ended, Action::end;
                if (facts.now >= force_at()) {
                    forced_at_ = facts.now;
                    return state_ = State::forcing, Action::answer_open_requests;
                }
                return Action::none;
            }
            if (facts.now < close_at() && !(may_end && quiet(facts))) return Action::none;
            refused_at_ = facts.now;
            return state_ = State::refusing, Action::refuse_handshakes;
        case State::refusing:
            if (facts.now < refused_at_ + kHandshakesS) return Action::none;
            return state_ = State::closed, Action::stop_listening;
        case State::closed:
            if (facts.connections == 0) return state_ = State::ended, Action::end;
            if (facts.now < force_at()) return Action::none;
            forced_at_ = facts.now;
            return state_ = State::forcing, Action::answer_open_requests;
        case State::forcing:
            if (facts.connections > 0 && facts.now < forced_at_ + kAnswersS) return Action::none;
            return state_ = State::ended, Action::end;
    }
    return Action::none;
}

double GracefulShutdown::advance_again_at(double now) const {
    const double look = now + kCheckIntervalS;
    double due = look;
    if (state_ == State::finishing) due = close_at();
    if (state_ == State::refusing) due = refused_at_ + kHandshakesS;
    if (state_ == State::closed) due = force_at();
    if (state_ == State::forcing) due = forced_at_ + kAnswersS;
    return due > now ? std::min(due, look) : look;
}

}   // namespace slatejunction::lifecycle
