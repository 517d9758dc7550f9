#include "app/rules_component.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace slatejunction::app {
namespace {

constexpr double kErrorLogIntervalS = 1.0;
constexpr std::size_t kMaxFreeEvaluations = 256;

}   // namespace

RulesComponent::RulesComponent(const operator_config::Options& options, const config::Config& config,
                               ingress::Ingress& ingress, telemetry::Telemetry* telemetry,
                               net::Timers& timers, Log& log)
    : facts_{config.name, config.settings.zone}, ingress_(ingress), log_(log) {
    ingress_.register_extension(static_cast<ingress::EndpointListFilter&>(*this));
    settings_ = options.rules;
    if (settings_.has_rules()) set(compile(options));
    if (telemetry) {
        shape_ = telemetry->shape();
        telemetry->join([this](metrics::Measures& measures) { count(measures); });
    }
    if (settings_.limits.empty() || options.metrics.directory.empty()) return;
    if (!options.collects()) state_.emplace(options.metrics.directory);
    bucket_storage_ = std::make_unique<rules::BucketStorage>(
        options.metrics.directory, [this] { return rules_.get(); }, timers, log_);
}

RulesComponent::~RulesComponent() = default;

void RulesComponent::start() {
    if (bucket_storage_) bucket_storage_->start();
}

void RulesComponent::stop(double, std::function<void()> done) {
    if (bucket_storage_) bucket_storage_->stop();
    done();
}

// Compiled beside the active rules.
std::unique_ptr<rules::Rules> RulesComponent::compile(const operator_config::Options& options) {
    std::vector<std::string> faults;
    auto made =
        rules::Rules::load(options.rules, facts_, faults,
                           [this](const std::string& rule, std::string_view why) { on_error(rule, why); });
    for (const std::string& fault : faults) throw std::runtime_error(fault);
    return made;
}

void RulesComponent::prepare(const operator_config::Options& fresh) {
    prepared_ = fresh.rules.has_rules() ? compile(fresh) : nullptr;
}

std::string RulesComponent::apply(const operator_config::Options& fresh) {
    if (fresh.rules != settings_) set(std::move(prepared_));
    prepared_.reset();
    settings_ = fresh.rules;
    return {};
}

void RulesComponent::set_fleet_rate_limits(rules::FleetRateLimits* limits) {
    fleet_limits_ = limits;
    if (rules_) rules_->set_fleet_rate_limits(limits);
}

void RulesComponent::set(std::unique_ptr<rules::Rules> rules) {
    if (rules && rules_) rules->inherit_state(*rules_);
    if (rules) rules->set_fleet_rate_limits(fleet_limits_);
    rules_ = std::move(rules);
    ++generation_;
    // Stays registered from then on: evaluated requests still report their end.
    if (rules_ && !std::exchange(registered_, true))
        ingress_.register_extension(static_cast<ingress::RequestFilter&>(*this));
    // Before the start there is no endpoint list yet.
    ingress_.update_endpoints(endpoint_subsets_.reload(net::now(), rules_.get()));
}

void RulesComponent::on_error(const std::string& rule, std::string_view why) {
    const double now = evaluating_at_ > 0 ? evaluating_at_ : net::now();
    if (now - error_logged_at_ < kErrorLogIntervalS) return;
    error_logged_at_ = now;
    log_.write(Log::Level::warning, now, "rules: [%s] ends in an error and does not match: %.*s",
               rule.c_str(), static_cast<int>(why.size()), why.data());
}

void RulesComponent::on_request(client::ClientRequest& i, slatejunction::Request& request,
                                ingress::FilterState& mark) {
    if (!rules_) return;
    rules::RequestFacts facts;
    facts.method = i.method;
    const std::size_t query = std::min(i.target.find('?'), i.target.size());
    facts.path = i.target.substr(0, query);
    facts.query = i.target.substr(std::min(query + 1, i.target.size()));
    facts.service_class = i.service_class;
    facts.plan = i.plan;
    facts.id = i.request_id;
    facts.headers = i.headers;
    facts.customer = static_cast<std::int64_t>(i.customer);
    facts.deadline_ms =
        static_cast<std::int64_t>((i.deadline_at_s - i.arrived_at_s) * 1e3 + 0.5);   // over 0
    facts.units = i.units;
    facts.retry = i.is_client_retry;
    std::unique_ptr<Evaluation> evaluation;
    if (free_evaluations_.empty()) {
        evaluation = std::make_unique<Evaluation>();
    } else {
        evaluation = std::move(free_evaluations_.back());
        free_evaluations_.pop_back();
    }
    evaluating_at_ = net::now();   // not the arrival: limits need times in order
    rules_->evaluate(evaluating_at_, facts, evaluation->verdict);
    evaluating_at_ = 0;
    evaluation->generation = generation_;
    request.subset = evaluation->verdict.subset;
    request.subset_fallback = evaluation->verdict.subset_fallback;
    request.rate_limit_retry_after_s =
        std::max(request.rate_limit_retry_after_s, evaluation->verdict.rate_limit_retry_after_s);
    mark = evaluation.release();   // until on_request_end()
}

void RulesComponent::on_first_attempt(const client::ClientRequest&, ingress::FilterState& mark,
                                      bool spilled) {
    auto* const evaluation = static_cast<Evaluation*>(mark);
    if (evaluation && rules_ && evaluation->generation == generation_)
        rules_->on_first_attempt(net::now(), evaluation->verdict, spilled);
}

slatejunction::RejectReason RulesComponent::on_rate_limited(ingress::FilterState mark) {
    const auto* const evaluation = static_cast<const Evaluation*>(mark);
    if (evaluation && rules_ && evaluation->generation == generation_)
        rules_->on_rejected(evaluation->verdict);
    return slatejunction::RejectReason::rate_limit;
}

void RulesComponent::on_request_end(const client::ClientRequest&, ingress::FilterState mark) {
    std::unique_ptr<Evaluation> evaluation(static_cast<Evaluation*>(mark));
    if (!evaluation) return;
    rules::Rules::on_request_end(net::now(), evaluation->verdict);
    if (free_evaluations_.size() < kMaxFreeEvaluations) free_evaluations_.push_back(std::move(evaluation));
}

std::span<const std::pair<std::size_t, std::string>> RulesComponent::tags(ingress::FilterState mark) const {
    if (!mark) return {};
    return static_cast<const Evaluation*>(mark)->verdict.tags;
}

void RulesComponent::apply_to(double now, slatejunction::EndpointUpdate& list) {
    endpoint_subsets_.update(now, list, rules_.get());
}

// Rules that a reload added under new names are counted from the next start on.
void RulesComponent::count(metrics::Measures& m) {
    using metrics::Id;
    if (!rules_) return;
    const auto add_increase = [&](Id id, std::size_t label, std::uint64_t now) {
        std::uint64_t& seen = counted_[{id, label}];
        if (now < seen) seen = 0;   // the limit was reset
        if (now != seen) m.add(id, label, static_cast<double>(now - std::exchange(seen, now)));
    };
    const auto place = [](const std::vector<std::string>& all, std::string_view name) {
        return static_cast<std::size_t>(std::find(all.begin(), all.end(), name) - all.begin());
    };
    for (const rules::RuleCount& one : rules_->counts()) {
        const std::size_t at = place(shape_.rules, one.name);
        if (at == shape_.rules.size()) continue;
        add_increase(Id::rule_matches, at, one.matches);
        add_increase(Id::rule_errors, at, one.errors);
        const std::string own = one.name.substr(one.name.find(' ') + 1);
        if (one.name.starts_with("route "))
            add_increase(Id::route_spills, place(shape_.routes, own), one.fallbacks);
        if (one.name.starts_with("limit "))
            add_increase(Id::limit_refusals, place(shape_.limits, own), one.rejections);
    }
    add_increase(Id::rule_cost, 0, rules_->evaluation_cost());
    const rules::Settings& settings = rules_->settings();
    for (std::size_t i = 0; i < settings.limits.size(); ++i) {
        const std::size_t at = place(shape_.limits, settings.limits[i].name);
        if (at == shape_.limits.size()) continue;
        const rules::Limiter& limiter = rules_->limiter(i);
        m.set(Id::limit_keys, static_cast<double>(limiter.tracked_keys()), at);
        add_increase(Id::limit_forgotten, at, limiter.lossy_evictions());
        add_increase(Id::limit_passed, at, limiter.untracked_requests());
    }
    for (std::size_t i = 0; i < settings.subsets.size(); ++i)
        if (const std::size_t at = place(shape_.subsets, settings.subsets[i].name);
            at < shape_.subsets.size())
            m.set(Id::subset_backends, static_cast<double>(endpoint_subsets_.serving_count(i)), at);
}

}   // namespace slatejunction::app
