#include <catch2/catch.hpp>

#include "registry/tests/registryfleet.h"

using namespace citronpick;
using namespace citronpick::registry;
using citronpick::registry::testing::RegistryFleet;
using citronpick::registry::testing::RegistryFleetOptions;
using model::milliseconds;

namespace
{

//! A deployment and the platform's bounds for it.
struct Deployment {
    size_t daemons = 6;
    size_t zones = 4;
    model::Duration contactTime = model::seconds(3); //!< After an impairment no bound holds.
    model::Duration applyTime = model::seconds(2); //!< From an acknowledgement on.
};

const Deployment smallDeployment;
const Deployment sharedDeployment {.daemons = 70,
                                   .zones = 5,
                                   .contactTime = model::seconds(4),
                                   .applyTime = model::seconds(3)};
const Deployment largeDeployment {.daemons = 295,
                                  .zones = 5,
                                  .contactTime = model::seconds(5),
                                  .applyTime = model::seconds(4)};

//! A fleet that has followed the registry for some time and has just heard a change, so that the
//! watches of all daemons start at the same moment.
RegistryFleet settledFleet(const Deployment &deployment)
{
    RegistryFleetOptions options {
        .daemons = deployment.daemons, .zones = deployment.zones, .keys = 30};
    options.follower.maxSilence = deployment.contactTime;
    RegistryFleet fleet(options);
    fleet.run(model::seconds(14));
    fleet.put("config", "first");
    fleet.run(milliseconds(600));
    REQUIRE(fleet.allHave("config", "first"));
    return fleet;
}

//! How much later than the platform's bound a change is in force everywhere that is acknowledged
//! \a delay after an impairment ended. Zero if it is in time.
model::Duration lateness(RegistryFleet &fleet, const Deployment &deployment, model::Duration delay)
{
    fleet.run(delay);
    fleet.put("config", "second");
    const model::Duration taken
        = fleet.runUntil([&] { return fleet.allHave("config", "second"); }, model::seconds(20));
    return std::max(model::Duration::zero(),
                    taken - std::max(deployment.applyTime, deployment.contactTime - delay));
}

} // namespace

// Guards against a revoked key that is honoured because the only outstanding call to the registry
// was lost before the registry returned.
TEST_CASE("Changes after a silence of the registry are in force in time, however long it lasted")
{
    for (model::Duration silence = milliseconds(100); silence <= milliseconds(8500);
         silence += milliseconds(100)) {
        for (const int delayMs : {0, 500, 1000, 2500}) {
            CAPTURE(silence.count(), delayMs);
            RegistryFleet fleet = settledFleet(smallDeployment);
            fleet.setRegistrySilent(true);
            fleet.run(silence);
            fleet.setRegistrySilent(false);
            CHECK(lateness(fleet, smallDeployment, milliseconds(delayMs)).count() == 0);
        }
    }
}

// Guards against a watch that is never answered and ends only by a timeout longer than the time
// in which a change has to be in force.
TEST_CASE("A watch whose connection went silent is replaced before the next change is due")
{
    for (model::Duration age = model::Duration::zero(); age <= milliseconds(3600);
         age += milliseconds(100)) {
        CAPTURE(age.count());
        RegistryFleet fleet = settledFleet(smallDeployment);
        fleet.run(age);
        fleet.loseConnections();
        CHECK(lateness(fleet, smallDeployment, model::Duration::zero()).count() == 0);
    }
}

// Guards against daemons with readers that fall back to the registry in a silence and then wait for
// an answer that was lost.
TEST_CASE("Load pattern: changes after a silence reach daemons that share readers in time")
{
    for (const Deployment &deployment : {sharedDeployment, largeDeployment}) {
        const int stepMs = deployment.daemons > 100 ? 1900 : 500;
        for (int silenceMs = 300; silenceMs <= 9000; silenceMs += stepMs) {
            CAPTURE(deployment.daemons, silenceMs);
            RegistryFleet fleet = settledFleet(deployment);
            fleet.setRegistrySilent(true);
            fleet.run(milliseconds(silenceMs));
            fleet.setRegistrySilent(false);
            CHECK(lateness(fleet, deployment, model::Duration::zero()).count() == 0);
        }
    }
}

// Guards against daemons that find neither the registry nor a reader in the moment in which both
// change.
TEST_CASE("Load pattern: readers are lost in the moment in which a silent registry returns")
{
    for (const int silenceMs : {1000, 2500, 4500, 6000}) {
        CAPTURE(silenceMs);
        RegistryFleet fleet = settledFleet(sharedDeployment);
        const std::vector<size_t> readers = fleet.readers();
        fleet.setRegistrySilent(true);
        fleet.run(milliseconds(silenceMs));
        fleet.setRegistrySilent(false);
        for (const size_t reader : readers) {
            fleet.kill(reader);
        }
        CHECK(lateness(fleet, sharedDeployment, model::Duration::zero()).count() == 0);
    }
}

// Guards against a daemon that reaches no reader and asks a registry that has returned too late,
// after its longest backoff and one more lost call.
TEST_CASE("Changes after a silence are in force in time at daemons that reach no reader")
{
    for (int silenceMs = 3000; silenceMs <= 15000; silenceMs += 200) {
        CAPTURE(silenceMs);
        RegistryFleet fleet = settledFleet(sharedDeployment);
        for (const size_t reader : fleet.readers()) {
            for (size_t daemon = 0; daemon < fleet.size(); daemon += 3) {
                if (daemon != reader) {
                    fleet.cutBetween(daemon, reader);
                }
            }
        }
        fleet.setRegistrySilent(true);
        fleet.run(milliseconds(silenceMs));
        fleet.setRegistrySilent(false);
        CHECK(lateness(fleet, sharedDeployment, model::Duration::zero()).count() == 0);
    }
}

// Guards against a silence that only some of the daemons meet.
TEST_CASE("Changes are in force in time at daemons for which alone the registry was silent")
{
    for (const Deployment &deployment : {smallDeployment, sharedDeployment}) {
        for (int silenceMs = 200; silenceMs <= 9000; silenceMs += 400) {
            CAPTURE(deployment.daemons, silenceMs);
            RegistryFleet fleet = settledFleet(deployment);
            for (size_t daemon = 0; daemon < fleet.size(); daemon += 3) {
                fleet.setSilentFor(daemon, true);
            }
            fleet.run(milliseconds(silenceMs));
            for (size_t daemon = 0; daemon < fleet.size(); daemon += 3) {
                fleet.setSilentFor(daemon, false);
            }
            CHECK(lateness(fleet, deployment, model::Duration::zero()).count() == 0);
        }
    }
}

// Guards against a registry that refuses calls because all daemons return to it at once.
TEST_CASE("Load pattern: 295 daemons stay within the registry's read rate when it returns")
{
    constexpr uint64_t readsPerSecond = 2000;
    RegistryFleet fleet = settledFleet(largeDeployment);
    fleet.setRegistrySilent(true);
    fleet.run(milliseconds(6300));
    // Without the calls of the start.
    fleet.takePeakRate();
    fleet.setRegistrySilent(false);
    fleet.run(model::seconds(10));
    const uint64_t peak = fleet.takePeakRate();
    CAPTURE(peak);
    CHECK(peak > 0);
    CHECK(peak <= readsPerSecond);
}

// Guards against a large answer over a narrow link that is abandoned while it arrives.
TEST_CASE("A call whose answer has begun is not abandoned while more of it arrives")
{
    RegistryFollower follower({.readTimeout = milliseconds(900)}, 1);
    model::TimePoint now {model::seconds(10)};
    REQUIRE(follower.takeCall(now));
    CHECK(follower.callDeadline() == now + milliseconds(900));
    for (int part = 0; part < 5; ++part) {
        now += milliseconds(800);
        follower.onProgress(now);
        CHECK(follower.callDeadline() == now + milliseconds(900));
    }
    CHECK(follower.nextRun() == follower.callDeadline());
    follower.onPage({.revision = 5}, now);
    CHECK_FALSE(follower.callDeadline());
}

// Guards against a registry that is asked for less often than it could answer, or more often than
// once beyond the usual, because one of its answers was lost.
TEST_CASE("A lost watch is followed by one call that the registry answers immediately")
{
    RegistryFollower follower({.maxSilence = model::seconds(3)}, 1);
    model::TimePoint now {model::seconds(10)};
    REQUIRE(follower.takeCall(now));
    follower.onPage({.revision = 5}, now);
    const auto watch = follower.takeCall(now);
    REQUIRE(watch);
    const model::Duration usual = std::get<WatchChanges>(*watch).timeout;
    now = *follower.callDeadline();
    follower.onError(CallError::TimedOut, now);
    const auto probe = follower.takeCall(now);
    REQUIRE(probe);
    CHECK(std::get<WatchChanges>(*probe).timeout <= milliseconds(1));
    follower.onChanges({.revision = 5}, now);
    const auto next = follower.takeCall(now);
    REQUIRE(next);
    CHECK(std::get<WatchChanges>(*next).timeout == usual);
}

// Guards against a slow registry that is taken for a lost one.
TEST_CASE("A registry whose answers are late by half a second stays reachable")
{
    RegistryFollower follower({.maxSilence = model::seconds(3)}, 1);
    model::TimePoint now {model::seconds(10)};
    REQUIRE(follower.takeCall(now));
    follower.onPage({.revision = 5}, now);
    follower.takeUpdates(now);
    for (int watch = 0; watch < 5; ++watch) {
        REQUIRE(follower.takeCall(now));
        now = *follower.callDeadline();
        follower.onError(CallError::TimedOut, now);
        REQUIRE(follower.takeCall(now));
        now += milliseconds(500);
        REQUIRE(now < follower.callDeadline());
        follower.onChanges({.revision = 5}, now);
        CHECK(follower.takeUpdates(now).empty());
        CHECK(follower.isReachable());
    }
}
