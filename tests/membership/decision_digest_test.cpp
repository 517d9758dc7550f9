// Guards against unintended changes of the decisions of membership: digests of seeded schedules. If one
// differs, a message, the state of a member, a health score or a deadline differs. A change that is meant
// to alter decisions replaces the digests; each failed check prints the new one.
#include <array>
#include <catch2/catch.hpp>

#include "membership/simulation.hpp"

namespace {

// Lets two processes serve under the same name while they are isolated from each other, then connects them.
void connect_after_name_conflict(membership_simulation::Simulation& simulation, std::size_t node,
                                 std::size_t members) {
    const std::size_t other = (node + 1) % members;
    simulation.isolate(other, true);
    simulation.kill(node);
    simulation.run(simulation.now() + 25);
    simulation.start(node, membership_simulation::Simulation::name(other), "elsewhere");
    simulation.run(simulation.now() + 40);
    simulation.isolate(other, false);
    simulation.run(simulation.now() + 25);
}

// Runs a schedule that depends on the seed: the number of members, the loss, and in each round a member
// that is killed, leaves, is isolated, is starved or starts with the name of another. A user message is
// sent in each round.
std::uint64_t run_schedule(std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919 + 11);
    const auto random_up_to = [&](std::size_t max) {
        return static_cast<std::size_t>(random() % (max + 1));
    };
    membership_simulation::Scenario scenario;
    scenario.members = 3 + random_up_to(9);
    scenario.loss_probability = random_up_to(1) == 0 ? 0.02 * static_cast<double>(random_up_to(15)) : 0;
    scenario.max_delay_s = random_up_to(2) == 0 ? 0.4 : 0.01;
    membership_simulation::Simulation simulation(scenario, seed);
    simulation.run(20);
    for (int round = 0; round < 7; ++round) {
        const std::size_t node = random_up_to(scenario.members - 1), other = (node + 1) % scenario.members;
        const std::size_t fault = random_up_to(4);
        if (fault == 0) simulation.kill(node);
        if (fault == 1) simulation.leave(node);
        if (fault == 2) simulation.isolate(node, true);
        if (fault == 3) simulation.starve(node, 2.5);
        if (fault == 4)
            simulation.kill(node),
                simulation.start(node, membership_simulation::Simulation::name(other), "elsewhere");
        if (simulation.is_running(other))
            simulation.member(other).send(simulation.now(), membership_simulation::Simulation::name(node),
                                          7, "round " + std::to_string(round));
        simulation.process_outputs(other);
        simulation.run(simulation.now() + 2 + static_cast<double>(random_up_to(30)));
        simulation.isolate(node, false);
        simulation.starve(node, 0);
        if (fault == 4) simulation.kill(node);
        if (!simulation.is_running(node)) simulation.start(node);
        simulation.run(simulation.now() + 1 + static_cast<double>(random_up_to(20)));
    }
    connect_after_name_conflict(simulation, random_up_to(scenario.members - 1), scenario.members);
    return simulation.digest();
}

// By seed, from 1.
constexpr std::array<std::uint64_t, 20> kDigests{
    0xa9aa3ff6db06feb7ULL, 0xe37099a7093fd53dULL, 0x74f0e694d5a16295ULL, 0xb24eb20450f82024ULL,
    0x8607ee713d8cc11dULL, 0xe98b8085cb86c2a4ULL, 0x35d79a0ab0fb2b65ULL, 0x688b69f63abda9ecULL,
    0x2d9c0ac059fa163bULL, 0xda6d8c9148fe8fc7ULL, 0x9f207ff3b3515110ULL, 0xf7ed9258ef18ce17ULL,
    0x9cd56b2a9c77e0c6ULL, 0xcfc9a68ce1cfb9afULL, 0x4bba921eb1ec8c66ULL, 0x0705207c392ef8dbULL,
    0x0b7a157fd800c70dULL, 0x3baae831bef54724ULL, 0xbe079e778bf49847ULL, 0x4198a1f2d916da1fULL};

}   // namespace

TEST_CASE("the decisions of membership in random schedules match recorded digests", "[peers]") {
    for (std::uint64_t seed = 1; seed <= kDigests.size(); ++seed) {
        INFO("seed " << seed);
        CHECK(run_schedule(seed) == kDigests[seed - 1]);
    }
}
