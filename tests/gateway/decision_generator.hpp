// Draws and digests for the characterization test of the gateway's decisions. Nothing here depends on the
// standard library's distributions or on mathematical functions, so equal seeds draw equal values
// everywhere.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>

#include "slatejunction/gateway.hpp"

namespace decision {

namespace sj = slatejunction;

// splitmix64.
class Draw {
  public:
    explicit Draw(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }
    std::uint64_t below(std::uint64_t n) { return next() % n; }
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    double between(double low, double high) { return low + (high - low) * unit(); }
    bool chance(double p) { return unit() < p; }

  private:
    std::uint64_t state_;
};

// FNV-1a over 64 bits. Every field of every action is added in order, doubles by their exact bits.
class Digest {
  public:
    std::uint64_t value() const { return hash_; }
    void add(std::uint64_t word) {
        for (int shift = 0; shift < 64; shift += 8) byte(static_cast<unsigned char>(word >> shift));
    }
    void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
    void add(const std::string& text) {
        add(static_cast<std::uint64_t>(text.size()));
        for (const char c : text) byte(static_cast<unsigned char>(c));
    }

  private:
    void byte(unsigned char b) { hash_ = (hash_ ^ b) * 0x100000001b3ULL; }
    std::uint64_t hash_ = 0xcbf29ce484222325ULL;
};

// Numbers of the action kinds in the digest. They belong to this test: neither the order nor the names of
// the alternatives in the header matter.
enum class Kind : std::uint64_t {
    send = 1,
    call_off,
    refuse,
    abort,
    set_timer,
    probe,
    listen,
    note,
    admitted,
    kinds
};

inline Kind digest(Digest& d, const sj::StartAttempt& a) {
    d.add(std::uint64_t{1});
    d.add(a.id);
    d.add(a.backend);
    d.add(a.timeout_s);
    d.add(std::uint64_t{a.used_fallback});
    d.add(a.start_by_s);
    return Kind::send;
}
inline Kind digest(Digest& d, const sj::CancelAttempt& a) {
    d.add(std::uint64_t{2});
    d.add(a.id);
    d.add(static_cast<std::uint64_t>(a.attempt));
    return Kind::call_off;
}
inline Kind digest(Digest& d, const sj::RejectRequest& a) {
    d.add(std::uint64_t{3});
    d.add(a.id);
    d.add(a.retry_after_s);
    d.add(static_cast<std::uint64_t>(a.reason));
    return Kind::refuse;
}
inline Kind digest(Digest& d, const sj::FailRequest& a) {
    d.add(std::uint64_t{4});
    d.add(a.id);
    return Kind::abort;
}
inline Kind digest(Digest& d, const sj::SetTimer& a) {
    d.add(std::uint64_t{5});
    d.add(a.fire_at_s);
    d.add(a.tag);
    return Kind::set_timer;
}
inline Kind digest(Digest& d, const sj::StartHealthCheck& a) {
    d.add(std::uint64_t{6});
    d.add(a.backend);
    return Kind::probe;
}
inline Kind digest(Digest& d, const sj::WatchEndpoints& a) {
    d.add(std::uint64_t{7});
    d.add(std::uint64_t{a.enabled});
    return Kind::listen;
}
inline Kind digest(Digest& d, const sj::LogMessage& a) {
    d.add(std::uint64_t{8});
    d.add(a.text);
    return Kind::note;
}
inline Kind digest(Digest& d, const sj::ReportAdmittedFraction& a) {
    d.add(std::uint64_t{9});
    d.add(a.fraction);
    d.add(a.subset);
    return Kind::admitted;
}

inline sj::ServiceClass draw_class(Draw& d, std::uint64_t number) {
    static const sj::Idempotency effects[] = {sj::Idempotency::idempotent, sj::Idempotency::idempotency_key,
                                              sj::Idempotency::not_idempotent};
    static const sj::IdempotencyScope groups[] = {sj::IdempotencyScope::all, sj::IdempotencyScope::zone,
                                                  sj::IdempotencyScope::cell};
    sj::ServiceClass c;
    c.name = "class" + std::to_string(number);
    c.latency_objective_s = d.between(0.1, 1.0);
    c.deadline_s = d.between(1, 4);
    c.idempotency = effects[number % 3];
    c.idempotency_scope = groups[(number / 3 + d.below(2)) % 3];
    c.idempotency_window_s = d.between(0.3, 3.0);
    c.streaming = d.chance(0.2);
    c.priority_weight = d.between(0.05, 4.0);
    c.late_priority_weight = d.between(0, 0.2);
    return c;
}

inline sj::Plan draw_plan(Draw& d, std::uint64_t number) {
    sj::Plan p;
    p.name = "plan" + std::to_string(number);
    if (number % 2 == 1) {
        p.rate = d.chance(0.35) ? d.between(0.005, 0.2) : d.between(4, 25);   // few requests or many
        p.burst = d.between(2, 40);
        p.over_quota_weight = d.between(0, 0.5);
        p.over_quota_penalty = d.between(0.2, 1.5);
    }
    if (number == 2 || (number == 3 && d.chance(0.5))) {
        p.hard_limit_rate = d.between(5, 40);
        p.hard_limit_burst = d.between(4, 60);
        p.hard_limit_slack = d.between(0, 5);
    }
    if (number == 3 || d.chance(0.1)) p.max_in_flight = static_cast<double>(2 + d.below(8));
    p.plan_weight = d.chance(0.2) ? 0 : d.between(0.3, 3);
    return p;
}

// Switches come from the bits of the seed, so that neighbouring seeds combine them; amounts are drawn.
inline sj::Settings draw_settings(Draw& d, std::uint64_t seed) {
    sj::Settings s;
    for (std::uint64_t i = 0; i < 9; ++i) s.classes.push_back(draw_class(d, i));
    for (std::uint64_t i = 0; i < 4; ++i) s.plans.push_back(draw_plan(d, i));
    s.report_fields = {"queue", "busy"};
    s.zone = "zone0";
    s.discovery = seed % 3 == 0 ? sj::DiscoveryMode::subscribe : sj::DiscoveryMode::automatic;
    s.ingress_index = static_cast<std::int64_t>(d.below(4));
    s.hedging_allowed = (seed & 1) != 0;
    s.cancellation_allowed = (seed & 2) != 0;
    s.ingress_count = static_cast<double>(1 + d.below(6));
    s.meter_period_s = seed % 5 == 0 ? 0 : d.between(0.3, 1.5);
    s.max_request_units = 8;
    s.max_attempts = static_cast<double>(1 + d.below(5));
    s.health_checks_allowed = d.chance(0.5);
    s.reports_on_health_check_only = d.chance(0.5);
    s.retry_after_allowed = d.chance(0.5);
    s.max_retry_after_s = d.chance(0.3) ? 0 : d.between(0.02, 0.3);
    s.timer_resolution_s = d.between(0, 0.01);
    s.watch_retry_within_s = d.between(0.2, 8);
    s.slow_start_min_capacity = d.between(0.05, 0.6);
    s.slow_start_window_s = seed % 7 == 0 ? 0 : d.between(2, 20);
    s.overload_multiple = d.between(0.5, 4);
    s.overload_window_s = d.between(0.5, 5);
    return s;
}

}   // namespace decision
