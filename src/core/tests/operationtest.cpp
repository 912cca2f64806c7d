#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("An operation key runs its operation once, even if it is resent to other daemons")
{
    World world(sixDaemonOptions());
    const std::string key = world.openOperation(0);
    REQUIRE_FALSE(key.empty());
    const uint64_t first = world.submit(0, submissionWithKey(key));
    const uint64_t concurrent = world.submit(0, submissionWithKey(key));
    world.runFor(model::seconds(1));
    CHECK(world.result(first).isComplete());
    CHECK(world.result(concurrent).answer->reason == Reason::KeyInProgress);
    const uint64_t again = world.submit(0, submissionWithKey(key));
    CHECK(world.result(again).isComplete());
    CHECK(*world.result(again).answer->body == *world.result(first).answer->body);
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        const uint64_t elsewhere = world.submit(daemon, submissionWithKey(key));
        CHECK(world.result(elsewhere).answer->outcome == Outcome::Unknown);
        CHECK(world.result(elsewhere).answer->reason == Reason::KeyOfOtherInstance);
    }
    world.runFor(model::seconds(1));
    CHECK(world.totalRuns() == 1);
}

TEST_CASE("An operation key from before a restart of its daemon is not run again by any daemon")
{
    World world(sixDaemonOptions());
    const std::string key = world.openOperation(0);
    world.submit(0, submissionWithKey(key));
    world.runFor(model::milliseconds(20));
    world.restart(0);
    world.runFor(model::seconds(5));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        const uint64_t resend = world.submit(daemon, submissionWithKey(key));
        world.runFor(model::milliseconds(100));
        CHECK(world.result(resend).answer->outcome == Outcome::Unknown);
    }
    CHECK(world.totalRuns() == 1);
}

TEST_CASE("A daemon that was paused until a key expired does not run its operation afterwards")
{
    WorldOptions options = sixDaemonOptions();
    options.core.operations.keyLifetime = model::seconds(5);
    World world(options);
    const std::string key = world.openOperation(0);
    world.pause(0, model::seconds(10));
    const uint64_t delayed = world.submit(0, submissionWithKey(key));
    world.runFor(model::seconds(12));
    REQUIRE(world.result(delayed).answer);
    CHECK(world.result(delayed).answer->outcome == Outcome::NotRun);
    CHECK(world.result(delayed).answer->reason == Reason::KeyExpired);
    CHECK(world.totalRuns() == 0);
}

TEST_CASE("A key is refused for a different request and a forged key for any request")
{
    World world(sixDaemonOptions());
    const std::string key = world.openOperation(0);
    const uint64_t first = world.submit(0, submissionWithKey(key));
    world.runFor(model::seconds(1));
    Submission other = submissionWithKey(key);
    other.body = "order 8";
    const uint64_t second = world.submit(0, other);
    CHECK(world.result(first).isComplete());
    CHECK(world.result(second).answer->reason == Reason::KeyInvalid);
    std::string forged = key;
    forged.back() = forged.back() == '0' ? '1' : '0';
    const uint64_t third = world.submit(0, submissionWithKey(forged));
    CHECK(world.result(third).answer->outcome == Outcome::NotRun);
    CHECK(world.result(third).answer->reason == Reason::KeyInvalid);
    CHECK(world.totalRuns() == 1);
}

TEST_CASE("A full operation table issues no new keys and keeps the stored ones")
{
    WorldOptions options = sixDaemonOptions();
    options.core.operations.maxKeys = 3;
    options.core.operations.keyLifetime = model::seconds(5);
    World world(options);
    const std::string first = world.openOperation(0);
    const uint64_t ran = world.submit(0, submissionWithKey(first));
    world.runFor(model::seconds(1));
    CHECK_FALSE(world.openOperation(0).empty());
    CHECK_FALSE(world.openOperation(0).empty());
    CHECK(world.openOperation(0).empty());
    const uint64_t again = world.submit(0, submissionWithKey(first));
    CHECK(world.result(ran).isComplete());
    CHECK(world.result(again).isComplete());
    CHECK(world.totalRuns() == 1);
    world.runFor(model::seconds(6));
    CHECK_FALSE(world.openOperation(0).empty());
}
