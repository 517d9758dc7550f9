#include "lease/lease_node.hpp"

#include <algorithm>
#include <utility>

namespace slatejunction::lease {

LeaseNode::LeaseNode(const LeaseNodeSettings& settings, std::uint64_t holder, std::uint64_t seed,
                     double now, std::uint64_t floor, const AcceptorState* memory, AcceptorStorage* home)
    : settings_(settings), holder_(holder), floor_(floor), random_(seed), home_(home) {
    const auto all = settings_.acceptors.all();
    if (!all.contains(settings_.name)) return;
    voter_ = std::make_unique<Acceptor>(settings_.times, now, floor, memory != nullptr,
                                        memory ? memory->grants : std::map<std::string, Grant>{},
                                        memory ? memory->step : 0);
    voter_->set_step(settings_.acceptors.epoch);
}

std::string LeaseNode::slot_name(const std::string& lease, const Want& want, unsigned slot) const {
    return want.slots == 1 ? lease : lease + "/" + std::to_string(slot + 1);
}

// Seekers stay for as long as the process lives: their rounds only go up.
LeaseNode::Want& LeaseNode::want(const std::string& lease, unsigned slots) {
    const auto [at, made] = wants_.try_emplace(lease);
    Want& want = at->second;
    if (!made) return want;
    want.slots = std::clamp(slots, 1U, kSlotsMost);
    for (unsigned i = 0; i < want.slots; ++i)
        want.seekers.push_back(std::make_unique<Candidate>(slot_name(lease, want, i), settings_.name,
                                                           holder_, settings_.times, settings_.acceptors,
                                                           random_()));
    want.at = static_cast<unsigned>(random_() % want.slots);
    return want;
}

void LeaseNode::campaign(double now, const std::string& lease, unsigned slots) {
    Want& one = want(lease, slots);
    if (std::exchange(one.wanted, true)) return;
    one.tried_at = now;
    one.seekers[one.at]->seek(now);
    deliver(now);
}

void LeaseNode::release(double now, const std::string& lease) {
    const auto at = wants_.find(lease);
    if (at == wants_.end() || !std::exchange(at->second.wanted, false)) return;
    for (const auto& seeker : at->second.seekers) seeker->release(now);
    deliver(now);
}

bool LeaseNode::answer(double now, const Message& message, Message& reply) {
    if (!voter_) return false;
    const bool replies = voter_->receive(now, message, reply);
    if (home_ && (voter_->changes() != kept_ || !step_kept_)) {
        // What could be forgotten must not have been said.
        if (!home_->save(voter_->step(), voter_->grants())) {
            ++not_kept_;
            return false;
        }
        kept_ = voter_->changes();
        step_kept_ = true;
    }
    return replies;
}

void LeaseNode::receive(double now, const std::string& from, std::string_view body) {
    Message message;
    if (!read(body, message)) {
        ++unreadable_;
        return;
    }
    if (message.kind == Kind::ask || message.kind == Kind::release) {
        Message reply;
        if (answer(now, message, reply)) posts_.push_back({from, write(reply)});
        return;
    }
    for (auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers)
            if (seeker->lease() == message.lease) seeker->receive(now, from, message);
    deliver(now);
}

// What seekers say: to the voter here at once, to the others by post.
void LeaseNode::deliver(double now) {
    for (bool more = true; more;) {
        more = false;
        for (auto& [lease, want] : wants_)
            for (const auto& seeker : want.seekers)
                for (const Outgoing& one : seeker->take()) {
                    if (one.to != settings_.name) {
                        posts_.push_back({one.to, write(one.message)});
                        continue;
                    }
                    Message reply;
                    if (!answer(now, one.message, reply)) continue;
                    seeker->receive(now, settings_.name, reply);
                    more = true;
                }
    }
    settle(now);
}

// Tells of what has changed; looks for another slot where the one sought is another's.
void LeaseNode::settle(double now) {
    for (auto& [lease, want] : wants_) {
        Candidate& seeker = *want.seekers[want.at];
        const std::uint64_t number = seeker.number();
        if (number != want.told) {
            const auto what = want.told == 0 ? LeaseEvent::Kind::gained
                              : number == 0  ? LeaseEvent::Kind::lost
                                             : LeaseEvent::Kind::token_changed;
            changes_.push_back({what, lease, want.at, number == 0 ? want.told : number, seeker.until()});
            want.told = number;
        }
        if (!want.wanted || want.slots == 1 || seeker.state() != Candidate::State::waiting ||
            seeker.denied_at() <= want.tried_at)
            continue;
        seeker.release(now);
        want.at = (want.at + 1) % want.slots;
        want.tried_at = now;
        want.seekers[want.at]->seek(now);
    }
}

void LeaseNode::on_timer(double now) {
    for (auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers)
            if (seeker->due() <= now) seeker->wake(now);
    deliver(now);
}

double LeaseNode::next_deadline() const {
    double next = 1e18;
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) next = std::min(next, seeker->due());
    return next;
}

bool LeaseNode::permit(double now, const std::string& lease, Permit& permit) const {
    const auto at = wants_.find(lease);
    if (at == wants_.end()) return false;
    const Candidate& seeker = *at->second.seekers[at->second.at];
    if (!seeker.may_act(now)) return false;
    permit = {seeker.number(), seeker.until()};
    return true;
}

bool LeaseNode::holds(double now, const std::string& lease) const {
    const auto at = wants_.find(lease);
    return at != wants_.end() && at->second.seekers[at->second.at]->holds(now);
}

bool LeaseNode::has_quorum(double now, double s) const {
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers)
            if (now - seeker->majority_at() <= s) return true;
    return false;
}

std::vector<LeaseStatus> LeaseNode::statuses() const {
    std::vector<LeaseStatus> all;
    for (const auto& [lease, want] : wants_) {
        const Candidate& seeker = *want.seekers[want.at];
        all.push_back({lease, want.slots, want.at, seeker.state(), seeker.number(), seeker.until(),
                       seeker.held_since(), seeker.other()});
    }
    return all;
}

void LeaseNode::set_acceptors(double now, const AcceptorSet& voters) {
    settings_.acceptors = voters;
    // One that is named a voter only now can't know what it granted when it was one before.
    if (!voter_ && voters.all().contains(settings_.name))
        voter_ = std::make_unique<Acceptor>(settings_.times, now, floor_, false);
    if (voter_) voter_->set_step(voters.epoch);
    step_kept_ = false;
    for (auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) seeker->set_voters(now, voters);
    deliver(now);
}

std::uint64_t LeaseNode::gained() const {
    std::uint64_t all = 0;
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) all += seeker->gained();
    return all;
}

std::uint64_t LeaseNode::lost() const {
    std::uint64_t all = 0;
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) all += seeker->lost();
    return all;
}

std::vector<Candidate::HeldLease> LeaseNode::export_holds(double now) {
    std::vector<Candidate::HeldLease> all;
    for (auto& [lease, want] : wants_) {
        want.wanted = false;
        for (const auto& seeker : want.seekers)
            if (const auto hold = seeker->give(now); hold.fencing_token != 0) all.push_back(hold);
    }
    settle(now);
    return all;
}

void LeaseNode::restore_acceptor(double now, const AcceptorState& memory) {
    if (!voter_) return;
    const std::uint32_t step = std::max(memory.step, settings_.acceptors.epoch);
    voter_ = std::make_unique<Acceptor>(settings_.times, now, 0, true, memory.grants, step);
    kept_ = 0;
    step_kept_ = false;
}

void LeaseNode::import_holds(double now, const std::vector<Candidate::HeldLease>& holds) {
    for (const auto& hold : holds)
        for (auto& [lease, want] : wants_)
            for (unsigned i = 0; i < want.slots; ++i)
                if (want.seekers[i]->lease() == hold.lease) {
                    want.seekers[want.at]->release(now);
                    want.at = i;
                    want.wanted = true;
                    want.seekers[i]->adopt(now, hold);
                    if (want.seekers[i]->number() == 0) continue;
                    want.told = hold.fencing_token;
                    changes_.push_back(
                        {LeaseEvent::Kind::adopted, lease, i, hold.fencing_token, hold.until});
                }
    deliver(now);
}

}   // namespace slatejunction::lease
