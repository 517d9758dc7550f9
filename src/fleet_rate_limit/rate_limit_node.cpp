#include "fleet_rate_limit/rate_limit_node.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "fleet_rate_limit.pb.h"

namespace slatejunction::fleet_rate_limit {
namespace {

constexpr double kRound = 1e-9;        // units
constexpr double kAnswerSoon = 0.01;   // s; until an answer is likely to be there
constexpr double kUnitsMost = 1e9;
constexpr std::size_t kLooked = 8;   // that are looked at to forget one

bool plain(double value) { return std::isfinite(value) && std::abs(value) <= kUnitsMost; }

std::uint64_t weight(std::uint32_t limit, std::uint64_t key, const std::string& name) {
    return XXH64(name.data(), name.size(), key ^ (limit * 0x9e3779b97f4a7c15ULL));
}

}   // namespace

RateLimitNode::RateLimitNode(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
    there_ = {settings_.name};
}

const LimitSpec* RateLimitNode::spec(std::uint32_t limit) const {
    const auto at = specs_.find(limit);
    return at == specs_.end() ? nullptr : &at->second;
}

// Of those that are gone nobody knows whether they are dead or only out of sight: they keep their parts.
double RateLimitNode::part() const {
    const double all = static_cast<double>(std::max<std::size_t>(1, settings_.all.size()));
    return std::min(1.0, static_cast<double>(there_.size()) / all);
}

const std::string& RateLimitNode::owner(std::uint32_t limit, std::uint64_t key) const {
    const std::string* best = &there_.front();
    std::uint64_t most = 0;
    for (const std::string& name : there_) {
        const std::uint64_t one = weight(limit, key, name);
        if (one < most) continue;
        most = one;
        best = &name;
    }
    return *best;
}

void RateLimitNode::set_alive_members(double now, std::vector<std::string> there) {
    std::erase_if(there, [&](const auto& name) {
        return !std::binary_search(settings_.all.begin(), settings_.all.end(), name);
    });
    if (there.empty()) there = {settings_.name};
    if (there == there_) return;
    const double before = part();
    there_ = std::move(there);
    // Stores hold their level, whatever the part of the burst they are of now.
    if (const double after = part(); after != before)
        for (auto& [id, store] : stores_) {
            const LimitSpec& s = *spec(id.limit);
            if (s.rate <= 0) continue;
            const double level =
                std::min(s.burst * before, s.burst * before - (store.full_at - now) * s.rate * before);
            store.full_at = now + (s.burst * after - std::min(level, s.burst * after)) / (s.rate * after);
        }
    // What is out at one that is gone is told to the next owner.
    for (auto at = out_.begin(); at != out_.end();) {
        if (std::binary_search(there_.begin(), there_.end(), at->second.owner)) {
            ++at;
            continue;
        }
        give_up(now, at->second);
        owed_since_.erase(at->second.owner);
        at = out_.erase(at);
    }
    auto queues = std::exchange(queues_, {});
    for (auto& [owner, ids] : queues)
        for (const Id& id : ids)
            if (const auto at = accounts_.find(id); at != accounts_.end()) {
                at->second.queued = false;
                report(now, id, at->second);
            }
    on_timer(now);
}

bool RateLimitNode::owner_silent(const std::string& owner) const {
    return owed_since_.contains(owner) && owed_since_.at(owner) < 0;
}

double RateLimitNode::level(const LimitSpec& s, const Account& account, double now) const {
    const double burst = s.burst * part();
    return std::min(burst, account.level + s.rate * part() * (now - account.known_at)) -
           account.unreported - account.flying - account.tally - account.flying_tally;
}

double RateLimitNode::share_level(const LimitSpec& s, const Account& account, double now) const {
    const double burst = share_burst(s, settings_.all.size());
    if (s.rate <= 0) return burst;
    return burst - std::max(0.0, account.share_full_at - now) * share_rate(s, settings_.all.size());
}

// What was kept when this process stood still is old, others may have owned its keys: its stores count as
// empty, and what owners had said is forgotten.
void RateLimitNode::notice(double now) {
    const double gap = now - std::exchange(noticed_at_, now);
    if (gap < kStoodStill || gap > 1e17 || there_.size() < 2) return;
    ++doubts_;
    for (auto& [id, store] : stores_)
        if (const LimitSpec& s = *spec(id.limit); s.rate > 0)
            store.full_at = std::max(store.full_at, now + s.burst / s.rate);
    for (auto& [id, account] : accounts_) account.known_at = kNever;
}

double RateLimitNode::retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double units) {
    notice(now);
    const LimitSpec* const s = spec(limit);
    if (!s || s->rate <= 0) return 0;
    units = std::min(units, s->burst);
    const Id id{limit, key};
    const std::string& owner = this->owner(limit, key);
    if (owner == settings_.name) {
        const auto at = stores_.find(id);
        const double rate = s->rate * part(), burst = s->burst * part();
        const double room =
            at == stores_.end() ? burst : burst - std::max(0.0, at->second.full_at - now) * rate;
        const double wanted = std::min(units, burst);
        return room >= wanted - kRound ? 0 : (wanted - room) / rate;
    }
    const auto at = accounts_.find(id);
    const Account account = at == accounts_.end() ? Account{} : at->second;
    if (owner_silent(owner)) {
        const double room = share_level(*s, account, now);
        return room >= units - kRound ? 0 : (units - room) / share_rate(*s, settings_.all.size());
    }
    if (account.known_at > kNever) {
        const double room = level(*s, account, now);
        if (room < std::min(units, s->burst * part()) - kRound) return (units - room) / (s->rate * part());
    }
    const double held = account.unreported + account.flying;
    return held + units <= credit(*s, settings_.credit) + kRound ? 0 : kAnswerSoon;
}

void RateLimitNode::consume(double now, std::uint32_t limit, std::uint64_t key, double units) {
    const LimitSpec* const s = spec(limit);
    if (!s || s->rate <= 0) return;
    const Id id{limit, key};
    const std::string& owner = this->owner(limit, key);
    if (owner == settings_.name) return void(spend(now, id, *s, units, false, 0));
    if (!accounts_.contains(id) && accounts_.size() >= settings_.keys_most)
        forget(accounts_, [&](const Id& one, const Account& a) {
            const LimitSpec* const of = spec(one.limit);
            return a.unreported + a.flying + a.tally + a.flying_tally == 0 && !a.queued &&
                   (!of || a.known_at <= kNever || level(*of, a, now) >= of->burst * part() - kRound);
        });
    Account& account = accounts_[id];
    account.used_at = now;
    if (account.unreported + account.tally <= 0) account.since = now;
    if (owner_silent(owner)) {
        const double rate = share_rate(*s, settings_.all.size());
        account.share_full_at = std::max(account.share_full_at, now) + units / rate;
        account.tally += units;
    } else {
        account.unreported += units;
    }
    report(now, id, account);
}

// At once near the limit; far from it what is held waits a little, so that several units and keys go
// together.
void RateLimitNode::report(double now, const Id& id, Account& account) {
    const LimitSpec* const s = spec(id.limit);
    if (!s || account.queued || account.unreported + account.tally <= 0) return;
    const std::string& owner = this->owner(id.limit, id.key);
    if (owner == settings_.name) {   // it has become this one's
        const bool knows = account.known_at > kNever;
        const double hint = std::min(s->burst, account.level + s->rate * (now - account.known_at));
        spend(now, id, *s, account.unreported + account.tally, knows, hint);
        account.unreported = account.tally = 0;
        return;
    }
    const double held = account.unreported + account.flying;
    const bool far = account.known_at > kNever && level(*s, account, now) > s->burst * part() / 2;
    const bool room = held + s->max_request_units <= credit(*s, settings_.credit) - kRound;
    if (far && room && now < account.since + kHeldFor) {
        held_due_ = std::min(held_due_, account.since + kHeldFor);
        return;
    }
    // One report of a key at a time: what comes meanwhile goes with the next.
    if (account.flying + account.flying_tally > 0) return;
    account.queued = true;
    queues_[owner].push_back(id);
}

void RateLimitNode::flush(double now, const std::string& owner) {
    auto& ids = queues_[owner];
    while (!ids.empty()) {
        const std::size_t count = std::min(ids.size(), kBatchMost);
        wire::Batch batch;
        Report made;
        batch.set_number(made.number = ++numbers_);
        made.owner = owner;
        for (std::size_t i = 0; i < count; ++i) {
            const Id& id = ids[i];
            const auto at = accounts_.find(id);
            if (at == accounts_.end()) continue;
            Account& account = at->second;
            account.queued = false;
            account.flying = std::exchange(account.unreported, 0);
            account.flying_tally = std::exchange(account.tally, 0);
            wire::Item& item = *batch.add_item();
            item.set_limit(id.limit);
            item.set_key(id.key);
            item.set_units(account.flying + account.flying_tally);
            if (account.known_at > kNever) {
                const LimitSpec& s = *spec(id.limit);
                item.set_knows(true);
                item.set_level(
                    std::min(s.burst, account.level + s.rate * part() * (now - account.known_at)));
            }
            made.ids.push_back(id);
        }
        ids.erase(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(count));
        if (made.ids.empty()) continue;
        made.body = batch.SerializeAsString();
        made.sent_at = made.first_at = now;
        ++sent_;
        posts_.push_back({owner, made.body});
        owed_since_.emplace(owner, now);
        out_.emplace(made.number, std::move(made));
    }
}

// The owner's store.
double RateLimitNode::spend(double now, const Id& id, const LimitSpec& s, double units, bool knows,
                            double hint) {
    const double rate = s.rate * part(), burst = s.burst * part();
    auto at = stores_.find(id);
    if (at == stores_.end()) {
        if (stores_.size() >= settings_.keys_most)
            forget(stores_, [&](const Id&, const Store& one) { return one.full_at <= now; });
        // The owner before this one told who reports what there was; nobody else can know.
        const double level = knows ? std::clamp(hint, -burst, burst) : burst;
        at = stores_.emplace(id, Store{now + (burst - level) / rate, now}).first;
    }
    Store& store = at->second;
    store.used_at = now;
    store.full_at = std::max(store.full_at, now) + units / rate;
    return burst - (store.full_at - now) * rate;
}

void RateLimitNode::receive(double now, const std::string& from, std::uint64_t process,
                            std::string_view body) {
    notice(now);
    wire::Batch batch;
    if (!batch.ParseFromArray(body.data(), static_cast<int>(body.size())) || batch.number() == 0 ||
        batch.item_size() > static_cast<int>(kBatchMost)) {
        ++unreadable_;
        return;
    }
    if (batch.answer())
        answered(now, batch);
    else
        answer(now, from, process, batch);
}

// Each report counts once, however often it comes; one that is so old that its answer is forgotten has
// none.
void RateLimitNode::answer(double now, const std::string& from, std::uint64_t process,
                           const wire::Batch& batch) {
    const std::uint64_t number = batch.number();
    if (reporters_.size() >= kReporters && !reporters_.contains(process))
        reporters_.erase(std::min_element(
            reporters_.begin(), reporters_.end(),
            [](const auto& a, const auto& b) { return a.second.heard_at < b.second.heard_at; }));
    Reporter& reporter = reporters_[process];
    reporter.heard_at = now;
    for (const auto& [known, text] : reporter.answers)
        if (known == number) return posts_.push_back({from, text});
    if (number + kRemembered <= reporter.highest) return;
    wire::Batch made;
    made.set_answer(true);
    made.set_number(number);
    for (const wire::Item& one : batch.item()) {
        const LimitSpec* const s = spec(one.limit());
        if (!s || s->rate <= 0 || !plain(one.units()) || one.units() < 0 || !plain(one.level())) continue;
        wire::Item& item = *made.add_item();
        item.set_limit(one.limit());
        item.set_key(one.key());
        item.set_level(spend(now, {one.limit(), one.key()}, *s, one.units(), one.knows(), one.level()));
        item.set_knows(true);
    }
    reporter.highest = std::max(reporter.highest, number);
    reporter.answers.emplace_back(number, made.SerializeAsString());
    if (reporter.answers.size() > kRemembered) reporter.answers.pop_front();
    ++sent_;
    posts_.push_back({from, reporter.answers.back().second});
}

void RateLimitNode::answered(double now, const wire::Batch& batch) {
    const auto at = out_.find(batch.number());
    if (at == out_.end()) return;   // come twice, or given up
    const Report report = std::move(at->second);
    out_.erase(at);
    owed_since_.erase(report.owner);
    for (const auto& [other, one] : out_)
        if (one.owner == report.owner) owed_since_.emplace(one.owner, now);
    for (const Id& id : report.ids)
        if (const auto one = accounts_.find(id); one != accounts_.end())
            one->second.flying = one->second.flying_tally = 0;
    for (const wire::Item& item : batch.item()) {
        const Id id{item.limit(), item.key()};
        const auto one = accounts_.find(id);
        if (one == accounts_.end() || !plain(item.level())) continue;
        one->second.level = item.level();
        one->second.known_at = now;
    }
    for (const Id& id : report.ids)
        if (const auto one = accounts_.find(id); one != accounts_.end()) {
            if (one->second.unreported + one->second.tally > 0) one->second.since = now;
            this->report(now, id, one->second);
        }
    flush(now, report.owner);
}

// Whether the owner has counted it is not known: it is told again to the next one, to the key's loss.
void RateLimitNode::give_up(double now, Report& report) {
    for (const Id& id : report.ids) {
        const auto at = accounts_.find(id);
        if (at == accounts_.end()) continue;
        Account& account = at->second;
        if (account.unreported + account.tally <= 0) account.since = now;
        account.unreported += std::exchange(account.flying, 0);
        account.tally += std::exchange(account.flying_tally, 0);
        this->report(now, id, account);
    }
}

void RateLimitNode::on_timer(double now) {
    notice(now);
    for (auto& [owner, since] : owed_since_)
        if (since >= 0 && now >= since + kSilentAfter) since = -1;   // silent
    for (auto& [number, report] : out_)
        if (now >= report.sent_at + kAgain * (owner_silent(report.owner) ? 4 : 1)) {
            report.sent_at = now;
            ++sent_;
            posts_.push_back({report.owner, report.body});
        }
    if (now >= held_due_) {
        held_due_ = 1e18;
        for (auto& [id, account] : accounts_) report(now, id, account);
    }
    for (auto& [owner, ids] : queues_)
        if (!ids.empty()) flush(now, owner);
}

double RateLimitNode::next_deadline() const {
    double next = there_.size() < 2 ? held_due_ : std::min(held_due_, noticed_at_ + kNoticeEvery);
    for (const auto& [owner, since] : owed_since_)
        if (since >= 0) next = std::min(next, since + kSilentAfter);
    for (const auto& [number, report] : out_)
        next = std::min(next, report.sent_at + kAgain * (owner_silent(report.owner) ? 4 : 1));
    for (const auto& [owner, ids] : queues_)
        if (!ids.empty()) next = std::min(next, 0.0);
    return next;
}

// The least used of a few, those that lose nothing by it first.
template <class Table, class Full>
void RateLimitNode::forget(Table& table, Full full) {
    if (table.empty()) return;
    auto worst = table.end();
    bool worst_full = false;
    std::size_t bucket = random_() % table.bucket_count();
    for (std::size_t looked = 0; looked < kLooked; bucket = (bucket + 1) % table.bucket_count())
        for (auto at = table.begin(bucket); at != table.end(bucket) && looked < kLooked; ++at, ++looked) {
            const bool loses_nothing = full(at->first, at->second);
            if (worst != table.end() &&
                (worst_full > loses_nothing ||
                 (worst_full == loses_nothing && worst->second.used_at <= at->second.used_at)))
                continue;
            worst = table.find(at->first);
            worst_full = loses_nothing;
        }
    forgotten_ += !worst_full;
    table.erase(worst);
}

}   // namespace slatejunction::fleet_rate_limit
