#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("Daemons discover each other and detect one that is killed")
{
    FleetSimulation simulation(sixDaemonOptions());
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(simulation.core(daemon).fleet().members().usableCount() == daemonCount);
        CHECK(simulation.core(daemon).isReady(simulation.now()));
    }
    simulation.kill(3);
    simulation.runFor(model::seconds(15));
    for (size_t daemon : {0, 1, 2, 4, 5}) {
        CHECK(memberState(simulation, daemon, 3) == "dead");
        for (const entry::EntryAddress &entry : simulation.core(daemon).entries({})) {
            CHECK(entry.daemon != model::DaemonId("d3"));
        }
    }
    simulation.restart(3);
    simulation.runFor(model::seconds(5));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(memberState(simulation, daemon, 3) == "alive");
    }
}

TEST_CASE("Lost, duplicated and late messages between daemons mark no daemon as dead")
{
    SimulationOptions options = sixDaemonOptions(3);
    options.peerLoss = 0.1;
    options.peerDuplicates = 0.2;
    FleetSimulation simulation(options);
    simulation.runFor(model::seconds(120));
    CHECK(simulation.countEvents(observability::EventCode::MemberDead) == 0);
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(simulation.core(daemon).fleet().members().usableCount() == daemonCount);
    }
}

TEST_CASE("A paused daemon is marked as dead and rejoins when it resumes")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.pause(2, model::seconds(30));
    simulation.runFor(model::seconds(20));
    CHECK(memberState(simulation, 0, 2) == "dead");
    simulation.runFor(model::seconds(25));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(memberState(simulation, daemon, 2) == "alive");
    }
}

TEST_CASE("A leaving daemon is removed from entry answers within a second and stays leaving")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.drain(4);
    simulation.runFor(model::seconds(1));
    for (size_t daemon : {0, 1, 2, 3, 5}) {
        CHECK(memberState(simulation, daemon, 4) == "leaving");
        for (const entry::EntryAddress &entry : simulation.core(daemon).entries({})) {
            CHECK(entry.daemon != model::DaemonId("d4"));
        }
    }
}

TEST_CASE("The sides of a partition continue to serve and rejoin afterwards")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.partition({{0, 1, 2}, {3, 4, 5}});
    simulation.load(60, model::seconds(30), [](model::Random &) { return plainSubmission(); });
    simulation.runFor(model::seconds(20));
    CHECK(memberState(simulation, 0, 4) == "dead");
    CHECK(memberState(simulation, 4, 0) == "dead");
    CHECK(memberState(simulation, 0, 1) == "alive");
    simulation.partition({});
    simulation.runFor(model::seconds(40));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(simulation.core(daemon).fleet().members().usableCount() == daemonCount);
    }
    for (const Result *result : simulation.resultsWithLabel("all")) {
        CHECK(result->isComplete());
    }
    simulation.checkPromises();
}

TEST_CASE("An account limit applies to all daemons together and follows the demand")
{
    FleetSimulation simulation(sixDaemonOptions());
    const auto fromBig = [](model::Random &) {
        Submission submission = plainSubmission();
        submission.account = "big";
        return submission;
    };
    const auto admittedPerSecond = [&](model::TimePoint from, model::Duration time) {
        double admitted = 0;
        for (const Result *result : simulation.resultsWithLabel("all")) {
            const bool isCounted = result->submittedAt >= from && result->submittedAt < from + time;
            admitted += isCounted && result->isComplete() ? 1 : 0;
        }
        return admitted / model::toSeconds(time);
    };
    // The limit is 50 requests per second; 500 are offered to all daemons together.
    simulation.load(500, model::seconds(40), fromBig);
    simulation.runFor(model::seconds(10));
    const model::TimePoint steady = simulation.now();
    simulation.runFor(model::seconds(25));
    CHECK(admittedPerSecond(steady, model::seconds(20)) <= 55.0);
    CHECK(admittedPerSecond(steady, model::seconds(20)) >= 45.0);
    simulation.runFor(model::seconds(30));
    // From here on one daemon receives all requests.
    const model::TimePoint moved = simulation.now();
    for (int i = 0; i < 30 * 200; ++i) {
        simulation.schedule(model::milliseconds(5) * i, [&simulation, fromBig] {
            model::Random unused(1);
            simulation.submit(2, fromBig(unused));
        });
    }
    simulation.runFor(model::seconds(40));
    CHECK(admittedPerSecond(moved + model::seconds(5), model::seconds(20)) >= 45.0);
    CHECK(admittedPerSecond(moved + model::seconds(5), model::seconds(20)) <= 55.0);
}

TEST_CASE("An upstream returns to service with one ramp for all daemons")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.load(1200, model::seconds(60), [](model::Random &) { return plainSubmission(); });
    simulation.runFor(model::seconds(5));
    simulation.upstream("u1").setBehaviour({.failShare = 1.0});
    simulation.runFor(model::seconds(10));
    const uint64_t before = simulation.upstream("u1").totalRuns();
    simulation.runFor(model::seconds(20));
    // Each trial of the whole fleet may cost one request; hold-down periods of at least 8 s allow
    // three trials.
    CHECK(simulation.upstream("u1").totalRuns() - before <= 4);
    simulation.upstream("u1").setBehaviour({});
    const model::TimePoint healedAt = simulation.now();
    uint32_t maxInFlight = 0;
    bool isBackEverywhere = false;
    while (!isBackEverywhere && simulation.now() < healedAt + model::seconds(60)) {
        simulation.runFor(model::milliseconds(20));
        uint32_t inFlight = 0;
        size_t ramping = 0;
        size_t active = 0;
        for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
            const auto row = *simulation.core(daemon).upstreams().find(model::UpstreamId("u1"));
            inFlight += simulation.core(daemon).upstreams().at(row).inFlight;
            const health::HealthState state = simulation.stateOf(daemon, "u1");
            ramping += health::isOutOfService(state) ? 1 : 0;
            active += state == health::HealthState::Active ? 1 : 0;
        }
        if (ramping == daemonCount) {
            maxInFlight = std::max(maxInFlight, inFlight);
        }
        isBackEverywhere = active == daemonCount;
    }
    CHECK(isBackEverywhere);
    // The last step of the ramp allows three quarters of 16 slots.
    CHECK(maxInFlight <= 12);
    simulation.runFor(model::seconds(60));
    for (const Result *result : simulation.resultsWithLabel("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("A broken path from one daemon to an upstream does not eject it at other daemons")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.load(600, model::seconds(20), [](model::Random &) { return plainSubmission(); });
    simulation.cutPath(0, "u1", true);
    simulation.runFor(model::seconds(15));
    CHECK(health::isOutOfService(simulation.stateOf(0, "u1")));
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(simulation.stateOf(daemon, "u1") == health::HealthState::Active);
    }
    simulation.cutPath(0, "u1", false);
    simulation.load(600, model::seconds(40), [](model::Random &) { return plainSubmission(); });
    simulation.runFor(model::seconds(50));
    CHECK(simulation.stateOf(0, "u1") == health::HealthState::Active);
    for (const Result *result : simulation.resultsWithLabel("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("A request that crashes upstreams is quarantined by all daemons")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.load(300, model::seconds(30), [](model::Random &) { return plainSubmission(); });
    for (auto &[name, upstream] : simulation.upstreams()) {
        upstream->setBehaviour({.crashWord = "poison"});
    }
    for (size_t resend = 0; resend < 12; ++resend) {
        Submission poison {.route = "call", .label = "poison", .body = "poison"};
        simulation.submit(resend % daemonCount, poison);
        simulation.runFor(model::milliseconds(1500));
    }
    uint32_t crashes = 0;
    for (auto &[name, upstream] : simulation.upstreams()) {
        crashes += upstream->crashes();
    }
    CHECK(crashes <= 3);
    simulation.runFor(model::seconds(20));
    for (const Result *result : simulation.resultsWithLabel("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("A leaving upstream receives no new requests and completes those in flight")
{
    FleetSimulation simulation(sixDaemonOptions());
    simulation.load(600, model::seconds(20), [](model::Random &) { return plainSubmission(); });
    simulation.runFor(model::seconds(5));
    simulation.setLeaving("u2");
    simulation.upstream("u3").behaviour().isLeaving = true;
    simulation.runFor(model::seconds(3));
    const uint64_t u2 = simulation.upstream("u2").totalRuns();
    const uint64_t u3 = simulation.upstream("u3").totalRuns();
    simulation.runFor(model::seconds(20));
    CHECK(simulation.upstream("u2").totalRuns() == u2);
    CHECK(simulation.upstream("u3").totalRuns() == u3);
    for (const Result *result : simulation.resultsWithLabel("all")) {
        CHECK(result->isComplete());
    }
    simulation.checkPromises();
}

TEST_CASE("Callers are sent to their own zone, and all daemons give an account the same order")
{
    FleetSimulation simulation(sixDaemonOptions());
    const auto inZone = simulation.core(0).entries({.zone = model::ZoneId("b")});
    REQUIRE(inZone.size() == daemonCount);
    CHECK(inZone[0].zone == model::ZoneId("b"));
    CHECK(inZone[1].zone == model::ZoneId("b"));
    CHECK(inZone[2].zone != model::ZoneId("b"));
    const entry::EntryQuery query {.zone = model::ZoneId("a"), .account = model::AccountId("acme")};
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(simulation.core(daemon).entries(query) == simulation.core(0).entries(query));
    }
}

TEST_CASE("Callers that cache an entry answer for its lifetime lose no request to planned stops")
{
    SimulationOptions options = sixDaemonOptions();
    FleetSimulation simulation(options);
    // Each caller asks for entries every 3 s, their lifetime, and sends to the first address until
    // then.
    for (int caller = 0; caller < 30; ++caller) {
        auto target = std::make_shared<size_t>(0);
        for (int turn = 0; turn < 400; ++turn) {
            simulation.schedule(
                model::milliseconds(100 * turn + caller), [&simulation, target, turn, caller] {
                    if (turn % 30 == 0) {
                        size_t asked = static_cast<size_t>(caller) % daemonCount;
                        while (!simulation.isAlive(asked) || simulation.isDrained(asked)) {
                            asked = (asked + 1) % daemonCount;
                        }
                        const auto entries = simulation.core(asked).entries(
                            {.zone = model::ZoneId("a"),
                             .account = model::AccountId(std::to_string(caller))});
                        *target = static_cast<size_t>(entries.front().daemon.text()[1] - '0');
                    }
                    simulation.submit(*target, plainSubmission());
                });
        }
    }
    simulation.runFor(model::seconds(8));
    for (size_t daemon : {0, 2, 3}) {
        simulation.drain(daemon);
    }
    simulation.runFor(model::seconds(40));
    for (size_t daemon : {0, 2, 3}) {
        CHECK(simulation.isDrained(daemon));
    }
    for (const Result *result : simulation.resultsWithLabel("all")) {
        CHECK(result->isComplete());
    }
    simulation.checkPromises();
}

TEST_CASE(
    "Load pattern: over a hundred daemons that start at once discover each other within 11 s and "
    "share a crash report within 2 s")
{
    constexpr size_t many = 120;
    SimulationOptions options;
    options.daemons = many;
    options.zones = {"a", "b", "c", "d", "e", "f", "g"};
    options.pipelines = onePoolConfiguration(10, 16);
    FleetSimulation simulation(options);
    simulation.runFor(model::seconds(11));
    for (size_t daemon = 0; daemon < many; ++daemon) {
        CHECK(simulation.core(daemon).fleet().members().usableCount() == many);
    }
    for (auto &[name, upstream] : simulation.upstreams()) {
        upstream->setBehaviour({.crashWord = "poison"});
    }
    simulation.submit(0, {.route = "call", .label = "poison", .body = "poison"});
    simulation.runFor(model::seconds(2));
    for (size_t daemon = 0; daemon < many; ++daemon) {
        size_t crashes = 0;
        for (const auto &[key, row] : simulation.core(daemon).fleet().facts().rows()) {
            crashes += std::holds_alternative<fleet::CrashFact>(row.fact.body) ? 1 : 0;
        }
        CHECK(crashes >= 1);
    }
}
