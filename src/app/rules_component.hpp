// Routes, limits and tags of the operator's rules, where requests and providers pass.
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

class RulesPart final : public Part, ingress::RequestFilter, ingress::EndpointListFilter {
  public:
    // `telemetry`: null where nobody counts. The options have been checked.
    RulesPart(const operator_config::Options& options, const config::Config& config,
              ingress::Ingress& ingress, telemetry::Telemetry* telemetry, net::Timers& timers, Log& log);
    // Where limits over the fleet are kept; before start(). Lives longer than requests do.
    void share(rules::FleetRateLimits* shared);
    ~RulesPart() override;

    const char* name() const override { return "rules"; }
    void start() override;
    void stop(double most_s, std::function<void()> done) override;
    void prepare(const operator_config::Options& fresh, config::Config&) override { prepare(fresh); }
    void prepare(const operator_config::Options& fresh);   // throws as the other
    std::string take(const operator_config::Options& fresh) override;

  private:
    struct Judged : ingress::RequestFilterState {
        rules::RequestVerdict verdict;
        std::uint64_t rules = 0;   // which made it, as they were counted
    };
    std::unique_ptr<rules::Rules> compile(const operator_config::Options& options);
    void set(std::unique_ptr<rules::Rules> rules);
    rules::FleetRateLimits* shared_ = nullptr;   // null: limits are kept here alone
    void on_error(const std::string& rule, std::string_view why);
    void count(metrics::Measures& measures);

    void on_request(client::ClientRequest& invocation, slatejunction::Request& request,
                    ingress::FilterState& mark) override;
    void on_first_attempt(const client::ClientRequest& invocation, ingress::FilterState& mark,
                          bool spilled) override;
    slatejunction::RejectReason on_rate_limited(ingress::FilterState mark) override;
    void on_request_end(const client::ClientRequest& invocation, ingress::FilterState mark) override;
    bool wants_headers() const override { return rules_ != nullptr; }
    std::span<const std::pair<std::size_t, std::string>> tags(ingress::FilterState mark) const override;
    void apply_to(double now, slatejunction::EndpointUpdate& list) override;

    const rules::GatewayFacts facts_;
    ingress::Ingress& ingress_;
    Log& log_;
    rules::Settings settings_;   // in force
    std::unique_ptr<rules::Rules> rules_, prepared_;
    bool joined_ = false;
    std::uint64_t number_ = 0;                     // of the rules in force
    std::vector<std::unique_ptr<Judged>> spare_;   // their memory, for the next requests
    rules::EndpointSubsets fleet_;
    std::optional<storage::StateDirectory> state_;   // else telemetry's own
    std::unique_ptr<rules::BucketStorage> keeper_;
    metrics::Measures::Shape shape_;
    // As far as the rules' own figures have been counted, by where they are counted to.
    std::map<std::pair<metrics::Id, std::size_t>, std::uint64_t> seen_;
    double judged_at_ = 0;   // the time, while rules judge a request; else 0
    double told_ = -1e18;    // when an error of one was last logged
};

}   // namespace slatejunction::app
