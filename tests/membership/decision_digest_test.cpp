// That the decisions of membership are what they were: digests of seeded schedules, taken before the code
// was changed. One that differs means that a message, a member's state, a health or a due time differs. A
// change that is meant to do so takes new digests; each failed check prints its own.
#include <array>
#include <catch2/catch.hpp>

#include "membership/simulation.hpp"

namespace {

// Two processes that have served apart from each other for long under one name meet.
void claim_apart(membership_simulation::Simulation& net, std::size_t who, std::size_t members) {
    const std::size_t other = (who + 1) % members;
    net.cut_off(other, true);
    net.kill(who);
    net.run(net.now() + 25);
    net.start(who, membership_simulation::Simulation::name(other), "elsewhere");
    net.run(net.now() + 40);
    net.cut_off(other, false);
    net.run(net.now() + 25);
}

// A schedule by its seed: sizes, loss, and in each round a member that dies and is started again, leaves,
// is cut off, starves or claims another's name; a user message goes out each time.
std::uint64_t play(std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919 + 11);
    const auto upto = [&](std::size_t most) { return static_cast<std::size_t>(random() % (most + 1)); };
    membership_simulation::Scenario plan;
    plan.members = 3 + upto(9);
    plan.loss = upto(1) == 0 ? 0.02 * static_cast<double>(upto(15)) : 0;
    plan.delay_most = upto(2) == 0 ? 0.4 : 0.01;
    membership_simulation::Simulation net(plan, seed);
    net.run(20);
    for (int round = 0; round < 7; ++round) {
        const std::size_t who = upto(plan.members - 1), other = (who + 1) % plan.members;
        const std::size_t fault = upto(4);
        if (fault == 0) net.kill(who);
        if (fault == 1) net.leave(who);
        if (fault == 2) net.cut_off(who, true);
        if (fault == 3) net.starve(who, 2.5);
        if (fault == 4)
            net.kill(who), net.start(who, membership_simulation::Simulation::name(other), "elsewhere");
        if (net.is_running(other))
            net.member(other).send(net.now(), membership_simulation::Simulation::name(who), 7,
                                   "round " + std::to_string(round));
        net.settle(other);
        net.run(net.now() + 2 + static_cast<double>(upto(30)));
        net.cut_off(who, false);
        net.starve(who, 0);
        if (fault == 4) net.kill(who);
        if (!net.is_running(who)) net.start(who);
        net.run(net.now() + 1 + static_cast<double>(upto(20)));
    }
    claim_apart(net, upto(plan.members - 1), plan.members);
    return net.digest();
}

// Of seeds 1, 2, ...
constexpr std::array<std::uint64_t, 20> kDigests{
    0xa9aa3ff6db06feb7ULL, 0xe37099a7093fd53dULL, 0x74f0e694d5a16295ULL, 0xb24eb20450f82024ULL,
    0x8607ee713d8cc11dULL, 0xe98b8085cb86c2a4ULL, 0x35d79a0ab0fb2b65ULL, 0x688b69f63abda9ecULL,
    0x2d9c0ac059fa163bULL, 0xda6d8c9148fe8fc7ULL, 0x9f207ff3b3515110ULL, 0xf7ed9258ef18ce17ULL,
    0x9cd56b2a9c77e0c6ULL, 0xcfc9a68ce1cfb9afULL, 0x4bba921eb1ec8c66ULL, 0x0705207c392ef8dbULL,
    0x0b7a157fd800c70dULL, 0x3baae831bef54724ULL, 0xbe079e778bf49847ULL, 0x4198a1f2d916da1fULL};

}   // namespace

TEST_CASE("digests of membership's decisions", "[peers]") {
    for (std::uint64_t seed = 1; seed <= kDigests.size(); ++seed) {
        INFO("seed " << seed);
        CHECK(play(seed) == kDigests[seed - 1]);
    }
}
