// SharedQuota (shared_quota.hpp): whether a customer's buckets hold the units of a request, and their
// consumption.
#include <algorithm>
#include <cmath>

#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kRefreshPeriodS = 5;                 // between refreshes of an empty shared bucket
constexpr double kReportInFlightRetryAfterS = 0.01;   // retry-after while a report is in flight
constexpr double kMinRetryAfterS = 0.001;
constexpr double kDefaultRetryAfterS = 1;   // retry-after where no time can be computed
constexpr double kUnitsTolerance = 1e-9;    // rounding tolerance of sums of units
constexpr std::size_t kEvictionCandidates = 16;

// Returns the time (s) until a bucket with `available` units holds `units`, or 0 if it already does.
double time_until_available_s(double units, double available, double rate) {
    if (available >= units - kUnitsTolerance) return 0;
    return rate > 0 ? std::max(kMinRetryAfterS, (units - available) / rate) : kDefaultRetryAfterS;
}

}   // namespace

unsigned SharedQuota::shard_of(std::uint64_t customer) const {
    return static_cast<unsigned>(customer * 0x9e3779b97f4a7c15ULL >> 33) % settings_.shards;
}

BucketLayout SharedQuota::layout_of(const CustomerState& state) const {
    return bucket_layout(settings_, plan(state), state.ingresses.count);
}

// Returns the factor by which units are multiplied when they are reported to the counter. It is above 1
// while some of the customer's ingresses are cut off from the counter, as these admit from their fallback
// buckets.
double SharedQuota::cost_multiplier(const CustomerState& state) const {
    const CounterShard& shard = shards_[state.shard];
    unsigned missing = 0;
    for (unsigned i = 0; i < state.ingresses.count; ++i) {
        const unsigned ingress = (state.ingresses.first + i) % settings_.ingress_count;
        missing += ingress != settings_.ingress_index &&
                   now_ - shard.last_heartbeat_at_s[ingress] > kIngressMissingAfterS;
    }
    const double ingresses = state.ingresses.count;
    return ingresses / (ingresses - std::min<double>(missing, ingresses - 1));
}

bool SharedQuota::uses_fallback(const CustomerState& state) const {
    const CounterShard& shard = shards_[state.shard];
    return shard.unreachable || now_ < shard.recovered_at_s + kRecoveryGraceS;
}

// Returns the units that the shared bucket will hold once all usage is reported.
double SharedQuota::level(const CustomerState& state) const {
    const BucketLayout layout = layout_of(state);
    const double not_on_counter = state.unreported_units + state.in_flight_units;
    double full_at_s = state.full_at_s;
    if (not_on_counter > 0)
        full_at_s = std::max(full_at_s, state.in_flight_units > 0 ? state.in_flight_since_s
                                                                  : state.unreported_since_s) +
                    cost_multiplier(state) * not_on_counter / layout.rate;
    return layout.burst - layout.rate * std::max(0.0, full_at_s - fleet_time_s());
}

double SharedQuota::level(std::uint64_t customer) const {
    const auto at = customers_.find(customer);
    return at == customers_.end() ? 0 : level(at->second);
}

double SharedQuota::local_level(const CustomerState& state) const {
    const BucketLayout layout = layout_of(state);
    return layout.local_burst - layout.local_rate * std::max(0.0, state.local_full_at_s - fleet_time_s());
}

double SharedQuota::fallback_level(const CustomerState& state) const {
    const BucketLayout layout = layout_of(state);
    return layout.fallback_burst -
           layout.fallback_rate * std::max(0.0, state.fallback_full_at_s - fleet_time_s());
}

// Returns the time (s) until `units` are admitted, or 0 if they are admitted now.
double SharedQuota::time_until_admitted_s(const CustomerState& state, double units) const {
    const BucketLayout layout = layout_of(state);
    const double local_wait_s = time_until_available_s(units, local_level(state), layout.local_rate);
    if (local_wait_s == 0 || state.ingresses.count <= 1) return local_wait_s;
    if (uses_fallback(state))
        return std::min(local_wait_s,
                        time_until_available_s(units, fallback_level(state), layout.fallback_rate));
    const double multiplier = cost_multiplier(state);
    if (state.full_at_s != kNeverS) {
        // The next reply may shorten this wait but not extend it.
        const double shared_wait_s =
            time_until_available_s(units, level(state) / multiplier, layout.rate / multiplier);
        if (shared_wait_s > 0) return std::min(local_wait_s, shared_wait_s);
    }
    const double not_on_counter = state.unreported_units + state.in_flight_units;
    const bool may_stay_unreported =
        not_on_counter + units <= layout.max_unreported + kUnitsTolerance || not_on_counter == 0;
    return may_stay_unreported ? 0 : std::min(local_wait_s, kReportInFlightRetryAfterS);
}

double SharedQuota::retry_after_s(double now, std::uint64_t customer, unsigned plan_index,
                                  IngressSet ingresses, double units) {
    advance_time(now);
    if (plan_index >= settings_.plans.size() || units <= 0) return 0;
    const PlanQuota& plan = settings_.plans[plan_index];
    const auto at = customers_.find(customer);
    CustomerState new_state;
    new_state.plan = plan_index;
    new_state.ingresses = ingresses;
    new_state.shard = shard_of(customer);
    const bool known =
        at != customers_.end() && at->second.plan == plan_index && at->second.ingresses == ingresses;
    const CustomerState& state = known ? at->second : new_state;
    if (known && now_ - state.updated_at_s > kRefreshPeriodS) refresh(customer, at->second);
    if (plan.max_in_flight > 0 &&
        state.attempts_in_flight + 1 > std::max(1.0, std::floor(plan.max_in_flight / ingresses.count)))
        return kDefaultRetryAfterS;
    return plan.rate > 0 ? time_until_admitted_s(state, units) : 0;
}

CustomerState& SharedQuota::find_or_create(std::uint64_t customer, unsigned plan_index,
                                           IngressSet ingresses) {
    auto [found, created] = customers_.try_emplace(customer);
    CustomerState& state = found->second;
    if (!created && state.plan == plan_index && state.ingresses == ingresses) return state;
    // Another plan has other buckets, but the theoretical arrival times stay valid.
    state.plan = plan_index;
    state.ingresses = ingresses;
    state.shard = shard_of(customer);
    if (!created || customers_.size() <= settings_.max_customers) return state;
    evict_one();
    return customers_[customer];
}

// Evicts one of a few randomly chosen customers: one whose buckets are full, or else the least recently
// used one. A customer with a pending call, report or attempt is not evicted.
void SharedQuota::evict_one() {
    const double now = fleet_time_s();
    std::uint64_t victim = 0;
    double victim_used_at_s = 0;
    bool found = false;
    std::size_t bucket = random_() % customers_.bucket_count();
    std::size_t candidates = 0;
    for (std::size_t i = 0; i < customers_.bucket_count() && candidates < kEvictionCandidates; ++i) {
        for (auto candidate = customers_.begin(bucket); candidate != customers_.end(bucket); ++candidate) {
            const CustomerState& state = candidate->second;
            if (state.call_in_flight || state.awaits_check || state.report_queued ||
                state.attempts_in_flight > 0)
                continue;
            if (state.last_used_at_s == 0) continue;   // the customer that was just created
            ++candidates;
            const bool full = state.unreported_units == 0 && state.fallback_units == 0 &&
                              state.full_at_s <= now && state.local_full_at_s <= now &&
                              state.fallback_full_at_s <= now;
            const double last_used_at_s = full ? kNeverS : state.last_used_at_s;
            if (found && last_used_at_s >= victim_used_at_s) continue;
            victim = candidate->first;
            victim_used_at_s = last_used_at_s;
            found = true;
        }
        bucket = (bucket + 1) % customers_.bucket_count();
    }
    if (found) customers_.erase(victim);
}

void SharedQuota::consume(double now, std::uint64_t customer, unsigned plan_index, IngressSet ingresses,
                          double units) {
    advance_time(now);
    if (plan_index >= settings_.plans.size()) return;
    CustomerState& state = find_or_create(customer, plan_index, ingresses);
    ++state.attempts_in_flight;
    state.last_used_at_s = fleet_time_s();
    if (plan(state).rate <= 0 || units <= 0) return;
    if (local_level(state) >= units - kUnitsTolerance || ingresses.count <= 1)
        state.local_full_at_s =
            std::max(state.local_full_at_s, fleet_time_s()) + units / layout_of(state).local_rate;
    else if (uses_fallback(state))
        consume_fallback(customer, state, units);
    else
        consume_shared(customer, state, units);
    update_deadline();
}

void SharedQuota::consume_fallback(std::uint64_t customer, CustomerState& state, double units) {
    state.fallback_full_at_s =
        std::max(state.fallback_full_at_s, fleet_time_s()) + units / layout_of(state).fallback_rate;
    // The usage is reported as shared usage until the other ingresses must have noticed that this one is
    // cut off, and have reserved its share.
    const CounterShard& shard = shards_[state.shard];
    const bool share_reserved =
        shard.unreachable && now_ > shard.unreachable_since_s + kIngressMissingAfterS + kHeartbeatTtlS;
    if (!share_reserved) return consume_shared(customer, state, units);
    if (state.fallback_units == 0) state.fallback_since_s = fleet_time_s();
    state.fallback_units += units;
}

void SharedQuota::consume_shared(std::uint64_t customer, CustomerState& state, double units) {
    if (state.unreported_units == 0) state.unreported_since_s = fleet_time_s();
    state.unreported_units += units;
    report_if_due(customer, state);
}

void SharedQuota::release(std::uint64_t customer) {
    const auto at = customers_.find(customer);
    if (at != customers_.end() && at->second.attempts_in_flight > 0) --at->second.attempts_in_flight;
}

}   // namespace slatejunction::quota
