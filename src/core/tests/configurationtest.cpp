#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("A new file is in force on all daemons within five seconds")
{
    World world(sixDaemons());
    world.publish(2, otherFile(8));
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 2));
}

TEST_CASE("A file reaches daemons that cannot read the platform through their peers")
{
    World world(sixDaemons());
    world.publish(2, otherFile(8));
    // One daemon reads it, then the platform is gone.
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

TEST_CASE("An accepted file stays in force though the platform serves an older one")
{
    World world(sixDaemons());
    world.publish(5, otherFile(8));
    world.runFor(model::seconds(5));
    REQUIRE(isInForceEverywhere(world, 5));
    world.servePlatformFile(3, otherFile(4));
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 5));
    // Daemons that start now read the old file from the platform and the new one from peers.
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

TEST_CASE("A paused daemon that wakes with an old file takes the one in force")
{
    World world(sixDaemons());
    world.pause(0, model::seconds(20));
    world.publish(2, otherFile(8));
    world.runFor(model::seconds(10));
    world.setPlatformDown(true);
    world.runFor(model::seconds(16));
    CHECK(isInForceEverywhere(world, 2));
}

TEST_CASE("Parts of a partition that got different files agree on the higher one after it")
{
    World world(sixDaemons());
    world.partition({{0, 1, 2}, {3, 4, 5}});
    world.publish(2, otherFile(8));
    world.runFor(model::seconds(3));
    for (size_t daemon : {3, 4, 5}) {
        world.pause(daemon, model::seconds(3));
    }
    world.publish(3, otherFile(9));
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

TEST_CASE("Two texts under one revision end as the same one everywhere, with an alarm")
{
    World world(sixDaemons());
    world.publish(2, otherFile(8));
    world.pause(3, model::seconds(1));
    world.pause(4, model::seconds(1));
    world.pause(5, model::seconds(1));
    world.runFor(model::milliseconds(100));
    world.publish(2, otherFile(9));
    // The same number: daemons that have read it do not read it again.
    world.runFor(model::seconds(20));
    const uint64_t digest = world.core(0).revisions().digest();
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(world.core(daemon).revisions().digest() == digest);
    }
    CHECK(world.countEvents(observability::EventCode::ConfigurationConflict) > 0);
}

TEST_CASE("An invalid file is rejected everywhere and the one in force stays")
{
    World world(sixDaemons());
    world.publish(2, R"({"pools": []})");
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 1));
    CHECK(world.countEvents(observability::EventCode::ConfigurationRejected) == daemonCount);
    world.publish(3, otherFile(8));
    world.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(world, 3));
}
