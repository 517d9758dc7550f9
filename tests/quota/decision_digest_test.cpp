// Regression test of SharedQuota: digests of the outputs in seeded scenarios. A different digest means that
// a call, a retry-after, a level or a deadline has changed. After an intended change of behaviour, replace
// the digests; each failed check prints the new one.
#include <array>
#include <catch2/catch.hpp>

#include "digest.hpp"
#include "quota/exhaustive_search.hpp"
#include "quota/simulation.hpp"

namespace {

// Digests of seeds 1, 2, ...
constexpr std::array<std::uint64_t, 40> kDigests{
    0x4d31e5f4c1734084ULL, 0xcd6bf5de370526acULL, 0xa393535b38764400ULL, 0x330b2d9cf5d3c87dULL,
    0xded86ffb692c038fULL, 0xec08a887eed42832ULL, 0xaa185b346a225d92ULL, 0x31df9b351dffb8fdULL,
    0x83231f7749a0d576ULL, 0x15cf9c5d97d79b44ULL, 0xe3f23194b0b7eb2aULL, 0x2938c0d5be851b91ULL,
    0x5940b266136ebe96ULL, 0x5caf7b1e221410e3ULL, 0xc0db3a67c2b25505ULL, 0xa73d24f948400ba4ULL,
    0x21e175904277dce7ULL, 0x873b3a82c3d23f33ULL, 0xf7423fdf9d1d672fULL, 0xa3d5b6f67b512e8fULL,
    0x390c4a5f9f5e249aULL, 0x9048e331fe77b985ULL, 0xadf590dc8ae7d3b6ULL, 0xfc0cfe99c76c97e6ULL,
    0x88d14e4f244cda90ULL, 0x11202142c554c07eULL, 0xd65ca8375a50d6bdULL, 0xb68365abad6d8fbeULL,
    0x41a988ec92d8cbdfULL, 0x7fd734345eceea70ULL, 0x308efeda422509b7ULL, 0x410960c60f605f61ULL,
    0x508c586066f2dcb0ULL, 0x6a6d72102d9fdc83ULL, 0x2ddfd5d7ef549904ULL, 0x2c786f82baea432cULL,
    0x96479995933d82b7ULL, 0xf29608adac71063aULL, 0x672fc5ba4b1b9b0cULL, 0x3e4deec93ded2ec1ULL};

}   // namespace

TEST_CASE("decisions of SharedQuota match the recorded digest of each seed", "[quota]") {
    for (std::uint64_t seed = 1; seed <= kDigests.size(); ++seed) {
        INFO("seed " << seed);
        quota_simulation::Simulation simulation(quota_simulation::random_scenario(seed), seed);
        CHECK_FALSE(simulation.run().violated());
        CHECK(simulation.digest() == kDigests[seed - 1]);
    }
}

TEST_CASE("decisions of SharedQuota match the combined digest of more seeds", "[quota]") {
    Digest all;
    for (std::uint64_t seed = kDigests.size() + 1; seed <= 1000; ++seed) {
        quota_simulation::Simulation simulation(quota_simulation::random_scenario(seed), seed);
        simulation.run();
        all.add(simulation.digest());
    }
    CHECK(all.value() == 0xc4d49e8fc1286924ULL);
}

TEST_CASE("decisions of two ingresses in all schedules of up to five steps match the recorded digest",
          "[quota]") {
    slatejunction::quota::Settings settings;
    settings.ingress_count = 2;
    settings.plans = {{"p", 2, 3, 0}};
    settings.max_unreported_units = 2;
    settings.local_fraction = 0.3;
    quota_simulation::ExhaustiveSearch search(5, settings);
    CHECK_FALSE(search.find_violation());
    CHECK(search.digest() == 0xf2a1e9fef7d53705ULL);
}
