#include <catch2/catch.hpp>

#include <algorithm>

#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

//! A daemon that is alone and settled, before pools that tolerate this many requests a second from
//! each cold upstream.
struct ColdFixture : RelayFixture {
    explicit ColdFixture(double requestsPerSecond = 4.0)
        : RelayFixture(0)
    {
        setRate(1, requestsPerSecond);
        system.setPeers({{.id = model::DaemonId("d1"), .address = {}}}, now);
        advanceTime(model::seconds(3));
    }

    void setRate(uint64_t revision, double requestsPerSecond)
    {
        ConfigurationContent content = configuration(revision)->content();
        for (PoolRule &pool : content.pools) {
            pool.coldStart = ColdStartRule {.duration = model::seconds(3),
                                            .requestsPerSecond = requestsPerSecond};
        }
        auto changed = std::make_shared<RelayConfiguration>(std::move(content));
        system.upstreams().setConfiguration(changed);
        system.setConfiguration(changed);
    }

    void list(const char *id, const model::PoolId &pool, model::Duration coldFor = {})
    {
        system.onUpstreamListed({.id = model::UpstreamId(id),
                                 .pool = pool,
                                 .address = {.host = "10.0.0.1", .port = 80},
                                 .slots = 4,
                                 .coldFor = coldFor,
                                 .incarnation = 1},
                                now);
        collect();
    }

    bool recalls(const model::UpstreamId &id) const
    {
        return std::any_of(commands.begin(), commands.end(), [&](const RelayCommand &command) {
            const auto *recall = std::get_if<RecallCalls>(&command);
            return recall && recall->upstream == id;
        });
    }

    const Upstream &find(const char *id)
    {
        return *system.upstreams().find(model::UpstreamId(id));
    }
};

} // namespace

// Guards against calls that wait for a connection to an upstream that crashed, and that all reach
// it in the moment in which it is back.
TEST_CASE("Load pattern: calls wait for a connection to an upstream that then turns out to be cold")
{
    ColdFixture fixture;
    fixture.list("e0", enginePool);
    for (int i = 0; i < 20; ++i) {
        fixture.arrive("/resume/x");
    }
    SECTION("because one of them failed")
    {
        const auto first = fixture.take<StartAttempt>();
        fixture.fail(first.attempt, AttemptFailure::NotSent);
    }
    SECTION("because its entry states it")
    {
        fixture.list("e0", enginePool, model::seconds(2));
    }
    CHECK(fixture.find("e0").isCold(fixture.now));
    CHECK(fixture.recalls(model::UpstreamId("e0")));
}

TEST_CASE("Batches that wait for a connection are recalled when their upstream is lost")
{
    ColdFixture fixture;
    fixture.list("s0", stagePool);
    fixture.arrive("/staged/x");
    fixture.system.onBatchBroken(fixture.take<RunBatch>().batch, fixture.now);
    fixture.collect();
    CHECK(fixture.find("s0").isCold(fixture.now));
    CHECK(fixture.recalls(model::UpstreamId("s0")));
}

// Guards against a call that has its turn and is taken back by each further sign of the cold start.
TEST_CASE("An upstream that is known to be cold recalls nothing when it is stated again")
{
    ColdFixture fixture;
    fixture.list("e0", enginePool, model::seconds(2));
    fixture.commands.clear();
    fixture.system.onUpstreamNotice({.upstream = model::UpstreamId("e0")},
                                    {.coldFor = model::seconds(3)}, fixture.now);
    fixture.collect();
    CHECK_FALSE(fixture.recalls(model::UpstreamId("e0")));
    CHECK(fixture.find("e0").isCold(fixture.now + milliseconds(2900)));
}

// Guards against an event loop that runs without pause: the only upstream of a stage is cold after
// a broken batch, and jobs wait for the next turn there.
TEST_CASE("Load pattern: jobs wait for a cold upstream without a busy scheduler")
{
    ColdFixture fixture(0.5);
    fixture.list("s0", stagePool);
    bool hadWaiting = false;
    for (int i = 0; i < 6; ++i) {
        fixture.arrive("/staged/x");
    }
    for (int round = 0; round < 400; ++round) {
        if (fixture.count<RunBatch>() > 0) {
            fixture.system.onBatchBroken(fixture.take<RunBatch>().batch, fixture.now);
            fixture.collect();
        }
        hadWaiting = hadWaiting || fixture.find("s0").isCold(fixture.now);
        fixture.advanceTime(milliseconds(10));
        const std::optional<model::TimePoint> next = fixture.system.nextRun();
        CAPTURE(round);
        REQUIRE((!next || *next > fixture.now));
    }
    CHECK(hadWaiting);
}

// Guards against an upstream that turns cold a second time with an entry like the one that the
// daemon has read last.
TEST_CASE("An entry that is written again with the same statement makes its upstream cold again")
{
    ColdFixture fixture;
    fixture.list("e0", enginePool, model::seconds(2));
    fixture.advanceTime(model::seconds(4));
    CHECK_FALSE(fixture.find("e0").isCold(fixture.now));
    fixture.list("e0", enginePool, model::seconds(2));
    CHECK(fixture.find("e0").isCold(fixture.now));
}

// Guards against upstreams that go on to get what an older configuration allowed.
TEST_CASE("A lower rate for cold upstreams holds for those that are cold already")
{
    ColdFixture fixture(40.0);
    fixture.list("e0", enginePool, model::seconds(20));
    fixture.arrive("/stream/x");
    fixture.setRate(2, 2.0);
    const model::TimePoint sentAt = fixture.now;
    fixture.advanceTime(milliseconds(1));
    CHECK(fixture.find("e0").opensAt(fixture.now) >= sentAt + model::seconds(1));
}

// Guards against a turn that is taken right after the last request of the time before.
TEST_CASE("The first turn at an upstream that turns cold is counted from the last request to it")
{
    ColdFixture fixture(2.0);
    fixture.list("e0", enginePool);
    fixture.arrive("/stream/x");
    const model::TimePoint sentAt = fixture.now;
    fixture.list("e0", enginePool, model::seconds(3));
    CHECK(fixture.find("e0").opensAt(fixture.now) >= sentAt + model::seconds(1));
}

// Guards against releases that come on top of the requests that have a turn.
TEST_CASE("No release goes to an upstream before it is warm")
{
    ColdFixture fixture;
    fixture.list("s0", stagePool, model::seconds(2));
    const config::Endpoint address = fixture.find("s0").listing.address;
    CHECK(UpstreamDirectory::isAvailable(fixture.find("s0"), fixture.now));
    CHECK_FALSE(fixture.system.upstreams().takesCalls(address, fixture.now));
    CHECK(fixture.system.upstreams().takesCalls(address, fixture.now + model::seconds(2)));
}
