// Rule: of a sequence of requests, admit one each time that the sum of their admission probabilities
// reaches a whole number; one of higher priority may be admitted that much earlier, on credit.
// Inputs: admission probability (0 to 1) and credit (requests) of each request; priority weights (any
// unit).
// Output: admitted or not; a request's priority relative to the mean.
// It never admits more in the long run than the probabilities add up to, and draws no random numbers.
// Seen in: nothing of its own; quota_estimator and admission_controller reject by it.
#pragma once

namespace slatejunction::gateway {

/// Systematic sampling: admitted requests are evenly spaced, where independent draws come in runs.
class SystematicSampler {
  public:
    /// Sets where the sequence begins: 0 to 1, in requests.
    void start(double phase) { phase_ = phase; }

    /// Adds a request. `credit`: how many requests before its turn this one may be admitted.
    bool sample(double probability, double credit) {
        phase_ += probability;
        if (phase_ < 1 - credit) return false;
        phase_ -= 1;
        return true;
    }

  private:
    double phase_ = 0;   // requests; sum of the probabilities less the admitted requests
};

/// Weight of one request in the mean priority.
constexpr double kPriorityMeanWeight = 0.05;

/// The running mean of the priority weights of all requests, admitted or not.
class PriorityMean {
  public:
    /// Adds a request and returns its weight over the mean, 1 while the mean is 0.
    double relative(double weight) {
        const double part = mean_ > 0 ? kPriorityMeanWeight : 1;
        mean_ += part * (weight - mean_);
        return mean_ > 0 ? weight / mean_ : 1.0;
    }

  private:
    double mean_ = 0;
};

}   // namespace slatejunction::gateway
