#include "app/rules_component.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace slatejunction::app {
namespace {

constexpr double kErrorEvery = 1.0;   // s; between log lines of errors of rules
constexpr std::size_t kSpareMost = 256;

}   // namespace

RulesPart::RulesPart(const operator_config::Options& options, const config::Config& config,
                     ingress::Ingress& ingress, telemetry::Telemetry* telemetry, net::Timers& timers,
                     Log& log)
    : facts_{config.name, config.settings.zone}, ingress_(ingress), log_(log) {
    ingress_.register_extension(static_cast<ingress::EndpointListFilter&>(*this));
    settings_ = options.rules;
    if (settings_.any()) set(compile(options));
    if (telemetry) {
        shape_ = telemetry->shape();
        telemetry->join([this](metrics::Measures& measures) { count(measures); });
    }
    if (settings_.limits.empty() || options.metrics.directory.empty()) return;
    if (!options.collects()) state_.emplace(options.metrics.directory);
    keeper_ = std::make_unique<rules::BucketStorage>(
        options.metrics.directory, [this] { return rules_.get(); }, timers, log_);
}

RulesPart::~RulesPart() = default;

void RulesPart::start() {
    if (keeper_) keeper_->start();
}

void RulesPart::stop(double, std::function<void()> done) {
    if (keeper_) keeper_->stop();
    done();
}

// Compiled anew beside the ones in force.
std::unique_ptr<rules::Rules> RulesPart::compile(const operator_config::Options& options) {
    std::vector<std::string> faults;
    auto made =
        rules::Rules::load(options.rules, facts_, faults,
                           [this](const std::string& rule, std::string_view why) { on_error(rule, why); });
    for (const std::string& fault : faults) throw std::runtime_error(fault);
    return made;
}

void RulesPart::prepare(const operator_config::Options& fresh) {
    prepared_ = fresh.rules.any() ? compile(fresh) : nullptr;
}

std::string RulesPart::take(const operator_config::Options& fresh) {
    if (fresh.rules != settings_) set(std::move(prepared_));
    prepared_.reset();
    settings_ = fresh.rules;
    return {};
}

void RulesPart::share(rules::FleetRateLimits* shared) {
    shared_ = shared;
    if (rules_) rules_->set_fleet_rate_limits(shared);
}

void RulesPart::set(std::unique_ptr<rules::Rules> rules) {
    if (rules && rules_) rules->adopt(*rules_);
    if (rules) rules->set_fleet_rate_limits(shared_);
    rules_ = std::move(rules);
    ++number_;
    // Once there have been rules it stays: what was judged is told of its end.
    if (rules_ && !std::exchange(joined_, true))
        ingress_.register_extension(static_cast<ingress::RequestFilter&>(*this));
    // Before the start the first list is still to come.
    ingress_.update_endpoints(fleet_.reload(net::now(), rules_.get()));
}

void RulesPart::on_error(const std::string& rule, std::string_view why) {
    const double now = judged_at_ > 0 ? judged_at_ : net::now();
    if (now - told_ < kErrorEvery) return;
    told_ = now;
    log_.write(Log::Level::warning, now, "rules: [%s] ends in an error and does not match: %.*s",
               rule.c_str(), static_cast<int>(why.size()), why.data());
}

void RulesPart::on_request(client::ClientRequest& i, slatejunction::Request& request,
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
    std::unique_ptr<Judged> judged;
    if (spare_.empty()) {
        judged = std::make_unique<Judged>();
    } else {
        judged = std::move(spare_.back());
        spare_.pop_back();
    }
    judged_at_ = net::now();   // not when it arrived: limits are asked in the order of time
    rules_->evaluate(judged_at_, facts, judged->verdict);
    judged_at_ = 0;
    judged->rules = number_;
    request.subset = judged->verdict.subset;
    request.subset_fallback = judged->verdict.subset_fallback;
    request.rate_limit_retry_after_s =
        std::max(request.rate_limit_retry_after_s, judged->verdict.rate_limit_retry_after_s);
    mark = judged.release();   // until ended()
}

void RulesPart::on_first_attempt(const client::ClientRequest&, ingress::FilterState& mark, bool spilled) {
    auto* const judged = static_cast<Judged*>(mark);
    if (judged && rules_ && judged->rules == number_)
        rules_->on_first_attempt(net::now(), judged->verdict, spilled);
}

slatejunction::RejectReason RulesPart::on_rate_limited(ingress::FilterState mark) {
    const auto* const judged = static_cast<const Judged*>(mark);
    if (judged && rules_ && judged->rules == number_) rules_->on_rejected(judged->verdict);
    return slatejunction::RejectReason::rate_limit;
}

void RulesPart::on_request_end(const client::ClientRequest&, ingress::FilterState mark) {
    std::unique_ptr<Judged> judged(static_cast<Judged*>(mark));
    if (!judged) return;
    rules::Rules::on_request_end(net::now(), judged->verdict);
    if (spare_.size() < kSpareMost) spare_.push_back(std::move(judged));
}

std::span<const std::pair<std::size_t, std::string>> RulesPart::tags(ingress::FilterState mark) const {
    if (!mark) return {};
    return static_cast<const Judged*>(mark)->verdict.tags;
}

void RulesPart::apply_to(double now, slatejunction::EndpointUpdate& list) {
    fleet_.update(now, list, rules_.get());
}

// Rules that came with a reload under new names are counted after the next start.
void RulesPart::count(metrics::Measures& m) {
    using metrics::Id;
    if (!rules_) return;
    const auto moved = [&](Id id, std::size_t label, std::uint64_t now) {
        std::uint64_t& seen = seen_[{id, label}];
        if (now < seen) seen = 0;   // a limit that began anew
        if (now != seen) m.add(id, label, static_cast<double>(now - std::exchange(seen, now)));
    };
    const auto place = [](const std::vector<std::string>& all, std::string_view name) {
        return static_cast<std::size_t>(std::find(all.begin(), all.end(), name) - all.begin());
    };
    for (const rules::RuleCount& one : rules_->counts()) {
        const std::size_t at = place(shape_.rules, one.name);
        if (at == shape_.rules.size()) continue;
        moved(Id::rule_matches, at, one.matches);
        moved(Id::rule_errors, at, one.errors);
        const std::string own = one.name.substr(one.name.find(' ') + 1);
        if (one.name.starts_with("route "))
            moved(Id::route_spills, place(shape_.routes, own), one.fallbacks);
        if (one.name.starts_with("limit "))
            moved(Id::limit_refusals, place(shape_.limits, own), one.rejections);
    }
    moved(Id::rule_cost, 0, rules_->evaluation_cost());
    const rules::Settings& settings = rules_->settings();
    for (std::size_t i = 0; i < settings.limits.size(); ++i) {
        const std::size_t at = place(shape_.limits, settings.limits[i].name);
        if (at == shape_.limits.size()) continue;
        const rules::Limiter& limiter = rules_->limiter(i);
        m.set(Id::limit_keys, static_cast<double>(limiter.keys()), at);
        moved(Id::limit_forgotten, at, limiter.lossy_evictions());
        moved(Id::limit_passed, at, limiter.untracked_requests());
    }
    for (std::size_t i = 0; i < settings.subsets.size(); ++i)
        if (const std::size_t at = place(shape_.subsets, settings.subsets[i].name);
            at < shape_.subsets.size())
            m.set(Id::subset_providers, static_cast<double>(fleet_.serving_count(i)), at);
}

}   // namespace slatejunction::app
