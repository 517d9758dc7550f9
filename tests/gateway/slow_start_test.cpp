// Capacity and admission probability of warming backends.
#include "gateway/slow_start.hpp"

#include <gtest/gtest.h>

namespace slatejunction::gateway {
namespace {

Settings slow_start_settings() {
    Settings settings;
    settings.slow_start_min_capacity = 0.2;
    settings.slow_start_window_s = 10;
    settings.overload_multiple = 2;
    settings.overload_window_s = 4;
    return settings;
}

TEST(SlowStart, CapacityGrowsFromTheMinimumOverTheWindow) {
    const Settings settings = slow_start_settings();
    const SlowStart slow_start(settings);
    EXPECT_DOUBLE_EQ(slow_start.capacity(100, 100), 0.2);
    EXPECT_DOUBLE_EQ(slow_start.capacity(100, 99), 0.2);   // the start is in the future
    EXPECT_DOUBLE_EQ(slow_start.capacity(100, 105), 0.6);
    EXPECT_FALSE(slow_start.is_warm(100, 109.9));
    EXPECT_TRUE(slow_start.is_warm(100, 110));
    EXPECT_TRUE(slow_start.is_warm(0, 1));   // started long ago
}

TEST(SlowStart, IsOffWithoutAWindow) {
    Settings settings = slow_start_settings();
    settings.slow_start_window_s = 0;
    EXPECT_TRUE(SlowStart(settings).is_warm(100, 100));
    settings = slow_start_settings();
    settings.overload_window_s = 0;
    EXPECT_TRUE(SlowStart(settings).is_warm(100, 100));
}

TEST(SlowStart, ProbabilityIsTheAllowedFractionMinusAnInitialReserve) {
    const Settings settings = slow_start_settings();
    const SlowStart slow_start(settings);
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(100, 100), 0.68 * 2 * 0.2 * 0.8);
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(100, 102), 0.68 * 2 * 0.36 * 0.9);
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(100, 105), 0.68 * 2 * 0.6);
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(100, 109), 1);
}

TEST(SlowStart, ProbabilityFollowsTheAnsweredFraction) {
    const Settings settings = slow_start_settings();
    SlowStart slow_start(settings);
    const double all_answered = slow_start.admission_probability(100, 105);
    slow_start.on_attempt_started();
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(100, 105), 0.9 * all_answered);
    slow_start.on_answer();
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(100, 105), all_answered);
    for (int i = 0; i < 10; ++i) slow_start.on_answer();
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(100, 105), 1.1 * all_answered);   // the upper limit
}

}   // namespace
}   // namespace slatejunction::gateway
