// Slow start under the load of a whole fleet of gateways: no backend may get more in any span of
// overload_window_s than its budget N for that span and what chance alone brings (2 x root of N + 2),
// whichever gateway sent it.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <random>

#include "events.hpp"
#include "gateway/gateway_harness.hpp"

namespace {

// A fleet of independent gateways and backends that queue: each backend completes `rate` requests a second
// for each unit of its own speed, times its slow start capacity.
struct World {
    struct Case {
        std::size_t gateways = 3, backends = 24;
        double load = 0.7;           // offered load over the capacity of all backends
        double rate = 20;            // requests a second of a backend of speed 1
        double uneven = 1;           // requests of the busiest gateway over those of the idlest
        double spread = 0;           // speeds of backends: 1 - spread to 1 + spread, which no weight shows
        double update_delay = 0;     // s; the most by which a gateway learns of a start late
        double restarts = 0;         // part of the gateways that restart during slow start
        double client_retries = 0;   // probability that a client retries a rejected request once, soon
        double cold_part = 0.5;      // of the backends that start
    };
    struct Backend {
        std::string id;
        double speed = 1, started_at_s = -1e9, free_at = 0;
        std::vector<double> sent;   // since its start
    };
    World(sj::Settings s, const Case& c, std::uint64_t seed) : settings(std::move(s)), is(c), random(seed) {
        settings.ingress_count = static_cast<double>(is.gateways);
        events.run_until(100);
        for (std::size_t i = 0; i < is.backends; ++i) {
            Backend one;
            one.id = "s" + std::to_string(1000 + i) + ":1";
            one.speed = 1 + is.spread * (2 * chance() - 1);
            backends.push_back(one);
            total += one.speed * is.rate;
        }
        for (std::size_t i = 0; i < is.gateways; ++i) {
            weights.push_back(1 + (is.uneven - 1) * chance());
            gateways.push_back(nullptr);
            begin(i);
        }
    }

    double chance() { return std::uniform_real_distribution<double>()(random); }
    double capacity(const Backend& s, double at) const {
        const double from = settings.slow_start_min_capacity;
        return std::min(1.0, from + (1 - from) * (at - s.started_at_s) / settings.slow_start_window_s);
    }
    double now() const { return events.now(); }

    void begin(std::size_t i) {
        settings.ingress_index = static_cast<std::int64_t>(i);
        gateways[i] = std::make_unique<GatewayDriver>(settings, random(), now());
        sj::EndpointUpdate list{sj::EndpointUpdateKind::snapshot, {}};
        for (const Backend& s : backends)
            list.endpoints.push_back(
                GatewayDriver::endpoint(s.id, sj::EndpointState::serving, std::max(0.0, s.started_at_s)));
        gateways[i]->handle(list);
        tick(i, gateways[i].get());
    }
    // Runs its timers until it is restarted.
    void tick(std::size_t i, GatewayDriver* alive) {
        if (gateways[i].get() != alive) return;
        alive->run_to(now());
        receive(i);
        events.at(now() + 0.05, [this, i, alive] { tick(i, alive); });
    }

    void send_request(std::size_t i, bool again) {
        GatewayDriver& d = *gateways[i];
        d.run_to(now());
        const std::size_t before = d.rejected.size();
        d.handle(sj::Request{"q" + std::to_string(ids++), "read", "plan", 1, ids, now() + 5, 1, again});
        receive(i);
        if (d.rejected.size() > before && chance() < is.client_retries)
            events.at(now() + 0.1 + 0.3 * chance(), [this] { send_request(pick(), true); });
    }
    // Its new attempts reach their backends.
    void receive(std::size_t i) {
        GatewayDriver& d = *gateways[i];
        while (!d.pending.empty()) {
            const GatewayDriver::PendingAttempt out = d.pending.front();
            d.pending.erase(d.pending.begin());
            Backend& s = *std::find_if(backends.begin(), backends.end(),
                                       [&](const Backend& one) { return one.id == out.backend; });
            s.sent.push_back(now());
            const double work = -std::log(1 - chance()) / (is.rate * s.speed * capacity(s, now()));
            const double wait = std::max(0.0, s.free_at - now());
            const sj::AttemptResult outcome =
                wait > 1 ? sj::AttemptResult::rejected : sj::AttemptResult::ok;
            double took = 0.002;
            if (outcome == sj::AttemptResult::ok) s.free_at = now() + wait + work, took += wait + work;
            GatewayDriver* alive = &d;
            events.at(now() + took, [this, i, alive, out, outcome] {
                if (gateways[i].get() != alive) return;
                alive->run_to(now());
                sj::AttemptEnded e;
                e.id = out.id;
                e.attempt = out.attempt;
                e.result = outcome;
                e.duration_s = now() - out.started_at_s;
                e.request_ended = outcome == sj::AttemptResult::ok;
                alive->handle(e);
                receive(i);
            });
        }
    }

    std::size_t pick() {
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    }
    void arrive() {
        send_request(pick(), false);
        events.at(now() + std::exponential_distribution<double>(is.load * total)(random),
                  [this] { arrive(); });
    }
    void update_endpoints(const std::vector<sj::Endpoint>& entries) {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            events.at(now() + is.update_delay * chance(), [this, i, entries] {
                gateways[i]->run_to(now());
                gateways[i]->handle(sj::EndpointUpdate{sj::EndpointUpdateKind::delta, entries});
                receive(i);
            });
        }
    }
    void release() {
        const auto all = static_cast<std::size_t>(is.cold_part * static_cast<double>(is.backends));
        std::vector<sj::Endpoint> in;
        for (std::size_t i = 0; i < all; ++i) {
            Backend& s = backends[i];
            s.started_at_s = s.free_at = now();
            s.sent.clear();
            in.push_back(GatewayDriver::endpoint(s.id, sj::EndpointState::serving, now()));
        }
        update_endpoints(in);
        events.run_until(now() + 1);
        const auto anew = static_cast<std::size_t>(is.restarts * static_cast<double>(is.gateways));
        for (std::size_t i = 0; i < anew; ++i) begin(i);
    }

    // The most that any backend got in any span beyond its budget there, in units of what chance may bring.
    struct Worst {
        double over = -1e9, of_budget = 0;   // over: at most 1; of_budget: of N itself
    };
    Worst worst() const {
        Worst result;
        for (const Backend& s : backends) {
            if (s.started_at_s < 0) continue;
            for (std::size_t from = 0, to = 0; to < s.sent.size(); ++to) {
                while (s.sent[to] - s.sent[from] > settings.overload_window_s) ++from;
                // The least it can be: its capacity when the span began.
                const double n =
                    settings.overload_multiple * is.rate * s.speed * settings.overload_window_s *
                    capacity(s, std::max(s.started_at_s, s.sent[to] - settings.overload_window_s));
                const auto got = static_cast<double>(to - from + 1);
                result.over = std::max(result.over, (got - n) / (2 * std::sqrt(n) + 2));
                result.of_budget = std::max(result.of_budget, got / n);
            }
        }
        return result;
    }

    sj::Settings settings;
    Case is;
    std::mt19937_64 random;
    std::vector<Backend> backends;
    std::vector<std::unique_ptr<GatewayDriver>> gateways;
    std::vector<double> weights;
    Events events;
    std::uint64_t ids = 0;
    double total = 0;
};

// Half of the backends start at once at a load beyond the capacity of the others, requests arrive unevenly,
// speeds differ from the list's weights, a tenth of the gateways restart, all learn late, clients retry.
// None of it may overload a warming backend, however many gateways there are.
struct Restarts : testing::TestWithParam<std::size_t> {};
TEST_P(Restarts, NoWarmingBackendGetsMoreThanItsBudgetAndChance) {
    for (const double multiple : {2.0, 4.0}) {
        double got = 0;
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            sj::Settings s = plain_settings();
            s.overload_multiple = multiple;
            s.slow_start_min_capacity = 0.15;
            s.hedging_allowed = true;
            World::Case c;
            c.gateways = GetParam();
            c.uneven = 6;
            c.spread = 0.25;
            c.update_delay = 0.3;
            c.restarts = 0.1;
            c.client_retries = 0.5;
            World world(s, c, seed);
            world.events.at(world.now(), [&] { world.arrive(); });
            world.events.run_until(106);
            world.release();
            world.events.run_until(world.now() + 5);
            const World::Worst worst = world.worst();
            EXPECT_LE(worst.over, 1) << "times " << multiple << ", seed " << seed << ": " << worst.of_budget
                                     << " of the budget";
            for (const World::Backend& one : world.backends)
                if (one.started_at_s > 0) got += static_cast<double>(one.sent.size()) / 12 / 6;
        }
        EXPECT_GT(got, 0.15 * 20 * 6)
            << "of what a warm one gets in that time: they have to be used as well";
    }
}
INSTANTIATE_TEST_SUITE_P(Gateways, Restarts, testing::Values(3, 20, 300));

}   // namespace
