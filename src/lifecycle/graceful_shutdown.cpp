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

void Shutdown::tell(double now) {
    if (told_at_) return;
    told_at_ = now;
    if (state_ == State::serving) state_ = State::finishing;
}

void Shutdown::hand_over(double now) {
    handed_at_ = now;
    if (state_ == State::serving) state_ = State::finishing;
}

// The listening socket was never closed meanwhile, only held.
void Shutdown::take_back() {
    if (state_ == State::ended) return;
    handed_at_.reset();
    if (!told_at_) state_ = State::serving;
}

bool Shutdown::over(double now, double told_s, double handed_s) const {
    return (told_at_ && now - *told_at_ > told_s) || (handed_at_ && now - *handed_at_ > handed_s);
}

std::optional<double> Shutdown::idle_most_s(double now) const {
    if (turns_away()) return 0;
    if (told_at_ && now - *told_at_ > kStillComingS) return kQuietS;
    if (handed_at_ && now - *handed_at_ > kHandedStillComingS) return kHandedQuietS;
    return std::nullopt;
}

// Health checks count for nothing here, however many there are: they would never cease.
bool Shutdown::quiet(const Facts& facts) const {
    return facts.in_use == 0 && facts.now - facts.last_request_at > kQuietS &&
           facts.now - facts.last_unknown_at > kQuietS;
}

double Shutdown::close_at() const {
    if (told_at_) return *told_at_ + close_after_s(longest_deadline_s_);
    return force_at() - kLastCallsS;
}

double Shutdown::force_at() const {
    if (told_at_) return *told_at_ + force_after_s(longest_deadline_s_);
    return *handed_at_ + std::max(longest_deadline_s_, kLongestCountedS) + kHandedMoreS;
}

double Shutdown::ends_by() const {
    if (!leaves()) return std::numeric_limits<double>::infinity();
    return force_at() + kAnswersS + kPartsS;
}

Shutdown::Act Shutdown::advance(const Facts& facts) {
    const bool may_end = over(facts.now, kStillComingS, kStillComingS);
    switch (state_) {
        case State::serving:
        case State::ended:
            return Act::none;
        case State::finishing:
            if (facts.another_accepts) {
                if (may_end && facts.connections == 0) return state_ = State::ended, Act::end;
                if (facts.now >= force_at()) {
                    forced_at_ = facts.now;
                    return state_ = State::forcing, Act::answer_owed;
                }
                return Act::none;
            }
            if (facts.now < close_at() && !(may_end && quiet(facts))) return Act::none;
            refused_at_ = facts.now;
            return state_ = State::refusing, Act::refuse_new;
        case State::refusing:
            if (facts.now < refused_at_ + kHandshakesS) return Act::none;
            return state_ = State::closed, Act::stop_listening;
        case State::closed:
            if (facts.connections == 0) return state_ = State::ended, Act::end;
            if (facts.now < force_at()) return Act::none;
            forced_at_ = facts.now;
            return state_ = State::forcing, Act::answer_owed;
        case State::forcing:
            if (facts.connections > 0 && facts.now < forced_at_ + kAnswersS) return Act::none;
            return state_ = State::ended, Act::end;
    }
    return Act::none;
}

double Shutdown::advance_again_at(double now) const {
    const double look = now + kLookEveryS;
    double due = look;
    if (state_ == State::finishing) due = close_at();
    if (state_ == State::refusing) due = refused_at_ + kHandshakesS;
    if (state_ == State::closed) due = force_at();
    if (state_ == State::forcing) due = forced_at_ + kAnswersS;
    return due > now ? std::min(due, look) : look;
}

}   // namespace slatejunction::lifecycle
