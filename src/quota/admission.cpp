// Of the bank (bank.hpp): what a customer's stores have room for, and what a request takes of them.
#include <algorithm>
#include <cmath>

#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kRereadEvery = 5;   // s, of a name that says that nothing may pass
constexpr double kBlocked = 0.01;    // s to wait where only a report is awaited
constexpr double kSoonest = 0.001;   // s; the least that is told as a time to wait
constexpr double kPlainWait = 1;     // s, where nothing better is known
constexpr double kRound = 1e-9;      // units; what sums may be off by
constexpr std::size_t kForgetLooks = 16;

// 0, or so many s until a store that has room for `room` units now has it for `units`.
double time_until(double units, double room, double rate) {
    if (room >= units - kRound) return 0;
    return rate > 0 ? std::max(kSoonest, (units - room) / rate) : kPlainWait;
}

}   // namespace

unsigned SharedQuota::part_of(std::uint64_t customer) const {
    return static_cast<unsigned>(customer * 0x9e3779b97f4a7c15ULL >> 33) % settings_.parts;
}

BucketLayout SharedQuota::stores_of(const Account& account) const {
    return bucket_layout(settings_, plan(account), account.doors.count);
}

// What a unit counts on the counter: more, while some of the customer's ingresses are cut off and spend
// their share by themselves.
double SharedQuota::factor(const Account& account) const {
    const CounterPart& part = parts_[account.part];
    unsigned missing = 0;
    for (unsigned i = 0; i < account.doors.count; ++i) {
        const unsigned ingress = (account.doors.first + i) % settings_.ingress_count;
        missing += ingress != settings_.ingress_index && now_ - part.beat_at[ingress] > kMissingAfter;
    }
    const double ingresses = account.doors.count;
    return ingresses / (ingresses - std::min<double>(missing, ingresses - 1));
}

bool SharedQuota::sharing(const Account& account) const {
    const CounterPart& part = parts_[account.part];
    return part.lost || now_ < part.returned_at + kSettle;
}

// As it will be once all is reported.
double SharedQuota::level(const Account& account) const {
    const BucketLayout s = stores_of(account);
    const double news = account.unreported + account.in_flight;
    double v = account.v;
    if (news > 0)
        v = std::max(v, account.in_flight > 0 ? account.flight_since : account.since) +
            factor(account) * news / s.rate;
    return s.burst - s.rate * std::max(0.0, v - clock());
}

double SharedQuota::level(std::uint64_t customer) const {
    const auto at = accounts_.find(customer);
    return at == accounts_.end() ? 0 : level(at->second);
}

double SharedQuota::free_level(const Account& account) const {
    const BucketLayout s = stores_of(account);
    return s.free_burst - s.free_rate * std::max(0.0, account.free_v - clock());
}

double SharedQuota::share_level(const Account& account) const {
    const BucketLayout s = stores_of(account);
    return s.share_burst - s.share_rate * std::max(0.0, account.share_v - clock());
}

// 0, or so many s until `units` have room.
double SharedQuota::wait(const Account& account, double units) const {
    const BucketLayout s = stores_of(account);
    const double free = time_until(units, free_level(account), s.free_rate);
    if (free == 0 || account.doors.count <= 1) return free;
    if (sharing(account)) return std::min(free, time_until(units, share_level(account), s.share_rate));
    const double unit = factor(account);
    if (account.v != kNever) {
        // An update of what is known may come with room sooner than this says, not later.
        const double charged = time_until(units, level(account) / unit, s.rate / unit);
        if (charged > 0) return std::min(free, charged);
    }
    const double news = account.unreported + account.in_flight;
    return news + units <= s.credit + kRound || news == 0 ? 0 : std::min(free, kBlocked);
}

double SharedQuota::retry_after_s(double now, std::uint64_t customer, unsigned plan_number,
                                  IngressSet doors, double units) {
    advance(now);
    if (plan_number >= settings_.plans.size() || units <= 0) return 0;
    const PlanQuota& quota = settings_.plans[plan_number];
    const auto at = accounts_.find(customer);
    Account fresh;
    fresh.plan = plan_number;
    fresh.doors = doors;
    fresh.part = part_of(customer);
    const bool known = at != accounts_.end() && at->second.plan == plan_number && at->second.doors == doors;
    const Account& account = known ? at->second : fresh;
    if (known && now_ - account.known_at > kRereadEvery) reread(customer, at->second);
    if (quota.max_in_flight > 0 &&
        account.out + 1 > std::max(1.0, std::floor(quota.max_in_flight / doors.count)))
        return kPlainWait;
    return quota.rate > 0 ? wait(account, units) : 0;
}

Account& SharedQuota::account(std::uint64_t customer, unsigned plan_number, IngressSet doors) {
    auto [at, made] = accounts_.try_emplace(customer);
    Account& account = at->second;
    if (!made && account.plan == plan_number && account.doors == doors) return account;
    // Of another plan its stores are others; what is known in s counts on.
    account.plan = plan_number;
    account.doors = doors;
    account.part = part_of(customer);
    if (!made || accounts_.size() <= settings_.customers_most) return account;
    forget_some();
    return accounts_[customer];
}

// One whose stores are full again is no loss; of those that are not the one that was used longest ago goes.
void SharedQuota::forget_some() {
    const double now = clock();
    std::uint64_t coldest = 0;
    double used_at = 0;
    bool found = false;
    std::size_t bucket = random_() % accounts_.bucket_count();
    std::size_t looks = 0;
    for (std::size_t i = 0; i < accounts_.bucket_count() && looks < kForgetLooks; ++i) {
        for (auto one = accounts_.begin(bucket); one != accounts_.end(bucket); ++one) {
            const Account& account = one->second;
            if (account.calling || account.suspect || account.queued || account.out > 0) continue;
            if (account.used_at == 0) continue;   // the one that is just made
            ++looks;
            const bool full = account.unreported == 0 && account.tally == 0 && account.v <= now &&
                              account.free_v <= now && account.share_v <= now;
            const double cold = full ? kNever : account.used_at;
            if (found && cold >= used_at) continue;
            coldest = one->first;
            used_at = cold;
            found = true;
        }
        bucket = (bucket + 1) % accounts_.bucket_count();
    }
    if (found) accounts_.erase(coldest);
}

void SharedQuota::consume(double now, std::uint64_t customer, unsigned plan_number, IngressSet doors,
                          double units) {
    advance(now);
    if (plan_number >= settings_.plans.size()) return;
    Account& one = account(customer, plan_number, doors);
    ++one.out;
    one.used_at = clock();
    if (plan(one).rate <= 0 || units <= 0) return;
    if (free_level(one) >= units - kRound || doors.count <= 1)
        one.free_v = std::max(one.free_v, clock()) + units / stores_of(one).free_rate;
    else if (sharing(one))
        take_share(customer, one, units);
    else
        take_charged(customer, one, units);
    set_due();
}

void SharedQuota::take_share(std::uint64_t customer, Account& account, double units) {
    account.share_v = std::max(account.share_v, clock()) + units / stores_of(account).share_rate;
    // Until the others can have noticed and left this ingress its share, it owes what it passes.
    const CounterPart& part = parts_[account.part];
    const bool left = part.lost && now_ > part.lost_at + kMissingAfter + kBeatLife;
    if (!left) return take_charged(customer, account, units);
    if (account.tally == 0) account.tally_since = clock();
    account.tally += units;
}

void SharedQuota::take_charged(std::uint64_t customer, Account& account, double units) {
    if (account.unreported == 0) account.since = clock();
    account.unreported += units;
    report_if_due(customer, account);
}

void SharedQuota::release(std::uint64_t customer) {
    const auto at = accounts_.find(customer);
    if (at != accounts_.end() && at->second.out > 0) --at->second.out;
}

}   // namespace slatejunction::quota
