#include "lifecycle/graceful_shutdown.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace slatejunction::lifecycle {

static_assert(kKillDelayS - kKillMarginS - kComponentStopS - kForcedAnswersS >= kLateConnectionsS - 1e-9,
              "a request on the last connection must have its full deadline");
static_assert(kKillMarginS > kMaxSchedulingDelayS,
              "SIGKILL must not come before the exit if a signal is handled late");
static_assert(kHandshakeDrainS < kLastRequestsS,
              "requests on the last connections need time after the handshakes");

double longest_deadline_s(const slatejunction::Settings& settings) {
    double longest = 0;
    for (const auto& service_class : settings.classes)
        if (std::isfinite(service_class.deadline_s)) longest = std::max(longest, service_class.deadline_s);
    return longest;
}

double earliest_kill_s(double longest_deadline_s) {
    const bool known_and_short = longest_deadline_s > 0 && longest_deadline_s < kMaxCountedDeadlineS;
    return (known_and_short ? longest_deadline_s : kMaxCountedDeadlineS) + kKillDelayS;
}

double stop_bound_s(double longest_deadline_s) {
    return earliest_kill_s(longest_deadline_s) - kKillMarginS;
}

double force_after_s(double longest_deadline_s) {
    return stop_bound_s(longest_deadline_s) - kComponentStopS - kForcedAnswersS;
}

double close_after_s(double longest_deadline_s) {
    return std::max(kLateConnectionsS, force_after_s(longest_deadline_s) - kLastRequestsS);
}

void GracefulShutdown::request_stop(double now) {
    if (stop_requested_at_) return;
    stop_requested_at_ = now;
    if (state_ == State::serving) state_ = State::finishing;
}

void GracefulShutdown::hand_over(double now) {
    handed_over_at_ = now;
    if (state_ == State::serving) state_ = State::finishing;
}

// The listening socket is still open: accepting was only paused.
void GracefulShutdown::cancel_hand_over() {
    if (state_ == State::ended) return;
    handed_over_at_.reset();
    if (!stop_requested_at_) state_ = State::serving;
}

bool GracefulShutdown::past_grace(double now) const {
    return (stop_requested_at_ && now - *stop_requested_at_ > kIdleGraceS) ||
           (handed_over_at_ && now - *handed_over_at_ > kIdleGraceS);
}

std::optional<double> GracefulShutdown::max_idle_s(double now) const {
    if (rejects_new_requests()) return 0;
    if (stop_requested_at_ && now - *stop_requested_at_ > kIdleGraceS) return kMaxIdleS;
    if (handed_over_at_ && now - *handed_over_at_ > kDrainingIdleGraceS) return kDrainingMaxIdleS;
    return std::nullopt;
}

// Health checks do not count, as they never cease.
bool GracefulShutdown::no_requests_arrive(const Inputs& inputs) const {
    return inputs.in_use == 0 && inputs.now - inputs.last_request_at > kMaxIdleS &&
           inputs.now - inputs.last_unused_at > kMaxIdleS;
}

double GracefulShutdown::stop_listening_at() const {
    if (stop_requested_at_) return *stop_requested_at_ + close_after_s(longest_deadline_s_);
    return force_answers_at() - kLastRequestsS;
}

double GracefulShutdown::force_answers_at() const {
    if (stop_requested_at_) return *stop_requested_at_ + force_after_s(longest_deadline_s_);
    return *handed_over_at_ + std::max(longest_deadline_s_, kMaxCountedDeadlineS) + kDrainingExtraS;
}

double GracefulShutdown::ends_by() const {
    if (!draining()) return std::numeric_limits<double>::infinity();
    return force_answers_at() + kForcedAnswersS + kComponentStopS;
}

GracefulShutdown::Action GracefulShutdown::enter(State state, Action action) {
    state_ = state;
    return action;
}

GracefulShutdown::Action GracefulShutdown::advance_finishing(const Inputs& inputs) {
    const bool grace_over = past_grace(inputs.now);
    if (inputs.another_process_accepts) {
        if (grace_over && inputs.connections == 0) return enter(State::ended, Action::end);
        if (inputs.now < force_answers_at()) return Action::none;
        answers_forced_at_ = inputs.now;
        return enter(State::forcing, Action::answer_open_requests);
    }
    if (inputs.now < stop_listening_at() && !(grace_over && no_requests_arrive(inputs)))
        return Action::none;
    handshakes_refused_at_ = inputs.now;
    return enter(State::refusing, Action::refuse_handshakes);
}

GracefulShutdown::Action GracefulShutdown::advance(const Inputs& inputs) {
    switch (state_) {
        case State::serving:
        case State::ended:
            return Action::none;
        case State::finishing:
            return advance_finishing(inputs);
        case State::refusing:
            if (inputs.now < handshakes_refused_at_ + kHandshakeDrainS) return Action::none;
            return enter(State::closed, Action::stop_listening);
        case State::closed:
            if (inputs.connections == 0) return enter(State::ended, Action::end);
            if (inputs.now < force_answers_at()) return Action::none;
            answers_forced_at_ = inputs.now;
            return enter(State::forcing, Action::answer_open_requests);
        case State::forcing:
            if (inputs.connections > 0 && inputs.now < answers_forced_at_ + kForcedAnswersS)
                return Action::none;
            return enter(State::ended, Action::end);
    }
    return Action::none;
}

double GracefulShutdown::advance_again_at(double now) const {
    const double next_check = now + kCheckIntervalS;
    double transition_at = next_check;
    if (state_ == State::finishing) transition_at = stop_listening_at();
    if (state_ == State::refusing) transition_at = handshakes_refused_at_ + kHandshakeDrainS;
    if (state_ == State::closed) transition_at = force_answers_at();
    if (state_ == State::forcing) transition_at = answers_forced_at_ + kForcedAnswersS;
    return transition_at > now ? std::min(transition_at, next_check) : next_check;
}

}   // namespace slatejunction::lifecycle
