#include "lease/lease_node.hpp"

#include <algorithm>
#include <utility>

namespace slatejunction::lease {

Room::Room(const RoomSettings& settings, std::uint64_t holder, std::uint64_t seed, double now,
           std::uint64_t floor, const Memory* memory, Home* home)
    : settings_(settings), holder_(holder), floor_(floor), random_(seed), home_(home) {
    const auto all = settings_.voters.all();
    if (!all.contains(settings_.name)) return;
    voter_ = std::make_unique<Voter>(settings_.times, now, floor, memory != nullptr,
                                     memory ? memory->grants : std::map<std::string, Grant>{},
                                     memory ? memory->step : 0);
    voter_->set_step(settings_.voters.step);
}

std::string Room::slot_name(const std::string& lease, const Want& want, unsigned slot) const {
    return want.slots == 1 ? lease : lease + "/" + std::to_string(slot + 1);
}

// Seekers stay for as long as the process lives: their rounds only go up.
Room::Want& Room::want(const std::string& lease, unsigned slots) {
    const auto [at, made] = wants_.try_emplace(lease);
    Want& want = at->second;
    if (!made) return want;
    want.slots = std::clamp(slots, 1U, kSlotsMost);
    for (unsigned i = 0; i < want.slots; ++i)
        want.seekers.push_back(std::make_unique<Seeker>(slot_name(lease, want, i), settings_.name, holder_,
                                                        settings_.times, settings_.voters, random_()));
    want.at = static_cast<unsigned>(random_() % want.slots);
    return want;
}

void Room::seek(double now, const std::string& lease, unsigned slots) {
    Want& one = want(lease, slots);
    if (std::exchange(one.wanted, true)) return;
    one.tried_at = now;
    one.seekers[one.at]->seek(now);
    deliver(now);
}

void Room::release(double now, const std::string& lease) {
    const auto at = wants_.find(lease);
    if (at == wants_.end() || !std::exchange(at->second.wanted, false)) return;
    for (const auto& seeker : at->second.seekers) seeker->release(now);
    deliver(now);
}

bool Room::answer(double now, const Message& message, Message& reply) {
    if (!voter_) return false;
    const bool replies = voter_->receive(now, message, reply);
    if (home_ && (voter_->changes() != kept_ || !step_kept_)) {
        // What could be forgotten must not have been said.
        if (!home_->keep(voter_->step(), voter_->grants())) {
            ++not_kept_;
            return false;
        }
        kept_ = voter_->changes();
        step_kept_ = true;
    }
    return replies;
}

void Room::receive(double now, const std::string& from, std::string_view body) {
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
void Room::deliver(double now) {
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
void Room::settle(double now) {
    for (auto& [lease, want] : wants_) {
        Seeker& seeker = *want.seekers[want.at];
        const std::uint64_t number = seeker.number();
        if (number != want.told) {
            const auto what = want.told == 0 ? Change::What::gained
                              : number == 0  ? Change::What::lost
                                             : Change::What::renumbered;
            changes_.push_back({what, lease, want.at, number == 0 ? want.told : number, seeker.until()});
            want.told = number;
        }
        if (!want.wanted || want.slots == 1 || seeker.state() != Seeker::State::waiting ||
            seeker.denied_at() <= want.tried_at)
            continue;
        seeker.release(now);
        want.at = (want.at + 1) % want.slots;
        want.tried_at = now;
        want.seekers[want.at]->seek(now);
    }
}

void Room::wake(double now) {
    for (auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers)
            if (seeker->due() <= now) seeker->wake(now);
    deliver(now);
}

double Room::due() const {
    double next = 1e18;
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) next = std::min(next, seeker->due());
    return next;
}

bool Room::permit(double now, const std::string& lease, Permit& permit) const {
    const auto at = wants_.find(lease);
    if (at == wants_.end()) return false;
    const Seeker& seeker = *at->second.seekers[at->second.at];
    if (!seeker.may_act(now)) return false;
    permit = {seeker.number(), seeker.until()};
    return true;
}

bool Room::holds(double now, const std::string& lease) const {
    const auto at = wants_.find(lease);
    return at != wants_.end() && at->second.seekers[at->second.at]->holds(now);
}

bool Room::quorum(double now, double s) const {
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers)
            if (now - seeker->majority_at() <= s) return true;
    return false;
}

std::vector<View> Room::views() const {
    std::vector<View> all;
    for (const auto& [lease, want] : wants_) {
        const Seeker& seeker = *want.seekers[want.at];
        all.push_back({lease, want.slots, want.at, seeker.state(), seeker.number(), seeker.until(),
                       seeker.held_since(), seeker.other()});
    }
    return all;
}

void Room::set_voters(double now, const Voters& voters) {
    settings_.voters = voters;
    // One that is named a voter only now can't know what it granted when it was one before.
    if (!voter_ && voters.all().contains(settings_.name))
        voter_ = std::make_unique<Voter>(settings_.times, now, floor_, false);
    if (voter_) voter_->set_step(voters.step);
    step_kept_ = false;
    for (auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) seeker->set_voters(now, voters);
    deliver(now);
}

std::uint64_t Room::gained() const {
    std::uint64_t all = 0;
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) all += seeker->gained();
    return all;
}

std::uint64_t Room::lost() const {
    std::uint64_t all = 0;
    for (const auto& [lease, want] : wants_)
        for (const auto& seeker : want.seekers) all += seeker->lost();
    return all;
}

std::vector<Seeker::Hold> Room::give(double now) {
    std::vector<Seeker::Hold> all;
    for (auto& [lease, want] : wants_) {
        want.wanted = false;
        for (const auto& seeker : want.seekers)
            if (const auto hold = seeker->give(now); hold.number != 0) all.push_back(hold);
    }
    settle(now);
    return all;
}

void Room::remember(double now, const Memory& memory) {
    if (!voter_) return;
    const std::uint32_t step = std::max(memory.step, settings_.voters.step);
    voter_ = std::make_unique<Voter>(settings_.times, now, 0, true, memory.grants, step);
    kept_ = 0;
    step_kept_ = false;
}

void Room::adopt(double now, const std::vector<Seeker::Hold>& holds) {
    for (const auto& hold : holds)
        for (auto& [lease, want] : wants_)
            for (unsigned i = 0; i < want.slots; ++i)
                if (want.seekers[i]->lease() == hold.lease) {
                    want.seekers[want.at]->release(now);
                    want.at = i;
                    want.wanted = true;
                    want.seekers[i]->adopt(now, hold);
                    if (want.seekers[i]->number() == 0) continue;
                    want.told = hold.number;
                    changes_.push_back({Change::What::adopted, lease, i, hold.number, hold.until});
                }
    deliver(now);
}

}   // namespace slatejunction::lease
