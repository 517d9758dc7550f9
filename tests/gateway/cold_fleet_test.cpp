// Cold servers under what a whole fleet of gateways sends: no server may get more in any span of `fall_s`
// than its budget N for that span and what chance alone brings (2 x root of N + 2), whoever sent it.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <random>

#include "events.hpp"
#include "gateway/gateway_harness.hpp"

namespace {

// A fleet of gateways that know nothing of each other before servers that queue: each does `rate` requests
// a second for each unit of its own speed, by what it has warmed up to.
struct World {
    struct Case {
        std::size_t gateways = 3, servers = 24;
        double load = 0.7;     // asked for, of what all servers can do
        double rate = 20;      // requests a second of a server of speed 1
        double uneven = 1;     // the busiest gateway gets so many times what the least does
        double spread = 0;     // speeds of servers: 1 - spread to 1 + spread, which no weight tells
        double late = 0;       // s; a gateway learns of a start up to so much later
        double restarts = 0;   // share of the gateways that begin anew in the middle of the ramp
        double again = 0;      // chance that a client whose request was refused asks once more, soon
        double part = 0.5;     // of the servers that start
    };
    struct Server {
        std::string id;
        double speed = 1, born = -1e9, free_at = 0;
        std::vector<double> sent;   // since its start
    };
    World(sj::Settings s, const Case& c, std::uint64_t seed) : settings(std::move(s)), is(c), random(seed) {
        settings.ingress_count = static_cast<double>(is.gateways);
        events.run_until(100);
        for (std::size_t i = 0; i < is.servers; ++i) {
            Server one;
            one.id = "s" + std::to_string(1000 + i) + ":1";
            one.speed = 1 + is.spread * (2 * chance() - 1);
            servers.push_back(one);
            total += one.speed * is.rate;
        }
        for (std::size_t i = 0; i < is.gateways; ++i) {
            weights.push_back(1 + (is.uneven - 1) * chance());
            gateways.push_back(nullptr);
            begin(i);
        }
    }

    double chance() { return std::uniform_real_distribution<double>()(random); }
    double warmth(const Server& s, double at) const {
        const double from = settings.slow_start_min_capacity;
        return std::min(1.0, from + (1 - from) * (at - s.born) / settings.slow_start_window_s);
    }
    double now() const { return events.now(); }

    void begin(std::size_t i) {
        settings.ingress_index = static_cast<std::int64_t>(i);
        gateways[i] = std::make_unique<Driver>(settings, random(), now());
        sj::EndpointUpdate list{sj::EndpointUpdateKind::snapshot, {}};
        for (const Server& s : servers)
            list.endpoints.push_back(
                Driver::entry(s.id, sj::EndpointState::serving, std::max(0.0, s.born)));
        gateways[i]->give(list);
        tick(i, gateways[i].get());
    }
    // Runs its timers for as long as it lives.
    void tick(std::size_t i, Driver* alive) {
        if (gateways[i].get() != alive) return;
        alive->run_to(now());
        take(i);
        events.at(now() + 0.05, [this, i, alive] { tick(i, alive); });
    }

    void ask(std::size_t i, bool again) {
        Driver& d = *gateways[i];
        d.run_to(now());
        const std::size_t before = d.refused.size();
        d.give(sj::Request{"q" + std::to_string(ids++), "read", "plan", 1, ids, now() + 5, 1, again});
        take(i);
        if (d.refused.size() > before && chance() < is.again)
            events.at(now() + 0.1 + 0.3 * chance(), [this] { ask(pick(), true); });
    }
    // What it has just sent reaches its servers.
    void take(std::size_t i) {
        Driver& d = *gateways[i];
        while (!d.pending.empty()) {
            const Driver::Out out = d.pending.front();
            d.pending.erase(d.pending.begin());
            Server& s = *std::find_if(servers.begin(), servers.end(),
                                      [&](const Server& one) { return one.id == out.server; });
            s.sent.push_back(now());
            const double work = -std::log(1 - chance()) / (is.rate * s.speed * warmth(s, now()));
            const double wait = std::max(0.0, s.free_at - now());
            const sj::AttemptResult outcome =
                wait > 1 ? sj::AttemptResult::rejected : sj::AttemptResult::ok;
            double took = 0.002;
            if (outcome == sj::AttemptResult::ok) s.free_at = now() + wait + work, took += wait + work;
            Driver* alive = &d;
            events.at(now() + took, [this, i, alive, out, outcome] {
                if (gateways[i].get() != alive) return;
                alive->run_to(now());
                sj::AttemptEnded e;
                e.id = out.id;
                e.attempt = out.attempt;
                e.result = outcome;
                e.duration_s = now() - out.at;
                e.request_ended = outcome == sj::AttemptResult::ok;
                alive->give(e);
                take(i);
            });
        }
    }

    std::size_t pick() {
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    }
    void come() {
        ask(pick(), false);
        events.at(now() + std::exponential_distribution<double>(is.load * total)(random),
                  [this] { come(); });
    }
    void tell(const std::vector<sj::Endpoint>& entries) {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            events.at(now() + is.late * chance(), [this, i, entries] {
                gateways[i]->run_to(now());
                gateways[i]->give(sj::EndpointUpdate{sj::EndpointUpdateKind::delta, entries});
                take(i);
            });
        }
    }
    void release() {
        const auto all = static_cast<std::size_t>(is.part * static_cast<double>(is.servers));
        std::vector<sj::Endpoint> in;
        for (std::size_t i = 0; i < all; ++i) {
            Server& s = servers[i];
            s.born = s.free_at = now();
            s.sent.clear();
            in.push_back(Driver::entry(s.id, sj::EndpointState::serving, now()));
        }
        tell(in);
        events.run_until(now() + 1);
        const auto anew = static_cast<std::size_t>(is.restarts * static_cast<double>(is.gateways));
        for (std::size_t i = 0; i < anew; ++i) begin(i);
    }

    // The most that any of them got in any span over its budget there, in units of what chance may bring.
    struct Worst {
        double over = -1e9, of_budget = 0;   // over: at most 1; of_budget: of N itself
    };
    Worst worst() const {
        Worst result;
        for (const Server& s : servers) {
            if (s.born < 0) continue;
            for (std::size_t from = 0, to = 0; to < s.sent.size(); ++to) {
                while (s.sent[to] - s.sent[from] > settings.overload_window_s) ++from;
                // As little as it can be: its capacity when the span began.
                const double n = settings.overload_multiple * is.rate * s.speed *
                                 settings.overload_window_s *
                                 warmth(s, std::max(s.born, s.sent[to] - settings.overload_window_s));
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
    std::vector<Server> servers;
    std::vector<std::unique_ptr<Driver>> gateways;
    std::vector<double> weights;
    Events events;
    std::uint64_t ids = 0;
    double total = 0;
};

// Half of the servers start at once at a load that the rest can't bear, requests come unevenly, speeds
// differ from what the list says, a tenth of the gateways begin anew, all learn late, clients come again.
// None of it may push a server over, however many gateways there are.
struct Started : testing::TestWithParam<std::size_t> {};
TEST_P(Started, NoColdServerGetsMoreThanItsBudgetAndChance) {
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
            c.late = 0.3;
            c.restarts = 0.1;
            c.again = 0.5;
            World world(s, c, seed);
            world.events.at(world.now(), [&] { world.come(); });
            world.events.run_until(106);
            world.release();
            world.events.run_until(world.now() + 5);
            const World::Worst worst = world.worst();
            EXPECT_LE(worst.over, 1) << "times " << multiple << ", seed " << seed << ": " << worst.of_budget
                                     << " of the budget";
            for (const World::Server& one : world.servers)
                if (one.born > 0) got += static_cast<double>(one.sent.size()) / 12 / 6;
        }
        EXPECT_GT(got, 0.15 * 20 * 6)
            << "of what a warm one takes in that time: they have to be used as well";
    }
}
INSTANTIATE_TEST_SUITE_P(Gateways, Started, testing::Values(3, 20, 300));

}   // namespace
