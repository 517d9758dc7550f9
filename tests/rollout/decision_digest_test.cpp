// Guards against unintended changes of the rollout's decisions, by digests of seeded schedules. A digest
// that differs means that a message, a proposal, a commit, a write or an active version differs. A change
// that is meant to alter decisions replaces the recorded digests; each failed check prints the new one.
#include <array>
#include <catch2/catch.hpp>

#include "digest.hpp"
#include "rollout/simulation.hpp"

namespace {

// The digests of seeds 1, 2, ...
constexpr std::array<std::uint64_t, 40> kDigests{
    0x84966749e155b2b4ULL, 0x4f4774465effce95ULL, 0xe49eac563c9b3327ULL, 0xaee5299077e2b7ebULL,
    0x749f33f061166379ULL, 0x1f52e9830b420ae4ULL, 0xc421b9960bfa20dbULL, 0x5a9986ae32756c31ULL,
    0xaf5981f4dd42fe5eULL, 0x25761534fb2bf03bULL, 0x6890e176d143523dULL, 0x8214c379efff1fc9ULL,
    0x0ed9c8333428b066ULL, 0x4e779423196cf5b2ULL, 0xee1f1b62e30bcb48ULL, 0x3b9f2ac193a2dd2aULL,
    0xd9b3c4c0607f98b4ULL, 0x502e14b7cea71ad1ULL, 0xe0bd906813b4952aULL, 0x5a4a5c9aff75d941ULL,
    0xaf424d5944173329ULL, 0x80ad3604bbd6fdbbULL, 0xae62558efebefd44ULL, 0xe2a19f89753a3e64ULL,
    0x555cd79aace99f8eULL, 0x949541da4799e239ULL, 0x94b293fcff9c7fa1ULL, 0x158b3bbef165658bULL,
    0x1b97a5d810c32f03ULL, 0xca6354633d58ec74ULL, 0x90fe6c07652d9eb0ULL, 0x6827cd8360fce546ULL,
    0xee5250e62835c5edULL, 0xa534e919e2f9ba21ULL, 0x5b3b9f991835eb29ULL, 0xbebc834480a1ef60ULL,
    0x27588c91d52c86f2ULL, 0xe0eabfb0a8f69c55ULL, 0x948819c270b7fa96ULL, 0x16d3f547f448cbb0ULL};

}   // namespace

TEST_CASE("the rollout's decisions match the recorded digests", "[rollout]") {
    for (std::uint64_t seed = 1; seed <= kDigests.size(); ++seed) {
        INFO("seed " << seed);
        rollout_simulation::Simulation simulation(rollout_simulation::random_scenario(seed), seed);
        CHECK(simulation.run().violation == "");
        CHECK(simulation.digest() == kDigests[seed - 1]);
    }
}

TEST_CASE("the rollout's decisions over further seeds match one recorded digest", "[rollout]") {
    Digest all;
    for (std::uint64_t seed = kDigests.size() + 1; seed <= 120; ++seed) {
        rollout_simulation::Simulation simulation(rollout_simulation::random_scenario(seed), seed);
        simulation.run();
        all.add(simulation.digest());
    }
    CHECK(all.value() == 0xcf6704923decc3d5ULL);
}
