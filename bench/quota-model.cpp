// Runs SharedQuota against the model of tests/quota/simulation.hpp: quota-model COUNT [FIRST_SEED]. Prints
// each breach of the stated error with its seed, and a table by kind of fault. Exits with 1 on a breach.
// quota-model site: the mix of a site, healthy and under each fault, beside an even split; CREDIT,
// FREE_PART and FREE_UNITS set these.
#include <cstdio>
#include <cstdlib>
#include <map>

#include "quota/simulation.hpp"

namespace {

int site() {
    using Kind = quota_simulation::Fault::Kind;
    struct Case {
        const char* name;
        std::vector<quota_simulation::Fault> faults;
    };
    const std::vector<Case> cases{
        {"healthy", {}},
        {"slow tenfold, 60 s", {{Kind::slow, 30, 90, 0}}},
        {"down, 60 s", {{Kind::unreachable, 30, 90, 0}}},
        {"refusing, 60 s", {{Kind::reject, 30, 90, 0}}},
        {"one cut off, 60 s", {{Kind::partition, 30, 90, 1}}},
        {"down 20 s, empty again", {{Kind::unreachable, 30, 50, 0}, {Kind::state_lost, 50, 50, 0}}},
        {"empty twice", {{Kind::state_lost, 50, 50, 0}, {Kind::state_lost, 52, 52, 0}}},
        {"an ingress restarted", {{Kind::ingress_restart, 50, 50, 1}}}};
    std::printf(
        "| mode | calls a request | refused with room | inside, of a perfect store's | even split's | "
        "beyond, of what passed | worst below an empty store, units |\n|---|---|---|---|---|---|---|\n");
    for (const Case& one : cases) {
        quota_simulation::Scenario scenario = quota_simulation::site_scenario(150);
        scenario.faults = one.faults;
        const auto number = [](const char* name, double& value) {
            if (const char* text = std::getenv(name)) value = std::strtod(text, nullptr);
        };
        number("CREDIT", scenario.settings.max_unreported_units);
        number("FREE_PART", scenario.settings.local_fraction);
        number("FREE_UNITS", scenario.settings.min_local_burst);
        const auto run = [&](bool even) {
            quota_simulation::Simulation simulation(scenario, 5);
            simulation.even_split = even;
            return simulation.run();
        };
        const auto ours = run(false), even = run(true);
        const auto part = [](std::uint64_t a, std::uint64_t b) {
            return static_cast<double>(a) / static_cast<double>(b);
        };
        std::printf("| %s | %.3f | %.4f | %.3f | %.3f | %.4f | %.1f |\n", one.name,
                    part(ours.calls, ours.requests), part(ours.rejected_with_units, ours.requests),
                    part(ours.admitted_within_quota, ours.oracle_admitted),
                    part(even.admitted_within_quota, even.oracle_admitted),
                    part(ours.admitted - ours.admitted_within_quota, ours.admitted), ours.worst_excess);
    }
    return 0;
}

}   // namespace

int main(int count, char** words) {
    if (count > 1 && std::string(words[1]) == "site") return site();
    const std::uint64_t runs = count > 1 ? std::strtoull(words[1], nullptr, 10) : 10'000;
    const std::uint64_t first = count > 2 ? std::strtoull(words[2], nullptr, 10) : 1;
    static constexpr const char* kNames[] = {"down",  "refuse", "slow",    "split",    "empty",
                                             "older", "noise",  "restart", "duplicate"};
    struct Row {
        std::uint64_t runs = 0, breaches = 0;
        double closest = 0;   // worst_excess / bound
    };
    std::map<std::string, Row> rows;
    std::uint64_t breaches = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const quota_simulation::Scenario scenario = quota_simulation::random_scenario(seed);
        const quota_simulation::Result result = quota_simulation::Simulation(scenario, seed).run();
        std::string kinds;
        for (const auto& fault : scenario.faults)
            kinds += std::string(kNames[static_cast<int>(fault.kind)]) + " ";
        breaches += result.violated();
        if (result.violated() && breaches <= 20)
            std::printf("breach: seed %llu, %.2f units over, stated %.2f; %s%s\n",
                        static_cast<unsigned long long>(seed), result.worst_excess, result.bound,
                        kinds.c_str(), scenario.clock_rates.empty() ? "" : "clocks");
        const auto add = [&](const std::string& name) {
            Row& row = rows[name];
            ++row.runs;
            row.breaches += result.violated();
            row.closest = std::max(row.closest, result.worst_excess / result.bound);
        };
        if (scenario.faults.empty())
            add(scenario.clock_rates.empty() ? "none" : "none, clocks of other rates");
        if (scenario.faults.size() == 1) add("one: " + kinds);
        if (scenario.faults.size() > 1) add("more");
    }
    std::printf("%llu schedules, %llu breaches\n", static_cast<unsigned long long>(runs),
                static_cast<unsigned long long>(breaches));
    for (const auto& [name, row] : rows)
        std::printf("%-32s %7llu runs %4llu breaches, worst %.2f of what is stated\n", name.c_str(),
                    static_cast<unsigned long long>(row.runs),
                    static_cast<unsigned long long>(row.breaches), row.closest);
    return breaches > 0;
}
