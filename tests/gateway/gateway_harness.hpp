// Drives one Gateway through its public interface: a clock, its timers, and what it has said.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace sj = slatejunction;

struct Driver {
    struct Out {
        std::string id;
        std::int64_t attempt = 0;
        std::string server;
        double at = 0;
    };

    explicit Driver(const sj::Settings& settings, std::uint64_t seed = 1, double clock = 100)
        : now(clock), gateway(settings, seed) {
        give(sj::Start{});
    }

    void give(const sj::Event& event) {
        std::vector<sj::Action> actions;
        gateway.handle(now, event, actions);
        for (const sj::Action& a : actions) {
            if (const auto* s = std::get_if<sj::Send>(&a)) {
                const Out out{s->id, attempts[s->id]++, s->server, now};
                sends.push_back(out);
                pending.push_back(out);
            } else if (const auto* t = std::get_if<sj::SetTimer>(&a)) {
                timers.emplace(t->due_s, t->tag);
            } else if (const auto* r = std::get_if<sj::Refuse>(&a)) {
                refused.push_back(r->id);
                reasons.push_back(r->reason);
                retry_after = r->retry_after_s;
                ended_at[r->id] = now;
            } else if (const auto* b = std::get_if<sj::Abort>(&a)) {
                aborted.push_back(b->id);
                ended_at[b->id] = now;
            } else if (const auto* c = std::get_if<sj::CallOff>(&a)) {
                called_off.emplace_back(c->id, c->attempt);
            } else if (const auto* f = std::get_if<sj::Admitted>(&a)) {
                fraction = f->fraction;
            }
        }
        log.insert(log.end(), actions.begin(), actions.end());
    }

    void run_to(double time) {
        while (!timers.empty() && timers.begin()->first <= time) {
            const auto [due, tag] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, due);
            give(sj::TimerDue{tag});
        }
        now = std::max(now, time);
    }

    void list(const std::vector<std::string>& servers, sj::ListKind kind = sj::ListKind::total) {
        sj::ListUpdate update;
        update.kind = kind;
        for (const std::string& s : servers) update.entries.push_back(entry(s));
        give(update);
    }
    static sj::ListEntry entry(const std::string& server, sj::ServerState state = sj::ServerState::in,
                               double born = 0) {
        return {state, server, "std", "z", 1, 1, born};
    }
    void change(const sj::ListEntry& e) { give(sj::ListUpdate{sj::ListKind::changes, {e}}); }

    void ask(const std::string& id, const std::string& cls = "read", double allow = 5, double units = 1,
             std::uint64_t customer = 1, double doors = 1, const std::string& plan = "plan") {
        give(sj::Request{id, cls, plan, units, customer, now + allow, doors});
    }

    // Ends the pending attempt at the front, or the named one.
    void end(std::size_t index, sj::Outcome outcome, double quota_use = 0) {
        const Out out = pending[index];
        pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
        sj::AttemptEnd e;
        e.id = out.id;
        e.attempt = out.attempt;
        e.outcome = outcome;
        e.took_s = now - out.at;
        e.ended = outcome == sj::Outcome::ok || ended_at.count(out.id) > 0;
        e.quota_use = quota_use;
        if (e.ended) ended_at.emplace(out.id, now);
        give(e);
    }
    std::size_t sent_to(const std::string& server) const {
        return static_cast<std::size_t>(
            std::count_if(sends.begin(), sends.end(), [&](const Out& o) { return o.server == server; }));
    }

    double now;
    sj::Gateway gateway;
    std::multimap<double, std::uint64_t> timers;
    std::map<std::string, std::int64_t> attempts;
    std::vector<Out> sends, pending;
    std::vector<std::string> refused, aborted;
    std::vector<sj::Reason> reasons;   // beside `refused`
    double fraction = 1;               // as it was last told
    std::vector<std::pair<std::string, std::int64_t>> called_off;
    std::map<std::string, double> ended_at;
    std::vector<sj::Action> log;
    double retry_after = 0;
};

inline sj::Settings plain_settings() {
    sj::Settings s;
    s.classes = {{"read", 1.0, 5.0, sj::Effect::pure},
                 {"key", 1.0, 5.0, sj::Effect::token, sj::Group::zone, 3.0},
                 {"write", 1.0, 5.0, sj::Effect::side_effect}};
    s.plans = {{"plan"}};
    s.zone = "z";
    s.balancers = 1;
    s.attempts_cap = 3;
    s.cancel = true;
    s.retry_after = true;
    s.max_retry_after_s = 1;
    s.quantum_s = 0.002;
    s.cold_from = 0.2;
    s.warm_within_s = 10;
    s.fall_multiple = 3;
    s.fall_s = 2;
    return s;
}
