// Of the bank (bank.hpp): what the counter is told of customers, and what its answers mean.
#include <algorithm>
#include <cmath>
#include <utility>

#include "quota/counter_names.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kExact = 1e-4;       // s; totals are exact to seven digits
constexpr double kFixFrom = 0.3;      // units that a name must be off for a call of its own
constexpr double kSlew = 0.02;        // s a second by which a slower clock moves up
constexpr double kAheadAgain = 0.5;   // s between two names that are ahead, at least
constexpr double kAheadFor = 5;       // s between them, at most
constexpr double kFresh = 0.02;       // s in which what was read is taken as still so
constexpr double kHeldFor = 0.25;     // s of the rate that an ingress may hold back even near the quota
constexpr double kRound = 1e-9;       // units; what sums may be off by
constexpr std::uint32_t kReadLifeMs = 1;   // ms that a name lives which was only read, and was not there

}   // namespace

// A name that was read while it was lifted twice says for long that nothing may pass.
void SharedQuota::reread(std::uint64_t customer, Account& account) {
    if (account.v == kNever || account.calling || account.suspect || account.queued ||
        account.unreported > 0 || sharing(account) || level(account) >= settings_.largest ||
        calls_left_ < 1)
        return;
    calls_left_ -= 1;
    account.known_at = now_;   // asked for
    report(customer, account, 0, kNever, 0);
}

// At once near the quota, only at the credit far from it.
bool SharedQuota::report_wanted(const Account& account) const {
    if (account.tally > 0) return true;
    if (account.unreported <= 0) return false;
    const BucketLayout s = stores_of(account);
    const double full = std::clamp(level(account) / s.burst, 0.0, 1.0);
    const double held = account.v == kNever ? 0
                        : account.only      ? s.credit   // nobody else needs the news
                                            : std::max(s.credit * full, kHeldFor * s.rate);
    const bool room_for_more = account.unreported + settings_.largest <= std::min(s.credit, held) + kRound;
    return !room_for_more;
}

void SharedQuota::report_if_due(std::uint64_t customer, Account& account) {
    if (account.calling || account.suspect || account.queued || parts_[account.part].lost) return;
    if (!report_wanted(account)) return;
    if (calls_left_ < 1) {
        account.queued = true;
        waiting_.push_back(customer);
        return;
    }
    calls_left_ -= 1;
    report_news(customer, account);
}

// The tally where there is one, else what is unreported.
//
// Units are added only to a name that is lifted: a lift takes in what lies below it, and would take in
// those of others. It is lifted blindly only where the others can't have done so meanwhile, as a name that
// is lifted twice looks like an empty store to all who read it before the second takes its part back. Else
// it is read first.
void SharedQuota::report_news(std::uint64_t customer, Account& account) {
    const bool tally = account.tally > 0;
    const double units = tally ? account.tally : account.unreported;
    const double since = tally ? account.tally_since : account.since;
    account.flight_since = since;
    const double lift = std::max(since, account.v);
    const bool same = account.seen != kNever && account.generation == generation_of(clock()) &&
                      account.epoch == parts_[account.part].epoch;
    const double short_of = same ? lift - account.seen : 1;
    if (short_of > 0 && (!same || (!account.only && now_ - account.known_at > kFresh)))
        return report(customer, account, 0, lift, 0);
    const double unit = tally ? 1 : factor(account);
    report(customer, account, units, lift,
           units * unit / stores_of(account).rate + std::max(0.0, short_of));
    pending_[numbers_].tally = tally;
    if (tally)
        account.tally = 0;
    else
        account.unreported = 0;
}

void SharedQuota::report(std::uint64_t customer, Account& account, double units, double lift, double by) {
    account.calling = true;
    account.in_flight += units;
    parts_[account.part].reported = true;
    Pending pending;
    pending.customer = customer;
    pending.part = account.part;
    pending.units = units;
    pending.lift = lift;
    pending.by = by;
    pending.generation = generation_of(clock());
    send(pending, customer_name(customer, pending.generation), kNameLifeMs);
}

// As many of those that waited as the budget of calls has room for.
void SharedQuota::report_queued() {
    for (std::size_t left = waiting_.size(); left > 0 && calls_left_ >= 1; --left) {
        const std::uint64_t customer = waiting_.front();
        waiting_.pop_front();
        const auto at = accounts_.find(customer);
        if (at == accounts_.end()) continue;
        at->second.queued = false;
        report_if_due(customer, at->second);
    }
}

Answer SharedQuota::answer_to(const Pending& pending, double total) const {
    Answer answer;
    answer.total = start_of(pending.generation) + total;
    answer.before =
        answer.total - std::max(0.0, pending.by);   // what was taken back is not there before either
    answer.lift = pending.lift;
    answer.units = pending.units;
    answer.tally = pending.tally;
    answer.generation = pending.generation;
    answer.fresh = total - pending.by < kExact && pending.by >= 0;
    answer.since = parts_[pending.part].checks;
    return answer;
}

void SharedQuota::on_report(const Pending& pending, double total) {
    const auto at = accounts_.find(pending.customer);
    if (at == accounts_.end()) return;
    Account& account = at->second;
    account.calling = false;
    CounterPart& part = parts_[account.part];
    const Answer answer = answer_to(pending, total);
    const bool placed =
        account.seen != kNever && account.generation == pending.generation && account.epoch == part.epoch;
    const bool back = placed && answer.before < account.seen - kExact;
    account.only = placed && std::abs(answer.before - account.seen) < kExact;
    if (!answer.fresh && !back) return settle(pending.customer, account, answer);
    account.suspect = true;
    account.held = answer;
    part.suspects.push_back(pending.customer);
    want_check(account.part);
}

// A check has come back since: the counter holds what it should, or is known not to.
void SharedQuota::believe(std::uint64_t customer, Account& account) {
    account.suspect = false;
    const Answer answer = account.held;
    const BucketLayout s = stores_of(account);
    const double ingresses = account.doors.count;
    const double full_after = s.burst / s.rate + ingresses * s.credit / s.rate;
    // The first of a generation, early in it: the last one's name still matters, as others may have
    // reported there after this ingress did.
    const bool early = answer.fresh && clock() < start_of(answer.generation) + full_after;
    if (!early) return settle(customer, account, answer);
    account.suspect = true;   // until that is read
    read_before(customer, account);
}

// Reads the customer's name of the generation before the answer that is held.
void SharedQuota::read_before(std::uint64_t customer, const Account& account) {
    Pending pending;
    pending.purpose = Purpose::before;
    pending.customer = customer;
    pending.part = account.part;
    pending.generation = account.held.generation - 1;
    send(pending, customer_name(customer, pending.generation), kReadLifeMs);
}

void SharedQuota::on_before(const Pending& pending, double total) {
    const auto at = accounts_.find(pending.customer);
    if (at == accounts_.end() || !at->second.suspect) return;
    at->second.suspect = false;
    Answer answer = at->second.held;
    if (total > kExact) answer.lift = std::max(answer.lift, start_of(pending.generation) + total);
    settle(pending.customer, at->second, answer);
}

// V without the units of the report.
double SharedQuota::base_of(const Account& account, const Answer& answer) const {
    const BucketLayout s = stores_of(account);
    const CounterPart& part = parts_[account.part];
    const double base = std::max(answer.before, answer.lift);
    // What others had reported is lost with what the counter held, so the store counts as empty since then.
    const bool lost_since = account.v != kNever ? account.epoch != part.epoch : answer.fresh;
    const double floor = part.floor_at + s.burst / s.rate;
    return lost_since && clock() < floor ? std::max({base, account.v, floor}) : base;
}

// `ahead`: s by which a V lies beyond what a clock as slow as this one can have made. Once may be a name
// that was lifted twice; a clock that is ahead is so again a little later.
void SharedQuota::follow_faster_clock(double ahead) {
    const bool counts = ahead > 0 && now_ - ahead_at_ > kAheadAgain;
    if (!counts) return;
    if (now_ - ahead_at_ < kAheadFor) offset_ += std::min(ahead, kSlew * (now_ - ahead_at_));
    ahead_at_ = now_;
}

// Takes an answer as the customer's new state, and puts the name right where it is not as it should be.
void SharedQuota::settle(std::uint64_t customer, Account& account, Answer answer) {
    const BucketLayout s = stores_of(account);
    const CounterPart& part = parts_[account.part];
    const double ingresses = account.doors.count;
    const double unit = factor(account);
    const double base = base_of(account, answer);
    const double empty = clock() + s.burst / s.rate;   // V of an empty store
    double ideal = base + answer.units * (answer.tally ? 1 : unit) / s.rate;
    // What was passed of the share may have been left to this ingress by the others already.
    if (answer.tally) ideal = std::min(ideal, std::max(base, empty));
    follow_faster_clock(answer.before - empty - ingresses * s.credit * unit / s.rate);
    account.in_flight = std::max(0.0, account.in_flight - answer.units);
    account.v = ideal;
    account.seen = answer.total;
    account.generation = answer.generation;
    account.epoch = part.epoch;
    account.known_at = now_;
    const double off = ideal - answer.total;
    const bool to_fix = std::abs(off) * s.rate > kFixFrom && !part.lost;
    if (!to_fix) return report_if_due(customer, account);
    calls_left_ -= 1;
    report(customer, account, 0, off > 0 ? ideal : kNever, off);
}

}   // namespace slatejunction::quota
