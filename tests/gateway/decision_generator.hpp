// Random settings, and digests of actions, for the characterization test of the gateway's decisions.
// Nothing here uses the standard library's distributions or mathematical functions, so that equal seeds
// give equal values on every platform.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>

#include "slatejunction/gateway.hpp"

namespace decision {

namespace sj = slatejunction;

// The splitmix64 generator.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() {
        std::uint64_t bits = (state_ += 0x9e3779b97f4a7c15ULL);
        bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
        bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
        return bits ^ (bits >> 31);
    }
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
    double uniform01() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    double uniform(double low, double high) { return low + (high - low) * uniform01(); }
    bool chance(double probability) { return uniform01() < probability; }

  private:
    std::uint64_t state_;
};

// 64-bit FNV-1a. Every field of every action is added in order, doubles by their exact bits.
class Digest {
  public:
    std::uint64_t value() const { return hash_; }
    void add(std::uint64_t word) {
        for (int shift = 0; shift < 64; shift += 8) add_byte(static_cast<unsigned char>(word >> shift));
    }
    void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
    void add(const std::string& text) {
        add(static_cast<std::uint64_t>(text.size()));
        for (const char c : text) add_byte(static_cast<unsigned char>(c));
    }

  private:
    void add_byte(unsigned char byte) { hash_ = (hash_ ^ byte) * 0x100000001b3ULL; }
    std::uint64_t hash_ = 0xcbf29ce484222325ULL;
};

// The numbers of the action kinds in the digest. They are specific to this test and do not depend on the
// order or the names of the alternatives of Action.
enum class ActionKind : std::uint64_t {
    start_attempt = 1,
    cancel_attempt,
    reject_request,
    fail_request,
    set_timer,
    start_health_check,
    watch_endpoints,
    log_message,
    report_admitted_fraction,
    count
};

inline ActionKind add_action(Digest& digest, const sj::StartAttempt& action) {
    digest.add(std::uint64_t{1});
    digest.add(action.id);
    digest.add(action.backend);
    digest.add(action.timeout_s);
    digest.add(std::uint64_t{action.used_fallback});
    digest.add(action.start_by_s);
    return ActionKind::start_attempt;
}
inline ActionKind add_action(Digest& digest, const sj::CancelAttempt& action) {
    digest.add(std::uint64_t{2});
    digest.add(action.id);
    digest.add(static_cast<std::uint64_t>(action.attempt));
    return ActionKind::cancel_attempt;
}
inline ActionKind add_action(Digest& digest, const sj::RejectRequest& action) {
    digest.add(std::uint64_t{3});
    digest.add(action.id);
    digest.add(action.retry_after_s);
    digest.add(static_cast<std::uint64_t>(action.reason));
    return ActionKind::reject_request;
}
inline ActionKind add_action(Digest& digest, const sj::FailRequest& action) {
    digest.add(std::uint64_t{4});
    digest.add(action.id);
    return ActionKind::fail_request;
}
inline ActionKind add_action(Digest& digest, const sj::SetTimer& action) {
    digest.add(std::uint64_t{5});
    digest.add(action.fire_at_s);
    digest.add(action.tag);
    return ActionKind::set_timer;
}
inline ActionKind add_action(Digest& digest, const sj::StartHealthCheck& action) {
    digest.add(std::uint64_t{6});
    digest.add(action.backend);
    return ActionKind::start_health_check;
}
inline ActionKind add_action(Digest& digest, const sj::WatchEndpoints& action) {
    digest.add(std::uint64_t{7});
    digest.add(std::uint64_t{action.enabled});
    return ActionKind::watch_endpoints;
}
inline ActionKind add_action(Digest& digest, const sj::LogMessage& action) {
    digest.add(std::uint64_t{8});
    digest.add(action.text);
    return ActionKind::log_message;
}
inline ActionKind add_action(Digest& digest, const sj::ReportAdmittedFraction& action) {
    digest.add(std::uint64_t{9});
    digest.add(action.fraction);
    digest.add(action.subset);
    return ActionKind::report_admitted_fraction;
}

inline sj::ServiceClass draw_class(RandomSource& random, std::uint64_t number) {
    static const sj::Idempotency idempotencies[] = {
        sj::Idempotency::idempotent, sj::Idempotency::idempotency_key, sj::Idempotency::not_idempotent};
    static const sj::IdempotencyScope scopes[] = {sj::IdempotencyScope::all, sj::IdempotencyScope::zone,
                                                  sj::IdempotencyScope::cell};
    sj::ServiceClass service_class;
    service_class.name = "class" + std::to_string(number);
    service_class.latency_objective_s = random.uniform(0.1, 1.0);
    service_class.deadline_s = random.uniform(1, 4);
    service_class.idempotency = idempotencies[number % 3];
    service_class.idempotency_scope = scopes[(number / 3 + random.below(2)) % 3];
    service_class.idempotency_window_s = random.uniform(0.3, 3.0);
    service_class.streaming = random.chance(0.2);
    service_class.priority_weight = random.uniform(0.05, 4.0);
    service_class.late_priority_weight = random.uniform(0, 0.2);
    return service_class;
}

inline sj::Plan draw_plan(RandomSource& random, std::uint64_t number) {
    sj::Plan plan;
    plan.name = "plan" + std::to_string(number);
    if (number % 2 == 1) {
        plan.rate = random.chance(0.35) ? random.uniform(0.005, 0.2)
                                        : random.uniform(4, 25);   // few requests per meter period, or many
        plan.burst = random.uniform(2, 40);
        plan.over_quota_weight = random.uniform(0, 0.5);
        plan.over_quota_penalty = random.uniform(0.2, 1.5);
    }
    if (number == 2 || (number == 3 && random.chance(0.5))) {
        plan.hard_limit_rate = random.uniform(5, 40);
        plan.hard_limit_burst = random.uniform(4, 60);
        plan.hard_limit_slack = random.uniform(0, 5);
    }
    if (number == 3 || random.chance(0.1)) plan.max_in_flight = static_cast<double>(2 + random.below(8));
    plan.plan_weight = random.chance(0.2) ? 0 : random.uniform(0.3, 3);
    return plan;
}

// Flags are taken from the bits of the seed, so that consecutive seeds cover their combinations; other
// values are drawn.
inline sj::Settings draw_settings(RandomSource& random, std::uint64_t seed) {
    sj::Settings settings;
    for (std::uint64_t i = 0; i < 9; ++i) settings.classes.push_back(draw_class(random, i));
    for (std::uint64_t i = 0; i < 4; ++i) settings.plans.push_back(draw_plan(random, i));
    settings.report_fields = {"queue", "busy"};
    settings.zone = "zone0";
    settings.discovery = seed % 3 == 0 ? sj::DiscoveryMode::subscribe : sj::DiscoveryMode::automatic;
    settings.ingress_index = static_cast<std::int64_t>(random.below(4));
    settings.hedging_allowed = (seed & 1) != 0;
    settings.cancellation_allowed = (seed & 2) != 0;
    settings.ingress_count = static_cast<double>(1 + random.below(6));
    settings.meter_period_s = seed % 5 == 0 ? 0 : random.uniform(0.3, 1.5);
    settings.max_request_units = 8;
    settings.max_attempts = static_cast<double>(1 + random.below(5));
    settings.health_checks_allowed = random.chance(0.5);
    settings.reports_on_health_check_only = random.chance(0.5);
    settings.retry_after_allowed = random.chance(0.5);
    settings.max_retry_after_s = random.chance(0.3) ? 0 : random.uniform(0.02, 0.3);
    settings.timer_resolution_s = random.uniform(0, 0.01);
    settings.watch_retry_within_s = random.uniform(0.2, 8);
    settings.slow_start_min_capacity = random.uniform(0.05, 0.6);
    settings.slow_start_window_s = seed % 7 == 0 ? 0 : random.uniform(2, 20);
    settings.overload_multiple = random.uniform(0.5, 4);
    settings.overload_window_s = random.uniform(0.5, 5);
    return settings;
}

}   // namespace decision
