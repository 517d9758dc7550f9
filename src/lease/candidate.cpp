#include "lease/candidate.hpp"

#include <algorithm>
#include <utility>

namespace slatejunction::lease {

std::set<std::string> AcceptorSet::all() const {
    std::set<std::string> both(names.begin(), names.end());
    both.insert(before.begin(), before.end());
    return both;
}

bool AcceptorSet::majority(const std::set<std::string>& of) const {
    const auto more = [&](const std::vector<std::string>& set) {
        const auto count =
            std::count_if(set.begin(), set.end(), [&](const auto& one) { return of.contains(one); });
        return 2 * static_cast<std::size_t>(count) > set.size();
    };
    return more(names) && (before.empty() || more(before));
}

Candidate::Candidate(std::string lease, std::string name, std::uint64_t holder, const LeaseTimes& times,
                     const AcceptorSet& voters, std::uint64_t seed)
    : lease_(std::move(lease)),
      name_(std::move(name)),
      holder_(holder),
      times_(times),
      voters_(voters),
      random_(seed) {}

void Candidate::seek(double now) {
    if (std::exchange(wanted_, true)) return;
    state_ = State::waiting;
    next_ = now + retry_s(times_) * std::uniform_real_distribution<double>(0, 0.5)(random_);
}

void Candidate::release(double) {
    wanted_ = false;
    if (state_ == State::idle) return;
    for (const std::string& voter : voters_.all())
        out_.push_back({voter, {Kind::release, lease_, holder_, ++round_, 0, 0, voters_.epoch, name_}});
    lose(true);
    state_ = State::idle;
}

double Candidate::due() const {
    switch (state_) {
        case State::idle:
            return 1e18;
        case State::waiting:
            return next_;
        case State::learning:
        case State::taking:
            return asked_at_ + request_timeout_s(times_);
        case State::held:
            return std::min(until_, next_);
    }
    return 1e18;
}

void Candidate::wake(double now) {
    switch (state_) {
        case State::idle:
            return;
        case State::waiting:
            if (now >= next_) {
                highest_ = 0;
                state_ = State::learning;
                ask(now, 0);
            }
            return;
        case State::learning:
        case State::taking:
            if (now >= asked_at_ + request_timeout_s(times_)) fail(now, 0);
            return;
        case State::held:
            if (now >= until_) {
                give_back();
                lose(false);
                state_ = State::waiting;
                next_ = now + times_.grant_duration_s / 2 +
                        retry_s(times_) * std::uniform_real_distribution<double>(0.5, 1)(random_);
            } else if (now >= next_) {
                // A voter that knows a higher number than this hold's takes part once that is passed.
                ask(now, highest_ > number_ ? highest_ + 1 : number_);
                next_ = now + std::min(request_timeout_s(times_), renew_s(times_));
            }
            return;
    }
}

void Candidate::ask(double now, std::uint64_t number) {
    ++round_;
    asked_at_ = now;
    asked_number_ = number;
    asking_ = true;
    granted_.clear();
    answered_.clear();
    denied_for_ = 0;
    for (const std::string& voter : voters_.all())
        out_.push_back(
            {voter,
             {Kind::ask, lease_, holder_, round_, number, times_.grant_duration_s, voters_.epoch, name_}});
}

// Voters that may have granted are told that they need not keep it: one that is heard and hears nothing
// would have them wait for it without end. It then leaves the others half a life to get in.
void Candidate::fail(double now, double wait_s) {
    asking_ = false;
    give_back();
    if (answered_.empty()) wait_s += times_.grant_duration_s / 2;
    granted_.clear();
    state_ = State::waiting;
    next_ = now + std::min(wait_s, std::max(retry_s(times_), answered_.empty() ? wait_s : 0)) +
            retry_s(times_) * std::uniform_real_distribution<double>(0.25, 1)(random_);
}

void Candidate::give_back() {
    ++round_;
    for (const std::string& voter : voters_.all())
        if (granted_.contains(voter) || !answered_.contains(voter))
            out_.push_back({voter, {Kind::release, lease_, holder_, round_, 0, 0, voters_.epoch, name_}});
}

void Candidate::lose(bool wanted) {
    if (state_ == State::held && !wanted) ++lost_;
    asking_ = false;
    number_ = 0;
    until_ = 0;
}

void Candidate::receive(double now, const std::string& voter, const Message& answer) {
    if (!asking_ || answer.lease != lease_ || answer.holder != holder_ || answer.round != round_) return;
    if (!voters_.all().contains(voter)) return;
    // A voter of an earlier step counts for none: it may still serve that step's seekers.
    if (answer.kind == Kind::granted && answer.step + 1 < voters_.epoch) return;
    answered_.insert(voter);
    if (voters_.majority(answered_)) majority_at_ = now;
    highest_ = std::max(highest_, answer.number);
    if (answer.kind == Kind::granted) granted_.insert(voter);
    if (answer.kind == Kind::denied) {
        other_ = answer.name;
        denied_at_ = now;
        denied_for_ = std::max(denied_for_, answer.lives_s);
    }
    switch (state_) {
        case State::learning:
            if (voters_.majority(granted_)) {
                learnt_at_ = asked_at_;
                state_ = State::taking;
                number_ = highest_ + 1;
                ask(now, number_);
            }
            break;
        case State::taking:
            // Both rounds count only while the first one does: nobody else can have had a majority then.
            if (voters_.majority(granted_)) {
                if (now >= learnt_at_ + usable_duration_s(times_)) return fail(now, 0);
                state_ = State::held;
                ++gained_;
                asking_ = false;
                since_ = now;
                highest_ = number_;
                until_ = asked_at_ + usable_duration_s(times_);
                next_ = asked_at_ + renew_s(times_);
                return;
            }
            break;
        case State::held:
            if (voters_.majority(granted_)) {
                asking_ = false;
                number_ = highest_ = asked_number_;
                until_ = std::max(until_, asked_at_ + usable_duration_s(times_));
                next_ = asked_at_ + renew_s(times_);
            }
            return;
        case State::idle:
        case State::waiting:
            return;
    }
    // No majority can come of this round any more.
    std::set<std::string> still = voters_.all();
    for (const std::string& one : answered_)
        if (!granted_.contains(one)) still.erase(one);
    if (!voters_.majority(still)) fail(now, denied_for_);
}

void Candidate::set_voters(double now, const AcceptorSet& voters) {
    if (voters == voters_) return;
    voters_ = voters;
    // What is held goes on until its end; a round of the old set counts no more.
    if (state_ == State::held) {
        asking_ = false;
        next_ = now;
    } else if (asking_) {
        fail(now, 0);
    }
}

std::string Candidate::digest(double now) const {
    std::string all;
    const auto put = [&](std::uint64_t value) {
        all.append(reinterpret_cast<const char*>(&value), sizeof value);
    };
    const auto put_time = [&](double time) {
        put(static_cast<std::uint64_t>(static_cast<std::int64_t>(std::round(
            std::clamp(time - now, -2 * times_.grant_duration_s, 2 * times_.grant_duration_s) * 1e3))));
    };
    put(static_cast<std::uint64_t>(state_) | static_cast<std::uint64_t>(wanted_) << 8 |
        static_cast<std::uint64_t>(asking_) << 9);
    for (const std::uint64_t value : {round_, number_, highest_, asked_number_}) put(value);
    for (const double time : {asked_at_, learnt_at_, until_, next_}) put_time(time);
    for (const auto* set : {&granted_, &answered_}) {
        for (const std::string& one : *set) all += one + ',';
        all += ';';
    }
    return all;
}

Candidate::HeldLease Candidate::give(double now) {
    HeldLease hold{lease_, holder_, round_ + 1, number_, until_, since_};
    if (!holds(now)) hold.fencing_token = 0;
    wanted_ = false;
    lose(true);
    state_ = State::idle;
    return hold;
}

void Candidate::adopt(double now, const HeldLease& hold) {
    if (hold.lease != lease_ || hold.fencing_token == 0 || hold.holder == 0) return;
    wanted_ = true;
    holder_ = hold.holder;
    round_ = hold.round;
    if (now >= hold.until) {
        state_ = State::waiting;
        next_ = now;
        return;
    }
    number_ = highest_ = hold.fencing_token;
    until_ = hold.until;
    since_ = hold.since;
    state_ = State::held;
    next_ = now;
}

}   // namespace slatejunction::lease
