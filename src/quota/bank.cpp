#include "quota/bank.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace slatejunction::quota {
namespace {

constexpr double kExact = 1e-4;                      // s; totals are exact to seven digits
constexpr double kFixFrom = 0.3;                     // units that a name must be off for a call of its own
constexpr double kSlew = 0.02;                       // s a second by which a slower clock moves up
constexpr double kAheadAgain = 0.5, kAheadFor = 5;   // s between two such names, at least and at most
constexpr double kImplausible = 10;                  // s beyond all that a name can hold
constexpr double kFresh = 0.02;                      // s in which what was read is taken as still so
constexpr double kRereadEvery = 5;                   // s, of a name that says that nothing may pass
constexpr double kHeldFor = 0.25;      // s of the rate that an ingress may hold back even near the quota
constexpr double kBlocked = 0.01;      // s to wait where only a report is awaited
constexpr double kSoonest = 0.001;     // s; the least that is told as a time to wait
constexpr double kQueueEvery = 0.01;   // s between looks at reports that wait for the budget
constexpr double kJitter = 0.25;       // of a period
constexpr std::size_t kForgetLooks = 16;
constexpr double kPlainWait = 1;   // s, where nothing better is known
constexpr double kRound = 1e-9;
constexpr double kCheckLife = 58;   // s; a name lives 60

// The stores that one plan's quota is kept in, for a customer with so many ingresses.
struct Stores {
    double rate, burst;               // on the counter
    double free_rate, free_burst;     // of this ingress alone
    double share_rate, share_burst;   // of this ingress, while the counter is lost
    double credit;                    // unreported, at most
};

Stores stores(const Settings& settings, const PlanQuota& plan, unsigned spread) {
    const double d = std::max(1U, spread), free = spread <= 1 ? 1 : settings.free_part;
    Stores s{};
    s.rate = plan.rate * (1 - free);
    s.burst = plan.burst * (1 - free);
    s.free_rate = plan.rate * free / d;
    s.free_burst =
        std::max({settings.largest, std::min(settings.free_units, plan.burst), plan.burst * free / d});
    s.share_rate = s.rate / d;
    s.share_burst = std::max(settings.largest, s.burst / d);
    s.credit = std::max(settings.credit, settings.largest);
    if (spread > 1) s.burst = std::max(settings.largest, s.burst);
    return s;
}

std::string hex(std::uint64_t number) {
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number, 16).ptr;
    return {text.data(), end};
}

std::string name_of(std::uint64_t customer, std::int64_t generation) {
    return "q." + hex(customer) + "." + std::to_string(generation);
}

double start_of(std::int64_t generation) { return static_cast<double>(generation) * kGeneration; }

}   // namespace

StatedError stated_error(const Settings& settings, const PlanQuota& plan, unsigned spread,
                         unsigned cut_off) {
    const Stores s = stores(settings, plan, spread);
    StatedError error;
    if (spread <= 1) {
        error.restarted = s.free_burst;
        return error;
    }
    const double d = spread;
    error.healthy =
        std::max(0.0, s.burst + d * (s.free_burst + s.credit) - plan.burst) + plan.rate * settings.skew_s;
    error.lost = error.healthy + d * s.share_burst;
    error.split =
        error.healthy +
        cut_off * (s.share_burst + s.share_rate * (kMissingAfter + kBeatLife + 2 * kBeatEvery + kSettle));
    // The first name that is met shows it; all stores count as empty from then on, and what was passed
    // beyond them before is forgotten.
    error.empty = error.healthy + d * s.credit;
    // What was reported since the last check may be gone unseen, a whole burst of it.
    error.older = error.empty + s.burst;
    error.restarted = s.credit + s.free_burst + s.burst;
    return error;
}

Bank::Bank(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    if (settings_.ingresses < 1 || settings_.ingresses > kIngressesMost)
        throw std::invalid_argument("1 to " + std::to_string(kIngressesMost) + " ingresses");
    if (settings_.number >= settings_.ingresses)
        throw std::invalid_argument("a number beyond the ingresses");
    if (settings_.parts < 1) throw std::invalid_argument("a counter of no parts");
    nonce_ = random_() >> 24;
    parts_.resize(settings_.parts);
    for (Part& part : parts_) part.beat_at.assign(settings_.ingresses, kNever);
}

unsigned Bank::part_of(std::uint64_t customer) const {
    return static_cast<unsigned>(customer * 0x9e3779b97f4a7c15ULL >> 33) % settings_.parts;
}

double Bank::step(double now) {
    if (std::isfinite(now) && now > now_) {
        if (now_ == 0) {
            calls_at_ = now;
            calls_left_ = settings_.calls_per_s * 0.1;
            for (Part& part : parts_) {
                part.next_beat = now;
                part.beat_at.assign(settings_.ingresses, now);
            }
        }
        now_ = now;
    }
    calls_left_ = std::min(std::max(1.0, settings_.calls_per_s * 0.1),
                           calls_left_ + settings_.calls_per_s * (now_ - calls_at_));
    calls_at_ = now_;
    return now_ + offset_;
}

// What a unit counts on the counter: more, while some of the customer's ingresses are cut off and spend
// their share by themselves.
double Bank::factor(const Account& account) const {
    const Part& part = parts_[account.part];
    unsigned missing = 0;
    for (unsigned i = 0; i < account.doors.spread; ++i) {
        const unsigned one = (account.doors.first + i) % settings_.ingresses;
        missing += one != settings_.number && now_ - part.beat_at[one] > kMissingAfter;
    }
    const double d = account.doors.spread;
    return d / (d - std::min<double>(missing, d - 1));
}

bool Bank::sharing(const Account& account) const {
    const Part& part = parts_[account.part];
    return part.lost || now_ < part.returned_at + kSettle;
}

// As it will be once all is reported.
double Bank::level(const Account& account) const {
    const Stores s = stores(settings_, plan(account), account.doors.spread);
    const double news = account.unreported + account.in_flight;
    double v = account.v;
    if (news > 0)
        v = std::max(v, account.in_flight > 0 ? account.flight_since : account.since) +
            factor(account) * news / s.rate;
    return s.burst - s.rate * std::max(0.0, v - (now_ + offset_));
}

double Bank::level(std::uint64_t customer) const {
    const auto at = accounts_.find(customer);
    return at == accounts_.end() ? 0 : level(at->second);
}

double Bank::share_level(const Account& account) const {
    const Stores s = stores(settings_, plan(account), account.doors.spread);
    return s.share_burst - s.share_rate * std::max(0.0, account.share_v - (now_ + offset_));
}

// 0, or so many s until `units` have room.
double Bank::wait(const Account& account, double units) const {
    const Stores s = stores(settings_, plan(account), account.doors.spread);
    const double now = now_ + offset_;
    const auto until = [&](double room, double rate) {
        return room >= units - kRound ? 0
               : rate > 0             ? std::max(kSoonest, (units - room) / rate)
                                      : kPlainWait;
    };
    const double free =
        until(s.free_burst - s.free_rate * std::max(0.0, account.free_v - now), s.free_rate);
    if (free == 0 || account.doors.spread <= 1) return free;
    if (sharing(account)) return std::min(free, until(share_level(account), s.share_rate));
    const double f = factor(account), news = account.unreported + account.in_flight;
    if (account.v != kNever) {
        // An update of what is known may come with room sooner than this says, not later.
        const double charged = until(level(account) / f, s.rate / f);
        if (charged > 0) return std::min(free, charged);
    }
    return news + units <= s.credit + kRound || news == 0 ? 0 : std::min(free, kBlocked);
}

double Bank::look(double now, std::uint64_t customer, unsigned plan_number, Doors doors, double units) {
    step(now);
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
    if (quota.max_out > 0 && account.out + 1 > std::max(1.0, std::floor(quota.max_out / doors.spread)))
        return kPlainWait;
    return quota.rate > 0 ? wait(account, units) : 0;
}

// A name that was read while it was lifted twice says for long that nothing may pass.
void Bank::reread(std::uint64_t customer, Account& account) {
    if (account.v == kNever || account.calling || account.suspect || account.queued ||
        account.unreported > 0 || sharing(account) || level(account) >= settings_.largest ||
        calls_left_ < 1)
        return;
    calls_left_ -= 1;
    account.known_at = now_;   // asked for
    report(customer, account, 0, kNever, 0);
}

Bank::Account& Bank::account(std::uint64_t customer, unsigned plan_number, Doors doors) {
    auto [at, made] = accounts_.try_emplace(customer);
    Account& account = at->second;
    if (made || account.plan != plan_number || !(account.doors == doors)) {
        // Of another plan its stores are others; what is known in s counts on.
        account.plan = plan_number;
        account.doors = doors;
        account.part = part_of(customer);
        if (made && accounts_.size() > settings_.customers_most) {
            forget_some();
            return accounts_[customer];
        }
    }
    return account;
}

// One whose stores are full again is no loss; of those that are not the one that was used longest ago goes.
void Bank::forget_some() {
    const double now = now_ + offset_;
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

void Bank::take(double now, std::uint64_t customer, unsigned plan_number, Doors doors, double units) {
    const double t = step(now);
    if (plan_number >= settings_.plans.size()) return;
    Account& one = account(customer, plan_number, doors);
    ++one.out;
    one.used_at = t;
    const Stores s = stores(settings_, plan(one), doors.spread);
    if (plan(one).rate <= 0 || units <= 0) return;
    const double free = s.free_burst - s.free_rate * std::max(0.0, one.free_v - t);
    if (free >= units - kRound || doors.spread <= 1) {
        one.free_v = std::max(one.free_v, t) + units / s.free_rate;
    } else if (sharing(one)) {
        one.share_v = std::max(one.share_v, t) + units / s.share_rate;
        // Until the others can have noticed and left this ingress its share, it owes what it passes.
        const Part& part = parts_[one.part];
        const bool left = part.lost && now_ > part.lost_at + kMissingAfter + kBeatLife;
        double &sum = left ? one.tally : one.unreported, &since = left ? one.tally_since : one.since;
        if (sum == 0) since = t;
        sum += units;
        if (!left) report_if_due(customer, one);
    } else {
        if (one.unreported == 0) one.since = t;
        one.unreported += units;
        report_if_due(customer, one);
    }
    arm();
}

void Bank::ended(std::uint64_t customer) {
    const auto at = accounts_.find(customer);
    if (at != accounts_.end() && at->second.out > 0) --at->second.out;
}

// Calls. ----------------------------------------------------------------------------------------------

std::vector<Call> Bank::take_calls() {
    std::vector<Call> all;
    all.swap(calls_);
    return all;
}

std::uint64_t Bank::send(Pending pending, std::string name, std::uint32_t life_ms) {
    Part& part = parts_[pending.part];
    if (part.owed++ == 0) part.silent_since = now_;
    const std::uint64_t id = ++numbers_;
    calls_.push_back({id, pending.part, std::move(name), pending.by, life_ms});
    pending_.emplace(id, std::move(pending));
    return id;
}

// At once near the quota, only at the credit far from it.
void Bank::report_if_due(std::uint64_t customer, Account& account) {
    if (account.calling || account.suspect || account.queued || parts_[account.part].lost) return;
    const Stores s = stores(settings_, plan(account), account.doors.spread);
    const bool tally = account.tally > 0;
    if (!tally) {
        if (account.unreported <= 0) return;
        const double full = std::clamp(level(account) / s.burst, 0.0, 1.0);
        const double held = account.v == kNever ? 0
                            : account.only      ? s.credit   // nobody else needs the news
                                                : std::max(s.credit * full, kHeldFor * s.rate);
        if (account.unreported + settings_.largest <= std::min(s.credit, held) + kRound) return;
    }
    if (calls_left_ < 1) {
        account.queued = true;
        waiting_.push_back(customer);
        return;
    }
    calls_left_ -= 1;
    const double units = tally ? account.tally : account.unreported;
    const double since = tally ? account.tally_since : account.since;
    account.flight_since = since;
    const std::int64_t generation = generation_of(now_ + offset_);
    const double lift = std::max(since, account.v);
    // Units are added only to a name that is lifted: a lift takes in what lies below it, and would take in
    // those of others. It is lifted blindly only where the others can't have done so meanwhile, as a name
    // that is lifted twice looks like an empty store to all who read it before the second takes its part
    // back. Else it is read first.
    const bool same = account.seen != kNever && account.generation == generation &&
                      account.epoch == parts_[account.part].epoch;
    const double short_of = same ? lift - account.seen : 1;
    if (short_of > 0 && (!same || (!account.only && now_ - account.known_at > kFresh)))
        return report(customer, account, 0, lift, 0);
    report(customer, account, units, lift,
           units * (tally ? 1 : factor(account)) / s.rate + std::max(0.0, short_of));
    auto& pending = pending_[numbers_];
    pending.tally = tally;
    if (tally)
        account.tally = 0;
    else
        account.unreported = 0;
}

void Bank::report(std::uint64_t customer, Account& account, double units, double lift, double by) {
    account.calling = true;
    account.in_flight += units;
    parts_[account.part].reported = true;
    Pending pending;
    pending.customer = customer;
    pending.part = account.part;
    pending.units = units;
    pending.lift = lift;
    pending.by = by;
    pending.generation = generation_of(now_ + offset_);
    std::string name = name_of(customer, pending.generation);
    send(std::move(pending), std::move(name), 60'000);
}

void Bank::on_report(const Pending& pending, double total) {
    const auto at = accounts_.find(pending.customer);
    if (at == accounts_.end()) return;
    Account& account = at->second;
    account.calling = false;
    Part& part = parts_[account.part];
    Answer answer;
    answer.total = start_of(pending.generation) + total;
    answer.before =
        answer.total - std::max(0.0, pending.by);   // what was taken back is not there before either
    answer.lift = pending.lift;
    answer.units = pending.units;
    answer.tally = pending.tally;
    answer.generation = pending.generation;
    answer.fresh = total - pending.by < kExact && pending.by >= 0;
    answer.since = part.checks;
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
void Bank::believe(std::uint64_t customer, Account& account) {
    account.suspect = false;
    const Answer answer = account.held;
    const Stores s = stores(settings_, plan(account), account.doors.spread);
    const double d = account.doors.spread, t = now_ + offset_;
    const double full_after = s.burst / s.rate + d * s.credit / s.rate;
    // The first of a generation, early in it: the last one's name still matters, as others may have
    // reported there after this ingress did.
    if (answer.fresh && t < start_of(answer.generation) + full_after) {
        account.suspect = true;   // until that is read
        Pending pending;
        pending.what = What::before;
        pending.customer = customer;
        pending.part = account.part;
        pending.generation = answer.generation - 1;
        send(std::move(pending), name_of(customer, answer.generation - 1), 1);
        return;
    }
    settle(customer, account, answer);
}

void Bank::on_before(const Pending& pending, double total) {
    const auto at = accounts_.find(pending.customer);
    if (at == accounts_.end() || !at->second.suspect) return;
    at->second.suspect = false;
    Answer answer = at->second.held;
    if (total > kExact) answer.lift = std::max(answer.lift, start_of(pending.generation) + total);
    settle(pending.customer, at->second, answer);
}

// Takes an answer as the customer's new state, and puts the name right where it is not as it should be.
void Bank::settle(std::uint64_t customer, Account& account, Answer answer) {
    const Stores s = stores(settings_, plan(account), account.doors.spread);
    const double t = now_ + offset_, d = account.doors.spread, f = factor(account);
    const Part& part = parts_[account.part];
    double base = std::max(answer.before, answer.lift);
    const double empty = t + s.burst / s.rate;   // V of an empty store
    // What others had reported is lost with what the counter held, so the store counts as empty since then.
    if ((account.v != kNever ? account.epoch != part.epoch : answer.fresh) &&
        t < part.floor_at + s.burst / s.rate)
        base = std::max({base, account.v, part.floor_at + s.burst / s.rate});
    double ideal = base + answer.units * (answer.tally ? 1 : f) / s.rate;
    // What was passed of the share may have been left to this ingress by the others already.
    if (answer.tally) ideal = std::min(ideal, std::max(base, empty));
    // A V that no clock as slow as this one can have made: the other is faster.
    const double ahead = answer.before - empty - d * s.credit * f / s.rate;
    // Once may be a name that was lifted twice; a clock that is ahead is so again a little later.
    if (ahead > 0 && now_ - ahead_at_ > kAheadAgain) {
        if (now_ - ahead_at_ < kAheadFor) offset_ += std::min(ahead, kSlew * (now_ - ahead_at_));
        ahead_at_ = now_;
    }
    account.in_flight = std::max(0.0, account.in_flight - answer.units);
    account.v = ideal;
    account.seen = answer.total;
    account.generation = answer.generation;
    account.epoch = part.epoch;
    account.known_at = now_;
    const double off = ideal - answer.total;
    if (std::abs(off) * s.rate > kFixFrom && !part.lost) {
        calls_left_ -= 1;
        report(customer, account, 0, off > 0 ? ideal : kNever, off);
        return;
    }
    report_if_due(customer, account);
}

// The check. ------------------------------------------------------------------------------------------

void Bank::want_check(unsigned number) {
    Part& part = parts_[number];
    part.check_wanted = true;
    if (part.checking) return;
    part.check_wanted = false;
    part.checking = true;
    part.next_check = now_ + kCheckEvery;
    const std::int64_t generation = generation_of(now_ + offset_);
    if (part.check_generation < 0) part.check_generation = generation;
    Pending pending;
    pending.what = What::check;
    pending.part = number;
    pending.by = 1;
    pending.generation = part.check_generation;
    pending.number = ++part.checks;
    send(std::move(pending),
         "s." + std::to_string(settings_.number) + "." + hex(nonce_) + "." +
             std::to_string(part.check_generation),
         60'000);
}

void Bank::on_check(const Pending& pending, double total) {
    Part& part = parts_[pending.part];
    part.checking = false;
    const double t = now_ + offset_;
    const std::int64_t generation = generation_of(t);
    // One that may have died of age tells nothing, which counts as the worse.
    const bool aged = part.check_least > 0 && now_ > part.check_made_at + kCheckLife;
    const bool intact = !aged && total > part.check_least + 0.5;
    if (part.check_least == 0) part.check_made_at = now_;
    if (!intact) {
        if (!aged) found_.push_back(pending.part);
        empty(pending.part);
    }
    part.check_least = total;
    if (part.check_generation != generation) {
        part.check_generation = generation;
        part.check_least = 0;
    }
    std::vector<std::uint64_t> later;
    std::vector<std::uint64_t> all;
    all.swap(part.suspects);
    for (const std::uint64_t customer : all) {
        const auto at = accounts_.find(customer);
        if (at == accounts_.end() || !at->second.suspect) continue;
        if (at->second.held.since < pending.number)
            believe(customer, at->second);
        else
            later.push_back(customer);
    }
    part.suspects.insert(part.suspects.end(), later.begin(), later.end());
    if (!part.suspects.empty() || part.check_wanted || part.check_least == 0) want_check(pending.part);
}

// All customers' stores of that part count as empty from now on.
void Bank::empty(unsigned number) {
    Part& part = parts_[number];
    ++part.epoch;
    ++empties_;
    part.floor_at = now_ + offset_;
}

void Bank::emptied(double now, unsigned number) {
    step(now);
    empty(number);
    // Its own check would only tell the same again: it begins anew, at once.
    parts_[number].check_least = 0;
    if (!parts_[number].lost) want_check(number);
    arm();
}

void Bank::add_sentinel(double now, unsigned number, std::int64_t generation, double by) {
    step(now);
    if (parts_[number].lost) return;
    Pending pending;
    pending.what = What::sentinel;
    pending.part = number;
    pending.by = by;
    pending.generation = generation;
    send(std::move(pending), "z." + std::to_string(generation), 60'000);
}

// Who is there. ---------------------------------------------------------------------------------------

void Bank::on_beat(unsigned number, double total) {
    Part& part = parts_[number];
    part.beat_out = false;
    part.beat_total = total;
    auto digits = static_cast<std::uint64_t>(total + 0.5);
    for (unsigned i = 0; i < settings_.ingresses; ++i, digits /= 4)
        if (digits % 4 != 0) part.beat_at[i] = now_;
}

// The counter's state. --------------------------------------------------------------------------------

void Bank::heard(unsigned number) {
    Part& part = parts_[number];
    part.failures = 0;
    part.silent_since = part.owed > 0 ? now_ : 0;
    if (!part.lost) return;
    part.lost = false;
    part.returned_at = now_;
    for (double& at : part.beat_at) at = std::max(at, now_ - kMissingAfter + kBeatLife);
    for (auto& [customer, account] : accounts_)
        if (account.part == number) report_if_due(customer, account);
}

void Bank::failed(unsigned number) {
    Part& part = parts_[number];
    part.silent_since = part.owed > 0 ? now_ : 0;
    if (++part.failures >= kLostFailures && !part.lost) lose(number);
}

// From here on a share of what was known.
void Bank::lose(unsigned number) {
    Part& part = parts_[number];
    part.lost = true;
    part.lost_at = part.next_probe = now_;
    const double t = now_ + offset_;
    for (auto& [customer, account] : accounts_) {
        if (account.part != number || account.v == kNever) continue;
        const Stores s = stores(settings_, plan(account), account.doors.spread);
        const double share = std::clamp(level(account), 0.0, s.burst) / account.doors.spread;
        account.share_v = std::max(account.share_v, t + (s.share_burst - share) / s.share_rate);
    }
}

void Bank::answered(double now, std::uint64_t call, double total) {
    step(now);
    const auto at = pending_.find(call);
    if (at == pending_.end()) return;
    const Pending pending = at->second;
    // Noise: a total that the call can't have made.
    const double most = pending.what == What::report || pending.what == What::before
                            ? now_ + offset_ - start_of(pending.generation) + kImplausible + kGeneration
                            : 1e7;
    if (!std::isfinite(total) || total < -kExact || total > most) return maybe(now, call);
    pending_.erase(at);
    --parts_[pending.part].owed;
    heard(pending.part);
    switch (pending.what) {
        case What::report:
            on_report(pending, total);
            break;
        case What::before:
            on_before(pending, total);
            break;
        case What::check:
            on_check(pending, total);
            break;
        case What::beat:
            on_beat(pending.part, total);
            break;
        case What::sentinel:
            sentinels_.push_back({pending.part, pending.generation, total});
            break;
    }
    arm();
}

void Bank::refused(double now, std::uint64_t call) {
    step(now);
    const auto at = pending_.find(call);
    if (at == pending_.end()) return;
    const Pending pending = at->second;
    pending_.erase(at);
    Part& part = parts_[pending.part];
    --part.owed;
    if (pending.what == What::check) part.checking = false;
    if (pending.what == What::beat) part.beat_out = false;
    const auto one = accounts_.find(pending.customer);
    if (pending.what == What::before && one != accounts_.end() && one->second.suspect) {
        part.suspects.push_back(pending.customer);   // to be read again behind the next check
    } else if (pending.what == What::report && one != accounts_.end()) {
        // All of it is to be reported again.
        Account& account = one->second;
        account.calling = false;
        account.in_flight = std::max(0.0, account.in_flight - pending.units);
        double& units = pending.tally ? account.tally : account.unreported;
        double& since = pending.tally ? account.tally_since : account.since;
        const double from =
            pending.lift == kNever ? now_ + offset_ : std::min(pending.lift, now_ + offset_);
        since = units > 0 ? std::min(since, from) : from;
        units += pending.units;
    }
    failed(pending.part);
    arm();
}

// As if nothing had been added: what was is counted twice then, to the customer's loss, never to the
// fleet's.
void Bank::maybe(double now, std::uint64_t call) {
    const auto at = pending_.find(call);
    if (at == pending_.end()) return;
    refused(now, call);
}

void Bank::wake(double now) {
    step(now);
    for (unsigned i = 0; i < parts_.size(); ++i) {
        Part& part = parts_[i];
        if (!part.lost && part.silent_since > 0 && now_ - part.silent_since >= kLostAfter) lose(i);
        const double jitter = 1 + kJitter * (static_cast<double>(random_() >> 11) * 0x1p-53 - 0.5);
        if (part.lost) {
            if (now_ < part.next_probe) continue;
            part.next_probe = now_ + kProbeEvery * jitter;
            part.checking = false;   // the one that is out may never be answered
            want_check(i);
        } else if (settings_.ingresses > 1 && now_ >= part.next_beat) {
            part.next_beat = now_ + kBeatEvery * jitter;
            // So that an older state is found out, and each generation has its check.
            if ((now_ >= part.next_check && std::exchange(part.reported, false)) ||
                (part.check_generation >= 0 && part.check_generation != generation_of(now_ + offset_)))
                want_check(i);
            if (part.beat_out) continue;
            part.beat_out = true;
            Pending pending;
            pending.what = What::beat;
            pending.part = i;
            const double digit = std::pow(4.0, settings_.number);
            const bool there = static_cast<std::uint64_t>(part.beat_total / digit + 1e-6) % 4 != 0;
            pending.by = there ? 0 : digit;
            send(std::move(pending), "b." + std::to_string(i),
                 static_cast<std::uint32_t>(kBeatLife * 1000));
        }
        if (!part.lost && !part.checking && !part.suspects.empty()) want_check(i);
    }
    for (std::size_t left = waiting_.size(); left > 0 && calls_left_ >= 1; --left) {
        const std::uint64_t customer = waiting_.front();
        waiting_.pop_front();
        const auto at = accounts_.find(customer);
        if (at == accounts_.end()) continue;
        at->second.queued = false;
        report_if_due(customer, at->second);
    }
    arm();
}

void Bank::arm() {
    due_ = now_ + kBeatEvery;
    for (const Part& part : parts_) {
        if (part.lost)
            due_ = std::min(due_, part.next_probe);
        else if (settings_.ingresses > 1)
            due_ = std::min(due_, part.next_beat);
        if (!part.lost && part.silent_since > 0) due_ = std::min(due_, part.silent_since + kLostAfter);
    }
    if (!waiting_.empty()) due_ = std::min(due_, now_ + kQueueEvery);
    due_ = std::max(due_, now_);
}

}   // namespace slatejunction::quota
