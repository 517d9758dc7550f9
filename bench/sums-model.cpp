// Random schedules of faults over the fleet's sums: slatejunction-sums-model [SCHEDULES] [FIRST_SEED].
// Prints each breach with its seed (that seed and 1 repeat it) and what was seen; exit status 1 on a
// breach.
#include <cstdio>
#include <cstdlib>

#include "fleet_counters/simulation.hpp"

int main(int argc, char** argv) {
    const std::uint64_t runs = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10'000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::uint64_t breaches = 0;
    fleet_counters_simulation::Result all;
    for (std::uint64_t seed = first; seed < first + runs && breaches < 20; ++seed) {
        const auto result =
            fleet_counters_simulation::Simulation(fleet_counters_simulation::random_scenario(seed), seed)
                .run();
        all.rows += result.rows, all.duplicate_rows += result.duplicate_rows, all.terms += result.terms;
        all.resets += result.resets, all.skipped_periods += result.skipped_periods;
        if (result.violation.empty()) continue;
        ++breaches;
        std::printf("breach: seed %llu, %s\n", static_cast<unsigned long long>(seed),
                    result.violation.c_str());
    }
    const auto count = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf(
        "%llu schedules: %llu rows, %llu of them written again, %llu holders, %llu times begun anew, %llu "
        "periods skipped, %llu breaches\n",
        count(runs), count(all.rows), count(all.duplicate_rows), count(all.terms), count(all.resets),
        count(all.skipped_periods), count(breaches));
    return breaches > 0;
}
