#include "gateway/quota_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "gateway/numeric.hpp"

namespace slatejunction::gateway {
namespace {

constexpr double kUnmeteredPeriods = 1.5;   // metered periods, whose use is not known yet
constexpr double kPriorDemand = 0.7;        // of the plan's rate; of a customer that is not known
constexpr double kRareCustomerDemand =
    2.2;   // added for many ingresses: first requests are mostly of the heaviest
constexpr double kPriorRequests = 0.3;   // weight of the prior, requests at the plan's rate
constexpr double kReadingMemoryRequests =
    6.0;   // requests at the plan's rate; older readings decay over that many
constexpr double kOverQuotaMargin = 0.85;    // of the rate, left unused in proportion to the cost of excess
constexpr double kPriorityCredit = 1.0;      // requests; of the class of most priority
constexpr double kMinCreditPart = 0.15;      // of the credit, where no later request is likely
constexpr double kPriorityExponent = 0.35;   // on the relative priority
constexpr double kCreditTimeS = 30.0;   // within which later requests are expected to make up for credit
constexpr double kRequestsPerClientRetry = 3.0;   // that a client's retry reveals beside itself
constexpr double kReadingDecayS = 12.0;
constexpr double kIdleCustomerS = 60.0;
constexpr double kMeanUnitsWeight = 0.1;   // of the newest request
constexpr double kMinMeanUnits = 1e-6;
constexpr double kMinUnmeteredS = 1e-3;

// Requests of the customer at each of its ingresses in `time_s` at the plan's rate.
double local_requests_at_rate(const CustomerUsage& usage, const Plan& plan, double time_s) {
    return time_s * plan.rate / (std::max(usage.mean_units, kMinMeanUnits) * usage.ingress_count);
}

}   // namespace

QuotaEstimator::QuotaEstimator(const Settings& settings)
    : meter_period_s_(positive_or_zero(settings.meter_period_s)) {
    for (const ServiceClass& service_class : settings.classes)
        top_priority_ = std::max(top_priority_, positive_or_zero(service_class.priority_weight));
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

// All requests count alike against a quota, so a class of more priority may be admitted on credit: of a
// surplus the requests of most priority are admitted first. A customer of many ingresses may send no later
// request here; then its classes divide the probability by relative priority.
bool QuotaEstimator::admit(CustomerUsage& usage, const Plan& plan, double units, bool is_client_retry,
                           double class_priority, Random& random) {
    const double probability = admission_probability(usage, plan, units, is_client_retry);
    const double relative_priority = mean_priority_.relative(class_priority);
    if (!usage.sampler_started) {
        usage.sampler_started = true;
        usage.sampler.start(random.uniform());
    }
    const double expected = local_requests_at_rate(usage, plan, kCreditTimeS);
    const double later_request = plan.rate > 0 ? 1 - std::exp(-expected) : 1.0;   // its probability
    const double exponent = kPriorityExponent * (1 - later_request);
    const double weighted =
        std::min(1.0, probability * std::pow(std::max(relative_priority, 0.1), exponent));
    const double credit =
        kPriorityCredit * (class_priority / top_priority_) * std::max(later_request, kMinCreditPart);
    return usage.sampler.sample(weighted, credit);
}

// A client's retry reveals requests that were not seen here, and gets none of the units in the bucket.
double QuotaEstimator::admission_probability(CustomerUsage& usage, const Plan& plan, double units,
                                             bool is_client_retry) const {
    if (plan.rate <= 0) return 1.0;
    if (is_client_retry) usage.local_requests += kRequestsPerClientRetry;
    usage.mean_units =
        usage.mean_units > 0 ? usage.mean_units + kMeanUnitsWeight * (units - usage.mean_units) : units;
    const double unmetered_s = unmetered_time_s();
    const double local_at_rate = local_requests_at_rate(usage, plan, unmetered_s);
    const double wanted =
        std::max((demand(usage, plan) + usage.unmetered_requests) / (1 + local_at_rate), 1e-9);
    const double used =
        std::max(use(usage, plan), usage.ingress_count * usage.unmetered_units / (plan.rate * unmetered_s));
    const double left_s = usage.bucket_s + (1 - used) * unmetered_s - units / plan.rate;
    const double excess_cost = limited(plan.over_quota_penalty - plan.over_quota_weight, 0.0, 1.0);
    const double target = 1 - kOverQuotaMargin * excess_cost;
    const double from_bucket = is_client_retry ? 0.0 : std::max(0.0, left_s);
    usage.probability = limited((target + from_bucket / unmetered_s) / wanted, 0.0, 1.0);
    usage.local_requests += 1;
    usage.unmetered_requests += 1;
    return usage.probability;
}

void QuotaEstimator::on_meter_reading(CustomerUsage& usage, const Plan& plan, double reading, double now) {
    if (reading < 1 || meter_period_s_ <= 0 || plan.rate <= 0) return;
    const double min_gap = (reading == usage.last_reading ? 1.0 : 0.5) * meter_period_s_;
    if (now - usage.last_reading_at_s < min_gap) return;
    advance(usage, plan, now);
    const double used = (reading - 1) / 100;   // of the plan's rate
    const double at_rate = plan.rate * meter_period_s_ / std::max(usage.mean_units, kMinMeanUnits);
    const double retained = std::exp(-at_rate / kReadingMemoryRequests);
    const double correction_s = (use(usage, plan) - used) * meter_period_s_;
    usage.bucket_s = limited(usage.bucket_s + correction_s, 0.0, bucket_capacity_s(plan));
    usage.metered_requests = usage.metered_requests * retained + used * at_rate;
    usage.admitted_at_rate = usage.admitted_at_rate * retained + usage.probability * at_rate;
    usage.metered_at_rate = usage.metered_at_rate * retained + at_rate;
    usage.last_reading_at_s = now;
    usage.last_reading = reading;
}

void QuotaEstimator::forget_idle(double now) {
    for (auto at = customers_.begin(); at != customers_.end();) {
        const CustomerUsage& usage = at->second;
        const bool idle = now - usage.last_request_at_s > kIdleCustomerS && usage.in_flight == 0;
        at = idle ? customers_.erase(at) : std::next(at);
    }
}

double QuotaEstimator::bucket_capacity_s(const Plan& plan) const {
    return std::max(plan.burst / plan.rate, meter_period_s_);
}

double QuotaEstimator::unmetered_time_s() const {
    return std::max(kUnmeteredPeriods * meter_period_s_, kMinUnmeteredS);
}

// Estimate of what all ingresses together receive, over the plan's rate: from the meter, and from what is
// received here. Ingresses get uneven parts, so what one receives weighs less, the more there are.
double QuotaEstimator::demand(const CustomerUsage& usage, const Plan& plan) const {
    // Over the bucket's time at least: a burst that fits the bucket is no excess.
    const double observed_s =
        std::max(bucket_capacity_s(plan),
                 kReadingDecayS * (1 - std::exp(-(usage.updated_at_s - started_at_s_) / kReadingDecayS)));
    const double local_at_rate = local_requests_at_rate(usage, plan, observed_s);
    const double local_evidence = 1 + kReadingMemoryRequests / std::max(usage.ingress_count - 1, 0.1);
    const double local_weight = local_evidence / (local_evidence + local_at_rate + usage.local_requests);
    const double rarity = std::exp(-local_at_rate * kReadingDecayS / observed_s);
    const double prior = kPriorDemand + kRareCustomerDemand * rarity;
    return (prior * kPriorRequests + usage.metered_requests + local_weight * usage.local_requests) /
           (kPriorRequests + usage.admitted_at_rate + local_weight * local_at_rate);
}

// Estimate of what all ingresses together forward, over the plan's rate.
double QuotaEstimator::use(const CustomerUsage& usage, const Plan& plan) const {
    return (kPriorRequests * demand(usage, plan) * usage.probability + usage.metered_requests) /
           (kPriorRequests + usage.metered_at_rate);
}

// Time passes: the bucket refills by the rate less the estimated use, and readings decay.
void QuotaEstimator::advance(CustomerUsage& usage, const Plan& plan, double now) const {
    const double elapsed_s = now - usage.updated_at_s;
    if (elapsed_s <= 0 || plan.rate <= 0) return;
    usage.updated_at_s = now;
    usage.bucket_s =
        limited(usage.bucket_s + elapsed_s * (1 - use(usage, plan)), 0.0, bucket_capacity_s(plan));
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
