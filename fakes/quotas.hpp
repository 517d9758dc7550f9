// What several ingresses have sent on for each customer, by their own logs, against the customers' true
// stores.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace fakes {

struct QuotaFindings {
    struct OfPlan {
        double worst = 0;   // units below an empty bucket, of the worst customer and moment
        std::string customer;
        std::size_t asked = 0, sent = 0;
        std::size_t inside = 0;    // sent with units in the bucket, where what has none takes nothing
        std::size_t perfect = 0;   // asked, that a single gateway would have passed
        std::size_t rejected_with_units = 0;   // half of the bucket or more was unused
    };
    std::map<std::string, OfPlan> plans;
    std::size_t requests = 0;
};

// Logs with [log] format = json and requests = all; one unit a request. A request counts at its arrival,
// which is a little before it is sent on. Throws std::runtime_error for a file that can't be read.
QuotaFindings check_quotas(const std::vector<std::string>& logs, const slatejunction::Settings& platform);

}   // namespace fakes
