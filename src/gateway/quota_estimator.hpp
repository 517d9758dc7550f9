// Rule: a request of a customer over its quota is admitted with the probability that brings the customer's
// use at all ingresses down to the plan's rate.
// Inputs: Plan::rate (units/s) and burst (units); a request's units; meter readings (1 + percent of the
// rate used in the last metered period, over all ingresses); the customer's ingress count; priority
// weights.
// Output: whether a request is admitted.
// It never looks at the backends' load and exchanges nothing with other ingresses: the meter alone shows
// their use.
// Seen in: RejectReason::quota (measure slatejunction_refusals_total), log line "refused: share N ...".
//
// The textbook form multiplies the probability by 100 / used once a metered period. With few requests of a
// customer here a reading is rare, so readings are weighed as counts: a Gamma-Poisson estimate with a weak
// prior. They fill and drain an estimate of the customer's one fleet-wide bucket. Requests forwarded here
// stand in only for the time that is not metered yet. What was metered decays, as meters may repeat
// themselves or fall silent.
#pragma once

#include <cstdint>
#include <map>

#include "gateway/random.hpp"
#include "gateway/sampling.hpp"
#include "gateway/token_bucket.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// What is known of one customer. "Requests at the plan's rate" is the rate over the mean units of a
/// request.
struct CustomerUsage {
    double last_request_at_s = 0;
    double ingress_count = 1;      // ingresses that its requests arrive through
    double bucket_s = 0;           // estimate: left in the fleet-wide bucket, seconds of the plan's rate
    double metered_requests = 0;   // forwarded by all ingresses as metered; decays
    double local_requests = 0;     // received here; decays
    double metered_at_rate = 0;    // requests at the plan's rate in the metered time; decays
    double admitted_at_rate = 0;   // the same, each times the probability then in force; decays
    double probability = 1;        // of admission, of the last request
    double last_reading_at_s = -1e18;
    double last_reading = -1;        // 1 + percent
    double mean_units = 0;           // of a request
    double unmetered_units = 0;      // forwarded here since about the last metered period
    double unmetered_requests = 0;   // received here since then
    double updated_at_s = 0;
    int in_flight = 0;   // attempts out from this ingress
    bool sampler_started = false;
    SystematicSampler sampler;
    TokenBucket hard_limit;
};

/// The admission probabilities of all customers.
class QuotaEstimator {
  public:
    /// `settings` gives the meter's period and the classes' priority weights; only read here.
    explicit QuotaEstimator(const Settings& settings);

    /// The gateway starts: nothing was seen before `now`.
    void start(double now);

    /// The customer's usage at `now`, made where it is new. Stays valid until forget_idle().
    CustomerUsage& find_or_add(std::uint64_t customer, double now, const Plan& plan, double ingress_count);
    /// nullptr where the customer is not known.
    CustomerUsage* find(std::uint64_t customer);

    /// Decides on a request of `units`. `class_priority`: ServiceClass::priority_weight.
    bool admit(CustomerUsage& usage, const Plan& plan, double units, bool is_client_retry,
               double class_priority, Random& random);

    /// An admitted request of `units` was forwarded.
    void on_forwarded(CustomerUsage& usage, double units) { usage.unmetered_units += units; }

    /// An answer carried a meter reading; below 1 means none. A repeated reading counts once a period.
    void on_meter_reading(CustomerUsage& usage, const Plan& plan, double reading, double now);

    /// Removes the customers without any request for a minute and nothing in flight.
    void forget_idle(double now);

  private:
    double admission_probability(CustomerUsage& usage, const Plan& plan, double units,
                                 bool is_client_retry) const;
    double bucket_capacity_s(const Plan& plan) const;
    double unmetered_time_s() const;
    double demand(const CustomerUsage& usage, const Plan& plan) const;
    double use(const CustomerUsage& usage, const Plan& plan) const;
    void advance(CustomerUsage& usage, const Plan& plan, double now) const;

    std::map<std::uint64_t, CustomerUsage> customers_;
    double meter_period_s_ = 0;
    double started_at_s_ = 0;
    double top_priority_ = 1e-9;   // of the class of most priority
    PriorityMean mean_priority_;
};

}   // namespace slatejunction::gateway
