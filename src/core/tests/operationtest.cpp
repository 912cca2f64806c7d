#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("An operation key runs its operation once, even if it is resent to other daemons")
{
    FleetSimulation simulation(sixDaemonOptions());
    const std::string key = simulation.openOperation(0);
    REQUIRE_FALSE(key.empty());
    const uint64_t first = simulation.submit(0, submissionWithKey(key));
    const uint64_t concurrent = simulation.submit(0, submissionWithKey(key));
    simulation.runFor(model::seconds(1));
    CHECK(simulation.result(first).isComplete());
    CHECK(simulation.result(concurrent).answer->reason == Reason::KeyInProgress);
    const uint64_t again = simulation.submit(0, submissionWithKey(key));
    CHECK(simulation.result(again).isComplete());
    CHECK(*simulation.result(again).answer->body == *simulation.result(first).answer->body);
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        const uint64_t elsewhere = simulation.submit(daemon, submissionWithKey(key));
        CHECK(simulation.result(elsewhere).answer->outcome == Outcome::Unknown);
        CHECK(simulation.result(elsewhere).answer->reason == Reason::KeyOfOtherInstance);
    }
    simulation.runFor(model::seconds(1));
    CHECK(simulation.totalRuns() == 1);
}

TEST_CASE("An operation key from before a restart of its daemon is not run again by any daemon")
{
    FleetSimulation simulation(sixDaemonOptions());
    const std::string key = simulation.openOperation(0);
    simulation.submit(0, submissionWithKey(key));
    simulation.runFor(model::milliseconds(20));
    simulation.restart(0);
    simulation.runFor(model::seconds(5));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        const uint64_t resend = simulation.submit(daemon, submissionWithKey(key));
        simulation.runFor(model::milliseconds(100));
        CHECK(simulation.result(resend).answer->outcome == Outcome::Unknown);
    }
    CHECK(simulation.totalRuns() == 1);
}

TEST_CASE("A daemon that was paused until a key expired does not run its operation afterwards")
{
    SimulationOptions options = sixDaemonOptions();
    options.core.operations.keyLifetime = model::seconds(5);
    FleetSimulation simulation(options);
    const std::string key = simulation.openOperation(0);
    simulation.pause(0, model::seconds(10));
    const uint64_t delayed = simulation.submit(0, submissionWithKey(key));
    simulation.runFor(model::seconds(12));
    REQUIRE(simulation.result(delayed).answer);
    CHECK(simulation.result(delayed).answer->outcome == Outcome::NotRun);
    CHECK(simulation.result(delayed).answer->reason == Reason::KeyExpired);
    CHECK(simulation.totalRuns() == 0);
}

TEST_CASE("A key is refused for a different request and a forged key for any request")
{
    FleetSimulation simulation(sixDaemonOptions());
    const std::string key = simulation.openOperation(0);
    const uint64_t first = simulation.submit(0, submissionWithKey(key));
    simulation.runFor(model::seconds(1));
    Submission other = submissionWithKey(key);
    other.body = "order 8";
    const uint64_t second = simulation.submit(0, other);
    CHECK(simulation.result(first).isComplete());
    CHECK(simulation.result(second).answer->reason == Reason::KeyInvalid);
    std::string forged = key;
    forged.back() = forged.back() == '0' ? '1' : '0';
    const uint64_t third = simulation.submit(0, submissionWithKey(forged));
    CHECK(simulation.result(third).answer->outcome == Outcome::NotRun);
    CHECK(simulation.result(third).answer->reason == Reason::KeyInvalid);
    CHECK(simulation.totalRuns() == 1);
}

TEST_CASE("A full operation table issues no new keys and keeps the stored ones")
{
    SimulationOptions options = sixDaemonOptions();
    options.core.operations.maxKeys = 3;
    options.core.operations.keyLifetime = model::seconds(5);
    FleetSimulation simulation(options);
    const std::string first = simulation.openOperation(0);
    const uint64_t ran = simulation.submit(0, submissionWithKey(first));
    simulation.runFor(model::seconds(1));
    CHECK_FALSE(simulation.openOperation(0).empty());
    CHECK_FALSE(simulation.openOperation(0).empty());
    CHECK(simulation.openOperation(0).empty());
    const uint64_t again = simulation.submit(0, submissionWithKey(first));
    CHECK(simulation.result(ran).isComplete());
    CHECK(simulation.result(again).isComplete());
    CHECK(simulation.totalRuns() == 1);
    simulation.runFor(model::seconds(6));
    CHECK_FALSE(simulation.openOperation(0).empty());
}
