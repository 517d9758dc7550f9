#include "gateway/quota_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "gateway/numeric.hpp"

namespace slatejunction::gateway {
namespace {

/// Metered periods whose use is not known yet.
constexpr double kUnmeteredPeriods = 1.5;
/// Demand of an unknown customer, as a fraction of the plan's rate.
constexpr double kPriorDemand = 0.7;
/// Added to the prior demand where each ingress gets few of the requests, as with many ingresses: a first
/// request most likely comes from one of the heaviest customers.
constexpr double kRareCustomerDemand = 2.2;
/// Weight of the prior, in requests at the plan's rate.
constexpr double kPriorRequests = 0.3;
/// Requests at the plan's rate over which older readings decay.
constexpr double kReadingDecayRequests = 6.0;
/// Fraction of the rate that is left unused if the cost of excess is 1; in proportion for a lower cost.
constexpr double kOverQuotaMarginFraction = 0.85;
/// Credit of the class of highest priority.
constexpr double kPriorityCreditRequests = 1.0;
/// Fraction of the credit that is given even if no later request is likely.
constexpr double kMinCreditFraction = 0.15;
/// Exponent on the relative priority.
constexpr double kPriorityExponent = 0.35;
/// Time within which later requests are expected to make up for credit.
constexpr double kCreditTimeS = 30.0;
/// Further requests, received elsewhere, that a client's retry implies.
constexpr double kRequestsPerClientRetry = 3.0;
constexpr double kReadingDecayS = 12.0;
constexpr double kIdleCustomerS = 60.0;
/// Weight of the newest request in the mean units.
constexpr double kMeanUnitsWeight = 0.1;
constexpr double kMinMeanUnits = 1e-6;
constexpr double kMinUnmeteredS = 1e-3;

// The number of requests that each of the customer's ingresses gets in `time_s` at the plan's rate.
double local_requests_at_rate(const CustomerUsage& usage, const Plan& plan, double time_s) {
    return time_s * plan.rate / (std::max(usage.mean_units, kMinMeanUnits) * usage.ingress_count);
}

}   // namespace

QuotaEstimator::QuotaEstimator(const Settings& settings)
    : meter_period_s_(positive_or_zero(settings.meter_period_s)) {
    for (const ServiceClass& service_class : settings.classes)
        max_class_priority_ =
            std::max(max_class_priority_, positive_or_zero(service_class.priority_weight));
}

void QuotaEstimator::start(double now) { started_at_s_ = now; }

CustomerUsage& QuotaEstimator::find_or_add(std::uint64_t customer, double now, const Plan& plan,
                                           double ingress_count) {
    const auto [found, added] = customers_.try_emplace(customer);
    CustomerUsage& usage = found->second;
    if (added) {
        usage.bucket_s = plan.rate > 0 ? bucket_capacity_s(plan) : 0;
        usage.updated_at_s = now;
    }
    advance(usage, plan, now);
    usage.last_request_at_s = now;
    usage.ingress_count = std::max({usage.ingress_count, positive_or_zero(ingress_count), 1.0});
    return usage;
}

CustomerUsage* QuotaEstimator::find(std::uint64_t customer) {
    const auto found = customers_.find(customer);
    return found == customers_.end() ? nullptr : &found->second;
}

// All requests count alike against a quota, so a class of higher priority may be admitted on credit: where
// demand exceeds the quota, the requests of highest priority are admitted first. A customer of many
// ingresses may send no later request here to make up for the credit; then its classes share the
// probability by relative priority.
bool QuotaEstimator::admit(CustomerUsage& usage, const Plan& plan, double units, bool is_client_retry,
                           double class_priority, Random& random) {
    const double probability = admission_probability(usage, plan, units, is_client_retry);
    const double relative_priority = mean_priority_.observe(class_priority);
    if (!usage.sampler_started) {
        usage.sampler_started = true;
        usage.sampler.start(random.uniform());
    }
    const double expected_requests = local_requests_at_rate(usage, plan, kCreditTimeS);
    const double later_request_probability = plan.rate > 0 ? 1 - std::exp(-expected_requests) : 1.0;
    const double exponent = kPriorityExponent * (1 - later_request_probability);
    const double weighted_probability =
        std::min(1.0, probability * std::pow(std::max(relative_priority, 0.1), exponent));
    const double credit = kPriorityCreditRequests * (class_priority / max_class_priority_) *
                          std::max(later_request_probability, kMinCreditFraction);
    return usage.sampler.sample(weighted_probability, credit);
}

// A client's retry implies requests that were not received here, and gets none of the units in the bucket.
double QuotaEstimator::admission_probability(CustomerUsage& usage, const Plan& plan, double units,
                                             bool is_client_retry) const {
    if (plan.rate <= 0) return 1.0;
    if (is_client_retry) usage.local_requests += kRequestsPerClientRetry;
    usage.mean_units =
        usage.mean_units > 0 ? usage.mean_units + kMeanUnitsWeight * (units - usage.mean_units) : units;
    const double unmetered_s = unmetered_time_s();
    const double local_at_rate = local_requests_at_rate(usage, plan, unmetered_s);
    const double demand_ratio =
        std::max((estimated_demand(usage, plan) + usage.unmetered_requests) / (1 + local_at_rate), 1e-9);
    const double used_ratio =
        std::max(estimated_use(usage, plan),
                 usage.ingress_count * usage.unmetered_units / (plan.rate * unmetered_s));
    const double bucket_left_s = usage.bucket_s + (1 - used_ratio) * unmetered_s - units / plan.rate;
    const double excess_cost = clamped(plan.over_quota_penalty - plan.over_quota_weight, 0.0, 1.0);
    const double target_ratio = 1 - kOverQuotaMarginFraction * excess_cost;
    const double from_bucket = is_client_retry ? 0.0 : std::max(0.0, bucket_left_s);
    usage.probability = clamped((target_ratio + from_bucket / unmetered_s) / demand_ratio, 0.0, 1.0);
    usage.local_requests += 1;
    usage.unmetered_requests += 1;
    return usage.probability;
}

void QuotaEstimator::on_meter_reading(CustomerUsage& usage, const Plan& plan, double reading, double now) {
    if (reading < 1 || meter_period_s_ <= 0 || plan.rate <= 0) return;
    const double min_gap_s = (reading == usage.last_reading ? 1.0 : 0.5) * meter_period_s_;
    if (now - usage.last_reading_at_s < min_gap_s) return;
    advance(usage, plan, now);
    const double used_ratio = (reading - 1) / 100;   // of the plan's rate
    const double requests_at_rate = plan.rate * meter_period_s_ / std::max(usage.mean_units, kMinMeanUnits);
    const double retained = std::exp(-requests_at_rate / kReadingDecayRequests);
    const double correction_s = (estimated_use(usage, plan) - used_ratio) * meter_period_s_;
    usage.bucket_s = clamped(usage.bucket_s + correction_s, 0.0, bucket_capacity_s(plan));
    usage.metered_requests = usage.metered_requests * retained + used_ratio * requests_at_rate;
    usage.admitted_at_rate = usage.admitted_at_rate * retained + usage.probability * requests_at_rate;
    usage.metered_at_rate = usage.metered_at_rate * retained + requests_at_rate;
    usage.last_reading_at_s = now;
    usage.last_reading = reading;
}

void QuotaEstimator::forget_idle(double now) {
    for (auto it = customers_.begin(); it != customers_.end();) {
        const CustomerUsage& usage = it->second;
        const bool idle = now - usage.last_request_at_s > kIdleCustomerS && usage.in_flight == 0;
        it = idle ? customers_.erase(it) : std::next(it);
    }
}

double QuotaEstimator::bucket_capacity_s(const Plan& plan) const {
    return std::max(plan.burst / plan.rate, meter_period_s_);
}

double QuotaEstimator::unmetered_time_s() const {
    return std::max(kUnmeteredPeriods * meter_period_s_, kMinUnmeteredS);
}

// Estimates what all ingresses together receive, over the plan's rate, from the meter and from the requests
// received here. Requests are spread unevenly over ingresses, so the more of them there are, the less the
// requests received at one of them count.
double QuotaEstimator::estimated_demand(const CustomerUsage& usage, const Plan& plan) const {
    // At least the time in which the bucket fills: a burst that fits into the bucket is not excess demand.
    const double observation_s =
        std::max(bucket_capacity_s(plan),
                 kReadingDecayS * (1 - std::exp(-(usage.updated_at_s - started_at_s_) / kReadingDecayS)));
    const double local_at_rate = local_requests_at_rate(usage, plan, observation_s);
    const double local_evidence = 1 + kReadingDecayRequests / std::max(usage.ingress_count - 1, 0.1);
    const double local_weight = local_evidence / (local_evidence + local_at_rate + usage.local_requests);
    const double rarity = std::exp(-local_at_rate * kReadingDecayS / observation_s);
    const double prior = kPriorDemand + kRareCustomerDemand * rarity;
    return (prior * kPriorRequests + usage.metered_requests + local_weight * usage.local_requests) /
           (kPriorRequests + usage.admitted_at_rate + local_weight * local_at_rate);
}

// Estimates what all ingresses together forward, over the plan's rate.
double QuotaEstimator::estimated_use(const CustomerUsage& usage, const Plan& plan) const {
    return (kPriorRequests * estimated_demand(usage, plan) * usage.probability + usage.metered_requests) /
           (kPriorRequests + usage.metered_at_rate);
}

// Advances the usage to `now`: the bucket refills by the rate minus the estimated use, and readings decay.
void QuotaEstimator::advance(CustomerUsage& usage, const Plan& plan, double now) const {
    const double elapsed_s = now - usage.updated_at_s;
    if (elapsed_s <= 0 || plan.rate <= 0) return;
    usage.updated_at_s = now;
    usage.bucket_s = clamped(usage.bucket_s + elapsed_s * (1 - estimated_use(usage, plan)), 0.0,
                             bucket_capacity_s(plan));
    const double metered_decay = std::exp(-elapsed_s / kReadingDecayS);
    usage.metered_requests *= metered_decay;
    usage.admitted_at_rate *= metered_decay;
    usage.metered_at_rate *= metered_decay;
    usage.local_requests *= metered_decay;
    const double unmetered_decay = std::exp(-elapsed_s / unmetered_time_s());
    usage.unmetered_units *= unmetered_decay;
    usage.unmetered_requests *= unmetered_decay;
}

}   // namespace slatejunction::gateway
