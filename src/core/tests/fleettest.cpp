#include <catch2/catch.hpp>

#include "support/experiments.h"
#include "support/world.h"

using namespace citronpick;
using namespace citronpick::testing;
using model::Outcome;
using model::Reason;

namespace
{

constexpr size_t daemonCount = 6;

WorldOptions sixDaemons(uint64_t seed = 1)
{
    WorldOptions options;
    options.seed = seed;
    options.daemons = daemonCount;
    options.pipelines = onePoolFile(10, 16);
    return options;
}

Submission call()
{
    return {.route = "call", .label = "all"};
}

Submission once(const std::string &key)
{
    Submission submission {.route = "once", .label = "once", .body = "order 7"};
    submission.operationKey = key;
    return submission;
}

std::string memberState(World &world, size_t at, size_t of)
{
    const auto *row
        = world.core(at).fleet().members().find(model::DaemonId("d" + std::to_string(of)));
    return row ? std::string(fleet::toString(row->member.state)) : "unknown";
}

bool isInForceEverywhere(World &world, uint64_t revision)
{
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        if (world.core(daemon).revisions().revision() != model::Revision(revision)) {
            return false;
        }
    }
    return true;
}

//! Another valid file: the same pool with another number of slots.
std::string otherFile(uint32_t slots)
{
    return onePoolFile(10, slots);
}

} // namespace

TEST_CASE("Daemons find each other and miss one that is killed")
{
    World world(sixDaemons());
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

TEST_CASE("Lost, repeated and late messages between daemons make nobody look dead")
{
    WorldOptions options = sixDaemons(3);
    options.peerLoss = 0.1;
    options.peerDuplicates = 0.2;
    World world(options);
    world.runFor(model::seconds(120));
    CHECK(world.countEvents(observability::EventCode::MemberDead) == 0);
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(world.core(daemon).fleet().members().usableCount() == daemonCount);
    }
}

TEST_CASE("A paused daemon is missed, wakes up, and takes part again")
{
    World world(sixDaemons());
    world.pause(2, model::seconds(30));
    world.runFor(model::seconds(20));
    CHECK(memberState(world, 0, 2) == "dead");
    world.runFor(model::seconds(25));
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        CHECK(memberState(world, daemon, 2) == "alive");
    }
}

TEST_CASE("A leaving daemon is named to callers no more within a second and stays leaving")
{
    World world(sixDaemons());
    world.drain(4);
    world.runFor(model::seconds(1));
    for (size_t daemon : {0, 1, 2, 3, 5}) {
        CHECK(memberState(world, daemon, 4) == "leaving");
        for (const entry::EntryAddress &entry : world.core(daemon).entries({})) {
            CHECK(entry.daemon != model::DaemonId("d4"));
        }
    }
}

TEST_CASE("Parts of a partition go on by themselves and find each other again")
{
    World world(sixDaemons());
    world.partition({{0, 1, 2}, {3, 4, 5}});
    world.load(60, model::seconds(30), [](model::Random &) { return call(); });
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

TEST_CASE("An account's limit holds over all daemons and follows its demand")
{
    World world(sixDaemons());
    const auto fromBig = [](model::Random &) {
        Submission submission = call();
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
    // Its limit is 50 a second; all daemons are offered 500 together.
    world.load(500, model::seconds(40), fromBig);
    world.runFor(model::seconds(10));
    const model::TimePoint steady = world.now();
    world.runFor(model::seconds(25));
    CHECK(admittedPerSecond(steady, model::seconds(20)) <= 55.0);
    CHECK(admittedPerSecond(steady, model::seconds(20)) >= 45.0);
    world.runFor(model::seconds(30));
    // Now all of it comes to one daemon.
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

TEST_CASE("An upstream's return is one ramp for all daemons")
{
    World world(sixDaemons());
    world.load(1200, model::seconds(60), [](model::Random &) { return call(); });
    world.runFor(model::seconds(5));
    world.upstream("u1").setBehaviour({.failShare = 1.0});
    world.runFor(model::seconds(10));
    const uint64_t before = world.upstream("u1").totalRuns();
    world.runFor(model::seconds(20));
    // A trial of the whole fleet may cost one request; hold-downs of 8 s and more allow three.
    CHECK(world.upstream("u1").totalRuns() - before <= 4);
    world.upstream("u1").setBehaviour({});
    const model::TimePoint healedAt = world.now();
    uint32_t most = 0;
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
            most = std::max(most, inFlight);
        }
        isBackEverywhere = active == daemonCount;
    }
    CHECK(isBackEverywhere);
    // The last step is three quarters of 16 slots.
    CHECK(most <= 12);
    world.runFor(model::seconds(60));
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("One daemon's broken path to an upstream takes it from nobody else")
{
    World world(sixDaemons());
    world.load(600, model::seconds(20), [](model::Random &) { return call(); });
    world.cutPath(0, "u1", true);
    world.runFor(model::seconds(15));
    CHECK(health::isOutOfService(world.stateOf(0, "u1")));
    for (size_t daemon = 1; daemon < daemonCount; ++daemon) {
        CHECK(world.stateOf(daemon, "u1") == health::HealthState::Active);
    }
    world.cutPath(0, "u1", false);
    world.load(600, model::seconds(40), [](model::Random &) { return call(); });
    world.runFor(model::seconds(50));
    CHECK(world.stateOf(0, "u1") == health::HealthState::Active);
    for (const Result *result : world.labelled("all")) {
        CHECK(result->isComplete());
    }
}

TEST_CASE("A request that crashes upstreams is known to all daemons")
{
    World world(sixDaemons());
    world.load(300, model::seconds(30), [](model::Random &) { return call(); });
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

TEST_CASE("A leaving upstream gets no new work, and what it has ends")
{
    World world(sixDaemons());
    world.load(600, model::seconds(20), [](model::Random &) { return call(); });
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

TEST_CASE("Callers are sent to their zone, in an order that keeps an account together")
{
    World world(sixDaemons());
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

TEST_CASE("Callers that keep an answer for its lifetime lose nothing to planned stops")
{
    WorldOptions options = sixDaemons();
    World world(options);
    // Each caller asks every 3 s, the lifetime, and sends to the first address in between.
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
                    world.submit(*target, call());
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
