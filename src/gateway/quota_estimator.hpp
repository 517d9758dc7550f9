// Quota estimation: a request of a customer over its quota is admitted with the probability that brings the
// customer's use at all ingresses down to the plan's rate.
//
// - Inputs: Plan::rate (units/s) and burst (units); a request's units; meter readings (1 + percent of the
//   rate used in the last metered period, over all ingresses); the customer's ingress count; priority
//   weights.
// - Output: whether a request is admitted.
// - Limits: it does not look at the load of the backends and exchanges nothing with other ingresses: their
//   use is known from the meter alone.
// - Visible in: RejectReason::quota (metric slatejunction_refusals_total); RejectionLog.
//
// The textbook form multiplies the probability by 100 / used once per metered period. An ingress that gets
// few requests of a customer rarely gets a reading, so readings are weighted as counts: a Gamma-Poisson
// estimate with a weak prior. The estimates of demand and use drive an estimate of the customer's one
// fleet-wide bucket. Requests forwarded here count only for the time that is not metered yet. Metered
// values decay, because a meter may repeat a reading or stop reporting.
#pragma once

#include <cstdint>
#include <map>

#include "gateway/random.hpp"
#include "gateway/sampling.hpp"
#include "gateway/token_bucket.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// The state of one customer. Requests "at the plan's rate" are those that the rate allows in an interval:
/// the rate times the length of the interval, divided by the mean units of a request.
struct CustomerUsage {
    double last_request_at_s = 0;
    double ingress_count = 1;   // ingresses that its requests arrive through
    double bucket_s = 0;        // estimate: content of the fleet-wide bucket, in seconds of the plan's rate
    double metered_requests = 0;   // forwarded by all ingresses as metered; decays
    double local_requests = 0;     // received here; decays
    double metered_at_rate = 0;    // requests at the plan's rate in the metered time; decays
    double admitted_at_rate = 0;   // the same, each reading times the probability then in force; decays
    double probability = 1;        // admission probability of the last request
    double last_reading_at_s = -1e18;
    double last_reading = -1;        // 1 + percent of the rate
    double mean_units = 0;           // units of a request
    double unmetered_units = 0;      // forwarded here since about the last metered period
    double unmetered_requests = 0;   // received here since about the last metered period
    double updated_at_s = 0;
    int in_flight = 0;   // attempts from this ingress
    bool sampler_started = false;
    SystematicSampler sampler;
    TokenBucket hard_limit;
};

/// The quota decisions for all customers.
class QuotaEstimator {
  public:
    /// Takes the meter's period and the classes' priority weights from `settings`, and keeps no reference.
    explicit QuotaEstimator(const Settings& settings);

    /// The gateway starts: nothing was observed before `now`.
    void start(double now);

    /// The customer's usage at `now`, created if it is new. The reference is valid until forget_idle().
    CustomerUsage& find_or_add(std::uint64_t customer, double now, const Plan& plan, double ingress_count);
    /// nullptr if the customer is unknown.
    CustomerUsage* find(std::uint64_t customer);

    /// Decides on a request of `units`. `class_priority`: ServiceClass::priority_weight.
    bool admit(CustomerUsage& usage, const Plan& plan, double units, bool is_client_retry,
               double class_priority, Random& random);

    /// An admitted request of `units` was forwarded.
    void on_forwarded(CustomerUsage& usage, double units) { usage.unmetered_units += units; }

    /// An answer had a meter reading; below 1 means none. A repeated reading counts once per period.
    void on_meter_reading(CustomerUsage& usage, const Plan& plan, double reading, double now);

    /// Removes the customers that had no request for a minute and have no attempt in flight.
    void forget_idle(double now);

  private:
    double admission_probability(CustomerUsage& usage, const Plan& plan, double units,
                                 bool is_client_retry) const;
    double bucket_capacity_s(const Plan& plan) const;
    double unmetered_time_s() const;
    double estimated_demand(const CustomerUsage& usage, const Plan& plan) const;
    double estimated_use(const CustomerUsage& usage, const Plan& plan) const;
    void advance(CustomerUsage& usage, const Plan& plan, double now) const;

    std::map<std::uint64_t, CustomerUsage> customers_;
    double meter_period_s_ = 0;
    double started_at_s_ = 0;
    double max_class_priority_ = 1e-9;   // largest priority weight of a class
    PriorityMean mean_priority_;
};

}   // namespace slatejunction::gateway
