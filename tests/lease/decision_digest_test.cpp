// Checks that the lease code makes the same decisions as before, by digests of seeded simulations. A digest
// that differs means that a message, a grant, a holder, a permit or the stored state of an acceptor
// differs. An intended change of behavior replaces the digests; each failed check prints the new one.
#include <array>
#include <catch2/catch.hpp>

#include "digest.hpp"
#include "lease/simulation.hpp"

namespace {

// Digests of the seeds 1, 2, ...
constexpr std::array<std::uint64_t, 40> kDigests{
    0x9e3d6ce1bb0c8140ULL, 0x97014e384983ddfdULL, 0xe5ddf51209764af1ULL, 0x1b3aab2f118aba07ULL,
    0x4e344d98b05f9e67ULL, 0xe2152ac14815d1c0ULL, 0x89b821cd126c3d09ULL, 0x1ed42d8bcbd178fcULL,
    0x6d63e3008c59e270ULL, 0x4baa89c4ecb26aebULL, 0x69975e5f986c23dfULL, 0xbde563b77887fccdULL,
    0x7c1f1e5a86839d86ULL, 0x184e3b6890db56fdULL, 0x3e12c0b149022c2eULL, 0x48dde698876a7f8fULL,
    0x2d8bce2b0d26b790ULL, 0x209ad22335ee7a00ULL, 0x82638f272a904befULL, 0x57e08bb1c3528422ULL,
    0xcd0546e19d009036ULL, 0xea9021fc406218f9ULL, 0x82faee67b911868aULL, 0xa3d6b3931bdb5bf6ULL,
    0x495fb19c7e856e62ULL, 0x17601630a53c70c8ULL, 0xf5ef9273c9979ba4ULL, 0x17937f61ff40eddaULL,
    0xc96fdfa272d25c95ULL, 0xabfb19bcd95c978aULL, 0xb62bb21e280868ccULL, 0xb1d34bd0224dfbb6ULL,
    0x6ca23088906bf2bfULL, 0x732cc5d9bec3fcd3ULL, 0x5240673a6409e30fULL, 0x39fddcc5600c7a3cULL,
    0x64aefd738094a82dULL, 0x7a2f1fe835923f52ULL, 0xaf00893d75d21762ULL, 0x266920adda7d66ebULL};

}   // namespace

TEST_CASE("lease decisions match the recorded digest of each seed", "[lease]") {
    for (std::uint64_t seed = 1; seed <= kDigests.size(); ++seed) {
        INFO("seed " << seed);
        lease_simulation::Simulation simulation(lease_simulation::random_scenario(seed), seed);
        CHECK(simulation.run().violation == "");
        CHECK(simulation.digest() == kDigests[seed - 1]);
    }
}

TEST_CASE("lease decisions of further seeds match one recorded digest", "[lease]") {
    Digest all;
    for (std::uint64_t seed = kDigests.size() + 1; seed <= 400; ++seed) {
        lease_simulation::Simulation simulation(lease_simulation::random_scenario(seed), seed);
        simulation.run();
        all.add(simulation.digest());
    }
    CHECK(all.value() == 0xf8d897701a202e63ULL);
}
