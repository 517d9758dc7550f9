#include "rollout/follower.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kMaxEarlyOffers = 64;     // offers kept that came before what they follow
constexpr double kLeaveNoticeIntervalS = 10;    // s between tries to tell a parent that it was left
constexpr unsigned kMaxLeaveNotices = 360;      // tries
constexpr double kGapPullIntervalS = 0.2;       // s between pulls for the sake of gaps
constexpr double kRefusedSnapshotRetryS = 30;   // s, until a snapshot is taken again after one was refused
constexpr std::size_t kMaxSubtreeReportBytes = 600;   // of a report in a pull
constexpr double kParentSwitchSpreadS = 0.2;          // s, over which pulls to the next parent are spread
constexpr unsigned kMaxBackoffDoublings = 6;

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
                   Validator check, std::uint64_t seed)
    : settings_(settings),
      storage_(home),
      validator_(std::move(check)),
      random_(seed),
      parents_(parent_order(settings)),
      log_(std::move(stored.log)),
      state_(log_.state_at(log_.last().number)),
      active_version_(log_.last()),
      activation_limit_(active_version_.number) {
    log_.trim(settings_.max_log_records, settings_.max_log_bytes, active_version_.number);
}

double Follower::uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
}
double Follower::jittered(double s) {
    return s * uniform(1 - settings_.jitter_fraction, 1 + settings_.jitter_fraction);
}

void Follower::start(double now) { next_pull_at_ = now + uniform(0, settings_.first_pull_spread_s); }

FollowerFault Follower::fault() const {
    if (diverged_) return FollowerFault::diverged;
    if (disk_failed_) return FollowerFault::disk;
    return refused_number_ != 0 || snapshot_refused_ ? FollowerFault::refused : FollowerFault::none;
}

// --- asking

Pull Follower::make_pull() const {
    Pull pull;
    pull.name = settings_.name;
    pull.have = log_.last();
    pull.active = active_version_.number;
    pull.refused = refused_number_;
    pull.fault = fault();
    if (pull.fault == FollowerFault::refused) pull.reason = refusal_reason_.substr(0, kMaxReasonBytes);
    if (subtree_report_) {
        pull.subtree = subtree_report_;
        shrink_to(*pull.subtree, kMaxSubtreeReportBytes);
    }
    return pull;
}

void Follower::send_pull(double now) {
    ++counts_.pulls;
    outgoing_.push_back({parent(), body_of(make_pull())});
    last_pull_at_ = now;
    if (unanswered_pulls_++ == 0) parent_timeout_at_ = now + settings_.parent_timeout_s;
    next_pull_at_ = now + jittered(settings_.retry_interval_s * std::pow(1.5, unanswered_pulls_ - 1));
}

void Follower::report_now(double now) { schedule_pull(now); }

// Something came from it.
void Follower::on_parent_contact(double now, const std::string& from) {
    last_contact_at_ = now;
    if (parent_index_ != 0 && from == parents_.front()) switch_parent(now, 0);
    if (from != parent()) return;
    silent_parents_ = 0;
    parent_timeout_at_ = 1e18;
    if (unanswered_pulls_ == 0) return;
    unanswered_pulls_ = 0;
    next_pull_at_ = std::max(now, last_pull_at_ + jittered(settings_.pull_interval_s));
}

void Follower::switch_parent(double now, std::size_t next) {
    leave_notices_[parent()] = {now, 0};
    leave_notice_at_ = now;
    parent_index_ = next;
    leave_notices_.erase(parent());
    unanswered_pulls_ = 0;
    parent_timeout_at_ = 1e18;
    preferred_retry_at_ = parent_index_ == 0 ? 1e18 : now + jittered(settings_.preferred_retry_s);
}

// The parent is silent: the next one. Where all are, longer and longer waits, drawn by each on its own.
void Follower::switch_to_next_parent(double now) {
    ++counts_.parent_switches;
    ++silent_parents_;
    const std::size_t rounds = silent_parents_ / parents_.size();
    if (parents_.size() > 1)
        switch_parent(now, (parent_index_ + 1) % parents_.size());
    else
        unanswered_pulls_ = 0;
    parent_timeout_at_ = 1e18;
    if (rounds == 0) {
        next_pull_at_ = now + uniform(0, kParentSwitchSpreadS);
        return;
    }
    const double most =
        std::pow(2.0, std::min<std::size_t>(rounds, kMaxBackoffDoublings)) * settings_.pull_interval_s;
    next_pull_at_ = now + uniform(0, std::min(settings_.max_backoff_s, most));
}

void Follower::send_leave_notices(double now) {
    leave_notice_at_ = 1e18;
    for (auto at = leave_notices_.begin(); at != leave_notices_.end();) {
        auto& [name, leaving] = *at;
        if (now >= leaving.next_send_at) {
            if (++leaving.attempts > kMaxLeaveNotices) {
                at = leave_notices_.erase(at);
                continue;
            }
            Pull pull = make_pull();
            pull.subtree.reset();
            pull.leaving = true;
            outgoing_.push_back({name, body_of(pull)});
            leaving.next_send_at = now + jittered(kLeaveNoticeIntervalS);
        }
        leave_notice_at_ = std::min(leave_notice_at_, leaving.next_send_at);
        ++at;
    }
}

// --- taking

void Follower::receive(double now, const std::string& from, const Message& message) {
    if (std::find(parents_.begin(), parents_.end(), from) == parents_.end()) return;
    std::visit([&](const auto& one) { handle(now, from, one); }, message);
}

void Follower::handle(double now, const std::string& from, const Offer& offer) {
    if (offer.leave_acknowledged) {
        leave_notices_.erase(from);
        return;
    }
    on_parent_contact(now, from);
    staging_.merge(offer.staging);
    activation_limit_ = std::max(activation_limit_, offer.activation_limit);
    if (offer.diverged) {
        diverged_ = true;
        return;
    }
    const bool gap = !offer.records.empty() && offer.previous.number > log_.last().number;
    if (gap) {
        ++counts_.gaps;
        if (early_offers_.size() < kMaxEarlyOffers)
            early_offers_.insert_or_assign(offer.previous.number, offer);
    } else if (!accept_records(offer)) {
        diverged_ = true;
    } else if (from == parent()) {
        diverged_ = false;
    }
    accept_early_offers();
    const bool more = offer.more && offer.previous.number + offer.records.size() == log_.last().number;
    const bool lacks = offer.previous.number > log_.last().number && gap;
    if (more) schedule_pull(now);
    if (lacks) schedule_pull(std::max(now, last_pull_at_ + kGapPullIntervalS));
    try_activate(now);
}

bool Follower::pending_full() const {
    return log_.last().number - active_version_.number >= settings_.max_pending_records;
}

// Takes what follows the last record held. False: it is of another sequence, and nothing is taken.
bool Follower::accept_records(const Offer& offer) {
    if (offer.records.empty()) return true;
    Version version = offer.previous;
    const auto other = [&] { return log_.contains_number(version.number) && !log_.contains(version); };
    if (other()) return false;
    for (const Record& one : offer.records) {
        const bool next = log_.last() == version;
        if (next && (pending_full() || one.term < log_.last_term())) return pending_full();
        if (next && !log_.push(one)) return false;
        counts_.records += next;
        version = after(version, one);
        if (other()) return false;
    }
    return true;
}

void Follower::accept_early_offers() {
    while (!early_offers_.empty() && early_offers_.begin()->first <= log_.last().number) {
        if (!accept_records(early_offers_.begin()->second)) diverged_ = true;
        early_offers_.erase(early_offers_.begin());
    }
}

void Follower::handle(double now, const std::string& from, const SnapshotPart& part) {
    on_parent_contact(now, from);
    staging_.merge(part.staging);
    if (part.version.number <= log_.last().number || now < snapshot_not_before_) return;
    snapshot_sender_ = from;
    snapshot_receiver_.receive(now, part);
    if (const auto ask = snapshot_receiver_.next_request(now)) outgoing_.push_back({from, body_of(*ask)});
    install_snapshot(now);
}

// --- putting in force

// The version to go to now; the one in force: none.
std::uint64_t Follower::next_target() {
    const std::uint64_t have = log_.last().number;
    if (target_number_ <= active_version_.number) target_number_ = activation_limit_;
    std::uint64_t top = have;
    if (have >= activation_limit_)
        top = std::max(activation_limit_, active_version_.number);
    else if (have >= target_number_)
        top = target_number_;
    else if (have - active_version_.number < settings_.max_pending_records / 2)
        return active_version_.number;
    return std::max(active_version_.number, log_.highest_consistent(top, have));
}

void Follower::try_activate(double now) {
    activation_at_ = 1e18;
    const std::uint64_t top = next_target();
    if (top <= active_version_.number) return;
    // Nothing has come since it was refused.
    if (refused_number_ != 0 && refused_at_log_end_ == log_.last().number) return;
    const double wait = disk_failed_ ? settings_.disk_retry_s : settings_.activation_interval_s;
    if (now < last_activation_at_ + wait) {
        activation_at_ = last_activation_at_ + wait;
        return;
    }
    last_activation_at_ = now;
    activate_highest_valid(now, top);
}

// The highest version that can be used: this one, or, where it can't, the last one before a change that
// can't be; that is refused.
void Follower::activate_highest_valid(double now, std::uint64_t top) {
    std::string why;
    const std::uint64_t held = log_.last().number;
    const ActivationResult done = activate(now, top, why);
    if (done == ActivationResult::disk_failed) activation_at_ = now + settings_.disk_retry_s;
    if (done != ActivationResult::refused) return;
    const bool known = refused_version_ > active_version_.number &&
                       log_.highest_consistent(refused_version_, held) == refused_version_;
    refused_at_log_end_ = held;
    if (known) return;
    std::vector<std::uint64_t> stops;   // whole versions
    for (std::uint64_t number = active_version_.number + 1; number <= top; ++number)
        if (log_.highest_consistent(number, held) == number) stops.push_back(number);
    // stops[bad] can't be used, and what is before stops[good] can.
    std::size_t good = 0, bad = stops.size() - 1;
    std::uint64_t best = 0;
    while (good < bad) {
        const std::size_t middle = (good + bad) / 2;
        Changes changes = changes_up_to(stops[middle]);
        const std::string fault = apply_and_validate(changes);
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
    if (best != 0 && activate(now, best, unused) == ActivationResult::disk_failed) {
        activation_at_ = now + settings_.disk_retry_s;
        return;
    }
    refused_version_ = stops[bad];
    refused_number_ = find_faulty_change(refused_version_, why);
    refused_at_log_end_ = held;
    activation_at_ = 1e18;
    refusal_reason_ = why;
    ++counts_.refusals;
    schedule_pull(now);
}

// The change that makes this whole version, the first after the one in force, unusable. A version that ends
// a reverted stretch brings with it all changes of the stretch that still count: a revert is never to blame
// where one of those is, as only a change can be reverted.
std::uint64_t Follower::find_faulty_change(std::uint64_t number, std::string& why) {
    if (log_.record(number).reverts == 0) return number;
    std::map<std::string, std::uint64_t> latest;   // by key: the last change that counts
    for (std::uint64_t at = active_version_.number + 1; at < number; ++at) {
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
        const std::string fault = apply_and_validate(changes);
        exchange(state_, changes);
        if (fault.empty()) continue;
        why = fault;
        return at;
    }
    return number;
}

Changes Follower::changes_up_to(std::uint64_t number) const {
    Changes changes;
    for (std::uint64_t at = active_version_.number + 1; at <= number; ++at) {
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
std::string Follower::apply_and_validate(Changes& changes) {
    ++counts_.validations;
    const Changes made = changes;
    exchange(state_, changes);
    return made.empty() ? std::string() : validator_(state_, made);
}

Follower::ActivationResult Follower::activate(double now, std::uint64_t number, std::string& why) {
    Changes changes = changes_up_to(number);
    Changes undo = changes;
    why = apply_and_validate(undo);
    if (!why.empty()) {
        exchange(state_, undo);
        return ActivationResult::refused;
    }
    std::vector<Record> records;
    for (std::uint64_t at = active_version_.number + 1; at <= number; ++at)
        records.push_back(log_.record(at));
    disk_failed_ = !storage_.append(records);
    if (disk_failed_) {
        ++counts_.disk_failures;
        exchange(state_, undo);
        schedule_pull(now);
        return ActivationResult::disk_failed;
    }
    records_since_compaction_ += records.size();
    finish_activation(now, log_.version(number), std::move(changes));
    return ActivationResult::activated;
}

void Follower::finish_activation(double now, const Version& version, Changes changes) {
    active_version_ = version;
    ++counts_.versions;
    activations_.push_back({version, std::move(changes)});
    log_.trim(settings_.max_log_records, settings_.max_log_bytes, version.number);
    refused_number_ = refused_version_ = refused_at_log_end_ = 0;
    snapshot_refused_ = false;
    if (records_since_compaction_ >= settings_.compact_after_records) compact();
    // What a canary has in force is waited for.
    if (staging_.canary(settings_.name)) schedule_pull(now);
    if (next_target() > active_version_.number) activation_at_ = now + settings_.activation_interval_s;
}

void Follower::compact() {
    // What it replaces stands if this fails, and it is tried again later.
    records_since_compaction_ = 0;
    Log whole = log_;
    whole.truncate(active_version_.number);
    storage_.replace(whole);
}

void Follower::install_snapshot(double now) {
    counts_.broken_snapshots = snapshot_receiver_.checksum_failures();
    auto whole = snapshot_receiver_.take_snapshot();
    if (!whole || whole->version.number <= log_.last().number) return;
    Changes changes;
    for (const auto& [key, value] : state_)
        if (!whole->state.contains(key)) changes[key].reset();
    for (const auto& [key, value] : whole->state) {
        const auto old = state_.find(key);
        if (old == state_.end() || old->second != value) changes[key] = value;
    }
    Changes undo = changes;
    const std::string why = apply_and_validate(undo);
    Log log(whole->version, whole->term, std::move(whole->state));
    if (!why.empty()) {
        exchange(state_, undo);
        snapshot_refused_ = true;
        refusal_reason_ = why;
        ++counts_.snapshots_refused;
        snapshot_not_before_ = now + kRefusedSnapshotRetryS;
        schedule_pull(now);
        return;
    }
    disk_failed_ = !storage_.replace(log);
    if (disk_failed_) {
        ++counts_.disk_failures;
        exchange(state_, undo);
        snapshot_not_before_ = now + settings_.disk_retry_s;
        schedule_pull(now);
        return;
    }
    ++counts_.snapshots;
    log_ = std::move(log);
    early_offers_.clear();
    records_since_compaction_ = 0;
    activation_limit_ = std::max(activation_limit_, log_.last().number);
    finish_activation(now, log_.last(), std::move(changes));
    schedule_pull(now);
}

void Follower::recheck(double now) {
    refused_at_log_end_ = 0;
    snapshot_not_before_ = -1e18;
    try_activate(now);
}

// --- time

void Follower::on_timer(double now) {
    if (now >= activation_at_) try_activate(now);
    if (const auto ask = snapshot_receiver_.next_request(now))
        outgoing_.push_back({snapshot_sender_, body_of(*ask)});
    if (now >= leave_notice_at_) send_leave_notices(now);
    if (now >= preferred_retry_at_) {
        preferred_retry_at_ = now + jittered(settings_.preferred_retry_s);
        outgoing_.push_back({parents_.front(), body_of(make_pull())});
    }
    if (now >= parent_timeout_at_) return switch_to_next_parent(now);
    if (now >= next_pull_at_) send_pull(now);
}

double Follower::next_deadline() const {
    return std::min({next_pull_at_, parent_timeout_at_, activation_at_, leave_notice_at_,
                     preferred_retry_at_, snapshot_receiver_.next_deadline()});
}

}   // namespace slatejunction::rollout
