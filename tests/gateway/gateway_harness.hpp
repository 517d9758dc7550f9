// Drives one Gateway through its public interface for tests: owns its clock (s) and timers, records its
// actions.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace sj = slatejunction;

struct GatewayDriver {
    struct PendingAttempt {
        std::string id;
        std::int64_t attempt = 0;
        std::string backend;
        double started_at_s = 0;
    };

    explicit GatewayDriver(const sj::Settings& settings, std::uint64_t seed = 1, double clock = 100)
        : now(clock), gateway(settings, seed) {
        handle(sj::Start{});
    }

    void handle(const sj::Event& event) {
        std::vector<sj::Action> actions;
        gateway.handle(now, event, actions);
        for (const sj::Action& a : actions) {
            if (const auto* s = std::get_if<sj::StartAttempt>(&a)) {
                const PendingAttempt out{s->id, attempts[s->id]++, s->backend, now};
                started.push_back(out);
                pending.push_back(out);
            } else if (const auto* t = std::get_if<sj::SetTimer>(&a)) {
                timers.emplace(t->fire_at_s, t->tag);
            } else if (const auto* r = std::get_if<sj::RejectRequest>(&a)) {
                rejected.push_back(r->id);
                reject_reasons.push_back(r->reason);
                last_retry_after_s = r->retry_after_s;
                ended_at[r->id] = now;
            } else if (const auto* b = std::get_if<sj::FailRequest>(&a)) {
                failed.push_back(b->id);
                ended_at[b->id] = now;
            } else if (const auto* c = std::get_if<sj::CancelAttempt>(&a)) {
                cancelled.emplace_back(c->id, c->attempt);
            } else if (const auto* f = std::get_if<sj::ReportAdmittedFraction>(&a)) {
                admitted_fraction = f->fraction;
            }
        }
        action_log.insert(action_log.end(), actions.begin(), actions.end());
    }

    void run_to(double time) {
        while (!timers.empty() && timers.begin()->first <= time) {
            const auto [fire_at, tag] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, fire_at);
            handle(sj::TimerFired{tag});
        }
        now = std::max(now, time);
    }

    void update_endpoints(const std::vector<std::string>& backends,
                          sj::EndpointUpdateKind kind = sj::EndpointUpdateKind::snapshot) {
        sj::EndpointUpdate update;
        update.kind = kind;
        for (const std::string& s : backends) update.endpoints.push_back(endpoint(s));
        handle(update);
    }
    static sj::Endpoint endpoint(const std::string& backend,
                                 sj::EndpointState state = sj::EndpointState::serving, double born = 0) {
        return {state, backend, "std", "z", 1, 1, born};
    }
    void update_endpoint(const sj::Endpoint& e) {
        handle(sj::EndpointUpdate{sj::EndpointUpdateKind::delta, {e}});
    }

    void request(const std::string& id, const std::string& cls = "read", double allow = 5, double units = 1,
                 std::uint64_t customer = 1, double ingress_count = 1, const std::string& plan = "plan") {
        handle(sj::Request{id, cls, plan, units, customer, now + allow, ingress_count});
    }

    // Ends the pending attempt of that index.
    void end_attempt(std::size_t index, sj::AttemptResult outcome, double quota_use = 0) {
        const PendingAttempt out = pending[index];
        pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
        sj::AttemptEnded e;
        e.id = out.id;
        e.attempt = out.attempt;
        e.result = outcome;
        e.duration_s = now - out.started_at_s;
        e.request_ended = outcome == sj::AttemptResult::ok || ended_at.count(out.id) > 0;
        e.quota_use = quota_use;
        if (e.request_ended) ended_at.emplace(out.id, now);
        handle(e);
    }
    std::size_t attempts_to(const std::string& backend) const {
        return static_cast<std::size_t>(std::count_if(
            started.begin(), started.end(), [&](const PendingAttempt& o) { return o.backend == backend; }));
    }

    double now;
    sj::Gateway gateway;
    std::multimap<double, std::uint64_t> timers;
    std::map<std::string, std::int64_t> attempts;
    std::vector<PendingAttempt> started, pending;
    std::vector<std::string> rejected, failed;
    std::vector<sj::RejectReason> reject_reasons;   // beside `rejected`
    double admitted_fraction = 1;                   // as last reported
    std::vector<std::pair<std::string, std::int64_t>> cancelled;
    std::map<std::string, double> ended_at;
    std::vector<sj::Action> action_log;
    double last_retry_after_s = 0;
};

inline sj::Settings plain_settings() {
    sj::Settings s;
    s.classes = {{"read", 1.0, 5.0, sj::Idempotency::idempotent},
                 {"key", 1.0, 5.0, sj::Idempotency::idempotency_key, sj::IdempotencyScope::zone, 3.0},
                 {"write", 1.0, 5.0, sj::Idempotency::not_idempotent}};
    s.plans = {{"plan"}};
    s.zone = "z";
    s.ingress_count = 1;
    s.max_attempts = 3;
    s.cancellation_allowed = true;
    s.retry_after_allowed = true;
    s.max_retry_after_s = 1;
    s.timer_resolution_s = 0.002;
    s.slow_start_min_capacity = 0.2;
    s.slow_start_window_s = 10;
    s.overload_multiple = 3;
    s.overload_window_s = 2;
    return s;
}
