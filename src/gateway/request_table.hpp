// Table of open requests: a request is in the table from its first attempt until it has its final answer
// and all of its attempts have ended.
//
// - Inputs: requests and their attempts.
// - Output: lookup by id and by number; iteration in the order of arrival.
// - Limits: it makes no decision on a request, and never removes one with an attempt in flight.
// - Visible in: Gateway::open_requests().
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/endpoint_set.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// One attempt of a request; its index in OpenRequest::attempts is its number.
struct Attempt {
    std::string backend;
    double started_at_s = 0;
    bool in_flight = true;
    bool may_have_run = true;   // until its result proves otherwise
    bool response_begun = false;
    bool overdue = false;   // at a silent backend: it no longer counts against the concurrency limit
    SubsetIndex subset = kWholeFleet;   // the subset that it was sent to
};

/// A request with at least one attempt.
struct OpenRequest {
    std::uint64_t number = 0;   // in the order of arrival
    Request request;
    const ServiceClass* service_class = nullptr;
    const Plan* plan = nullptr;
    std::vector<Attempt> attempts;
    std::vector<std::string> tried_backends;
    std::size_t request_kind = 0;       // class and plan
    SubsetIndex subset = kWholeFleet;   // the subset for its next attempt
    bool streaming = false;
    bool past_deadline = false;                 // its deadline has passed while a response had begun
    bool body_consumed = false;                 // its streamed body cannot be sent again
    std::optional<double> body_received_at_s;   // of a streamed body
    bool answered = false;                      // it has its final answer, or its client has disconnected
    int in_flight = 0;                          // attempts

    /// The first attempt that may have had an effect, or nullptr.
    const Attempt* first_that_may_have_run() const {
        for (const Attempt& attempt : attempts)
            if (attempt.may_have_run) return &attempt;
        return nullptr;
    }
    /// A backend can answer only once it has the whole request.
    bool answerable() const { return !request.streamed_body || body_received_at_s; }
    /// When the backend of `attempt` could answer at the earliest. The request must be answerable().
    double answerable_since_s(const Attempt& attempt) const {
        return std::max(attempt.started_at_s, body_received_at_s.value_or(attempt.started_at_s));
    }
    /// Whether an attempt in flight has begun to bring a response.
    bool response_begun() const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const Attempt& one) { return one.in_flight && one.response_begun; });
    }
    /// The attempt of that number if it is in flight, else nullptr.
    Attempt* attempt_in_flight(std::int64_t index) {
        if (index < 0 || static_cast<std::size_t>(index) >= attempts.size()) return nullptr;
        Attempt& attempt = attempts[static_cast<std::size_t>(index)];
        return attempt.in_flight ? &attempt : nullptr;
    }
};

/// Owns the open requests. Pointers to a request are valid until its erase().
class RequestTable {
  public:
    /// The number of the next request to arrive, from 1.
    std::uint64_t allocate_number() { return ++last_number_; }

    bool contains(const std::string& id) const { return numbers_by_id_.count(id) != 0; }
    std::size_t size() const { return requests_.size(); }
    const std::map<std::uint64_t, OpenRequest>& by_number() const { return requests_; }

    /// nullptr if there is none.
    OpenRequest* find(const std::string& id) {
        const auto found = numbers_by_id_.find(id);
        return found == numbers_by_id_.end() ? nullptr : &requests_.at(found->second);
    }
    /// nullptr if there is none.
    OpenRequest* find(std::uint64_t number) {
        const auto found = requests_.find(number);
        return found == requests_.end() ? nullptr : &found->second;
    }

    void insert(OpenRequest request) {
        const std::uint64_t number = request.number;
        numbers_by_id_[request.request.id] = number;
        requests_.emplace(number, std::move(request));
    }
    void erase(const OpenRequest& request) {
        const std::uint64_t number = request.number;
        numbers_by_id_.erase(request.request.id);
        requests_.erase(number);
    }

  private:
    std::map<std::uint64_t, OpenRequest> requests_;
    std::unordered_map<std::string, std::uint64_t> numbers_by_id_;   // never iterated: no fixed order
    std::uint64_t last_number_ = 0;
};

/// Encodes the purpose of a timer in its tag.
struct TimerTag {
    enum class Kind { tick, request_deadline, attempt_overdue };

    static constexpr std::uint64_t kTick = 0;
    static std::uint64_t request_deadline(const OpenRequest& request) { return 2 * request.number; }
    static std::uint64_t attempt_overdue(const OpenRequest& request) { return 2 * request.number + 1; }

    static Kind kind(std::uint64_t tag) {
        if (tag == kTick) return Kind::tick;
        return tag % 2 == 0 ? Kind::request_deadline : Kind::attempt_overdue;
    }
    static std::uint64_t request_number(std::uint64_t tag) { return tag / 2; }
};

}   // namespace slatejunction::gateway
