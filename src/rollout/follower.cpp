#include "rollout/follower.hpp"

#include <algorithm>
#include <cmath>

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kMaxEarlyAnnouncements = 64;    // buffered announcements that arrived out of order
constexpr double kLeaveNoticeIntervalS = 10;          // between leave notices to one former parent
constexpr unsigned kMaxLeaveNotices = 360;            // to one former parent that does not acknowledge them
constexpr double kGapPullIntervalS = 0.2;             // minimum time between pulls because of a gap
constexpr std::size_t kMaxSubtreeReportBytes = 600;   // of a report in a pull
// The first pull to a new parent is sent at a random time within this.
constexpr double kParentSwitchSpreadS = 0.2;
constexpr unsigned kMaxBackoffDoublings = 6;
constexpr double kRetryGrowthFactor = 1.5;   // of the wait, per unanswered pull

}   // namespace

std::vector<std::string> parent_order(const FollowerSettings& settings) {
    struct Ranked {
        bool other_region;
        std::uint64_t hash;
        std::string name;
        bool operator<(const Ranked& other) const {
            return std::tie(other_region, hash, name) <
                   std::tie(other.other_region, other.hash, other.name);
        }
    };
    std::vector<Ranked> ranked;
    for (const Parent& parent : settings.parents)
        ranked.push_back(
            {parent.region != settings.region, hash_of(settings.name + "\n" + parent.name), parent.name});
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    for (const Ranked& parent : ranked) names.push_back(parent.name);
    return names;
}

Follower::Follower(const FollowerSettings& settings, FollowerStored stored, FollowerStorage& storage,
                   Validator validator, std::uint64_t seed)
    : settings_(settings),
      storage_(storage),
      validator_(std::move(validator)),
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
    if (unanswered_pulls_ == 0) parent_timeout_at_ = now + settings_.parent_timeout_s;
    ++unanswered_pulls_;
    next_pull_at_ =
        now + jittered(settings_.retry_interval_s * std::pow(kRetryGrowthFactor, unanswered_pulls_ - 1));
}

void Follower::report_now(double now) { schedule_pull(now); }

// Ends the timeout of the current parent. Returns to the preferred parent if that is the one that answered.
void Follower::on_parent_contact(double now, const std::string& from) {
    last_contact_at_ = now;
    if (parent_index_ != 0 && from == parents_.front()) switch_parent(now, 0);
    if (from != parent()) return;
    silent_parents_ = 0;
    parent_timeout_at_ = kNever;
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
    parent_timeout_at_ = kNever;
    preferred_retry_at_ = parent_index_ == 0 ? kNever : now + jittered(settings_.preferred_retry_s);
}

// Switches to the next parent after the current one timed out. Applies an exponential backoff with jitter
// once all parents have timed out in a row.
void Follower::switch_to_next_parent(double now) {
    ++counts_.parent_switches;
    ++silent_parents_;
    const std::size_t rounds = silent_parents_ / parents_.size();
    if (parents_.size() > 1)
        switch_parent(now, (parent_index_ + 1) % parents_.size());
    else
        unanswered_pulls_ = 0;
    parent_timeout_at_ = kNever;
    if (rounds == 0) {
        next_pull_at_ = now + uniform(0, kParentSwitchSpreadS);
        return;
    }
    const double max_wait =
        std::pow(2.0, std::min<std::size_t>(rounds, kMaxBackoffDoublings)) * settings_.pull_interval_s;
    next_pull_at_ = now + uniform(0, std::min(settings_.max_backoff_s, max_wait));
}

void Follower::send_leave_notices(double now) {
    leave_notice_at_ = kNever;
    for (auto at = leave_notices_.begin(); at != leave_notices_.end();) {
        auto& [name, notice] = *at;
        if (now >= notice.next_send_at) {
            ++notice.attempts;
            if (notice.attempts > kMaxLeaveNotices) {
                at = leave_notices_.erase(at);
                continue;
            }
            Pull pull = make_pull();
            pull.subtree.reset();
            pull.leaving = true;
            outgoing_.push_back({name, body_of(pull)});
            notice.next_send_at = now + jittered(kLeaveNoticeIntervalS);
        }
        leave_notice_at_ = std::min(leave_notice_at_, notice.next_send_at);
        ++at;
    }
}

void Follower::receive(double now, const std::string& from, const Message& message) {
    if (std::find(parents_.begin(), parents_.end(), from) == parents_.end()) return;
    std::visit([&](const auto& typed) { handle(now, from, typed); }, message);
}

void Follower::handle(double now, const std::string& from, const Announcement& announcement) {
    if (announcement.leave_acknowledged) {
        leave_notices_.erase(from);
        return;
    }
    on_parent_contact(now, from);
    staging_.merge(announcement.staging);
    activation_limit_ = std::max(activation_limit_, announcement.activation_limit);
    if (announcement.diverged) {
        diverged_ = true;
        return;
    }
    const bool gap = !announcement.records.empty() && announcement.previous.number > log_.last().number;
    if (gap) {
        ++counts_.gaps;
        if (early_announcements_.size() < kMaxEarlyAnnouncements)
            early_announcements_.insert_or_assign(announcement.previous.number, announcement);
    } else if (!accept_records(announcement)) {
        diverged_ = true;
    } else if (from == parent()) {
        diverged_ = false;
    }
    accept_early_announcements();
    const bool more = announcement.more &&
                      announcement.previous.number + announcement.records.size() == log_.last().number;
    const bool still_missing = announcement.previous.number > log_.last().number && gap;
    if (more) schedule_pull(now);
    if (still_missing) schedule_pull(std::max(now, last_pull_at_ + kGapPullIntervalS));
    try_activate(now);
}

bool Follower::pending_full() const {
    return log_.last().number - active_version_.number >= settings_.max_pending_records;
}

// Appends the records that follow the last one (log matching). Returns false if they conflict with the log.
bool Follower::accept_records(const Announcement& announcement) {
    if (announcement.records.empty()) return true;
    Version version = announcement.previous;
    const auto conflicts = [&] { return log_.contains_number(version.number) && !log_.contains(version); };
    if (conflicts()) return false;
    for (const Record& record : announcement.records) {
        const bool next = log_.last() == version;
        if (next && (pending_full() || record.term < log_.last_term())) return pending_full();
        if (next && !log_.push(record)) return false;
        counts_.records += next;
        version = next_version(version, record);
        if (conflicts()) return false;
    }
    return true;
}

void Follower::accept_early_announcements() {
    while (!early_announcements_.empty() && early_announcements_.begin()->first <= log_.last().number) {
        if (!accept_records(early_announcements_.begin()->second)) diverged_ = true;
        early_announcements_.erase(early_announcements_.begin());
    }
}

void Follower::handle(double now, const std::string& from, const SnapshotPart& part) {
    on_parent_contact(now, from);
    staging_.merge(part.staging);
    if (part.version.number <= log_.last().number || now < snapshot_not_before_) return;
    snapshot_sender_ = from;
    snapshot_receiver_.receive(now, part);
    if (const auto request = snapshot_receiver_.next_request(now))
        outgoing_.push_back({from, body_of(*request)});
    install_snapshot(now);
}

void Follower::on_timer(double now) {
    if (now >= activation_at_) try_activate(now);
    if (const auto request = snapshot_receiver_.next_request(now))
        outgoing_.push_back({snapshot_sender_, body_of(*request)});
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
