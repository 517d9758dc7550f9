#include "rollout/publisher.hpp"

#include <algorithm>
#include <tuple>

#include "rollout/batch.hpp"

namespace slatejunction::rollout {
namespace {

constexpr double kForgetEvery = 60;   // s
constexpr std::size_t kSnapshotsKept = 3;
constexpr std::size_t kBodyAbout = 1000;   // bytes of a full message, for the budget
constexpr double kBudgetBurst = 1;         // s of bytes_per_s that may be spent at once

std::size_t size_of(const std::vector<Body>& bodies) {
    std::size_t bytes = 0;
    for (const Body& one : bodies) bytes += one->size();
    return bytes;
}

}   // namespace

Publisher::Publisher(const PublisherSettings& settings, const Log& log)
    : settings_(settings), log_(log), tokens_(settings.bytes_per_s * kBudgetBurst) {}

void Publisher::advance(double now, std::uint64_t committed, const Staging& staging) {
    const Staging before = staging_;
    const std::uint64_t had = committed_;
    committed_ = std::max(committed_, committed);
    staging_.merge(staging);
    if (staging_.cleared > before.cleared) cleared_.emplace_back(now, staging_.cleared);
    // Of those that are old enough the last one tells all.
    while (cleared_.size() > 1 && cleared_[1].first + settings_.behind_s <= now) cleared_.pop_front();
    if (staging_ != before || committed_ != had) push_at_ = std::min(push_at_, now + settings_.batch_s);
}

// A version that a child may have in force.
std::uint64_t Publisher::limit(const Child& child) const {
    if (child.hash >= staging_.canary_below) return staging_.cleared;
    return std::max(staging_.cleared, log_.whole_at_most(committed_, committed_));
}

void Publisher::receive(double now, const std::string& from, std::uint64_t process,
                        const Message& message) {
    std::visit([&](const auto& one) { on(now, from, process, one); }, message);
}

void Publisher::on(double now, const std::string& from, std::uint64_t process, const Pull& pull) {
    ++tally_.pulls;
    auto at = children_.find(from);
    if (pull.leaving) {
        if (at != children_.end() && at->second.process == process) children_.erase(at);
        Offer offer;
        offer.left = true;
        return send(from, body_of(offer));
    }
    if (at == children_.end()) {
        if (children_.size() >= settings_.children_most) forget(now, settings_.silence_s);
        if (children_.size() >= settings_.children_most) {
            ++tally_.turned_away;
            return;
        }
        at = children_.emplace(from, Child{}).first;
        at->second.hash = hash_of(from);
    }
    Child& child = at->second;
    const Standing standing{from, pull.in_force, pull.trouble};
    const bool canary = child.hash < staging_.canary_below;
    const bool moved = canary && (child.standing != standing || child.process != process);
    const bool refuses = pull.refused != 0 && (!child.refusal || child.refusal->number != pull.refused);
    const bool below =
        pull.subtree && (!child.subtree || child.subtree->canaries != pull.subtree->canaries ||
                         child.subtree->refusals != pull.subtree->refusals);
    if (moved || refuses || below) ++urgent_;
    child.process = process;
    child.heard_at = now;
    child.standing = standing;
    child.refusal.reset();
    if (pull.refused != 0) child.refusal = Refusal{pull.refused, from, pull.reason};
    child.subtree = pull.subtree;
    answer(now, from, child, pull);
}

void Publisher::answer(double now, const std::string& from, Child& child, const Pull& pull) {
    child.following = false;
    child.sent = pull.have.number;
    if (pull.have.number < log_.base().number) return offer_snapshot(now, from);
    // What is not committed here may be replaced yet: nothing can be said of it.
    if (pull.have.number <= committed_ && log_.knows(pull.have.number) && !log_.holds(pull.have)) {
        ++tally_.diverged;
        Offer offer;
        offer.diverged = true;
        return send(from, body_of(offer));
    }
    const std::uint64_t most = limit(child);
    const std::uint64_t end = std::min(most, committed_);
    child.following = true;
    if (pull.have.number >= end) return send(from, body_of(idle(most)));
    std::uint64_t reached = 0;
    const std::vector<Body> bodies = batches(child.sent, end, most, reached);
    if (!spend(now, size_of(bodies))) {
        child.following = false;
        return send(from, body_of(idle(most)));
    }
    for (const Body& body : bodies) send(from, body);
    child.sent = reached;
    child.following = reached == end;
}

Offer Publisher::idle(std::uint64_t most) const {
    Offer offer;
    offer.staging = staging_;
    offer.limit = most;
    return offer;
}

// Records after `from` up to `end`, as many as one answer may have; `reached`: the last one.
std::vector<Body> Publisher::batches(std::uint64_t from, std::uint64_t end, std::uint64_t most,
                                     std::uint64_t& reached) const {
    std::vector<Body> bodies;
    std::size_t bytes = 0;
    std::uint64_t at = from;
    while (at < end && bytes < settings_.window_bytes) {
        Offer offer = idle(most);
        offer.previous = log_.version(at);
        offer.records = batch(log_, at, end);
        at += offer.records.size();
        offer.more = at < end && bytes + kBodyAbout >= settings_.window_bytes;
        bodies.push_back(body_of(offer));
        bytes += kBodyAbout;
    }
    reached = at;
    return bodies;
}

void Publisher::push(double now) {
    push_at_ = 1e18;
    struct Batch {
        std::vector<Body> bodies;
        std::uint64_t reached = 0;
    };
    std::map<std::tuple<std::uint64_t, std::uint64_t>, Batch> made;   // by where from, and up to where
    for (auto& [name, child] : children_) {
        if (!child.following || now - child.heard_at > settings_.silence_s) continue;
        const std::uint64_t most = limit(child);
        const std::uint64_t end = std::min(most, committed_);
        if (child.sent >= end || child.sent < log_.base().number) continue;
        const auto [at, first] = made.try_emplace({child.sent, most});
        Batch& batch = at->second;
        if (first) {
            batch.bodies = batches(child.sent, end, most, batch.reached);
            tally_.encoded += batch.bodies.size();
        }
        if (!spend(now, size_of(batch.bodies))) {
            child.following = false;
            continue;
        }
        for (const Body& body : batch.bodies) send(name, body);
        tally_.pushes += batch.bodies.size();
        child.sent = batch.reached;
        child.following = batch.reached == end;
    }
}

std::shared_ptr<const Snapshot> Publisher::newest(double now) {
    const bool old = snapshots_.empty() || now - snapshots_.back().first >= settings_.snapshot_every_s;
    const std::uint64_t number = staging_.cleared;
    const bool known = number <= committed_ && log_.knows(number) && number > 0;
    const bool usable = !snapshots_.empty() && log_.knows(snapshots_.back().second->version().number);
    const bool same = usable && snapshots_.back().second->version().number == number;
    if ((usable && !old) || same || !known) return usable ? snapshots_.back().second : nullptr;
    const std::uint64_t term = number > log_.base().number ? log_.record(number).term : log_.base_term();
    snapshots_.emplace_back(
        now, std::make_shared<const Snapshot>(log_.version(number), term, log_.state_at(number)));
    ++tally_.snapshots;
    if (snapshots_.size() > kSnapshotsKept) snapshots_.pop_front();
    return snapshots_.back().second;
}

void Publisher::offer_snapshot(double now, const std::string& from) {
    const auto snapshot = newest(now);
    if (!snapshot || !spend(now, kBodyAbout)) return send(from, body_of(idle(0)));
    send(from, body_of(snapshot->part(0, staging_)));
}

void Publisher::on(double now, const std::string& from, std::uint64_t process, const PartPull& pull) {
    const auto at = children_.find(from);
    if (at == children_.end() || at->second.process != process) return;
    at->second.heard_at = now;
    const auto wanted = std::find_if(snapshots_.begin(), snapshots_.end(), [&](const auto& one) {
        return one.second->version() == pull.version;
    });
    if (wanted == snapshots_.end()) return offer_snapshot(now, from);
    const Snapshot& snapshot = *wanted->second;
    for (std::uint32_t i = 0; i < std::min(pull.count, SnapshotTaker::kWindow); ++i) {
        if (pull.from + i >= snapshot.parts() || !spend(now, kBodyAbout)) return;
        send(from, body_of(snapshot.part(pull.from + i, staging_)));
    }
}

bool Publisher::spend(double now, std::size_t bytes) {
    const double most = settings_.bytes_per_s * kBudgetBurst;
    tokens_ = std::min(most, tokens_ + (now - tokens_at_) * settings_.bytes_per_s);
    tokens_at_ = now;
    if (tokens_ < static_cast<double>(bytes)) {
        ++tally_.held_back;
        return false;
    }
    tokens_ -= static_cast<double>(bytes);
    return true;
}

bool Publisher::behind(double now, const Child& child) const {
    const auto lacks = [&](const auto& one) {
        return one.first + settings_.behind_s <= now && child.standing.in_force < one.second;
    };
    return std::any_of(cleared_.begin(), cleared_.end(), lacks);
}

Report Publisher::report(double now) const {
    Report all;
    for (const auto& [name, child] : children_) {
        if (now - child.heard_at > settings_.silence_s) {
            if (now - child.heard_at <= settings_.remember_s) add_silent(all, child.standing);
            continue;
        }
        add(all, child.standing, behind(now, child), child.refusal ? &*child.refusal : nullptr);
        if (child.subtree) add(all, *child.subtree);
    }
    return all;
}

void Publisher::forget(double now, double silent_s) {
    std::erase_if(children_, [&](const auto& one) { return now - one.second.heard_at > silent_s; });
}

void Publisher::on_timer(double now) {
    if (now >= push_at_) push(now);
    if (now < forget_at_) return;
    forget_at_ = now + kForgetEvery;
    forget(now, settings_.remember_s);
}

double Publisher::next_deadline() const { return std::min(push_at_, forget_at_); }

void Publisher::send(const std::string& to, Body body) {
    tally_.posts_bytes += body->size();
    posts_.push_back({to, std::move(body)});
}

}   // namespace slatejunction::rollout
