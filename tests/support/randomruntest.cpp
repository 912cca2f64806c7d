#include <catch2/catch.hpp>

#include "support/randomrun.h"

using namespace citronpick::testing;

TEST_CASE("The promises to callers hold under random faults")
{
    constexpr int steps = 40;
    const auto seed = static_cast<uint64_t>(GENERATE(range(1, 25)));
    const RandomRunReport report = runRandomly(seed, steps);
    INFO("repeat: " << repeatCommand(seed, steps));
    INFO(report.failure);
    CHECK(report.hasPassed);
    CHECK(report.complete > 0);
}
