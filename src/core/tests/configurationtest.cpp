#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("A new configuration is in force on all daemons within five seconds")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.publish(2, configurationWithSlots(8));
    simulation.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(simulation, 2));
}

TEST_CASE("Daemons that cannot read the platform receive the configuration from their peers")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.publish(2, configurationWithSlots(8));
    // One daemon reads the file before the platform becomes unreachable.
    simulation.pause(1, model::seconds(1));
    simulation.pause(2, model::seconds(1));
    simulation.pause(3, model::seconds(1));
    simulation.pause(4, model::seconds(1));
    simulation.pause(5, model::seconds(1));
    simulation.runFor(model::milliseconds(100));
    simulation.setPlatformDown(true);
    simulation.runFor(model::seconds(6));
    CHECK(isInForceEverywhere(simulation, 2));
    CHECK(simulation.countEvents(observability::EventCode::ConfigurationFetched) > 0);
}

TEST_CASE("An accepted configuration stays in force when the platform serves an older one")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.publish(5, configurationWithSlots(8));
    simulation.runFor(model::seconds(5));
    REQUIRE(isInForceEverywhere(simulation, 5));
    simulation.servePlatformFile(3, configurationWithSlots(4));
    simulation.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(simulation, 5));
    // Restarted daemons read the old file from the platform and the new one from their peers.
    simulation.restart(2);
    simulation.restart(3);
    simulation.runFor(model::seconds(1));
    CHECK((!simulation.core(2).isReady(simulation.now())
           || simulation.core(2).revisions().revision() == model::Revision(5)));
    simulation.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(simulation, 5));
    CHECK(simulation.core(2).isReady(simulation.now()));
    simulation.checkPromises();
}

TEST_CASE("A daemon that was paused with an old configuration fetches the one in force")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.pause(0, model::seconds(20));
    simulation.publish(2, configurationWithSlots(8));
    simulation.runFor(model::seconds(10));
    simulation.setPlatformDown(true);
    simulation.runFor(model::seconds(16));
    CHECK(isInForceEverywhere(simulation, 2));
}

TEST_CASE("After a partition, daemons with different configurations agree on the higher revision")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.partition({{0, 1, 2}, {3, 4, 5}});
    simulation.publish(2, configurationWithSlots(8));
    simulation.runFor(model::seconds(3));
    for (size_t daemon : {3, 4, 5}) {
        simulation.pause(daemon, model::seconds(3));
    }
    simulation.publish(3, configurationWithSlots(9));
    simulation.runFor(model::milliseconds(500));
    simulation.setPlatformDown(true);
    simulation.runFor(model::seconds(10));
    CHECK(simulation.core(0).revisions().revision() == model::Revision(3));
    CHECK(simulation.core(4).revisions().revision() == model::Revision(2));
    simulation.partition({});
    simulation.runFor(model::seconds(30));
    CHECK(isInForceEverywhere(simulation, 3));
    simulation.checkPromises();
}

TEST_CASE("Two files with the same revision end as the same file everywhere and report a conflict")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.publish(2, configurationWithSlots(8));
    simulation.pause(3, model::seconds(1));
    simulation.pause(4, model::seconds(1));
    simulation.pause(5, model::seconds(1));
    simulation.runFor(model::milliseconds(100));
    simulation.publish(2, configurationWithSlots(9));
    // Daemons that have read a file with this revision do not read it again.
    simulation.runFor(model::seconds(20));
    const uint64_t digest = simulation.core(0).revisions().digest();
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(simulation.core(daemon).revisions().digest() == digest);
    }
    CHECK(simulation.countEvents(observability::EventCode::ConfigurationConflict) > 0);
}

TEST_CASE("An invalid configuration is rejected everywhere and the one in force is kept")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.publish(2, R"({"pools": []})");
    simulation.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(simulation, 1));
    CHECK(simulation.countEvents(observability::EventCode::ConfigurationRejected) == daemonCount);
    simulation.publish(3, configurationWithSlots(8));
    simulation.runFor(model::seconds(5));
    CHECK(isInForceEverywhere(simulation, 3));
}
