#include <catch2/catch.hpp>

#include "sixdaemons.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

TEST_CASE("Daemons discover each other and detect one that is killed")
{
    World world(sixDaemonOptions());
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(world.core(daemon).fleet().members().usableCount() == daemonCount);
        CHECK(world.core(daemon).isReady(world.now()));
    }
    world.kill(3);
    world.runFor(model::seconds(15));
    for (size_t daemon : {0, 1, 2, 4, 5}) {
        CHECK(memberState(world, daemon, 3) == "dead");
        for (const entry::EntryAddress &entry : world.core(daemon).entries({})) {
            CHECK(entry.daemon != model::DaemonId("d3"));
        }
    }
    world.restart(3);
    world.runFor(model::seconds(5));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(memberState(world, daemon, 3) == "alive");
    }
}

TEST_CASE("Lost, duplicated and late messages between daemons mark no daemon as dead")
{
    WorldOptions options = sixDaemonOptions(3);
    options.peerLoss = 0.1;
    options.peerDuplicates = 0.2;
    World world(options);
    world.runFor(model::seconds(120));
    CHECK(world.countEvents(observability::EventCode::MemberDead) == 0);
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(world.core(daemon).fleet().members().usableCount() == daemonCount);
    }
}

TEST_CASE("A paused daemon is marked as dead and rejoins when it resumes")
{
    World world(sixDaemonOptions());
    world.pause(2, model::seconds(30));
    world.runFor(model::seconds(20));
    CHECK(memberState(world, 0, 2) == "dead");
    world.runFor(model::seconds(25));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(memberState(world, daemon, 2) == "alive");
    }
}

TEST_CASE("A leaving daemon is removed from entry answers within a second and stays leaving")
{
    World world(sixDaemonOptions());
    world.drain(4);
    world.runFor(model::seconds(1));
    for (size_t daemon : {0, 1, 2, 3, 5}) {
        CHECK(memberState(world, daemon, 4) == "leaving");
        for (const entry::EntryAddress &entry : world.core(daemon).entries({})) {
            CHECK(entry.daemon != model::DaemonId("d4"));
        }
    }
}

TEST_CASE("The sides of a partition continue to serve and rejoin afterwards")
{
    World world(sixDaemonOptions());
    world.partition({{0, 1, 2}, {3, 4, 5}});
    world.load(60, model::seconds(30), [](model::Random &) { return plainSubmission(); });
    world.runFor(model::seconds(20));
    CHECK(memberState(world, 0, 4) == "dead");
    CHECK(memberState(world, 4, 0) == "dead");
    CHECK(memberState(world, 0, 1) == "alive");
    world.partition({});
    world.runFor(model::seconds(40));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(world.core(daemon).fleet().members().usableCount() == daemonCount);
    }
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
    world.checkPromises();
}

TEST_CASE("An account limit applies to all daemons together and follows the demand")
{
    World world(sixDaemonOptions());
    const auto fromBig = [](model::Random &) {
        Submission submission = plainSubmission();
        submission.account = "big";
        return submission;
    };
    const auto admittedPerSecond = [&](model::TimePoint from, model::Duration time) {
        double admitted = 0;
        for (const Result *result : world.labelled("all")) {
            const bool isCounted = result->submittedAt >= from && result->submittedAt < from + time;
            admitted += isCounted && result->isComplete() ? 1 : 0;
        }
        return admitted / model::toSeconds(time);
    };
    // The limit is 50 requests per second; 500 are offered to all daemons together.
    world.load(500, model::seconds(40), fromBig);
    world.runFor(model::seconds(10));
    const model::TimePoint steady = world.now();
    world.runFor(model::seconds(25));
    CHECK(admittedPerSecond(steady, model::seconds(20)) <= 55.0);
    CHECK(admittedPerSecond(steady, model::seconds(20)) >= 45.0);
    world.runFor(model::seconds(30));
    // From here on one daemon receives all requests.
    const model::TimePoint moved = world.now();
    for (int i = 0; i < 30 * 200; ++i) {
        world.schedule(model::milliseconds(5) * i, [&world, fromBig] {
            model::Random unused(1);
            world.submit(2, fromBig(unused));
        });
    }
    world.runFor(model::seconds(40));
    CHECK(admittedPerSecond(moved + model::seconds(5), model::seconds(20)) >= 45.0);
    CHECK(admittedPerSecond(moved + model::seconds(5), model::seconds(20)) <= 55.0);
}

TEST_CASE("An upstream returns to service with one ramp for all daemons")
{
    World world(sixDaemonOptions());
    world.load(1200, model::seconds(60), [](model::Random &) { return plainSubmission(); });
    world.runFor(model::seconds(5));
    world.upstream("u1").setBehaviour({.failShare = 1.0});
    world.runFor(model::seconds(10));
    const uint64_t before = world.upstream("u1").totalRuns();
    world.runFor(model::seconds(20));
    // Each trial of the whole fleet may cost one request; hold-down periods of at least 8 s allow
    // three trials.
    CHECK(world.upstream("u1").totalRuns() - before <= 4);
    world.upstream("u1").setBehaviour({});
    const model::TimePoint healedAt = world.now();
    uint32_t maxInFlight = 0;
    bool isBackEverywhere = false;
    while (!isBackEverywhere && world.now() < healedAt + model::seconds(60)) {
        world.runFor(model::milliseconds(20));
        uint32_t inFlight = 0;
        size_t ramping = 0;
        size_t active = 0;
        for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
            const auto row = *world.core(daemon).upstreams().find(model::UpstreamId("u1"));
            inFlight += world.core(daemon).upstreams().at(row).inFlight;
            const health::HealthState state = world.stateOf(daemon, "u1");
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
    world.runFor(model::seconds(60));
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("A broken path from one daemon to an upstream does not eject it at other daemons")
{
    World world(sixDaemonOptions());
    world.load(600, model::seconds(20), [](model::Random &) { return plainSubmission(); });
    world.cutPath(0, "u1", true);
    world.runFor(model::seconds(15));
    CHECK(health::isOutOfService(world.stateOf(0, "u1")));
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(world.stateOf(daemon, "u1") == health::HealthState::Active);
    }
    world.cutPath(0, "u1", false);
    world.load(600, model::seconds(40), [](model::Random &) { return plainSubmission(); });
    world.runFor(model::seconds(50));
    CHECK(world.stateOf(0, "u1") == health::HealthState::Active);
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("A request that crashes upstreams is quarantined by all daemons")
{
    World world(sixDaemonOptions());
    world.load(300, model::seconds(30), [](model::Random &) { return plainSubmission(); });
    for (auto &[name, upstream] : world.upstreams()) {
        upstream->setBehaviour({.crashWord = "poison"});
    }
    for (size_t resend = 0; resend < 12; ++resend) {
        Submission poison {.route = "call", .label = "poison", .body = "poison"};
        world.submit(resend % daemonCount, poison);
        world.runFor(model::milliseconds(1500));
    }
    uint32_t crashes = 0;
    for (auto &[name, upstream] : world.upstreams()) {
        crashes += upstream->crashes();
    }
    CHECK(crashes <= 3);
    world.runFor(model::seconds(20));
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("A leaving upstream receives no new requests and completes those in flight")
{
    World world(sixDaemonOptions());
    world.load(600, model::seconds(20), [](model::Random &) { return plainSubmission(); });
    world.runFor(model::seconds(5));
    world.listLeaving("u2");
    world.upstream("u3").behaviour().isLeaving = true;
    world.runFor(model::seconds(3));
    const uint64_t u2 = world.upstream("u2").totalRuns();
    const uint64_t u3 = world.upstream("u3").totalRuns();
    world.runFor(model::seconds(20));
    CHECK(world.upstream("u2").totalRuns() == u2);
    CHECK(world.upstream("u3").totalRuns() == u3);
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
    world.checkPromises();
}

TEST_CASE("Callers are sent to their own zone, and all daemons give an account the same order")
{
    World world(sixDaemonOptions());
    const auto inZone = world.core(0).entries({.zone = model::ZoneId("b")});
    REQUIRE(inZone.size() == daemonCount);
    CHECK(inZone[0].zone == model::ZoneId("b"));
    CHECK(inZone[1].zone == model::ZoneId("b"));
    CHECK(inZone[2].zone != model::ZoneId("b"));
    const entry::EntryQuery query {.zone = model::ZoneId("a"), .account = model::AccountId("acme")};
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(world.core(daemon).entries(query) == world.core(0).entries(query));
    }
}

TEST_CASE("Callers that cache an entry answer for its lifetime lose no request to planned stops")
{
    WorldOptions options = sixDaemonOptions();
    World world(options);
    // Each caller asks for entries every 3 s, their lifetime, and sends to the first address until
    // then.
    for (int caller = 0; caller < 30; ++caller) {
        auto target = std::make_shared<size_t>(0);
        for (int turn = 0; turn < 400; ++turn) {
            world.schedule(
                model::milliseconds(100 * turn + caller), [&world, target, turn, caller] {
                    if (turn % 30 == 0) {
                        size_t asked = static_cast<size_t>(caller) % daemonCount;
                        while (!world.isAlive(asked) || world.isDrained(asked)) {
                            asked = (asked + 1) % daemonCount;
                        }
                        const auto entries = world.core(asked).entries(
                            {.zone = model::ZoneId("a"),
                             .account = model::AccountId(std::to_string(caller))});
                        *target = static_cast<size_t>(entries.front().daemon.text()[1] - '0');
                    }
                    world.submit(*target, plainSubmission());
                });
        }
    }
    world.runFor(model::seconds(8));
    for (size_t daemon : {0, 2, 3}) {
        world.drain(daemon);
    }
    world.runFor(model::seconds(40));
    for (size_t daemon : {0, 2, 3}) {
        CHECK(world.isDrained(daemon));
    }
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
    world.checkPromises();
}

TEST_CASE(
    "Load pattern: over a hundred daemons that start at once discover each other within 11 s and "
    "share a strike within 2 s")
{
    constexpr size_t many = 120;
    WorldOptions options;
    options.daemons = many;
    options.zones = {"a", "b", "c", "d", "e", "f", "g"};
    options.pipelines = onePoolFile(10, 16);
    World world(options);
    world.runFor(model::seconds(11));
    for (size_t daemon = 0; daemon < many; ++daemon) {
        CHECK(world.core(daemon).fleet().members().usableCount() == many);
    }
    for (auto &[name, upstream] : world.upstreams()) {
        upstream->setBehaviour({.crashWord = "poison"});
    }
    world.submit(0, {.route = "call", .label = "poison", .body = "poison"});
    world.runFor(model::seconds(2));
    for (size_t daemon = 0; daemon < many; ++daemon) {
        size_t strikes = 0;
        for (const auto &[key, row] : world.core(daemon).fleet().facts().rows()) {
            strikes += std::holds_alternative<fleet::StrikeFact>(row.fact.body) ? 1 : 0;
        }
        CHECK(strikes >= 1);
    }
}
