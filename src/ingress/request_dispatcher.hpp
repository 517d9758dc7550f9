// Passes each client request to the gateway, executes the gateway's decisions, and returns the answer to
// the client.
//
// Input: requests of client sessions, ended attempts and health checks of the connection pool, and events
// of the other modules of the ingress. Output: executes the actions that slatejunction::Gateway returns,
// and gives each request one final answer. It makes no decisions of its own.
//
// Order: the gateway gets one event at a time. An event that occurs while actions are executed is queued
// until all of them are done.
//
// Ownership: owned by Ingress, and outlives the client sessions. Owns the gateway, the connection pool and
// the open requests. Called by Ingress and EndpointUpdates; calls RequestFilter, RequestObserver and
// ResponseWriter.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "backend/connection_pool.hpp"
#include "client/client_request.hpp"
#include "config/config.hpp"
#include "ingress/extensions.hpp"
#include "ingress/observer.hpp"
#include "ingress/request_id_history.hpp"
#include "log/log.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::ingress {

class RequestDispatcher final : backend::CallCallbacks {
  public:
    /// `config`, `backend_bytes` and `observer` (null: none) must outlive the dispatcher. `poll_endpoints`
    /// polls discovery for the endpoint list now.
    RequestDispatcher(const config::Config& config, net::Timers& timers, Log& log,
                      RequestObserver* observer, http::ByteBudget& backend_bytes,
                      std::function<void()> poll_endpoints);

    /// Passes an event to the gateway once the actions of all earlier events have been executed.
    void handle_event(slatejunction::Event event);

    /// `response_writer` gets one final answer; if `stopping`, it is an immediate 503. Returns the
    /// request's number; 0: it has been answered already.
    std::uint64_t on_request(std::shared_ptr<client::ResponseWriter> response_writer,
                             std::shared_ptr<client::ClientRequest> client_request, bool stopping);
    /// The last byte of the request's streamed body has arrived.
    void on_body_received(std::uint64_t number);
    /// The client has disconnected: the request gets no answer.
    void on_client_disconnected(std::uint64_t number);
    /// Counts and logs an invalid request, which is answered with `status`.
    void on_bad_request(int status, std::string_view error);

    /// The numbers of the requests that have no final answer yet.
    std::vector<std::uint64_t> unanswered_requests() const;
    /// Answers those of `numbers` that are still unanswered: 504 if an attempt may have run, else 503.
    void answer_unfinished(const std::vector<std::uint64_t>& numbers);
    /// Calls RequestFilter::on_request_end for each request that is still open, before the ingress is
    /// destroyed.
    void end_open_requests();

    /// At most kMaxRequestFilters can be registered; they are called in the order of registration.
    void register_filter(RequestFilter& filter) { filters_.push_back(&filter); }
    bool wants_headers() const;
    bool is_request_open(std::string_view request_id) const {
        return open_request_ids_.contains(request_id);
    }
    /// Whether a request with this id may have run that must not run again, although it is not open here.
    bool may_not_run_again(std::string_view request_id) const;
    /// The ids of such requests, for the other process of a hot restart.
    const RequestIdHistory& executed_ids() const { return executed_ids_; }
    /// Applies what the other process has reported.
    void adopt_executed_ids(std::span<const std::uint64_t> id_hashes, bool never_ran);
    /// `report` is called with the hash of the id of each such request before its first byte is sent, and
    /// with `never_ran` once it turns out that none of its attempts has run.
    void report_executed_ids(std::function<void(std::uint64_t, bool never_ran)> report) {
        report_executed_id_ = std::move(report);
    }
    std::size_t open_requests() const { return open_requests_.size(); }
    backend::ConnectionPool& pool() { return pool_; }
    const backend::ConnectionPool& pool() const { return pool_; }

  private:
    // A request from its arrival until it has been answered and the last of its attempts has ended.
    struct OpenRequest {
        std::uint64_t number = 0;
        std::string id;   // for the gateway: short and, unlike the client's id, never reused
        std::shared_ptr<client::ClientRequest> client_request;
        std::shared_ptr<client::ResponseWriter> response_writer;      // null once it has been answered
        std::vector<std::shared_ptr<backend::Connection>> attempts;   // by attempt number; null once ended
        int attempts_in_flight = 0;
        std::string last_backend;   // of the latest attempt; only with an observer
        std::array<FilterState, kMaxRequestFilters> filter_states{};   // in the order of filters_
        std::size_t filters_applied = 0;        // how many were registered at its arrival
        std::size_t rate_limiting_filter = 0;   // whose Retry-After the gateway got
        bool attempt_may_have_run = false;      // one of those that have ended
        bool id_remembered = false;             // in executed_ids_
    };
    struct GatewayTimer {
        double fire_at_s;
        std::uint64_t tag;
        bool operator>(const GatewayTimer& other) const { return fire_at_s > other.fire_at_s; }
    };

    void on_call_end(const backend::AttemptTag& tag, const backend::CallResult& end) override;
    void on_health_check_end(const std::string& backend, const backend::CallResult& end) override;
    void on_response_event(const backend::AttemptTag& tag, const std::string& backend,
                           const backend::ResponseEvent& event) override;
    void on_gateway_timer();

    void execute(const slatejunction::Action& action);
    void execute(const slatejunction::StartAttempt& start);
    void execute(const slatejunction::CancelAttempt& cancel);
    void execute(const slatejunction::RejectRequest& reject);
    void execute(const slatejunction::FailRequest& fail);
    void execute(const slatejunction::SetTimer& timer);
    void execute(const slatejunction::StartHealthCheck& check);
    void execute(const slatejunction::WatchEndpoints& watch);
    void execute(const slatejunction::LogMessage& message);
    void execute(const slatejunction::ReportAdmittedFraction& admitted);

    OpenRequest* find(const std::string& id);   // null: not open
    OpenRequest* find(std::uint64_t number);    // null: not open
    OpenRequest& add_open_request(std::shared_ptr<client::ResponseWriter> response_writer,
                                  std::shared_ptr<client::ClientRequest> client_request);
    void apply_filters(OpenRequest& open, slatejunction::Request& request);
    void reject_at_arrival(client::ResponseWriter& response_writer,
                           const client::ClientRequest& client_request, bool stopping);
    void answer_ended_attempt(std::uint64_t number, const backend::CallResult& end);
    // Gives the final answer, unless it has been given. The session may pass its next request at once, so
    // that references into open_requests_ are invalid afterwards.
    void answer(std::uint64_t number, const client::Response& response, RequestSummary::Result result,
                std::string_view reason, std::size_t reject_reason_index = 0);
    void observe_end(const OpenRequest& open, RequestSummary::Result result, std::string_view reason,
                     std::size_t reject_reason_index = 0);
    // The answer is not needed any more: ends the attempts whose request has not been sent, and notifies
    // the gateway.
    void abandon(std::uint64_t number);
    // An attempt whose request has not been sent completely cannot run, and the body of an answered request
    // is not read any more.
    void end_unsent_attempts(std::uint64_t number, AttemptResult result);
    void erase_if_ended(std::uint64_t number);
    void remember_id(OpenRequest& open);
    void forget_id(const OpenRequest& open);

    const config::Config& config_;
    Log& log_;
    RequestObserver* const observer_;
    const std::function<void()> poll_endpoints_;
    net::Timer gateway_timer_;
    slatejunction::Gateway gateway_;
    std::deque<slatejunction::Event> events_;   // not yet passed to the gateway
    std::vector<slatejunction::Action> actions_;
    bool handling_event_ = false;
    std::priority_queue<GatewayTimer, std::vector<GatewayTimer>, std::greater<>> gateway_timers_;
    std::unordered_map<std::uint64_t, OpenRequest> open_requests_;   // by number
    // The clients' request ids, as views into the requests' bytes.
    std::unordered_set<std::string_view> open_request_ids_;
    std::uint64_t last_number_ = 0;
    RequestIdHistory executed_ids_;
    std::function<void(std::uint64_t, bool)> report_executed_id_;
    std::vector<RequestFilter*> filters_;
    backend::ConnectionPool pool_;
};

}   // namespace slatejunction::ingress
