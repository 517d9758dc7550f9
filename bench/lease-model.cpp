// Every schedule of a small world to a depth: slatejunction-lease-model explore [DEPTH LOST LATE TWICE
// FORGET]. Random schedules of faults over lease nodes: slatejunction-lease-model [SCHEDULES] [FIRST_SEED].
// Prints each breach with its seed (the command with that seed and 1 repeats it) and what was seen; exit
// status 1 on a breach.
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "lease/model_checker.hpp"
#include "lease/simulation.hpp"

int main(int argc, char** argv) {
    if (argc > 1 && std::strcmp(argv[1], "explore") == 0) {
        lease_model::Bounds bounds;
        int* const places[] = {&bounds.depth, &bounds.max_lost, &bounds.max_delayed, &bounds.max_duplicates,
                               &bounds.max_amnesias};
        for (int i = 2; i < argc && i < 7; ++i) *places[i - 2] = std::atoi(argv[i]);
        const auto found = lease_model::ModelChecker(bounds).run();
        std::printf(
            "depth %d (lost %d, late %d, twice %d, forget %d): %llu states, %llu steps, %llu holds; %s\n",
            bounds.depth, bounds.max_lost, bounds.max_delayed, bounds.max_duplicates, bounds.max_amnesias,
            static_cast<unsigned long long>(found.states), static_cast<unsigned long long>(found.steps),
            static_cast<unsigned long long>(found.acquisitions),
            found.violation.empty() ? "no breach" : ("breach: " + found.violation).c_str());
        return !found.violation.empty();
    }
    const std::uint64_t runs = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 100'000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::uint64_t breaches = 0, acts = 0, holds = 0, messages = 0;
    std::vector<double> gaps;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const auto result =
            lease_simulation::Simulation(lease_simulation::random_scenario(seed), seed).run();
        acts += result.actions;
        holds += result.acquisitions;
        messages += result.messages;
        gaps.insert(gaps.end(), result.vacancies_s.begin(), result.vacancies_s.end());
        if (result.violation.empty()) continue;
        if (++breaches <= 20)
            std::printf("breach: seed %llu, %s\n", static_cast<unsigned long long>(seed),
                        result.violation.c_str());
        if (breaches == 20) break;
    }
    std::sort(gaps.begin(), gaps.end());
    std::printf(
        "%llu schedules, %llu messages, %llu holds, %llu acts, %zu gaps (p50 %.2f s), %llu breaches\n",
        static_cast<unsigned long long>(runs), static_cast<unsigned long long>(messages),
        static_cast<unsigned long long>(holds), static_cast<unsigned long long>(acts), gaps.size(),
        gaps.empty() ? 0 : gaps[gaps.size() / 2], static_cast<unsigned long long>(breaches));
    return breaches > 0;
}
