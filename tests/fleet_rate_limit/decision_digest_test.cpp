// Regression test of fleet-wide rate limits: digests of the outputs in seeded scenarios. A different digest
// means that a datagram, a retry-after or a deadline has changed. After an intended change of behaviour,
// replace the digests; each failed check prints the new one.
#include <array>
#include <catch2/catch.hpp>

#include "digest.hpp"
#include "fleet_rate_limit/simulation.hpp"

namespace {

// Digests of seeds 1, 2, ...
constexpr std::array<std::uint64_t, 40> kDigests{
    0xd1ef9c45f8597c63ULL, 0x83044f8d716728eeULL, 0xf2c6f784450d093fULL, 0xc6a44eded7951a1fULL,
    0xb8bf079d90e8450aULL, 0x3c20c3239b701375ULL, 0xa8496ac6f9b19a10ULL, 0x6543d19ff36ac74cULL,
    0x16a58975fed9858dULL, 0x2d5a090480bd7dc2ULL, 0xadb34fd14caf8f43ULL, 0xa4acd7e5ccaca1dbULL,
    0xde0703b054fa002eULL, 0x6df0b0bcce7d335bULL, 0x1b9c30e747f840e1ULL, 0xcf109e7d1c7d8d14ULL,
    0x5fb2c8fe5de40262ULL, 0x0f2e54e2aeb6b74eULL, 0x7fb016b4d6cb2dfbULL, 0xc20d556a39da193cULL,
    0x5ea4522e329c1f39ULL, 0x6729373c06a3891eULL, 0x10e6745f156c0b7cULL, 0x2edd85fd39b7d3a4ULL,
    0x22007ca2c6071accULL, 0xbfa650c5ad89262eULL, 0x3d392f3cbd1f17acULL, 0x44a115c13f90f73dULL,
    0x2df4cf334596820cULL, 0x94d5984420425e34ULL, 0x49e63f859aaef953ULL, 0x4165da9c66a96615ULL,
    0x12093e449f95fc34ULL, 0x08a81a8200817001ULL, 0x3b2118fae580d52dULL, 0x1c3e1eaa23cd3e72ULL,
    0x974896493a873c46ULL, 0xeab12308a611ef0fULL, 0x763c14e18e3f2c78ULL, 0x7085ecfe5f671278ULL};

}   // namespace

TEST_CASE("decisions of fleet-wide rate limits match the recorded digest of each seed", "[fleetlimit]") {
    for (std::uint64_t seed = 1; seed <= kDigests.size(); ++seed) {
        INFO("seed " << seed);
        rate_limit_simulation::Simulation simulation(rate_limit_simulation::random_scenario(seed), seed);
        CHECK(simulation.run().violation == "");
        CHECK(simulation.digest() == kDigests[seed - 1]);
    }
}

TEST_CASE("decisions of fleet-wide rate limits match the combined digest of more seeds", "[fleetlimit]") {
    Digest all;
    for (std::uint64_t seed = kDigests.size() + 1; seed <= 160; ++seed) {
        rate_limit_simulation::Simulation simulation(rate_limit_simulation::random_scenario(seed), seed);
        simulation.run();
        all.add(simulation.digest());
    }
    CHECK(all.value() == 0xc2aa4b4c9e84f3f0ULL);
}
