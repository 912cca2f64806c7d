#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("A key runs its operation once, through whatever daemon it is sent again")
{
    World world(sixDaemons());
    const std::string key = world.openOperation(0);
    REQUIRE_FALSE(key.empty());
    const uint64_t first = world.submit(0, once(key));
    const uint64_t meanwhile = world.submit(0, once(key));
    world.runFor(model::seconds(1));
    CHECK(world.result(first).isComplete());
    CHECK(world.result(meanwhile).answer->reason == Reason::KeyInProgress);
    const uint64_t again = world.submit(0, once(key));
    CHECK(world.result(again).isComplete());
    CHECK(*world.result(again).answer->body == *world.result(first).answer->body);
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        const uint64_t elsewhere = world.submit(daemon, once(key));
        CHECK(world.result(elsewhere).answer->outcome == Outcome::Unknown);
        CHECK(world.result(elsewhere).answer->reason == Reason::KeyOfOtherInstance);
    }
    world.runFor(model::seconds(1));
    CHECK(world.totalRuns() == 1);
}

TEST_CASE("A key whose daemon was restarted is dead: nobody runs it again")
{
    World world(sixDaemons());
    const std::string key = world.openOperation(0);
    world.submit(0, once(key));
    world.runFor(model::milliseconds(20));
    world.restart(0);
    world.runFor(model::seconds(5));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        const uint64_t resend = world.submit(daemon, once(key));
        world.runFor(model::milliseconds(100));
        CHECK(world.result(resend).answer->outcome == Outcome::Unknown);
    }
    CHECK(world.totalRuns() == 1);
}

TEST_CASE("A daemon that was paused past a key's end does not run it on waking")
{
    WorldOptions options = sixDaemons();
    options.core.operations.keyLifetime = model::seconds(5);
    World world(options);
    const std::string key = world.openOperation(0);
    world.pause(0, model::seconds(10));
    const uint64_t held = world.submit(0, once(key));
    world.runFor(model::seconds(12));
    REQUIRE(world.result(held).answer);
    CHECK(world.result(held).answer->outcome == Outcome::NotRun);
    CHECK(world.result(held).answer->reason == Reason::KeyExpired);
    CHECK(world.totalRuns() == 0);
}

TEST_CASE("A key cannot be used for another request, and a forged one for none")
{
    World world(sixDaemons());
    const std::string key = world.openOperation(0);
    const uint64_t first = world.submit(0, once(key));
    world.runFor(model::seconds(1));
    Submission other = once(key);
    other.body = "order 8";
    const uint64_t second = world.submit(0, other);
    CHECK(world.result(first).isComplete());
    CHECK(world.result(second).answer->reason == Reason::KeyInvalid);
    std::string forged = key;
    forged.back() = forged.back() == '0' ? '1' : '0';
    const uint64_t third = world.submit(0, once(forged));
    CHECK(world.result(third).answer->outcome == Outcome::NotRun);
    CHECK(world.result(third).answer->reason == Reason::KeyInvalid);
    CHECK(world.totalRuns() == 1);
}

TEST_CASE("A full table of keys refuses new ones and forgets none")
{
    WorldOptions options = sixDaemons();
    options.core.operations.maxKeys = 3;
    options.core.operations.keyLifetime = model::seconds(5);
    World world(options);
    const std::string first = world.openOperation(0);
    const uint64_t ran = world.submit(0, once(first));
    world.runFor(model::seconds(1));
    CHECK_FALSE(world.openOperation(0).empty());
    CHECK_FALSE(world.openOperation(0).empty());
    CHECK(world.openOperation(0).empty());
    const uint64_t again = world.submit(0, once(first));
    CHECK(world.result(ran).isComplete());
    CHECK(world.result(again).isComplete());
    CHECK(world.totalRuns() == 1);
    world.runFor(model::seconds(6));
    CHECK_FALSE(world.openOperation(0).empty());
}
