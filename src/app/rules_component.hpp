// The operator's rules in the program: routes, limits and tags, as a filter of requests and of the endpoint
// list. Compiles the rules, applies reloads, stores the buckets of limits and sets the measures. Owned by
// Program.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "app/component.hpp"
#include "ingress/ingress.hpp"
#include "log/log.hpp"
#include "rules/bucket_storage.hpp"
#include "rules/endpoint_subsets.hpp"
#include "rules/rules.hpp"
#include "telemetry/telemetry.hpp"

namespace slatejunction::app {

class RulesComponent final : public Component, ingress::RequestFilter, ingress::EndpointListFilter {
  public:
    /// `telemetry`: null without measures. The options have been checked.
    RulesComponent(const operator_config::Options& options, const config::Config& config,
                   ingress::Ingress& ingress, telemetry::Telemetry* telemetry, net::Timers& timers,
                   Log& log);
    /// The fleet-wide limits; before start(). Must outlive all requests.
    void set_fleet_rate_limits(rules::FleetRateLimits* limits);
    ~RulesComponent() override;
    RulesComponent(const RulesComponent&) = delete;
    RulesComponent& operator=(const RulesComponent&) = delete;

    const char* name() const override { return "rules"; }
    void start() override;
    void stop(double most_s, std::function<void()> done) override;
    void prepare(const operator_config::Options& fresh, config::Config&) override { prepare(fresh); }
    void prepare(const operator_config::Options& fresh);   // throws like the other
    std::string apply(const operator_config::Options& fresh) override;

  private:
    // The verdict of one request, between on_request() and on_request_end().
    struct Evaluation : ingress::RequestFilterState {
        rules::RequestVerdict verdict;
        std::uint64_t generation = 0;   // of the rules that evaluated it
    };
    std::unique_ptr<rules::Rules> compile(const operator_config::Options& options);
    void set(std::unique_ptr<rules::Rules> rules);
    rules::FleetRateLimits* fleet_limits_ = nullptr;   // null: all limits are local
    void on_error(const std::string& rule, std::string_view why);
    void count(metrics::Measures& measures);

    void on_request(client::ClientRequest& client_request, slatejunction::Request& request,
                    ingress::FilterState& mark) override;
    void on_first_attempt(const client::ClientRequest& client_request, ingress::FilterState& mark,
                          bool spilled) override;
    slatejunction::RejectReason on_rate_limited(ingress::FilterState mark) override;
    void on_request_end(const client::ClientRequest& client_request, ingress::FilterState mark) override;
    bool wants_headers() const override { return rules_ != nullptr; }
    std::span<const std::pair<std::size_t, std::string>> tags(ingress::FilterState mark) const override;
    void apply_to(double now, slatejunction::EndpointUpdate& list) override;

    const rules::GatewayFacts facts_;
    ingress::Ingress& ingress_;
    Log& log_;
    rules::Settings settings_;   // of rules_
    std::unique_ptr<rules::Rules> rules_, prepared_;
    bool registered_ = false;
    std::uint64_t generation_ = 0;                                // of rules_
    std::vector<std::unique_ptr<Evaluation>> free_evaluations_;   // reused memory
    rules::EndpointSubsets endpoint_subsets_;
    std::optional<storage::StateDirectory> state_;   // set if telemetry does not own it
    std::unique_ptr<rules::BucketStorage> bucket_storage_;
    metrics::Measures::Shape shape_;
    // What of the rules' counts is in the measures, by measure and label.
    std::map<std::pair<metrics::Id, std::size_t>, std::uint64_t> counted_;
    double evaluating_at_ = 0;         // s, while rules evaluate a request; else 0
    double error_logged_at_ = -1e18;   // s
};

}   // namespace slatejunction::app
