#include "fleet_rate_limit/rate_limit_node.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "fleet_rate_limit.pb.h"

namespace slatejunction::fleet_rate_limit {
namespace {

constexpr double kUnitsTolerance = 1e-9;          // rounding tolerance of sums of units
constexpr double kAwaitReplyRetryAfterS = 0.01;   // retry-after while the owner's reply is awaited
constexpr double kMaxPlausibleUnits = 1e9;        // a datagram's item with more units is ignored
constexpr double kUnresponsive = -1;              // marks an owner in awaiting_reply_since_s_
constexpr double kNoDeadlineS = 1e18;
constexpr double kMaxPauseS = 1e17;   // a longer gap precedes the first event of the process
constexpr double kUnresponsiveRetransmitFactor = 4;
constexpr std::size_t kEvictionCandidates = 8;

bool is_plausible_units(double value) {
    return std::isfinite(value) && std::abs(value) <= kMaxPlausibleUnits;
}

// Rendezvous (highest random weight) hashing: D. Thaler, C. Ravishankar, 1998.
std::uint64_t rendezvous_weight(std::uint32_t limit, std::uint64_t key, const std::string& name) {
    return XXH64(name.data(), name.size(), key ^ (limit * 0x9e3779b97f4a7c15ULL));
}

}   // namespace

RateLimitNode::RateLimitNode(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
    alive_members_ = {settings_.name};
}

const LimitSpec* RateLimitNode::find_spec(std::uint32_t limit) const {
    const auto at = specs_.find(limit);
    return at == specs_.end() ? nullptr : &at->second;
}

// Returns the fraction of rate and burst that the visible (alive) ingresses may grant. An ingress that is
// not visible may be dead or only partitioned, so its fraction stays reserved for it.
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
    reassign_queued_reports(now);
    on_timer(now);
}

// Preserves the levels of the owned buckets when the fraction of rate and burst changes from `before` to
// `after`.
void RateLimitNode::rescale_owned_buckets(double now, double before, double after) {
    if (after == before) return;
    for (auto& [id, bucket] : owned_buckets_) {
        const LimitSpec& limit = *find_spec(id.limit);
        if (limit.rate <= 0) continue;
        const double old_burst = limit.burst * before;
        const double new_burst = limit.burst * after;
        const double level =
            std::min(old_burst, old_burst - (bucket.full_at_s - now) * limit.rate * before);
        bucket.full_at_s = now + (new_burst - std::min(level, new_burst)) / (limit.rate * after);
    }
}

// Reports usage that is in flight to an owner that has departed to the next owner instead.
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

// Moves queued reports to the keys' current owners.
void RateLimitNode::reassign_queued_reports(double now) {
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

double RateLimitNode::available_units(const LimitSpec& spec, const ReporterState& state, double now) const {
    const double burst = spec.burst * visible_fraction();
    return std::min(burst,
                    state.owner_level + spec.rate * visible_fraction() * (now - state.owner_level_at_s)) -
           state.unreported_units - state.in_flight_units - state.fallback_units -
           state.in_flight_fallback_units;
}

double RateLimitNode::fallback_units_available(const LimitSpec& spec, const ReporterState& state,
                                               double now) const {
    const double burst = fallback_burst(spec, settings_.ingresses.size());
    if (spec.rate <= 0) return burst;
    return burst -
           std::max(0.0, state.fallback_full_at_s - now) * fallback_rate(spec, settings_.ingresses.size());
}

// After a pause of this process its state is stale, and other ingresses may have owned its keys in the
// meantime. The owned buckets therefore count as empty, and the owners' last replies are discarded.
void RateLimitNode::detect_process_pause(double now) {
    const double gap_s = now - std::exchange(last_event_at_s_, now);
    if (gap_s < kProcessPauseS || gap_s > kMaxPauseS || alive_members_.size() < 2) return;
    ++process_pauses_;
    for (auto& [id, bucket] : owned_buckets_)
        if (const LimitSpec& limit = *find_spec(id.limit); limit.rate > 0)
            bucket.full_at_s = std::max(bucket.full_at_s, now + limit.burst / limit.rate);
    for (auto& [id, state] : reporter_states_) state.owner_level_at_s = kNeverS;
}

// Decides for a key that this ingress owns, by its bucket.
double RateLimitNode::owner_retry_after_s(double now, const BucketId& id, const LimitSpec& spec,
                                          double units) const {
    const auto bucket = owned_buckets_.find(id);
    const double rate = spec.rate * visible_fraction();
    const double burst = spec.burst * visible_fraction();
    const double available = bucket == owned_buckets_.end()
                                 ? burst
                                 : burst - std::max(0.0, bucket->second.full_at_s - now) * rate;
    const double wanted = std::min(units, burst);
    return available >= wanted - kUnitsTolerance ? 0 : (wanted - available) / rate;
}

double RateLimitNode::retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double units) {
    detect_process_pause(now);
    const LimitSpec* const spec = find_spec(limit);
    if (!spec || spec->rate <= 0) return 0;
    units = std::min(units, spec->burst);
    const BucketId id{limit, key};
    const std::string& owner = this->owner(limit, key);
    if (owner == settings_.name) return owner_retry_after_s(now, id, *spec, units);
    const auto found = reporter_states_.find(id);
    const ReporterState state = found == reporter_states_.end() ? ReporterState{} : found->second;
    if (owner_unresponsive(owner)) {
        const double available = fallback_units_available(*spec, state, now);
        return available >= units - kUnitsTolerance
                   ? 0
                   : (units - available) / fallback_rate(*spec, settings_.ingresses.size());
    }
    if (state.owner_level_at_s > kNeverS) {
        const double available = available_units(*spec, state, now);
        if (available < std::min(units, spec->burst * visible_fraction()) - kUnitsTolerance)
            return (units - available) / (spec->rate * visible_fraction());
    }
    const double unknown_to_owner = state.unreported_units + state.in_flight_units;
    return unknown_to_owner + units <=
                   max_unreported(*spec, settings_.max_unreported_units) + kUnitsTolerance
               ? 0
               : kAwaitReplyRetryAfterS;
}

void RateLimitNode::consume(double now, std::uint32_t limit, std::uint64_t key, double units) {
    const LimitSpec* const spec = find_spec(limit);
    if (!spec || spec->rate <= 0) return;
    const BucketId id{limit, key};
    const std::string& owner = this->owner(limit, key);
    if (owner == settings_.name) {
        charge_owned_bucket(now, id, *spec, units, {});
        return;
    }
    if (!reporter_states_.contains(id) && reporter_states_.size() >= settings_.max_keys)
        evict_one(reporter_states_, [&](const BucketId& other, const ReporterState& state) {
            const LimitSpec* const other_spec = find_spec(other.limit);
            return state.unreported_units + state.in_flight_units + state.fallback_units +
                           state.in_flight_fallback_units ==
                       0 &&
                   !state.report_queued &&
                   (!other_spec || state.owner_level_at_s <= kNeverS ||
                    available_units(*other_spec, state, now) >=
                        other_spec->burst * visible_fraction() - kUnitsTolerance);
        });
    ReporterState& state = reporter_states_[id];
    state.last_used_at_s = now;
    if (state.unreported_units + state.fallback_units <= 0) state.unreported_since_s = now;
    if (owner_unresponsive(owner)) {
        const double rate = fallback_rate(*spec, settings_.ingresses.size());
        state.fallback_full_at_s = std::max(state.fallback_full_at_s, now) + units / rate;
        state.fallback_units += units;
    } else {
        state.unreported_units += units;
    }
    report_if_due(now, id, state);
}

// Queues a report to the owner if one is due: at once near the limit, and up to kReportDelayS later far
// from it, so that one datagram carries several units and keys.
void RateLimitNode::report_if_due(double now, const BucketId& id, ReporterState& state) {
    const LimitSpec* const spec = find_spec(id.limit);
    if (!spec || state.report_queued || state.unreported_units + state.fallback_units <= 0) return;
    const std::string& owner = this->owner(id.limit, id.key);
    if (owner == settings_.name) {   // this ingress has become the owner
        std::optional<double> last_known_level;
        if (state.owner_level_at_s > kNeverS)
            last_known_level =
                std::min(spec->burst, state.owner_level + spec->rate * (now - state.owner_level_at_s));
        charge_owned_bucket(now, id, *spec, state.unreported_units + state.fallback_units,
                            last_known_level);
        state.unreported_units = 0;
        state.fallback_units = 0;
        return;
    }
    const double unknown_to_owner = state.unreported_units + state.in_flight_units;
    const bool far_from_limit = state.owner_level_at_s > kNeverS &&
                                available_units(*spec, state, now) > spec->burst * visible_fraction() / 2;
    const bool fits_another_request =
        unknown_to_owner + spec->max_request_units <=
        max_unreported(*spec, settings_.max_unreported_units) - kUnitsTolerance;
    if (far_from_limit && fits_another_request && now < state.unreported_since_s + kReportDelayS) {
        deferred_reports_at_s_ = std::min(deferred_reports_at_s_, state.unreported_since_s + kReportDelayS);
        return;
    }
    // At most one report of a key is in flight. Usage in the meantime goes into the next one.
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
                const LimitSpec& spec = *find_spec(id.limit);
                item.set_knows(true);
                item.set_level(std::min(
                    spec.burst,
                    state.owner_level + spec.rate * visible_fraction() * (now - state.owner_level_at_s)));
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

// Charges a bucket that this ingress owns and returns the units left in it. A bucket that does not exist
// yet starts at `last_known_level`, the level that the reporter knows of, or full if there is none.
double RateLimitNode::charge_owned_bucket(double now, const BucketId& id, const LimitSpec& spec,
                                          double units, std::optional<double> last_known_level) {
    const double rate = spec.rate * visible_fraction();
    const double burst = spec.burst * visible_fraction();
    auto at = owned_buckets_.find(id);
    if (at == owned_buckets_.end()) {
        if (owned_buckets_.size() >= settings_.max_keys)
            evict_one(owned_buckets_,
                      [&](const BucketId&, const OwnedBucket& bucket) { return bucket.full_at_s <= now; });
        // The previous owner's level is known to the reporter alone.
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

// Invariant: each report is counted once, however often it arrives. A report that is so old that its reply
// may have been discarded is ignored.
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
        const LimitSpec* const spec = find_spec(reported.limit());
        if (!spec || spec->rate <= 0 || !is_plausible_units(reported.units()) || reported.units() < 0 ||
            !is_plausible_units(reported.level()))
            continue;
        std::optional<double> last_known_level;
        if (reported.knows()) last_known_level = reported.level();
        wire::Item& item = *reply.add_item();
        item.set_limit(reported.limit());
        item.set_key(reported.key());
        item.set_level(charge_owned_bucket(now, {reported.limit(), reported.key()}, *spec, reported.units(),
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
    if (at == reports_in_flight_.end()) return;   // a duplicate reply, or requeued since
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
        if (state == reporter_states_.end() || !is_plausible_units(item.level())) continue;
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

// Reports the usage again, because it is unknown whether the owner counted the report. Counting it twice
// may reject requests within the limit but admits none beyond it.
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

// Evicts one of a few randomly chosen entries: one whose eviction loses no state, or else the least
// recently used one. `is_lossless` tells whether evicting an entry loses no state.
template <class Table, class IsLossless>
void RateLimitNode::evict_one(Table& table, IsLossless is_lossless) {
    if (table.empty()) return;
    auto victim = table.end();
    bool victim_is_lossless = false;
    std::size_t bucket = random_() % table.bucket_count();
    for (std::size_t candidates = 0; candidates < kEvictionCandidates;
         bucket = (bucket + 1) % table.bucket_count())
        for (auto at = table.begin(bucket); at != table.end(bucket) && candidates < kEvictionCandidates;
             ++at, ++candidates) {
            const bool lossless = is_lossless(at->first, at->second);
            if (victim != table.end() && (victim_is_lossless > lossless ||
                                          (victim_is_lossless == lossless &&
                                           victim->second.last_used_at_s <= at->second.last_used_at_s)))
                continue;
            victim = table.find(at->first);
            victim_is_lossless = lossless;
        }
    lossy_evictions_ += !victim_is_lossless;
    table.erase(victim);
}

}   // namespace slatejunction::fleet_rate_limit
