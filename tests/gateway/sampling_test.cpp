// Systematic sampling, the mean priority and the random generator.
#include "gateway/sampling.hpp"

#include <gtest/gtest.h>

#include "gateway/random.hpp"

namespace slatejunction::gateway {
namespace {

TEST(SystematicSampler, AdmitsTheSumOfTheProbabilitiesEvenlySpaced) {
    SystematicSampler sampler;
    int admitted = 0;
    for (int i = 1; i <= 400; ++i) {
        admitted += sampler.sample(0.25, 0) ? 1 : 0;
        EXPECT_EQ(admitted, i / 4) << i;
    }
}

TEST(SystematicSampler, CarriesTheRemainderOver) {
    SystematicSampler sampler;
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) admitted += sampler.sample(0.3, 0) ? 1 : 0;
    EXPECT_NEAR(admitted, 300, 1);
}

TEST(SystematicSampler, CreditAdmitsEarlierButNotMoreRequests) {
    SystematicSampler sampler;
    EXPECT_TRUE(sampler.sample(0.25, 0.75));
    int admitted = 1;
    for (int i = 0; i < 399; ++i) admitted += sampler.sample(0.25, 0) ? 1 : 0;
    EXPECT_EQ(admitted, 100);
}

TEST(SystematicSampler, StartSetsThePhase) {
    SystematicSampler sampler;
    sampler.start(0.75);
    EXPECT_TRUE(sampler.sample(0.25, 0));
    EXPECT_FALSE(sampler.sample(0.25, 0));
}

TEST(PriorityMean, IsRelativeToTheMeanThatIncludesTheRequest) {
    PriorityMean mean;
    EXPECT_DOUBLE_EQ(mean.observe(0), 1);   // no mean yet
    EXPECT_DOUBLE_EQ(mean.observe(2), 1);   // the first weight is the mean
    EXPECT_DOUBLE_EQ(mean.observe(4), 4 / (2 + 0.05 * 2));
}

TEST(Random, IsSplitmix64) {
    Random random(0);
    EXPECT_EQ(random.uniform(), static_cast<double>(0xe220a8397b1dcdafULL >> 11) / 9007199254740992.0);
    EXPECT_EQ(random.uniform(), static_cast<double>(0x6e789e6aa1b965f4ULL >> 11) / 9007199254740992.0);
    EXPECT_EQ(random.uniform(), static_cast<double>(0x06c45d188009454fULL >> 11) / 9007199254740992.0);
}

}   // namespace
}   // namespace slatejunction::gateway
