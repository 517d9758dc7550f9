// Slow start under the load of a whole fleet of gateways: in any span of overload_window_s, no warming
// backend may get more attempts, summed over all gateways, than its budget N for that span plus the allowed
// random deviation (2 x sqrt(N) + 2).
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <random>

#include "events.hpp"
#include "gateway/gateway_harness.hpp"

namespace {

// A fleet of independent gateways, and backends that queue: each backend completes `rate` requests per
// second times its own speed and its slow start capacity.
struct FleetSimulation {
    struct Scenario {
        std::size_t gateways = 3, backends = 24;
        double load = 0.7;               // offered load over the capacity of all backends
        double rate = 20;                // requests per second of a backend of speed 1
        double gateway_load_ratio = 1;   // requests of the busiest gateway over those of the least busy
        // Speeds of backends are from 1 - speed_spread to 1 + speed_spread; their weights are equal.
        double speed_spread = 0;
        double max_update_delay_s = 0;         // until a gateway learns that a backend started
        double restarted_fraction = 0;         // fraction of the gateways that restart during slow start
        double client_retry_probability = 0;   // of one retry soon after a rejection
        double started_fraction = 0.5;         // fraction of the backends that start at the same time
    };
    struct Backend {
        std::string id;
        double speed = 1, started_at_s = -1e9, free_at_s = 0;
        std::vector<double> attempt_times;   // since its start
    };
    FleetSimulation(sj::Settings base_settings, const Scenario& chosen, std::uint64_t seed)
        : settings(std::move(base_settings)), scenario(chosen), random(seed) {
        settings.ingress_count = static_cast<double>(scenario.gateways);
        events.run_until(100);
        for (std::size_t i = 0; i < scenario.backends; ++i) {
            Backend backend;
            backend.id = "s" + std::to_string(1000 + i) + ":1";
            backend.speed = 1 + scenario.speed_spread * (2 * uniform() - 1);
            backends.push_back(backend);
            total_rate += backend.speed * scenario.rate;
        }
        for (std::size_t i = 0; i < scenario.gateways; ++i) {
            weights.push_back(1 + (scenario.gateway_load_ratio - 1) * uniform());
            gateways.push_back(nullptr);
            start_gateway(i);
        }
    }

    double uniform() { return std::uniform_real_distribution<double>()(random); }
    double capacity(const Backend& backend, double time) const {
        const double min_capacity = settings.slow_start_min_capacity;
        return std::min(1.0, min_capacity + (1 - min_capacity) * (time - backend.started_at_s) /
                                                settings.slow_start_window_s);
    }
    double now() const { return events.now(); }

    void start_gateway(std::size_t i) {
        settings.ingress_index = static_cast<std::int64_t>(i);
        gateways[i] = std::make_unique<GatewayDriver>(settings, random(), now());
        sj::EndpointUpdate update{sj::EndpointUpdateKind::snapshot, {}};
        for (const Backend& backend : backends)
            update.endpoints.push_back(GatewayDriver::endpoint(backend.id, sj::EndpointState::serving,
                                                               std::max(0.0, backend.started_at_s)));
        gateways[i]->handle(update);
        tick(i, gateways[i].get());
    }
    // Runs the timers of a gateway until it is restarted.
    void tick(std::size_t i, GatewayDriver* expected) {
        if (gateways[i].get() != expected) return;
        expected->run_to(now());
        deliver_attempts(i);
        events.at(now() + 0.05, [this, i, expected] { tick(i, expected); });
    }

    void send_request(std::size_t i, bool is_client_retry) {
        GatewayDriver& driver = *gateways[i];
        driver.run_to(now());
        const std::size_t before = driver.rejected.size();
        driver.handle(sj::Request{"q" + std::to_string(next_request_id++), "read", "plan", 1,
                                  next_request_id, now() + 5, 1, is_client_retry});
        deliver_attempts(i);
        if (driver.rejected.size() > before && uniform() < scenario.client_retry_probability)
            events.at(now() + 0.1 + 0.3 * uniform(), [this] { send_request(random_gateway(), true); });
    }
    // Delivers the new attempts of a gateway to their backends.
    void deliver_attempts(std::size_t i) {
        GatewayDriver& driver = *gateways[i];
        while (!driver.pending.empty()) {
            const GatewayDriver::PendingAttempt attempt = driver.pending.front();
            driver.pending.erase(driver.pending.begin());
            Backend& backend =
                *std::find_if(backends.begin(), backends.end(),
                              [&](const Backend& candidate) { return candidate.id == attempt.backend; });
            backend.attempt_times.push_back(now());
            const double service_time_s =
                -std::log(1 - uniform()) / (scenario.rate * backend.speed * capacity(backend, now()));
            const double queue_time_s = std::max(0.0, backend.free_at_s - now());
            const sj::AttemptResult result =
                queue_time_s > 1 ? sj::AttemptResult::rejected : sj::AttemptResult::ok;
            double latency_s = 0.002;
            if (result == sj::AttemptResult::ok)
                backend.free_at_s = now() + queue_time_s + service_time_s,
                latency_s += queue_time_s + service_time_s;
            GatewayDriver* expected = &driver;
            events.at(now() + latency_s, [this, i, expected, attempt, result] {
                if (gateways[i].get() != expected) return;
                expected->run_to(now());
                sj::AttemptEnded ended;
                ended.id = attempt.id;
                ended.attempt = attempt.attempt;
                ended.result = result;
                ended.duration_s = now() - attempt.started_at_s;
                ended.request_ended = result == sj::AttemptResult::ok;
                expected->handle(ended);
                deliver_attempts(i);
            });
        }
    }

    std::size_t random_gateway() {
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    }
    void generate_arrivals() {
        send_request(random_gateway(), false);
        events.at(now() + std::exponential_distribution<double>(scenario.load * total_rate)(random),
                  [this] { generate_arrivals(); });
    }
    void update_endpoints(const std::vector<sj::Endpoint>& endpoints) {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            events.at(now() + scenario.max_update_delay_s * uniform(), [this, i, endpoints] {
                gateways[i]->run_to(now());
                gateways[i]->handle(sj::EndpointUpdate{sj::EndpointUpdateKind::delta, endpoints});
                deliver_attempts(i);
            });
        }
    }
    void start_backends() {
        const auto started_count =
            static_cast<std::size_t>(scenario.started_fraction * static_cast<double>(scenario.backends));
        std::vector<sj::Endpoint> started;
        for (std::size_t i = 0; i < started_count; ++i) {
            Backend& backend = backends[i];
            backend.started_at_s = backend.free_at_s = now();
            backend.attempt_times.clear();
            started.push_back(GatewayDriver::endpoint(backend.id, sj::EndpointState::serving, now()));
        }
        update_endpoints(started);
        events.run_until(now() + 1);
        const auto restarted_count =
            static_cast<std::size_t>(scenario.restarted_fraction * static_cast<double>(scenario.gateways));
        for (std::size_t i = 0; i < restarted_count; ++i) start_gateway(i);
    }

    // The largest excess over the budget N of any backend in any span.
    struct MaxExcess {
        // `deviations`: excess over the allowed random deviation, which must be at most 1.
        // `budget_multiple`: number of attempts over N.
        double deviations = -1e9, budget_multiple = 0;
    };
    MaxExcess max_excess() const {
        MaxExcess result;
        for (const Backend& backend : backends) {
            if (backend.started_at_s < 0) continue;
            for (std::size_t from = 0, to = 0; to < backend.attempt_times.size(); ++to) {
                while (backend.attempt_times[to] - backend.attempt_times[from] > settings.overload_window_s)
                    ++from;
                // The lower bound of the budget, by the capacity at the start of the span.
                const double budget =
                    settings.overload_multiple * scenario.rate * backend.speed *
                    settings.overload_window_s *
                    capacity(backend, std::max(backend.started_at_s,
                                               backend.attempt_times[to] - settings.overload_window_s));
                const auto attempts = static_cast<double>(to - from + 1);
                result.deviations =
                    std::max(result.deviations, (attempts - budget) / (2 * std::sqrt(budget) + 2));
                result.budget_multiple = std::max(result.budget_multiple, attempts / budget);
            }
        }
        return result;
    }

    sj::Settings settings;
    Scenario scenario;
    std::mt19937_64 random;
    std::vector<Backend> backends;
    std::vector<std::unique_ptr<GatewayDriver>> gateways;
    std::vector<double> weights;
    Events events;
    std::uint64_t next_request_id = 0;
    double total_rate = 0;   // requests per second of all backends
};

// Half of the backends start at the same time, at a load beyond the capacity of the others. Requests are
// spread unevenly over gateways, speeds of backends differ from their weights, a tenth of the gateways
// restart, all of them learn of the start with a delay, and clients retry. A warming backend must not be
// overloaded, for any number of gateways.
struct BackendStart : testing::TestWithParam<std::size_t> {};
TEST_P(BackendStart, NoWarmingBackendGetsMoreThanItsBudgetAndRandomDeviation) {
    for (const double multiple : {2.0, 4.0}) {
        double mean_attempts = 0;
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            sj::Settings settings = plain_settings();
            settings.overload_multiple = multiple;
            settings.slow_start_min_capacity = 0.15;
            settings.hedging_allowed = true;
            FleetSimulation::Scenario scenario;
            scenario.gateways = GetParam();
            scenario.gateway_load_ratio = 6;
            scenario.speed_spread = 0.25;
            scenario.max_update_delay_s = 0.3;
            scenario.restarted_fraction = 0.1;
            scenario.client_retry_probability = 0.5;
            FleetSimulation simulation(settings, scenario, seed);
            simulation.events.at(simulation.now(), [&] { simulation.generate_arrivals(); });
            simulation.events.run_until(106);
            simulation.start_backends();
            simulation.events.run_until(simulation.now() + 5);
            const FleetSimulation::MaxExcess excess = simulation.max_excess();
            EXPECT_LE(excess.deviations, 1) << "overload multiple " << multiple << ", seed " << seed << ": "
                                            << excess.budget_multiple << " times the budget";
            for (const FleetSimulation::Backend& backend : simulation.backends)
                if (backend.started_at_s > 0)
                    mean_attempts += static_cast<double>(backend.attempt_times.size()) / 12 / 6;
        }
        EXPECT_GT(mean_attempts, 0.15 * 20 * 6)
            << "0.15 of the attempts that a warm backend gets: warming backends have to be used as well";
    }
}
INSTANTIATE_TEST_SUITE_P(Gateways, BackendStart, testing::Values(3, 20, 300));

}   // namespace
