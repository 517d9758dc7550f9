// Limits over the fleet compared with exact buckets: slatejunction-limit-model [SCHEDULES] [FIRST_SEED]; by
// mode the worst seen of what is stated, and refused with room. Prints each breach with its seed; exit
// status 1 on one.
#include <array>
#include <cstdio>
#include <cstdlib>

#include "fleet_rate_limit/simulation.hpp"

int main(int argc, char** argv) {
    const std::uint64_t runs = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10'000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    constexpr std::array<const char*, 6> kModes{"healthy", "cut off", "split",
                                                "killed",  "stopped", "restarted"};
    struct Row {
        std::uint64_t runs = 0, asked = 0, passed = 0, with_room = 0, datagrams = 0, breaches = 0;
        double worst = 0;
    };
    std::array<Row, kModes.size()> rows;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const auto scenario = rate_limit_simulation::random_scenario(seed);
        const auto result = rate_limit_simulation::Simulation(scenario, seed).run();
        Row& row = rows[static_cast<std::size_t>(scenario.fault)];
        ++row.runs;
        row.asked += result.requests, row.passed += result.admitted,
            row.with_room += result.rejected_with_units;
        row.datagrams += result.datagrams;
        row.worst = std::max(row.worst, result.worst_excess / result.bound);
        if (result.violation.empty()) continue;
        if (++row.breaches <= 5)
            std::printf(
                "breach: seed %llu (%s), %.2f of %.2f units\n", static_cast<unsigned long long>(seed),
                kModes[static_cast<std::size_t>(scenario.fault)], result.worst_excess, result.bound);
    }
    std::printf(
        "| mode | schedules | breaches | worst of what is stated | refused with room, of asked | datagrams "
        "a request |\n"
        "|---|---|---|---|---|---|\n");
    std::uint64_t breaches = 0;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const Row& r = rows[i];
        breaches += r.breaches;
        std::printf(
            "| %s | %llu | %llu | %.2f | %.3f | %.2f |\n", kModes[i],
            static_cast<unsigned long long>(r.runs), static_cast<unsigned long long>(r.breaches), r.worst,
            static_cast<double>(r.with_room) / static_cast<double>(std::max<std::uint64_t>(1, r.asked)),
            static_cast<double>(r.datagrams) / static_cast<double>(std::max<std::uint64_t>(1, r.asked)));
    }
    return breaches > 0;
}
