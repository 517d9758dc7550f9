#include "fleet_rate_limit/rate_limit_node.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "fleet_rate_limit.pb.h"

namespace slatejunction::fleet_rate_limit {
namespace {

constexpr double kUnitsTolerance = 1e-9;   // of sums of units
constexpr double kAwaitReplyS = 0.01;      // retry-after while a reply of the owner is awaited
constexpr double kMaxUnits = 1e9;          // in a datagram; more is not plausible
constexpr double kUnresponsive = -1;       // in awaiting_reply_since_s_
constexpr double kNoDeadlineS = 1e18;
constexpr double kLongestPauseS = 1e17;   // longer: the first event of the process
constexpr double kUnresponsiveRetransmitFactor = 4;
constexpr std::size_t kEvictionCandidates = 8;

bool plausible(double value) { return std::isfinite(value) && std::abs(value) <= kMaxUnits; }

// Highest random weight: D. Thaler, C. Ravishankar, 1998.
std::uint64_t rendezvous_weight(std::uint32_t limit, std::uint64_t key, const std::string& name) {
    return XXH64(name.data(), name.size(), key ^ (limit * 0x9e3779b97f4a7c15ULL));
}

}   // namespace

RateLimitNode::RateLimitNode(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
    alive_members_ = {settings_.name};
}

const LimitSpec* RateLimitNode::spec(std::uint32_t limit) const {
    const auto at = specs_.find(limit);
    return at == specs_.end() ? nullptr : &at->second;
}

// Fraction of rate and burst that the ingresses visible from here may grant. Ingresses that are not visible
// may be dead or only partitioned: their fractions stay reserved for them.
double RateLimitNode::visible_fraction() const {
    const double ingresses = static_cast<double>(std::max<std::size_t>(1, settings_.ingresses.size()));
    return std::min(1.0, static_cast<double>(alive_members_.size()) / ingresses);
}

const std::string& RateLimitNode::owner(std::uint32_t limit, std::uint64_t key) const {
    const std::string* best = &alive_members_.front();
    std::uint64_t highest = 0;
    for (const std::string& name : alive_members_) {
        const std::uint64_t weight = rendezvous_weight(limit, key, name);
        if (weight < highest) continue;
        highest = weight;
        best = &name;
    }
    return *best;
}

void RateLimitNode::set_alive_members(double now, std::vector<std::string> alive) {
    std::erase_if(alive, [&](const auto& name) {
        return !std::binary_search(settings_.ingresses.begin(), settings_.ingresses.end(), name);
    });
    if (alive.empty()) alive = {settings_.name};
    if (alive == alive_members_) return;
    const double before = visible_fraction();
    alive_members_ = std::move(alive);
    rescale_owned_buckets(now, before, visible_fraction());
    requeue_reports_to_departed_owners(now);
    requeue_all(now);
    on_timer(now);
}

// Buckets keep their level when the fraction of rate and burst changes from `before` to `after`.
void RateLimitNode::rescale_owned_buckets(double now, double before, double after) {
    if (after == before) return;
    for (auto& [id, bucket] : owned_buckets_) {
        const LimitSpec& limit = *spec(id.limit);
        if (limit.rate <= 0) continue;
        const double old_burst = limit.burst * before;
        const double new_burst = limit.burst * after;
        const double level =
            std::min(old_burst, old_burst - (bucket.full_at_s - now) * limit.rate * before);
        bucket.full_at_s = now + (new_burst - std::min(level, new_burst)) / (limit.rate * after);
    }
}

// Usage in flight to an owner that has departed is reported to the next owner.
void RateLimitNode::requeue_reports_to_departed_owners(double now) {
    for (auto report = reports_in_flight_.begin(); report != reports_in_flight_.end();) {
        const std::string& owner = report->second.owner;
        if (std::binary_search(alive_members_.begin(), alive_members_.end(), owner)) {
            ++report;
            continue;
        }
        requeue_report(now, report->second);
        awaiting_reply_since_s_.erase(owner);
        report = reports_in_flight_.erase(report);
    }
}

// Assigns queued reports to the owners of now.
void RateLimitNode::requeue_all(double now) {
    const auto queues = std::exchange(queued_reports_, {});
    for (const auto& [owner, ids] : queues)
        for (const BucketId& id : ids) {
            const auto state = reporter_states_.find(id);
            if (state == reporter_states_.end()) continue;
            state->second.report_queued = false;
            report_if_due(now, id, state->second);
        }
}

bool RateLimitNode::owner_unresponsive(const std::string& owner) const {
    const auto since = awaiting_reply_since_s_.find(owner);
    return since != awaiting_reply_since_s_.end() && since->second < 0;
}

double RateLimitNode::available_units(const LimitSpec& s, const ReporterState& state, double now) const {
    const double burst = s.burst * visible_fraction();
    return std::min(burst,
                    state.owner_level + s.rate * visible_fraction() * (now - state.owner_level_at_s)) -
           state.unreported_units - state.in_flight_units - state.fallback_units -
           state.in_flight_fallback_units;
}

double RateLimitNode::fallback_units_available(const LimitSpec& s, const ReporterState& state,
                                               double now) const {
    const double burst = fallback_burst(s, settings_.ingresses.size());
    if (s.rate <= 0) return burst;
    return burst -
           std::max(0.0, state.fallback_full_at_s - now) * fallback_rate(s, settings_.ingresses.size());
}

// After a pause of this process its state is stale, and other ingresses may have owned its keys meanwhile:
// its owned buckets count as empty, and the owners' last replies are dropped.
void RateLimitNode::detect_process_pause(double now) {
    const double gap = now - std::exchange(last_event_at_s_, now);
    if (gap < kProcessPauseS || gap > kLongestPauseS || alive_members_.size() < 2) return;
    ++process_pauses_;
    for (auto& [id, bucket] : owned_buckets_)
        if (const LimitSpec& limit = *spec(id.limit); limit.rate > 0)
            bucket.full_at_s = std::max(bucket.full_at_s, now + limit.burst / limit.rate);
    for (auto& [id, state] : reporter_states_) state.owner_level_at_s = kNeverS;
}

// As the key's owner: by the owned bucket.
double RateLimitNode::owner_retry_after_s(double now, const BucketId& id, const LimitSpec& s,
                                          double units) const {
    const auto bucket = owned_buckets_.find(id);
    const double rate = s.rate * visible_fraction();
    const double burst = s.burst * visible_fraction();
    const double available = bucket == owned_buckets_.end()
                                 ? burst
                                 : burst - std::max(0.0, bucket->second.full_at_s - now) * rate;
    const double wanted = std::min(units, burst);
    return available >= wanted - kUnitsTolerance ? 0 : (wanted - available) / rate;
}

double RateLimitNode::retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double units) {
    detect_process_pause(now);
    const LimitSpec* const s = spec(limit);
    if (!s || s->rate <= 0) return 0;
    units = std::min(units, s->burst);
    const BucketId id{limit, key};
    const std::string& owner = this->owner(limit, key);
    if (owner == settings_.name) return owner_retry_after_s(now, id, *s, units);
    const auto found = reporter_states_.find(id);
    const ReporterState state = found == reporter_states_.end() ? ReporterState{} : found->second;
    if (owner_unresponsive(owner)) {
        const double available = fallback_units_available(*s, state, now);
        return available >= units - kUnitsTolerance
                   ? 0
                   : (units - available) / fallback_rate(*s, settings_.ingresses.size());
    }
    if (state.owner_level_at_s > kNeverS) {
        const double available = available_units(*s, state, now);
        if (available < std::min(units, s->burst * visible_fraction()) - kUnitsTolerance)
            return (units - available) / (s->rate * visible_fraction());
    }
    const double not_at_owner = state.unreported_units + state.in_flight_units;
    return not_at_owner + units <= max_unreported(*s, settings_.max_unreported_units) + kUnitsTolerance
               ? 0
               : kAwaitReplyS;
}

void RateLimitNode::consume(double now, std::uint32_t limit, std::uint64_t key, double units) {
    const LimitSpec* const s = spec(limit);
    if (!s || s->rate <= 0) return;
    const BucketId id{limit, key};
    const std::string& owner = this->owner(limit, key);
    if (owner == settings_.name) {
        charge_owned_bucket(now, id, *s, units, {});
        return;
    }
    if (!reporter_states_.contains(id) && reporter_states_.size() >= settings_.max_keys)
        evict_one(reporter_states_, [&](const BucketId& other, const ReporterState& state) {
            const LimitSpec* const of = spec(other.limit);
            return state.unreported_units + state.in_flight_units + state.fallback_units +
                           state.in_flight_fallback_units ==
                       0 &&
                   !state.report_queued &&
                   (!of || state.owner_level_at_s <= kNeverS ||
                    available_units(*of, state, now) >= of->burst * visible_fraction() - kUnitsTolerance);
        });
    ReporterState& state = reporter_states_[id];
    state.last_used_at_s = now;
    if (state.unreported_units + state.fallback_units <= 0) state.unreported_since_s = now;
    if (owner_unresponsive(owner)) {
        const double rate = fallback_rate(*s, settings_.ingresses.size());
        state.fallback_full_at_s = std::max(state.fallback_full_at_s, now) + units / rate;
        state.fallback_units += units;
    } else {
        state.unreported_units += units;
    }
    report_if_due(now, id, state);
}

// Queues a report for the owner: at once near the limit, and up to kReportDelayS later far from it, so that
// several units and keys go in one datagram.
void RateLimitNode::report_if_due(double now, const BucketId& id, ReporterState& state) {
    const LimitSpec* const s = spec(id.limit);
    if (!s || state.report_queued || state.unreported_units + state.fallback_units <= 0) return;
    const std::string& owner = this->owner(id.limit, id.key);
    if (owner == settings_.name) {   // this ingress has become the owner
        std::optional<double> last_known_level;
        if (state.owner_level_at_s > kNeverS)
            last_known_level =
                std::min(s->burst, state.owner_level + s->rate * (now - state.owner_level_at_s));
        charge_owned_bucket(now, id, *s, state.unreported_units + state.fallback_units, last_known_level);
        state.unreported_units = 0;
        state.fallback_units = 0;
        return;
    }
    const double not_at_owner = state.unreported_units + state.in_flight_units;
    const bool far_from_limit = state.owner_level_at_s > kNeverS &&
                                available_units(*s, state, now) > s->burst * visible_fraction() / 2;
    const bool fits_another = not_at_owner + s->max_request_units <=
                              max_unreported(*s, settings_.max_unreported_units) - kUnitsTolerance;
    if (far_from_limit && fits_another && now < state.unreported_since_s + kReportDelayS) {
        deferred_reports_at_s_ = std::min(deferred_reports_at_s_, state.unreported_since_s + kReportDelayS);
        return;
    }
    // At most one report of a key is in flight; usage meanwhile goes with the next.
    if (state.in_flight_units + state.in_flight_fallback_units > 0) return;
    state.report_queued = true;
    queued_reports_[owner].push_back(id);
}

void RateLimitNode::send_reports(double now, const std::string& owner) {
    auto& ids = queued_reports_[owner];
    while (!ids.empty()) {
        const std::size_t count = std::min(ids.size(), kMaxBatchKeys);
        wire::Batch batch;
        Report report;
        report.number = ++last_report_number_;
        batch.set_number(report.number);
        report.owner = owner;
        for (std::size_t i = 0; i < count; ++i) {
            const BucketId& id = ids[i];
            const auto at = reporter_states_.find(id);
            if (at == reporter_states_.end()) continue;
            ReporterState& state = at->second;
            state.report_queued = false;
            state.in_flight_units = std::exchange(state.unreported_units, 0);
            state.in_flight_fallback_units = std::exchange(state.fallback_units, 0);
            wire::Item& item = *batch.add_item();
            item.set_limit(id.limit);
            item.set_key(id.key);
            item.set_units(state.in_flight_units + state.in_flight_fallback_units);
            if (state.owner_level_at_s > kNeverS) {
                const LimitSpec& s = *spec(id.limit);
                item.set_knows(true);
                item.set_level(std::min(s.burst, state.owner_level + s.rate * visible_fraction() *
                                                                         (now - state.owner_level_at_s)));
            }
            report.buckets.push_back(id);
        }
        ids.erase(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(count));
        if (report.buckets.empty()) continue;
        report.body = batch.SerializeAsString();
        report.last_sent_at_s = now;
        ++datagrams_sent_;
        outgoing_.push_back({owner, report.body});
        awaiting_reply_since_s_.emplace(owner, now);
        reports_in_flight_.emplace(report.number, std::move(report));
    }
}

// Charges the owner's bucket; returns the units left. `last_known_level`: of the reporter, for a bucket
// that does not exist here yet.
double RateLimitNode::charge_owned_bucket(double now, const BucketId& id, const LimitSpec& s, double units,
                                          std::optional<double> last_known_level) {
    const double rate = s.rate * visible_fraction();
    const double burst = s.burst * visible_fraction();
    auto at = owned_buckets_.find(id);
    if (at == owned_buckets_.end()) {
        if (owned_buckets_.size() >= settings_.max_keys)
            evict_one(owned_buckets_,
                      [&](const BucketId&, const OwnedBucket& bucket) { return bucket.full_at_s <= now; });
        // Only the reporter can know the level that the previous owner had.
        const double level = last_known_level ? std::clamp(*last_known_level, -burst, burst) : burst;
        at = owned_buckets_.emplace(id, OwnedBucket{now + (burst - level) / rate, now}).first;
    }
    OwnedBucket& bucket = at->second;
    bucket.last_used_at_s = now;
    bucket.full_at_s = std::max(bucket.full_at_s, now) + units / rate;
    return burst - (bucket.full_at_s - now) * rate;
}

void RateLimitNode::on_datagram(double now, const std::string& from, std::uint64_t process,
                                std::string_view body) {
    detect_process_pause(now);
    wire::Batch batch;
    if (!batch.ParseFromArray(body.data(), static_cast<int>(body.size())) || batch.number() == 0 ||
        batch.item_size() > static_cast<int>(kMaxBatchKeys)) {
        ++malformed_datagrams_;
        return;
    }
    if (batch.answer())
        on_reply(now, batch);
    else
        on_report(now, from, process, batch);
}

// Invariant: each report is counted once, however often it arrives. A report so old that its reply is no
// longer kept gets none.
void RateLimitNode::on_report(double now, const std::string& from, std::uint64_t process,
                              const wire::Batch& batch) {
    const std::uint64_t number = batch.number();
    if (reporters_.size() >= kMaxReporters && !reporters_.contains(process))
        reporters_.erase(
            std::min_element(reporters_.begin(), reporters_.end(), [](const auto& left, const auto& right) {
                return left.second.last_received_at_s < right.second.last_received_at_s;
            }));
    Reporter& reporter = reporters_[process];
    reporter.last_received_at_s = now;
    for (const auto& [replied_number, body] : reporter.recent_replies)
        if (replied_number == number) return outgoing_.push_back({from, body});
    if (number + kRepliesKept <= reporter.highest_number) return;
    wire::Batch reply;
    reply.set_answer(true);
    reply.set_number(number);
    for (const wire::Item& reported : batch.item()) {
        const LimitSpec* const s = spec(reported.limit());
        if (!s || s->rate <= 0 || !plausible(reported.units()) || reported.units() < 0 ||
            !plausible(reported.level()))
            continue;
        std::optional<double> last_known_level;
        if (reported.knows()) last_known_level = reported.level();
        wire::Item& item = *reply.add_item();
        item.set_limit(reported.limit());
        item.set_key(reported.key());
        item.set_level(charge_owned_bucket(now, {reported.limit(), reported.key()}, *s, reported.units(),
                                           last_known_level));
        item.set_knows(true);
    }
    reporter.highest_number = std::max(reporter.highest_number, number);
    reporter.recent_replies.emplace_back(number, reply.SerializeAsString());
    if (reporter.recent_replies.size() > kRepliesKept) reporter.recent_replies.pop_front();
    ++datagrams_sent_;
    outgoing_.push_back({from, reporter.recent_replies.back().second});
}

void RateLimitNode::on_reply(double now, const wire::Batch& batch) {
    const auto at = reports_in_flight_.find(batch.number());
    if (at == reports_in_flight_.end()) return;   // a duplicate, or requeued since
    const Report report = std::move(at->second);
    reports_in_flight_.erase(at);
    awaiting_reply_since_s_.erase(report.owner);
    for (const auto& [number, other] : reports_in_flight_)
        if (other.owner == report.owner) awaiting_reply_since_s_.emplace(other.owner, now);
    for (const BucketId& id : report.buckets)
        if (const auto state = reporter_states_.find(id); state != reporter_states_.end()) {
            state->second.in_flight_units = 0;
            state->second.in_flight_fallback_units = 0;
        }
    for (const wire::Item& item : batch.item()) {
        const BucketId id{item.limit(), item.key()};
        const auto state = reporter_states_.find(id);
        if (state == reporter_states_.end() || !plausible(item.level())) continue;
        state->second.owner_level = item.level();
        state->second.owner_level_at_s = now;
    }
    for (const BucketId& id : report.buckets)
        if (const auto state = reporter_states_.find(id); state != reporter_states_.end()) {
            if (state->second.unreported_units + state->second.fallback_units > 0)
                state->second.unreported_since_s = now;
            this->report_if_due(now, id, state->second);
        }
    send_reports(now, report.owner);
}

// Whether the owner has counted the report is unknown: it is reported again, which may reject requests
// within the limit but admits none beyond it.
void RateLimitNode::requeue_report(double now, Report& report) {
    for (const BucketId& id : report.buckets) {
        const auto at = reporter_states_.find(id);
        if (at == reporter_states_.end()) continue;
        ReporterState& state = at->second;
        if (state.unreported_units + state.fallback_units <= 0) state.unreported_since_s = now;
        state.unreported_units += std::exchange(state.in_flight_units, 0);
        state.fallback_units += std::exchange(state.in_flight_fallback_units, 0);
        this->report_if_due(now, id, state);
    }
}

double RateLimitNode::retransmit_period_s(const std::string& owner) const {
    return kRetransmitS * (owner_unresponsive(owner) ? kUnresponsiveRetransmitFactor : 1);
}

void RateLimitNode::on_timer(double now) {
    detect_process_pause(now);
    for (auto& [owner, since] : awaiting_reply_since_s_)
        if (since >= 0 && now >= since + kUnresponsiveAfterS) since = kUnresponsive;
    for (auto& [number, report] : reports_in_flight_)
        if (now >= report.last_sent_at_s + retransmit_period_s(report.owner)) {
            report.last_sent_at_s = now;
            ++datagrams_sent_;
            outgoing_.push_back({report.owner, report.body});
        }
    if (now >= deferred_reports_at_s_) {
        deferred_reports_at_s_ = kNoDeadlineS;
        for (auto& [id, state] : reporter_states_) report_if_due(now, id, state);
    }
    for (auto& [owner, ids] : queued_reports_)
        if (!ids.empty()) send_reports(now, owner);
}

double RateLimitNode::next_deadline() const {
    double next = alive_members_.size() < 2
                      ? deferred_reports_at_s_
                      : std::min(deferred_reports_at_s_, last_event_at_s_ + kPauseCheckPeriodS);
    for (const auto& [owner, since] : awaiting_reply_since_s_)
        if (since >= 0) next = std::min(next, since + kUnresponsiveAfterS);
    for (const auto& [number, report] : reports_in_flight_)
        next = std::min(next, report.last_sent_at_s + retransmit_period_s(report.owner));
    for (const auto& [owner, ids] : queued_reports_)
        if (!ids.empty()) next = std::min(next, 0.0);
    return next;
}

// Evicts one of a few randomly chosen entries: one that loses nothing by it, else the least recently used.
template <class Table, class LosesNothing>
void RateLimitNode::evict_one(Table& table, LosesNothing loses_nothing_by_it) {
    if (table.empty()) return;
    auto victim = table.end();
    bool victim_loses_nothing = false;
    std::size_t bucket = random_() % table.bucket_count();
    for (std::size_t candidates = 0; candidates < kEvictionCandidates;
         bucket = (bucket + 1) % table.bucket_count())
        for (auto at = table.begin(bucket); at != table.end(bucket) && candidates < kEvictionCandidates;
             ++at, ++candidates) {
            const bool loses_nothing = loses_nothing_by_it(at->first, at->second);
            if (victim != table.end() && (victim_loses_nothing > loses_nothing ||
                                          (victim_loses_nothing == loses_nothing &&
                                           victim->second.last_used_at_s <= at->second.last_used_at_s)))
                continue;
            victim = table.find(at->first);
            victim_loses_nothing = loses_nothing;
        }
    lossy_evictions_ += !victim_loses_nothing;
    table.erase(victim);
}

}   // namespace slatejunction::fleet_rate_limit
