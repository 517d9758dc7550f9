// Sampling of requests: in a sequence of requests one is admitted each time that the sum of their admission
// probabilities reaches a whole number. A request of higher priority may be admitted earlier, on credit.
//
// - Inputs: admission probability (0 to 1) and credit (requests) of each request; priority weights (any
//   unit).
// - Output: whether a request is admitted; the priority of a request relative to the mean.
// - Limits: in the long run it admits no more than the sum of the probabilities; it uses no random numbers.
// - Visible in: nothing directly; QuotaEstimator and AdmissionController reject by it.
#pragma once

namespace slatejunction::gateway {

/// Systematic sampling: admitted requests are evenly spaced, while independent draws would admit them in
/// runs.
class SystematicSampler {
  public:
    /// Sets the phase at which the sequence starts: 0 to 1, in requests.
    void start(double phase) { phase_ = phase; }

    /// Adds a request. `credit`: by how many requests it may be admitted ahead of its turn.
    bool sample(double probability, double credit) {
        phase_ += probability;
        if (phase_ < 1 - credit) return false;
        phase_ -= 1;
        return true;
    }

  private:
    double phase_ = 0;   // sum of the probabilities minus the number of admitted requests
};

/// Weight of one request in the mean priority.
constexpr double kPriorityMeanWeight = 0.05;

/// The running mean of the priority weights of all requests, admitted or not.
class PriorityMean {
  public:
    /// Adds a request to the mean. Returns its weight relative to the mean, 1 while the mean is 0.
    double observe(double weight) {
        const double sample_weight = mean_ > 0 ? kPriorityMeanWeight : 1;
        mean_ += sample_weight * (weight - mean_);
        return mean_ > 0 ? weight / mean_ : 1.0;
    }

  private:
    double mean_ = 0;
};

}   // namespace slatejunction::gateway
