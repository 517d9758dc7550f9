// Random schedules of faults over the rollout of configuration: slatejunction-rollout-model [SCHEDULES]
// [FIRST_SEED]. Prints each breach with its seed (that seed and 1 repeat it) and what was seen; exit status
// 1 on a breach.
#include <cstdio>
#include <cstdlib>

#include "rollout/simulation.hpp"

int main(int argc, char** argv) {
    const std::uint64_t runs = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10'000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::uint64_t breaches = 0, bounded = 0;
    rollout_simulation::Result all;
    for (std::uint64_t seed = first; seed < first + runs && breaches < 20; ++seed) {
        const auto scenario = rollout_simulation::random_scenario(seed);
        const auto result = rollout_simulation::Simulation(scenario, seed).run();
        all.messages += result.messages, all.committed += result.committed;
        all.versions += result.versions, all.reverts += result.reverts;
        all.leader_changes += result.leader_changes, all.snapshots += result.snapshots;
        all.kills += result.kills, all.lost_disks += result.lost_disks,
            all.admitted_learners += result.admitted_learners;
        all.worst_bound_fraction = std::max(all.worst_bound_fraction, result.worst_bound_fraction);
        bounded += scenario.bound_s > 0;
        if (result.violation.empty()) continue;
        ++breaches;
        std::printf("breach: seed %llu, %s\n", static_cast<unsigned long long>(seed),
                    result.violation.c_str());
        std::fflush(stdout);
    }
    const auto count = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf(
        "%llu schedules: %llu messages, %llu records committed, %llu versions in force, %llu reverts, %llu "
        "holders, %llu kills, %llu disks lost, %llu replicas admitted again, %llu snapshots; the worst of "
        "%llu runs with a bound took %.2f of it; %llu breaches\n",
        count(runs), count(all.messages), count(all.committed), count(all.versions), count(all.reverts),
        count(all.leader_changes), count(all.kills), count(all.lost_disks), count(all.admitted_learners),
        count(all.snapshots), count(bounded), all.worst_bound_fraction, count(breaches));
    return breaches > 0;
}
