#include "lease/candidate.hpp"

#include <algorithm>
#include <utility>

namespace slatejunction::lease {
namespace {

constexpr double kNeverS = 1e18;

}   // namespace

std::set<std::string> AcceptorSet::members() const {
    std::set<std::string> both(current.begin(), current.end());
    both.insert(previous.begin(), previous.end());
    return both;
}

bool AcceptorSet::has_majority(const std::set<std::string>& acceptors) const {
    const auto is_majority_of = [&](const std::vector<std::string>& set) {
        const auto count = std::count_if(set.begin(), set.end(),
                                         [&](const auto& name) { return acceptors.contains(name); });
        return 2 * static_cast<std::size_t>(count) > set.size();
    };
    return is_majority_of(current) && (previous.empty() || is_majority_of(previous));
}

Candidate::Candidate(std::string lease, std::string name, std::uint64_t holder, const LeaseTimes& times,
                     const AcceptorSet& acceptors, std::uint64_t seed)
    : lease_(std::move(lease)),
      name_(std::move(name)),
      holder_(holder),
      times_(times),
      acceptors_(acceptors),
      random_(seed) {}

// Returns a random time between `min_factor` and `max_factor` times the longest retry delay.
double Candidate::draw_backoff_s(double min_factor, double max_factor) {
    return retry_delay_s(times_) * std::uniform_real_distribution<double>(min_factor, max_factor)(random_);
}

void Candidate::send(const std::string& acceptor, MessageKind kind, std::uint64_t token,
                     double duration_s) {
    outgoing_.push_back(
        {acceptor, {kind, lease_, holder_, round_, token, duration_s, acceptors_.epoch, name_}});
}

void Candidate::campaign(double now) {
    if (std::exchange(campaigning_, true)) return;
    state_ = State::backoff;
    next_attempt_at_ = now + draw_backoff_s(0, 0.5);
}

void Candidate::release(double) {
    campaigning_ = false;
    if (state_ == State::idle) return;
    for (const std::string& acceptor : acceptors_.members()) {
        ++round_;
        send(acceptor, MessageKind::release, 0, 0);
    }
    drop_lease();
    state_ = State::idle;
}

double Candidate::next_deadline() const {
    switch (state_) {
        case State::idle:
            return kNeverS;
        case State::backoff:
            return next_attempt_at_;
        case State::preparing:
        case State::proposing:
            return round_started_at_ + request_timeout_s(times_);
        case State::held:
            return std::min(valid_until_, next_attempt_at_);
    }
    return kNeverS;
}

void Candidate::on_timer(double now) {
    switch (state_) {
        case State::idle:
            return;
        case State::backoff:
            if (now < next_attempt_at_) return;
            highest_known_token_ = 0;
            state_ = State::preparing;
            start_round(now, 0);
            return;
        case State::preparing:
        case State::proposing:
            if (now >= round_started_at_ + request_timeout_s(times_)) fail_round(now, 0);
            return;
        case State::held:
            renew_or_expire(now);
            return;
    }
}

void Candidate::renew_or_expire(double now) {
    if (now >= valid_until_) {
        release_grants();
        ++lost_;
        drop_lease();
        state_ = State::backoff;
        next_attempt_at_ = now + times_.grant_duration_s / 2 + draw_backoff_s(0.5, 1);
    } else if (now >= next_attempt_at_) {
        // An acceptor that knows a higher token grants again only once a token above that one is claimed.
        const bool was_exceeded = highest_known_token_ > fencing_token_;
        start_round(now, was_exceeded ? highest_known_token_ + 1 : fencing_token_);
        next_attempt_at_ = now + std::min(request_timeout_s(times_), renew_delay_s(times_));
    }
}

void Candidate::start_round(double now, std::uint64_t token) {
    ++round_;
    round_started_at_ = now;
    requested_token_ = token;
    round_open_ = true;
    granted_by_.clear();
    answered_by_.clear();
    denial_remaining_s_ = 0;
    for (const std::string& acceptor : acceptors_.members())
        send(acceptor, MessageKind::request, token, times_.grant_duration_s);
}

// Ends a round that got no majority. The requests of a candidate that receives no answers may still reach
// the acceptors: it releases the grants, and waits half a grant's duration so that another can be elected.
void Candidate::fail_round(double now, double wait_s) {
    round_open_ = false;
    release_grants();
    const bool is_unanswered = answered_by_.empty();
    if (is_unanswered) wait_s += times_.grant_duration_s / 2;
    granted_by_.clear();
    state_ = State::backoff;
    const double longest_wait_s = std::max(retry_delay_s(times_), is_unanswered ? wait_s : 0);
    next_attempt_at_ = now + std::min(wait_s, longest_wait_s) + draw_backoff_s(0.25, 1);
}

// Releases the grants at all acceptors that may have granted the lease.
void Candidate::release_grants() {
    ++round_;
    for (const std::string& acceptor : acceptors_.members()) {
        const bool may_have_granted = granted_by_.contains(acceptor) || !answered_by_.contains(acceptor);
        if (may_have_granted) send(acceptor, MessageKind::release, 0, 0);
    }
}

void Candidate::drop_lease() {
    round_open_ = false;
    fencing_token_ = 0;
    valid_until_ = 0;
}

void Candidate::receive(double now, const std::string& acceptor, const Message& answer) {
    const bool is_of_this_round =
        round_open_ && answer.lease == lease_ && answer.holder == holder_ && answer.round == round_;
    if (!is_of_this_round || !acceptors_.members().contains(acceptor)) return;
    // A grant of an acceptor that is more than one epoch behind does not count: that acceptor may still
    // grant to candidates of its epoch.
    if (answer.kind == MessageKind::granted && answer.epoch + 1 < acceptors_.epoch) return;
    record_answer(now, acceptor, answer);
    if (acceptors_.has_majority(granted_by_) && on_majority_granted(now)) return;
    const bool may_fail = state_ == State::preparing || state_ == State::proposing;
    if (may_fail && !majority_still_possible()) fail_round(now, denial_remaining_s_);
}

void Candidate::record_answer(double now, const std::string& acceptor, const Message& answer) {
    answered_by_.insert(acceptor);
    if (acceptors_.has_majority(answered_by_)) last_quorum_at_ = now;
    highest_known_token_ = std::max(highest_known_token_, answer.fencing_token);
    if (answer.kind == MessageKind::granted) granted_by_.insert(acceptor);
    if (answer.kind == MessageKind::denied) {
        other_holder_ = answer.holder_name;
        denied_at_ = now;
        denial_remaining_s_ = std::max(denial_remaining_s_, answer.duration_s);
    }
}

// Returns true if the attempt is over, and false if the propose round has started.
bool Candidate::on_majority_granted(double now) {
    switch (state_) {
        case State::preparing:
            complete_prepare(now);
            return false;
        case State::proposing:
            complete_propose(now);
            return true;
        case State::held:
            complete_renewal();
            return true;
        case State::idle:
        case State::backoff:
            return true;
    }
    return true;
}

void Candidate::complete_prepare(double now) {
    prepare_started_at_ = round_started_at_;
    state_ = State::proposing;
    fencing_token_ = highest_known_token_ + 1;
    start_round(now, fencing_token_);
}

// The lease is held only if the grants of the prepare round are still valid: until they expire nobody else
// can have a majority.
void Candidate::complete_propose(double now) {
    if (now >= prepare_started_at_ + usable_duration_s(times_)) return fail_round(now, 0);
    state_ = State::held;
    ++gained_;
    round_open_ = false;
    held_since_ = now;
    highest_known_token_ = fencing_token_;
    valid_until_ = round_started_at_ + usable_duration_s(times_);
    next_attempt_at_ = round_started_at_ + renew_delay_s(times_);
}

void Candidate::complete_renewal() {
    round_open_ = false;
    fencing_token_ = requested_token_;
    highest_known_token_ = requested_token_;
    valid_until_ = std::max(valid_until_, round_started_at_ + usable_duration_s(times_));
    next_attempt_at_ = round_started_at_ + renew_delay_s(times_);
}

bool Candidate::majority_still_possible() const {
    std::set<std::string> granted_or_open = acceptors_.members();
    for (const std::string& acceptor : answered_by_)
        if (!granted_by_.contains(acceptor)) granted_or_open.erase(acceptor);
    return acceptors_.has_majority(granted_or_open);
}

void Candidate::set_acceptors(double now, const AcceptorSet& acceptors) {
    if (acceptors == acceptors_) return;
    acceptors_ = acceptors;
    // A held lease stays valid until it expires and is renewed with the new set at once. An open round of
    // the old set no longer counts.
    if (state_ == State::held) {
        round_open_ = false;
        next_attempt_at_ = now;
    } else if (round_open_) {
        fail_round(now, 0);
    }
}

std::string Candidate::state_digest(double now) const {
    std::string digest;
    const auto put = [&](std::uint64_t value) {
        digest.append(reinterpret_cast<const char*>(&value), sizeof value);
    };
    const auto put_time = [&](double time) {
        const double horizon_s = 2 * times_.grant_duration_s;
        const double relative_ms = std::round(std::clamp(time - now, -horizon_s, horizon_s) * 1e3);
        put(static_cast<std::uint64_t>(static_cast<std::int64_t>(relative_ms)));
    };
    put(static_cast<std::uint64_t>(state_) | static_cast<std::uint64_t>(campaigning_) << 8 |
        static_cast<std::uint64_t>(round_open_) << 9);
    for (const std::uint64_t value : {round_, fencing_token_, highest_known_token_, requested_token_})
        put(value);
    for (const double time : {round_started_at_, prepare_started_at_, valid_until_, next_attempt_at_})
        put_time(time);
    for (const auto* names : {&granted_by_, &answered_by_}) {
        for (const std::string& name : *names) digest += name + ',';
        digest += ';';
    }
    return digest;
}

Candidate::HeldLease Candidate::export_hold(double now) {
    HeldLease hold{lease_, holder_, round_ + 1, fencing_token_, valid_until_, held_since_};
    if (!holds(now)) hold.fencing_token = 0;
    campaigning_ = false;
    drop_lease();
    state_ = State::idle;
    return hold;
}

void Candidate::import_hold(double now, const HeldLease& hold) {
    if (hold.lease != lease_ || hold.fencing_token == 0 || hold.holder == 0) return;
    campaigning_ = true;
    holder_ = hold.holder;
    round_ = hold.round;
    next_attempt_at_ = now;
    if (now >= hold.valid_until) {
        state_ = State::backoff;
        return;
    }
    fencing_token_ = hold.fencing_token;
    highest_known_token_ = hold.fencing_token;
    valid_until_ = hold.valid_until;
    held_since_ = hold.held_since;
    state_ = State::held;
}

}   // namespace slatejunction::lease
