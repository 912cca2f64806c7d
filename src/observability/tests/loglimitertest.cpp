#include <catch2/catch.hpp>

#include "observability/loglimiter.h"

using namespace citronpick;
using namespace citronpick::observability;

TEST_CASE("Load pattern: a burst of log lines is allowed, and lines beyond it are only counted")
{
    LogLimiter limiter(10);
    const model::TimePoint start(model::seconds(100));
    int written = 0;
    for (int i = 0; i < 100; ++i) {
        written += limiter.tryAcquire(start) ? 1 : 0;
    }
    CHECK(written == 30);
    CHECK(limiter.takeSuppressed(start) == 70);
    CHECK_FALSE(limiter.tryAcquire(start));
    CHECK(limiter.takeSuppressed(start + model::milliseconds(500)) == 0);
    CHECK(limiter.takeSuppressed(start + model::seconds(1)) == 1);
    CHECK(limiter.tryAcquire(start + model::seconds(1)));
    CHECK(limiter.suppressedTotal() == 71);
}

TEST_CASE("Dropped lines are reported together with suppressed ones")
{
    LogLimiter limiter(10);
    const model::TimePoint start(model::seconds(100));
    limiter.addDropped(4);
    CHECK(limiter.takeSuppressed(start) == 4);
    CHECK(limiter.suppressedTotal() == 4);
}
