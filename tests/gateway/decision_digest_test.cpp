// A characterization test: the digests of all actions of drawn runs are those of the program before its
// names and structure were changed. A change that is meant to keep every decision keeps every digest; one
// that is meant to change decisions replaces them, and states it.
#include <gtest/gtest.h>

#include <cstdint>
#include <iomanip>
#include <iterator>
#include <sstream>

#include "decision_simulation.hpp"

namespace {

constexpr std::size_t kEvents = 14000;   // of each seed

constexpr std::uint64_t kExpected[] = {
#include "decision_digests.inc"
};

std::string hex(std::uint64_t value) {
    std::ostringstream text;
    text << "0x" << std::hex << std::setw(16) << std::setfill('0') << value << "ULL";
    return text.str();
}

template <class Counts>
void expect_all(const Counts& counts, const char* what, std::size_t first, std::size_t absent) {
    for (std::size_t i = first; i < counts.size(); ++i) {
        if (i == absent)
            EXPECT_EQ(counts[i], 0u) << what << " " << i;
        else
            EXPECT_GT(counts[i], 0u) << what << " " << i;
    }
}

TEST(DecisionDigest, EveryActionOfFortyDrawnRunsIsAsBefore) {
    ASSERT_EQ(std::size(kExpected), 40u);
    decision::Coverage coverage;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const std::uint64_t seen = decision::World(seed, coverage).run(kEvents);
        EXPECT_TRUE(seen == kExpected[seed - 1]) << "seed " << seed << " digest " << hex(seen);
    }
    constexpr auto none = static_cast<std::size_t>(-1);
    expect_all(coverage.events, "event", 0, none);
    // The source holds no place that emits StartHealthCheck; all other kinds can be emitted.
    expect_all(coverage.actions, "action", 1, static_cast<std::size_t>(decision::Kind::probe));
    expect_all(coverage.outcomes, "outcome", 0, none);
    expect_all(coverage.lists, "list", 0, none);
    // 7 is given by the ingress alone and is no number of the gateway's.
    expect_all(coverage.reasons, "reason", 0, 7);
    for (std::size_t i = 0; i < coverage.reasons.size(); ++i)
        RecordProperty("reason" + std::to_string(i), std::to_string(coverage.reasons[i]));
    for (std::size_t i = 0; i < coverage.actions.size(); ++i)
        RecordProperty("action" + std::to_string(i), std::to_string(coverage.actions[i]));
}

}   // namespace
