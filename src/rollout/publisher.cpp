#include "rollout/publisher.hpp"

#include <algorithm>
#include <tuple>

#include "rollout/batch.hpp"

namespace slatejunction::rollout {
namespace {

constexpr double kCleanupIntervalS = 60;
constexpr std::size_t kMaxSnapshots = 3;
constexpr std::size_t kTypicalBodyBytes = 1000;   // of a full message, to estimate sizes
constexpr double kTokenBucketDepthS = 1;          // tokens of this many seconds may be spent at once

std::size_t size_of(const std::vector<Body>& bodies) {
    std::size_t bytes = 0;
    for (const Body& body : bodies) bytes += body->size();
    return bytes;
}

}   // namespace

Publisher::Publisher(const PublisherSettings& settings, const Log& log)
    : settings_(settings), log_(log), tokens_(settings.bytes_per_s * kTokenBucketDepthS) {}

void Publisher::advance(double now, std::uint64_t committed, const Staging& staging) {
    const Staging before = staging_;
    const std::uint64_t index_before = commit_index_;
    commit_index_ = std::max(commit_index_, committed);
    staging_.merge(staging);
    if (staging_.cleared > before.cleared) clearances_.emplace_back(now, staging_.cleared);
    // Of the clearances older than behind_s only the latest matters.
    while (clearances_.size() > 1 && clearances_[1].first + settings_.behind_s <= now)
        clearances_.pop_front();
    if (staging_ != before || commit_index_ != index_before)
        push_at_ = std::min(push_at_, now + settings_.batch_s);
}

// The highest number that the child may activate: for canaries the highest consistent number up to the
// commit index, for other children the cleared number.
std::uint64_t Publisher::activation_limit(const Child& child) const {
    if (child.hash >= staging_.canary_below) return staging_.cleared;
    return std::max(staging_.cleared, log_.highest_consistent(commit_index_, commit_index_));
}

void Publisher::receive(double now, const std::string& from, std::uint64_t process,
                        const Message& message) {
    std::visit([&](const auto& typed) { handle(now, from, process, typed); }, message);
}

void Publisher::handle(double now, const std::string& from, std::uint64_t process, const Pull& pull) {
    ++counts_.pulls;
    auto at = children_.find(from);
    if (pull.leaving) {
        if (at != children_.end() && at->second.process == process) children_.erase(at);
        Announcement announcement;
        announcement.leave_acknowledged = true;
        return send(from, body_of(announcement));
    }
    if (at == children_.end()) {
        if (children_.size() >= settings_.max_children) remove_silent(now, settings_.child_timeout_s);
        if (children_.size() >= settings_.max_children) {
            ++counts_.rejected_pulls;
            return;
        }
        at = children_.emplace(from, Child{}).first;
        at->second.hash = hash_of(from);
    }
    Child& child = at->second;
    const FollowerStatus status{from, pull.active, pull.fault};
    const bool canary = child.hash < staging_.canary_below;
    const bool canary_changed = canary && (child.status != status || child.process != process);
    const bool refuses = pull.refused != 0 && (!child.refusal || child.refusal->number != pull.refused);
    const bool subtree_changed =
        pull.subtree && (!child.subtree || child.subtree->canaries != pull.subtree->canaries ||
                         child.subtree->refusals != pull.subtree->refusals);
    if (canary_changed || refuses || subtree_changed) ++urgent_changes_;
    child.process = process;
    child.last_contact_at = now;
    child.status = status;
    child.refusal.reset();
    if (pull.refused != 0) child.refusal = Refusal{pull.refused, from, pull.reason};
    child.subtree = pull.subtree;
    answer_pull(now, from, child, pull);
}

void Publisher::answer_pull(double now, const std::string& from, Child& child, const Pull& pull) {
    child.following = false;
    child.last_sent = pull.have.number;
    if (pull.have.number < log_.base().number) return announce_snapshot(now, from);
    // A record above the commit index may still be replaced, so that a mismatch there is no divergence.
    if (pull.have.number <= commit_index_ && log_.contains_number(pull.have.number) &&
        !log_.contains(pull.have)) {
        ++counts_.diverged;
        Announcement announcement;
        announcement.diverged = true;
        return send(from, body_of(announcement));
    }
    const std::uint64_t limit = activation_limit(child);
    const std::uint64_t end = std::min(limit, commit_index_);
    child.following = true;
    if (pull.have.number >= end) return send(from, body_of(empty_announcement(limit)));
    std::uint64_t reached = 0;
    const std::vector<Body> bodies = encode_batches(child.last_sent, end, limit, reached);
    if (!consume_tokens(now, size_of(bodies))) {
        child.following = false;
        return send(from, body_of(empty_announcement(limit)));
    }
    for (const Body& body : bodies) send(from, body);
    child.last_sent = reached;
    child.following = reached == end;
}

Announcement Publisher::empty_announcement(std::uint64_t limit) const {
    Announcement announcement;
    announcement.staging = staging_;
    announcement.activation_limit = limit;
    return announcement;
}

// Encodes announcements with the records after `from` up to `end`, within window_bytes, and the activation
// limit `limit`. Sets `reached` to the number of the last record.
std::vector<Body> Publisher::encode_batches(std::uint64_t from, std::uint64_t end, std::uint64_t limit,
                                            std::uint64_t& reached) const {
    std::vector<Body> bodies;
    std::size_t bytes = 0;
    std::uint64_t at = from;
    while (at < end && bytes < settings_.window_bytes) {
        Announcement announcement = empty_announcement(limit);
        announcement.previous = log_.version(at);
        announcement.records = next_batch(log_, at, end);
        at += announcement.records.size();
        announcement.more = at < end && bytes + kTypicalBodyBytes >= settings_.window_bytes;
        bodies.push_back(body_of(announcement));
        bytes += kTypicalBodyBytes;
    }
    reached = at;
    return bodies;
}

void Publisher::push_batches(double now) {
    push_at_ = kNever;
    struct Batch {
        std::vector<Body> bodies;
        std::uint64_t reached = 0;
    };
    // By last_sent and activation limit.
    std::map<std::tuple<std::uint64_t, std::uint64_t>, Batch> batches;
    for (auto& [name, child] : children_) {
        if (!child.following || now - child.last_contact_at > settings_.child_timeout_s) continue;
        const std::uint64_t limit = activation_limit(child);
        const std::uint64_t end = std::min(limit, commit_index_);
        if (child.last_sent >= end || child.last_sent < log_.base().number) continue;
        const auto [found, first] = batches.try_emplace({child.last_sent, limit});
        Batch& batch = found->second;
        if (first) {
            batch.bodies = encode_batches(child.last_sent, end, limit, batch.reached);
            counts_.batches_encoded += batch.bodies.size();
        }
        if (!consume_tokens(now, size_of(batch.bodies))) {
            child.following = false;
            continue;
        }
        for (const Body& body : batch.bodies) send(name, body);
        counts_.pushes += batch.bodies.size();
        child.last_sent = batch.reached;
        child.following = batch.reached == end;
    }
}

std::shared_ptr<const Snapshot> Publisher::newest_snapshot(double now) {
    const bool expired =
        snapshots_.empty() || now - snapshots_.back().first >= settings_.snapshot_interval_s;
    const std::uint64_t number = staging_.cleared;
    const bool known = number <= commit_index_ && log_.contains_number(number) && number > 0;
    const bool usable =
        !snapshots_.empty() && log_.contains_number(snapshots_.back().second->version().number);
    const bool same = usable && snapshots_.back().second->version().number == number;
    if ((usable && !expired) || same || !known) return usable ? snapshots_.back().second : nullptr;
    const std::uint64_t term = number > log_.base().number ? log_.record(number).term : log_.base_term();
    snapshots_.emplace_back(
        now, std::make_shared<const Snapshot>(log_.version(number), term, log_.state_at(number)));
    ++counts_.snapshots;
    if (snapshots_.size() > kMaxSnapshots) snapshots_.pop_front();
    return snapshots_.back().second;
}

void Publisher::announce_snapshot(double now, const std::string& from) {
    const auto snapshot = newest_snapshot(now);
    if (!snapshot || !consume_tokens(now, kTypicalBodyBytes))
        return send(from, body_of(empty_announcement(0)));
    send(from, body_of(snapshot->part(0, staging_)));
}

void Publisher::handle(double now, const std::string& from, std::uint64_t process,
                       const SnapshotPartRequest& request) {
    const auto at = children_.find(from);
    if (at == children_.end() || at->second.process != process) return;
    at->second.last_contact_at = now;
    const auto found = std::find_if(snapshots_.begin(), snapshots_.end(), [&](const auto& created) {
        return created.second->version() == request.version;
    });
    if (found == snapshots_.end()) return announce_snapshot(now, from);
    const Snapshot& snapshot = *found->second;
    for (std::uint32_t i = 0; i < std::min(request.count, SnapshotReceiver::kWindowParts); ++i) {
        if (request.from + i >= snapshot.parts() || !consume_tokens(now, kTypicalBodyBytes)) return;
        send(from, body_of(snapshot.part(request.from + i, staging_)));
    }
}

bool Publisher::consume_tokens(double now, std::size_t bytes) {
    const double capacity = settings_.bytes_per_s * kTokenBucketDepthS;
    tokens_ = std::min(capacity, tokens_ + (now - tokens_refilled_at_) * settings_.bytes_per_s);
    tokens_refilled_at_ = now;
    if (tokens_ < static_cast<double>(bytes)) {
        ++counts_.throttled;
        return false;
    }
    tokens_ -= static_cast<double>(bytes);
    return true;
}

bool Publisher::behind(double now, const Child& child) const {
    const auto lacks = [&](const auto& clearance) {
        return clearance.first + settings_.behind_s <= now && child.status.active < clearance.second;
    };
    return std::any_of(clearances_.begin(), clearances_.end(), lacks);
}

Report Publisher::report(double now) const {
    Report total;
    for (const auto& [name, child] : children_) {
        if (now - child.last_contact_at > settings_.child_timeout_s) {
            if (now - child.last_contact_at <= settings_.child_retention_s) add_silent(total, child.status);
            continue;
        }
        add(total, child.status, behind(now, child), child.refusal ? &*child.refusal : nullptr);
        if (child.subtree) add(total, *child.subtree);
    }
    return total;
}

void Publisher::remove_silent(double now, double silent_s) {
    std::erase_if(children_,
                  [&](const auto& child) { return now - child.second.last_contact_at > silent_s; });
}

void Publisher::on_timer(double now) {
    if (now >= push_at_) push_batches(now);
    if (now < cleanup_at_) return;
    cleanup_at_ = now + kCleanupIntervalS;
    remove_silent(now, settings_.child_retention_s);
}

double Publisher::next_deadline() const { return std::min(push_at_, cleanup_at_); }

void Publisher::send(const std::string& to, Body body) {
    counts_.sent_bytes += body->size();
    outgoing_.push_back({to, std::move(body)});
}

}   // namespace slatejunction::rollout
