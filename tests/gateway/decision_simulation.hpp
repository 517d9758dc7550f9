// A small world around one Gateway: clients, backends, discovery and a clock, all drawn from one seed. It
// carries out the gateway's actions, so that the events that follow depend on them.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "decision_generator.hpp"

namespace decision {

// How often each kind of event, action, outcome, list and reason was seen.
struct Coverage {
    std::array<std::size_t, std::variant_size_v<sj::Event>> events{};
    std::array<std::size_t, static_cast<std::size_t>(Kind::kinds)> actions{};
    std::array<std::size_t, 8> outcomes{};
    std::array<std::size_t, 4> lists{};
    std::array<std::size_t, 9> reasons{};
};

class World {
  public:
    World(std::uint64_t seed, Coverage& coverage)
        : draw_(seed * 0x2545f4914f6cdd1dULL + 1),
          settings_(draw_settings(draw_, seed)),
          gateway_(settings_, seed),
          coverage_(coverage) {
        now_ = seed % 4 == 0 ? 0.0 : draw_.between(1, 1e6);
    }

    std::uint64_t run(std::size_t events) {
        begin();
        while (given_ < events) {
            const auto first = queue_.begin();
            const Item item = first->second;
            now_ = std::max(now_, first->first);
            queue_.erase(first);
            perform(item);
        }
        digest_.add(static_cast<std::uint64_t>(gateway_.open_requests()));
        return digest_.value();
    }

  private:
    enum class Task { timer, arrival, attempt_end, stream, departure, directory, weather, bad, listed };
    enum class Mode { well, errors, hangs, full, unreachable, stale };
    struct Item {
        Task task = Task::timer;
        std::uint64_t number = 0;   // timer tag, attempt number, or customer of a client's retry
        std::string id;
        sj::AttemptResult outcome = sj::AttemptResult::ok;
        bool repeat = false;
    };
    struct Backend {
        sj::Endpoint entry;
        double pace = 0.2;   // parts of a class's latency objective
        double slow = 1;
        double room = 8;
        double open = 0;
        Mode mode = Mode::well;
    };
    struct Out {
        std::string backend;
        double sent = 0;
        bool stale = false;
    };
    struct Client {
        sj::Request request;
        const sj::ServiceClass* service = nullptr;
        std::map<std::uint64_t, Out> out;
        std::uint64_t attempts = 0;
        bool ended = false;
    };
    struct Meter {
        double period = -1, units = 0, last = 0, others = 1;
    };

    void at(double time, Item item) { queue_.emplace(time, std::move(item)); }
    void after(double delay, Task task) {
        at(now_ + delay, Item{task, 0, {}, sj::AttemptResult::ok, false});
    }

    void begin() {
        backends_.resize(2 + draw_.below(18));
        for (std::size_t i = 0; i < backends_.size(); ++i) make_backend(i);
        rate_ = draw_.between(8, 90);
        calm_ = draw_.between(0, 0.8);
        send_request(0, false);   // before Start
        deliver(sj::TimerFired{0});
        deliver(sj::Start{});
        list(sj::EndpointUpdateKind::snapshot);
        for (const Task task : {Task::arrival, Task::directory, Task::weather, Task::bad})
            after(0.01, task);
        const std::uint64_t waiting =
            draw_.chance(0.6) ? draw_.below(120) : 0;   // through an earlier outage
        for (std::uint64_t i = 0; i < waiting; ++i) {
            const double time = now_ + draw_.between(0.01, 0.3);   // drawn first, on every compiler
            at(time, Item{Task::arrival, draw_.below(24), {}, sj::AttemptResult::ok, true});
        }
    }

    void make_backend(std::size_t number) {
        Backend& b = backends_[number];
        b.entry.backend = "b" + std::to_string(number);
        b.entry.flavor = "std";
        b.entry.zone = "zone" + std::to_string(draw_.below(2));
        b.entry.cell = static_cast<std::int64_t>(draw_.below(3));
        b.entry.capacity_hint = draw_.chance(0.3) ? 0 : draw_.between(0.5, 4);
        b.entry.started_at_s = 0;
        b.entry.subsets = draw_.below(16);
        b.pace = draw_.between(0.03, 0.25);
        b.room = draw_.between(4, 20);
    }

    // Handles one event, adds the actions to the digest, then carries them out.
    void deliver(const sj::Event& event) {
        ++given_;
        ++coverage_.events[event.index()];
        double time = now_;
        if (draw_.chance(0.003)) {
            const double odd[] = {std::numeric_limits<double>::quiet_NaN(), now_ - 0.7,
                                  std::numeric_limits<double>::infinity(), -5};
            time = odd[draw_.below(4)];
        }
        std::vector<sj::Action> actions;
        gateway_.handle(time, event, actions);
        digest_.add(static_cast<std::uint64_t>(actions.size()));
        for (const sj::Action& a : actions) {
            const Kind kind = std::visit([this](const auto& one) { return digest(digest_, one); }, a);
            ++coverage_.actions[static_cast<std::size_t>(kind)];
        }
        for (const sj::Action& a : actions) std::visit([this](const auto& one) { carry_out(one); }, a);
    }

    void carry_out(const sj::StartAttempt& a) {
        const auto found = clients_.find(a.id);
        if (found == clients_.end()) return;
        Client& c = found->second;
        Backend& b = backend(a.backend);
        const std::uint64_t number = c.attempts++;
        c.out[number] = Out{a.backend, now_, b.mode == Mode::stale};
        b.open += 1;
        meter(c.request.customer).units += 1;
        answer(c, b, number);
    }
    void carry_out(const sj::CancelAttempt& a) {
        const double delay = draw_.between(0, 0.03);
        const auto outcome =
            draw_.chance(0.15) ? sj::AttemptResult::not_started : sj::AttemptResult::cancelled;
        at(now_ + delay,
           Item{Task::attempt_end, static_cast<std::uint64_t>(a.attempt), a.id, outcome, false});
    }
    void carry_out(const sj::RejectRequest& a) {
        ++coverage_.reasons[static_cast<std::size_t>(a.reason)];
        const auto found = clients_.find(a.id);
        if (found == clients_.end()) return;
        found->second.ended = true;
        if (draw_.chance(0.25)) {
            const double wait = a.retry_after_s + draw_.between(0, 0.2);
            at(now_ + wait,
               Item{Task::arrival, found->second.request.customer, {}, sj::AttemptResult::ok, true});
        }
        forget(a.id);
    }
    void carry_out(const sj::FailRequest& a) {
        const auto found = clients_.find(a.id);
        if (found == clients_.end()) return;
        found->second.ended = true;
        forget(a.id);
    }
    void carry_out(const sj::SetTimer& a) {
        const double late = draw_.chance(0.05) ? draw_.between(0, 0.004) : 0;
        at(a.fire_at_s + late, Item{Task::timer, a.tag, {}, sj::AttemptResult::ok, false});
    }
    void carry_out(const sj::WatchEndpoints&) { after(draw_.between(0, 0.4), Task::listed); }
    void carry_out(const sj::StartHealthCheck&) {}
    void carry_out(const sj::LogMessage&) {}
    void carry_out(const sj::ReportAdmittedFraction&) {}

    Backend& backend(const std::string& id) { return backends_[std::stoul(id.substr(1))]; }

    // Draws how and when an attempt will end.
    void answer(const Client& c, const Backend& b, std::uint64_t number) {
        const double held = 1 + b.open / b.room;
        const double work =
            c.service->latency_objective_s * b.pace * b.slow * held * draw_.between(0.3, 1.7);
        Item end{Task::attempt_end, number, c.request.id, sj::AttemptResult::ok, false};
        double delay = work;
        const bool quick = b.mode == Mode::errors || b.mode == Mode::unreachable || b.mode == Mode::stale;
        if (b.mode == Mode::errors) end.outcome = sj::AttemptResult::error;
        if (b.mode == Mode::unreachable) end.outcome = sj::AttemptResult::connect_failed;
        if (b.mode == Mode::stale) end.outcome = sj::AttemptResult::reset;
        if (b.mode == Mode::full || b.open > 4 * b.room) end.outcome = sj::AttemptResult::rejected;
        if (end.outcome == sj::AttemptResult::ok && draw_.chance(0.02)) {
            static const sj::AttemptResult odd[] = {
                sj::AttemptResult::error,   sj::AttemptResult::rejected,
                sj::AttemptResult::timeout, sj::AttemptResult::connect_failed,
                sj::AttemptResult::reset,   sj::AttemptResult::not_started};
            end.outcome = odd[draw_.below(6)];
        }
        if (quick || end.outcome == sj::AttemptResult::rejected) delay = draw_.between(0.0005, 0.02);
        if (b.mode == Mode::hangs) delay = 1e3;
        const bool begins = c.service->streaming && end.outcome == sj::AttemptResult::ok;
        if (now_ + delay >= c.request.deadline_at_s) {
            end.outcome = sj::AttemptResult::timeout;
            at(std::max(now_, c.request.deadline_at_s) + draw_.between(0, 0.01), end);
            return;
        }
        if (begins) {
            at(now_ + delay, Item{Task::stream, number, c.request.id, sj::AttemptResult::ok, false});
            delay += draw_.between(0, draw_.chance(0.05) ? 4 : 0.1);
        }
        at(now_ + delay, end);
    }

    void perform(const Item& item) {
        switch (item.task) {
            case Task::timer:
                return deliver(sj::TimerFired{item.number});
            case Task::arrival:
                return arrive(item);
            case Task::attempt_end:
                return end_attempt(item);
            case Task::stream:
                return begin_stream(item);
            case Task::departure:
                return depart(item.id);
            case Task::directory:
                return change_directory();
            case Task::weather:
                return change_weather();
            case Task::bad:
                return misbehave();
            case Task::listed:
                return list(draw_.chance(0.3) ? sj::EndpointUpdateKind::watch_lost
                                              : sj::EndpointUpdateKind::snapshot);
        }
    }

    void arrive(const Item& item) {
        if (item.repeat) return send_request(item.number, true);
        const std::uint64_t one = draw_.below(24);
        const std::uint64_t other = draw_.below(24);
        // Most come from a few customers; some from many that are idle for long.
        send_request(draw_.chance(0.03) ? 24 + draw_.below(40) : std::min(one, other), false);
        after(draw_.chance(0.1) ? 0 : draw_.between(0.2, 1.8) / (rate_ * surge_), Task::arrival);
    }

    sj::Request draw_request(std::uint64_t customer, bool repeat) {
        sj::Request r;
        r.id = "r" + std::to_string(numbers_++);
        const std::uint64_t service = draw_.below(settings_.classes.size());
        r.service_class = settings_.classes[service].name;
        r.plan = draw_.chance(0.01) ? "other" : settings_.plans[customer % 4].name;
        r.units = static_cast<double>(1 + draw_.below(3));
        if (draw_.chance(0.01)) r.units = draw_.chance(0.5) ? -1 : std::numeric_limits<double>::quiet_NaN();
        r.customer = customer;
        r.deadline_at_s = now_ + settings_.classes[service].deadline_s * draw_.between(0.2, 1);
        r.ingress_count = draw_.chance(0.1) ? 0 : settings_.ingress_count;
        r.is_client_retry = repeat;
        if (draw_.chance(0.5)) r.subset = std::uint64_t{1} << draw_.below(draw_.chance(0.1) ? 6 : 4);
        static const sj::SubsetFallback spills[] = {
            sj::SubsetFallback::never, sj::SubsetFallback::when_empty, sj::SubsetFallback::when_overloaded};
        r.subset_fallback = spills[draw_.below(3)];
        if (draw_.chance(0.01)) r.rate_limit_retry_after_s = draw_.between(0.01, 2);
        if (draw_.chance(0.004)) r.service_class = "other";
        if (draw_.chance(0.004)) r.deadline_at_s = now_ - draw_.between(0, 1);
        return r;
    }

    void send_request(std::uint64_t customer, bool repeat) {
        const sj::Request r = draw_request(customer, repeat);
        Client c;
        c.request = r;
        for (const sj::ServiceClass& s : settings_.classes)
            if (s.name == r.service_class) c.service = &s;
        clients_.emplace(r.id, std::move(c));
        if (draw_.chance(0.06)) {
            const double stay = draw_.between(0, 1.5);
            at(now_ + stay, Item{Task::departure, 0, r.id, sj::AttemptResult::ok, false});
        }
        deliver(r);
    }

    void depart(const std::string& id) {
        const auto found = clients_.find(id);
        if (found == clients_.end()) return;
        found->second.ended = true;
        deliver(sj::ClientDisconnected{id});
        forget(id);
    }

    void begin_stream(const Item& item) {
        const auto found = clients_.find(item.id);
        if (found == clients_.end() || found->second.out.count(item.number) == 0) return;
        deliver(sj::StreamStarted{item.id, static_cast<std::int64_t>(item.number)});
    }

    void end_attempt(const Item& item) {
        const auto found = clients_.find(item.id);
        if (found == clients_.end()) return;
        Client& c = found->second;
        const auto out = c.out.find(item.number);
        if (out == c.out.end()) return;
        sj::AttemptEnded e;
        e.id = item.id;
        e.attempt = static_cast<std::int64_t>(item.number);
        e.result = item.outcome;
        e.duration_s = now_ - out->second.sent;
        if (item.outcome == sj::AttemptResult::ok) c.ended = true;
        e.request_ended = c.ended || draw_.chance(0.002);
        c.ended = e.request_ended;
        e.quota_use = metered(c.request.customer);
        e.charged_units = draw_.chance(0.1) ? c.request.units : 0;
        e.report = {static_cast<double>(draw_.below(9)), 0.5};
        if (draw_.chance(0.1)) e.write_duration_s = e.duration_s * draw_.unit();
        e.stale_connection = out->second.stale && item.outcome == sj::AttemptResult::reset;
        backend(out->second.backend).open -= 1;
        c.out.erase(out);
        ++coverage_.outcomes[static_cast<std::size_t>(e.result)];
        deliver(e);
        if (draw_.chance(0.01)) deliver(e);   // a repeated result
        forget(item.id);
    }

    void forget(const std::string& id) {
        const auto found = clients_.find(id);
        if (found != clients_.end() && found->second.ended && found->second.out.empty())
            clients_.erase(found);
    }

    // The quota's meter: units of the current period here, and its reading of the last one.
    Meter& meter(std::uint64_t customer) {
        Meter& m = meters_[customer];
        if (m.period < 0) m.others = draw_.between(0.5, 3);
        const double period =
            settings_.meter_period_s > 0 ? std::floor(now_ / settings_.meter_period_s) : 0;
        if (period != m.period) {
            m.last = m.units;
            m.units = 0;
            m.period = period;
        }
        return m;
    }
    double metered(std::uint64_t customer) {
        const sj::Plan& plan = settings_.plans[customer % 4];
        if (plan.rate <= 0 || settings_.meter_period_s <= 0 || draw_.chance(0.1)) return 0;
        const Meter& m = meter(customer);
        return 1 + std::floor(200 * m.others * m.last / (plan.rate * settings_.meter_period_s));
    }

    void list(sj::EndpointUpdateKind kind) {
        sj::EndpointUpdate update;
        update.kind = kind;
        if (kind != sj::EndpointUpdateKind::watch_lost)
            for (const Backend& b : backends_)
                if (b.entry.state != sj::EndpointState::removed && !draw_.chance(0.04))
                    update.endpoints.push_back(b.entry);
        ++coverage_.lists[static_cast<std::size_t>(kind)];
        deliver(update);
    }

    void change_directory() {
        after(draw_.between(0.2, 3), Task::directory);
        const std::uint64_t what = draw_.below(12);
        if (what == 0) return list(sj::EndpointUpdateKind::cached_snapshot);
        if (what == 1) return list(sj::EndpointUpdateKind::snapshot);
        if (what == 2 && draw_.chance(0.2)) return list(sj::EndpointUpdateKind::watch_lost);
        if (what == 3 && draw_.chance(0.1))
            return deliver(sj::EndpointUpdate{sj::EndpointUpdateKind::snapshot, {}});
        sj::EndpointUpdate update;
        update.kind = sj::EndpointUpdateKind::delta;
        for (std::uint64_t left = draw_.chance(0.7) ? 1 : 2 + draw_.below(2); left > 0; --left) {
            Backend& b = backends_[draw_.below(backends_.size())];
            change_entry(b.entry, what);
            update.endpoints.push_back(b.entry);
        }
        ++coverage_.lists[static_cast<std::size_t>(update.kind)];
        deliver(update);
    }
    void change_entry(sj::Endpoint& entry, std::uint64_t what) {
        if (entry.state == sj::EndpointState::serving) {
            if (what < 8) entry.state = what < 6 ? sj::EndpointState::draining : sj::EndpointState::removed;
            if (what == 8) entry.capacity_hint = draw_.between(0.5, 4);
            if (what == 9) entry.subsets = draw_.below(16);
            if (what > 9) entry.started_at_s = now_;   // restarted in place
        } else {
            entry.state = sj::EndpointState::serving;
            entry.started_at_s = draw_.chance(0.8) ? now_ : 0;
        }
    }

    // Slow and failing backends, outages of the whole fleet, surges of requests; now and then all are
    // healthy.
    void change_weather() {
        static const Mode modes[] = {Mode::errors, Mode::hangs, Mode::full, Mode::unreachable, Mode::stale};
        const std::uint64_t what = everywhere_ || draw_.chance(calm_) ? 0 : draw_.below(10);
        everywhere_ = what == 7 || what == 8;   // faults of the whole fleet are short, and end in calm
        after(everywhere_ ? draw_.between(0.2, 1.5) : draw_.between(0.4, 4), Task::weather);
        const Mode mode = modes[draw_.below(5)];
        const double slow = draw_.between(1, 6);
        Backend& one = backends_[draw_.below(backends_.size())];
        if (what < 4) {
            surge_ = 1;
            for (Backend& b : backends_) b.mode = Mode::well, b.slow = 1;
        } else if (what < 6) {
            one.mode = mode;
        } else if (what == 6) {
            one.slow = slow;
        } else if (what == 7) {
            for (Backend& b : backends_) b.slow = slow;
        } else if (what == 8) {
            for (Backend& b : backends_) b.mode = mode;
        } else {
            surge_ = draw_.between(0.2, 3);
        }
    }

    // Events with unknown names, events twice, events after the clock jumped.
    void misbehave() {
        after(draw_.between(0.1, 0.6), Task::bad);
        const std::string none = "nobody";
        const std::uint64_t what = draw_.below(10);
        if (what == 0) return deliver(sj::ClientDisconnected{none});
        if (what == 1) return deliver(sj::TimerFired{1000000 + draw_.below(1000)});
        if (what == 2) return deliver(sj::StreamStarted{none, 0});
        if (what == 3) return deliver(sj::HealthCheckEnded{"b0", sj::AttemptResult::ok, 0.01, {1}});
        if (what == 4) return deliver(sj::Start{});
        if (what == 5) {
            now_ += draw_.chance(0.3) ? draw_.between(0.1, 1.5) : 0;   // the process was paused
            return;
        }
        sj::AttemptEnded e;
        e.id = none;
        if (what == 6 || clients_.empty()) return deliver(e);
        const auto some = static_cast<std::ptrdiff_t>(draw_.below(clients_.size()));
        const Client& c = std::next(clients_.begin(), some)->second;
        const sj::Request again = c.request;
        if (what == 7 && !c.ended) return deliver(again);   // its number is still in use
        e.id = again.id;
        e.attempt = draw_.chance(0.5) ? -1 : 99;
        deliver(e);
    }

    Draw draw_;
    const sj::Settings settings_;
    sj::Gateway gateway_;
    Coverage& coverage_;
    Digest digest_;
    std::vector<Backend> backends_;
    std::map<std::string, Client> clients_;
    std::map<std::uint64_t, Meter> meters_;
    std::multimap<double, Item> queue_;
    double now_ = 0, rate_ = 50, surge_ = 1, calm_ = 0;
    bool everywhere_ = false;
    std::uint64_t numbers_ = 0;
    std::size_t given_ = 0;
};

}   // namespace decision
