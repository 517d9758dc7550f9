#include "rollout/follower.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kEarlyMost = 64;       // offers kept that came before what they follow
constexpr double kLeaveEvery = 10;           // s between tries to tell a parent that it was left
constexpr unsigned kLeavesMost = 360;        // tries
constexpr double kGapWait = 0.2;             // s between pulls for the sake of gaps
constexpr double kWholeRefusedWait = 30;     // s, until a snapshot is taken again after one was refused
constexpr std::size_t kSubtreeBytes = 600;   // of a report in a pull
constexpr double kMoveSpread = 0.2;          // s, over which pulls to the next parent are spread
constexpr unsigned kBackOffDoublings = 6;

}   // namespace

std::vector<std::string> parent_order(const FollowerSettings& settings) {
    struct Ranked {
        bool other_region;
        std::uint64_t hash;
        std::string name;
        bool operator<(const Ranked& than) const {
            return std::tie(other_region, hash, name) < std::tie(than.other_region, than.hash, than.name);
        }
    };
    std::vector<Ranked> ranked;
    for (const Parent& one : settings.parents)
        ranked.push_back(
            {one.region != settings.region, hash_of(settings.name + "\n" + one.name), one.name});
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    for (const Ranked& one : ranked) names.push_back(one.name);
    return names;
}

Follower::Follower(const FollowerSettings& settings, FollowerStored stored, FollowerStorage& home,
                   Check check, std::uint64_t seed)
    : settings_(settings),
      home_(home),
      check_(std::move(check)),
      random_(seed),
      order_(parent_order(settings)),
      log_(std::move(stored.log)),
      state_(log_.state_at(log_.last().number)),
      in_force_(log_.last()),
      limit_(in_force_.number) {
    log_.trim(settings_.records_kept, settings_.bytes_kept, in_force_.number);
}

double Follower::drawn(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
}
double Follower::jittered(double s) { return s * drawn(1 - settings_.jitter, 1 + settings_.jitter); }

void Follower::start(double now) { pull_at_ = now + drawn(0, settings_.first_s); }

FollowerFault Follower::fault() const {
    if (diverged_) return FollowerFault::diverged;
    if (disk_failed_) return FollowerFault::disk;
    return refused_ != 0 || whole_refused_ ? FollowerFault::refused : FollowerFault::none;
}

// --- asking

Pull Follower::what_to_say() const {
    Pull pull;
    pull.name = settings_.name;
    pull.have = log_.last();
    pull.in_force = in_force_.number;
    pull.refused = refused_;
    pull.trouble = fault();
    if (pull.trouble == FollowerFault::refused) pull.reason = reason_.substr(0, kReasonMost);
    if (subtree_) {
        pull.subtree = subtree_;
        fit(*pull.subtree, kSubtreeBytes);
    }
    return pull;
}

void Follower::pull(double now) {
    ++tally_.pulls;
    posts_.push_back({parent(), body_of(what_to_say())});
    asked_at_ = now;
    if (unanswered_++ == 0) move_at_ = now + settings_.move_s;
    pull_at_ = now + jittered(settings_.retry_s * std::pow(1.5, unanswered_ - 1));
}

void Follower::report_now(double now) { pull_at(now); }

// Something came from it.
void Follower::heard(double now, const std::string& from) {
    heard_at_ = now;
    if (at_ != 0 && from == order_.front()) settle_at(now, 0);
    if (from != parent()) return;
    silent_ = 0;
    move_at_ = 1e18;
    if (unanswered_ == 0) return;
    unanswered_ = 0;
    pull_at_ = std::max(now, asked_at_ + jittered(settings_.pull_s));
}

void Follower::settle_at(double now, std::size_t next) {
    leaving_[parent()] = {now, 0};
    leave_at_ = now;
    at_ = next;
    leaving_.erase(parent());
    unanswered_ = 0;
    move_at_ = 1e18;
    home_at_ = at_ == 0 ? 1e18 : now + jittered(settings_.home_s);
}

// The parent is silent: the next one. Where all are, longer and longer waits, drawn by each on its own.
void Follower::move(double now) {
    ++tally_.moves;
    ++silent_;
    const std::size_t rounds = silent_ / order_.size();
    if (order_.size() > 1)
        settle_at(now, (at_ + 1) % order_.size());
    else
        unanswered_ = 0;
    move_at_ = 1e18;
    if (rounds == 0) {
        pull_at_ = now + drawn(0, kMoveSpread);
        return;
    }
    const double most = std::pow(2.0, std::min<std::size_t>(rounds, kBackOffDoublings)) * settings_.pull_s;
    pull_at_ = now + drawn(0, std::min(settings_.back_off_s, most));
}

void Follower::leave(double now) {
    leave_at_ = 1e18;
    for (auto at = leaving_.begin(); at != leaving_.end();) {
        auto& [name, leaving] = *at;
        if (now >= leaving.at) {
            if (++leaving.tries > kLeavesMost) {
                at = leaving_.erase(at);
                continue;
            }
            Pull pull = what_to_say();
            pull.subtree.reset();
            pull.leaving = true;
            posts_.push_back({name, body_of(pull)});
            leaving.at = now + jittered(kLeaveEvery);
        }
        leave_at_ = std::min(leave_at_, leaving.at);
        ++at;
    }
}

// --- taking

void Follower::receive(double now, const std::string& from, const Message& message) {
    if (std::find(order_.begin(), order_.end(), from) == order_.end()) return;
    std::visit([&](const auto& one) { on(now, from, one); }, message);
}

void Follower::on(double now, const std::string& from, const Offer& offer) {
    if (offer.left) {
        leaving_.erase(from);
        return;
    }
    heard(now, from);
    staging_.merge(offer.staging);
    limit_ = std::max(limit_, offer.limit);
    if (offer.diverged) {
        diverged_ = true;
        return;
    }
    const bool gap = !offer.records.empty() && offer.previous.number > log_.last().number;
    if (gap) {
        ++tally_.gaps;
        if (early_.size() < kEarlyMost) early_.insert_or_assign(offer.previous.number, offer);
    } else if (!take(offer)) {
        diverged_ = true;
    } else if (from == parent()) {
        diverged_ = false;
    }
    take_early();
    const bool more = offer.more && offer.previous.number + offer.records.size() == log_.last().number;
    const bool lacks = offer.previous.number > log_.last().number && gap;
    if (more) pull_at(now);
    if (lacks) pull_at(std::max(now, asked_at_ + kGapWait));
    prepare(now);
}

bool Follower::full() const { return log_.last().number - in_force_.number >= settings_.held_most; }

// Takes what follows the last record held. False: it is of another sequence, and nothing is taken.
bool Follower::take(const Offer& offer) {
    if (offer.records.empty()) return true;
    Version version = offer.previous;
    const auto other = [&] { return log_.knows(version.number) && !log_.holds(version); };
    if (other()) return false;
    for (const Record& one : offer.records) {
        const bool next = log_.last() == version;
        if (next && (full() || one.term < log_.last_term())) return full();
        if (next && !log_.push(one)) return false;
        tally_.records += next;
        version = after(version, one);
        if (other()) return false;
    }
    return true;
}

void Follower::take_early() {
    while (!early_.empty() && early_.begin()->first <= log_.last().number) {
        if (!take(early_.begin()->second)) diverged_ = true;
        early_.erase(early_.begin());
    }
}

void Follower::on(double now, const std::string& from, const SnapshotPart& part) {
    heard(now, from);
    staging_.merge(part.staging);
    if (part.version.number <= log_.last().number || now < whole_after_) return;
    taking_from_ = from;
    taker_.receive(now, part);
    if (const auto ask = taker_.ask(now)) posts_.push_back({from, body_of(*ask)});
    take_whole(now);
}

// --- putting in force

// The version to go to now; the one in force: none.
std::uint64_t Follower::next_target() {
    const std::uint64_t have = log_.last().number;
    if (target_ <= in_force_.number) target_ = limit_;
    std::uint64_t top = have;
    if (have >= limit_)
        top = std::max(limit_, in_force_.number);
    else if (have >= target_)
        top = target_;
    else if (have - in_force_.number < settings_.held_most / 2)
        return in_force_.number;
    return std::max(in_force_.number, log_.whole_at_most(top, have));
}

void Follower::prepare(double now) {
    prepare_at_ = 1e18;
    const std::uint64_t top = next_target();
    if (top <= in_force_.number) return;
    // Nothing has come since it was refused.
    if (refused_ != 0 && refused_with_ == log_.last().number) return;
    const double wait = disk_failed_ ? settings_.disk_retry_s : settings_.prepare_s;
    if (now < prepared_at_ + wait) {
        prepare_at_ = prepared_at_ + wait;
        return;
    }
    prepared_at_ = now;
    put_best(now, top);
}

// The highest version that can be used: this one, or, where it can't, the last one before a change that
// can't be; that is refused.
void Follower::put_best(double now, std::uint64_t top) {
    std::string why;
    const std::uint64_t held = log_.last().number;
    const Put done = put(now, top, why);
    if (done == Put::disk) prepare_at_ = now + settings_.disk_retry_s;
    if (done != Put::refused) return;
    const bool known =
        refused_at_ > in_force_.number && log_.whole_at_most(refused_at_, held) == refused_at_;
    refused_with_ = held;
    if (known) return;
    std::vector<std::uint64_t> stops;   // whole versions
    for (std::uint64_t number = in_force_.number + 1; number <= top; ++number)
        if (log_.whole_at_most(number, held) == number) stops.push_back(number);
    // stops[bad] can't be used, and what is before stops[good] can.
    std::size_t good = 0, bad = stops.size() - 1;
    std::uint64_t best = 0;
    while (good < bad) {
        const std::size_t middle = (good + bad) / 2;
        Changes changes = changes_to(stops[middle]);
        const std::string fault = try_changes(changes);
        exchange(state_, changes);
        if (fault.empty()) {
            best = stops[middle];
            good = middle + 1;
        } else {
            why = fault;
            bad = middle;
        }
    }
    std::string unused;
    if (best != 0 && put(now, best, unused) == Put::disk) {
        prepare_at_ = now + settings_.disk_retry_s;
        return;
    }
    refused_at_ = stops[bad];
    refused_ = blame(refused_at_, why);
    refused_with_ = held;
    prepare_at_ = 1e18;
    reason_ = why;
    ++tally_.refusals;
    pull_at(now);
}

// The change that makes this whole version, the first after the one in force, unusable. A version that ends
// a reverted stretch brings with it all changes of the stretch that still count: a revert is never to blame
// where one of those is, as only a change can be reverted.
std::uint64_t Follower::blame(std::uint64_t number, std::string& why) {
    if (log_.record(number).reverts == 0) return number;
    std::map<std::string, std::uint64_t> latest;   // by key: the last change that counts
    for (std::uint64_t at = in_force_.number + 1; at < number; ++at) {
        const Record& one = log_.record(at);
        const std::uint64_t by = log_.reverted_by(at);
        const bool counts = one.kind != Kind::none && one.reverts == 0 && (by == 0 || by > number);
        if (counts) latest[one.key] = at;
    }
    std::set<std::uint64_t> suspects;
    for (const auto& [key, at] : latest) suspects.insert(at);
    Changes taken;
    for (const std::uint64_t at : suspects) {
        const Record& one = log_.record(at);
        taken[one.key] = one.kind == Kind::put ? std::optional(one.value) : std::nullopt;
        Changes changes = taken;
        const std::string fault = try_changes(changes);
        exchange(state_, changes);
        if (fault.empty()) continue;
        why = fault;
        return at;
    }
    return number;
}

Changes Follower::changes_to(std::uint64_t number) const {
    Changes changes;
    for (std::uint64_t at = in_force_.number + 1; at <= number; ++at) {
        const Record& one = log_.record(at);
        if (one.kind == Kind::put) changes[one.key] = one.value;
        if (one.kind == Kind::erase) changes[one.key].reset();
    }
    std::erase_if(changes, [&](const auto& change) {
        const auto old = state_.find(change.first);
        return old == state_.end() ? !change.second : change.second && *change.second == old->second;
    });
    return changes;
}

// Makes the changes, and leaves in them what undoes them. Empty: the consumer can use the state.
std::string Follower::try_changes(Changes& changes) {
    ++tally_.checks;
    const Changes made = changes;
    exchange(state_, changes);
    return made.empty() ? std::string() : check_(state_, made);
}

Follower::Put Follower::put(double now, std::uint64_t number, std::string& why) {
    Changes changes = changes_to(number);
    Changes undo = changes;
    why = try_changes(undo);
    if (!why.empty()) {
        exchange(state_, undo);
        return Put::refused;
    }
    std::vector<Record> records;
    for (std::uint64_t at = in_force_.number + 1; at <= number; ++at) records.push_back(log_.record(at));
    disk_failed_ = !home_.append(records);
    if (disk_failed_) {
        ++tally_.disk_failures;
        exchange(state_, undo);
        pull_at(now);
        return Put::disk;
    }
    since_compact_ += records.size();
    enter(now, log_.version(number), std::move(changes));
    return Put::in_force;
}

void Follower::enter(double now, const Version& version, Changes changes) {
    in_force_ = version;
    ++tally_.versions;
    in_force_events_.push_back({version, std::move(changes)});
    log_.trim(settings_.records_kept, settings_.bytes_kept, version.number);
    refused_ = refused_at_ = refused_with_ = 0;
    whole_refused_ = false;
    if (since_compact_ >= settings_.compact_after) compact();
    // What a canary has in force is waited for.
    if (staging_.canary(settings_.name)) pull_at(now);
    if (next_target() > in_force_.number) prepare_at_ = now + settings_.prepare_s;
}

void Follower::compact() {
    // What it replaces stands if this fails, and it is tried again later.
    since_compact_ = 0;
    Log whole = log_;
    whole.truncate(in_force_.number);
    home_.replace(whole);
}

void Follower::take_whole(double now) {
    tally_.broken_snapshots = taker_.broken();
    auto whole = taker_.take();
    if (!whole || whole->version.number <= log_.last().number) return;
    Changes changes;
    for (const auto& [key, value] : state_)
        if (!whole->state.contains(key)) changes[key].reset();
    for (const auto& [key, value] : whole->state) {
        const auto old = state_.find(key);
        if (old == state_.end() || old->second != value) changes[key] = value;
    }
    Changes undo = changes;
    const std::string why = try_changes(undo);
    Log log(whole->version, whole->term, std::move(whole->state));
    if (!why.empty()) {
        exchange(state_, undo);
        whole_refused_ = true;
        reason_ = why;
        ++tally_.snapshots_refused;
        whole_after_ = now + kWholeRefusedWait;
        pull_at(now);
        return;
    }
    disk_failed_ = !home_.replace(log);
    if (disk_failed_) {
        ++tally_.disk_failures;
        exchange(state_, undo);
        whole_after_ = now + settings_.disk_retry_s;
        pull_at(now);
        return;
    }
    ++tally_.snapshots;
    log_ = std::move(log);
    early_.clear();
    since_compact_ = 0;
    limit_ = std::max(limit_, log_.last().number);
    enter(now, log_.last(), std::move(changes));
    pull_at(now);
}

void Follower::recheck(double now) {
    refused_with_ = 0;
    whole_after_ = -1e18;
    prepare(now);
}

// --- time

void Follower::on_timer(double now) {
    if (now >= prepare_at_) prepare(now);
    if (const auto ask = taker_.ask(now)) posts_.push_back({taking_from_, body_of(*ask)});
    if (now >= leave_at_) leave(now);
    if (now >= home_at_) {
        home_at_ = now + jittered(settings_.home_s);
        posts_.push_back({order_.front(), body_of(what_to_say())});
    }
    if (now >= move_at_) return move(now);
    if (now >= pull_at_) pull(now);
}

double Follower::next_deadline() const {
    return std::min({pull_at_, move_at_, prepare_at_, leave_at_, home_at_, taker_.due()});
}

}   // namespace slatejunction::rollout
