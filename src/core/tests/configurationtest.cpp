#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("A new configuration is in force on all daemons within five seconds")
{
    World world(sixDaemonOptions());
    world.publish(2, configurationWithSlots(8));
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 2));
}

TEST_CASE("Daemons that cannot read the platform receive the configuration from their peers")
{
    World world(sixDaemonOptions());
    world.publish(2, configurationWithSlots(8));
    // One daemon reads the file before the platform becomes unreachable.
    world.pause(1, model::seconds(1));
    world.pause(2, model::seconds(1));
    world.pause(3, model::seconds(1));
    world.pause(4, model::seconds(1));
    world.pause(5, model::seconds(1));
    world.runFor(model::milliseconds(100));
    world.setPlatformDown(true);
    world.runFor(model::seconds(6));
    CHECK(isInForceEverywhere(world, 2));
    CHECK(world.countEvents(observability::EventCode::ConfigurationFetched) > 0);
}

TEST_CASE("An accepted configuration stays in force when the platform serves an older one")
{
    World world(sixDaemonOptions());
    world.publish(5, configurationWithSlots(8));
    world.runFor(model::seconds(5));
    REQUIRE(isInForceEverywhere(world, 5));
    world.servePlatformFile(3, configurationWithSlots(4));
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 5));
    // Restarted daemons read the old file from the platform and the new one from their peers.
    world.restart(2);
    world.restart(3);
    world.runFor(model::seconds(1));
    CHECK((!world.core(2).isReady(world.now())
           || world.core(2).revisions().revision() == model::Revision(5)));
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 5));
    CHECK(world.core(2).isReady(world.now()));
    world.checkPromises();
}

TEST_CASE("A daemon that was paused with an old configuration fetches the one in force")
{
    World world(sixDaemonOptions());
    world.pause(0, model::seconds(20));
    world.publish(2, configurationWithSlots(8));
    world.runFor(model::seconds(10));
    world.setPlatformDown(true);
    world.runFor(model::seconds(16));
    CHECK(isInForceEverywhere(world, 2));
}

TEST_CASE("After a partition, daemons with different configurations agree on the higher revision")
{
    World world(sixDaemonOptions());
    world.partition({{0, 1, 2}, {3, 4, 5}});
    world.publish(2, configurationWithSlots(8));
    world.runFor(model::seconds(3));
    for (size_t daemon : {3, 4, 5}) {
        world.pause(daemon, model::seconds(3));
    }
    world.publish(3, configurationWithSlots(9));
    world.runFor(model::milliseconds(500));
    world.setPlatformDown(true);
    world.runFor(model::seconds(10));
    CHECK(world.core(0).revisions().revision() == model::Revision(3));
    CHECK(world.core(4).revisions().revision() == model::Revision(2));
    world.partition({});
    world.runFor(model::seconds(30));
    CHECK(isInForceEverywhere(world, 3));
    world.checkPromises();
}

TEST_CASE("Two files with the same revision end as the same file everywhere and report a conflict")
{
    World world(sixDaemonOptions());
    world.publish(2, configurationWithSlots(8));
    world.pause(3, model::seconds(1));
    world.pause(4, model::seconds(1));
    world.pause(5, model::seconds(1));
    world.runFor(model::milliseconds(100));
    world.publish(2, configurationWithSlots(9));
    // Daemons that have read a file with this revision do not read it again.
    world.runFor(model::seconds(20));
    const uint64_t digest = world.core(0).revisions().digest();
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(world.core(daemon).revisions().digest() == digest);
    }
    CHECK(world.countEvents(observability::EventCode::ConfigurationConflict) > 0);
}

TEST_CASE("An invalid configuration is rejected everywhere and the one in force is kept")
{
    World world(sixDaemonOptions());
    world.publish(2, R"({"pools": []})");
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 1));
    CHECK(world.countEvents(observability::EventCode::ConfigurationRejected) == daemonCount);
    world.publish(3, configurationWithSlots(8));
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 3));
}
