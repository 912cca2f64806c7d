#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "health/healthsystem.h"

using namespace citronpick;
using namespace citronpick::health;
using trompeloeil::_;

namespace
{

class MockReturnShare : public IReturnShare
{
public:
    MAKE_CONST_MOCK2(slots, uint32_t(const model::UpstreamId &, uint32_t), override);
    MAKE_CONST_MOCK1(furthestPeer, std::optional<PeerReturn>(const model::UpstreamId &), override);
    MAKE_CONST_MOCK1(isSuspectedByPeer, bool(const model::UpstreamId &), override);
    MAKE_CONST_MOCK1(peerRelapses, uint32_t(const model::UpstreamId &), override);
};

config::ConfigurationPtr configuration(size_t upstreams, double maxEjectedShare)
{
    config::PoolConfig pool {
        .id = model::PoolId("p"), .concurrency = 16, .maxEjectedShare = maxEjectedShare};
    for (size_t i = 0; i < upstreams; ++i) {
        pool.upstreams.push_back({.id = model::UpstreamId("u" + std::to_string(i)),
                                  .host = "127.0.0.1",
                                  .port = static_cast<uint16_t>(i + 1),
                                  .zone = model::ZoneId(i % 2 == 0 ? "a" : "b")});
    }
    config::Configuration::Content content;
    content.pools.push_back(pool);
    content.routes.push_back(
        {.id = model::RouteId("call"), .stages = {{.name = "call", .pool = model::PoolId("p")}}});
    return std::make_shared<const config::Configuration>(std::move(content));
}

//! A health system with one pool and a mocked IReturnShare.
struct Fixture {
    explicit Fixture(size_t count, double maxEjectedShare = 0.5)
        : health({}, upstreams, share, 1)
    {
        upstreams.apply(*configuration(count, maxEjectedShare), 1, now);
        health.synchronise(now);
        health.observeTime(now);
    }

    model::UpstreamRow row(uint32_t number) const
    {
        return *upstreams.find(model::UpstreamId("u" + std::to_string(number)));
    }

    void fail(uint32_t number)
    {
        health.onFailure(row(number), health.row(row(number)).epoch, now, now);
    }

    void answer(uint32_t number, double ratio)
    {
        health.onAnswer(row(number), health.row(row(number)).epoch, ratio, now);
    }

    HealthDecisions advance(model::Duration duration)
    {
        now += duration;
        health.observeTime(now);
        return health.run(now);
    }

    //! Advances time past the hold-down and answers probes until the upstream is in Trial.
    void reachTrial(uint32_t number)
    {
        advance(model::milliseconds(2300));
        while (health.row(row(number)).state != HealthState::Trial) {
            for (const Probe &probe : advance(model::milliseconds(600)).probes) {
                health.onProbe(probe.upstream, probe.number, true, now);
            }
        }
    }

    model::TimePoint now {model::seconds(100)};
    upstreams::UpstreamTable upstreams;
    MockReturnShare share;
    HealthSystem health;
};

} // namespace

TEST_CASE("The slots of a returning upstream are those that IReturnShare assigns")
{
    Fixture fixture(4);
    ALLOW_CALL(fixture.share, isSuspectedByPeer(_)).RETURN(false);
    ALLOW_CALL(fixture.share, peerRelapses(_)).RETURN(0U);
    ALLOW_CALL(fixture.share, furthestPeer(_)).RETURN(std::nullopt);
    ALLOW_CALL(fixture.share, slots(_, _)).RETURN(_2);
    for (int i = 0; i < 3; ++i) {
        fixture.fail(0);
    }
    CHECK(fixture.health.row(fixture.row(0)).state == HealthState::Ejected);
    CHECK(fixture.health.returningSlots(fixture.row(0)) == 0);
    fixture.reachTrial(0);
    REQUIRE_CALL(fixture.share, slots(model::UpstreamId("u0"), 1U)).RETURN(0U);
    CHECK(fixture.health.returningSlots(fixture.row(0)) == 0);
}

TEST_CASE("A daemon without slots adopts the return state and the relapses of its peers")
{
    Fixture fixture(4);
    uint32_t relapses = 0;
    ALLOW_CALL(fixture.share, isSuspectedByPeer(_)).RETURN(false);
    ALLOW_CALL(fixture.share, peerRelapses(_)).LR_RETURN(relapses);
    ALLOW_CALL(fixture.share, slots(_, _)).RETURN(0U);
    ALLOW_CALL(fixture.share, furthestPeer(_))
        .RETURN(PeerReturn {.state = HealthState::Ramping, .rampStep = 2});
    for (int i = 0; i < 3; ++i) {
        fixture.fail(0);
    }
    fixture.reachTrial(0);
    fixture.advance(model::milliseconds(100));
    CHECK(fixture.health.row(fixture.row(0)).state == HealthState::Ramping);
    CHECK(fixture.health.row(fixture.row(0)).rampStep == 2);
    relapses = 3;
    fixture.advance(model::milliseconds(100));
    CHECK(fixture.health.row(fixture.row(0)).state == HealthState::Ejected);
    CHECK(fixture.health.row(fixture.row(0)).cause == EjectCause::PeerRelapse);
    CHECK(fixture.health.row(fixture.row(0)).relapses == 3);
}

TEST_CASE("No more upstreams are ejected than the configured share of the pool")
{
    for (const auto &[share, expected] : {std::pair(0.5, 3), {0.25, 2}, {0.0, 0}}) {
        CAPTURE(share);
        Fixture fixture(8, share);
        ALLOW_CALL(fixture.share, isSuspectedByPeer(_)).RETURN(false);
        for (uint32_t number = 0; number < 3; ++number) {
            for (int failure = 0; failure < 3; ++failure) {
                fixture.fail(number);
            }
            fixture.advance(model::milliseconds(100));
        }
        int ejected = 0;
        for (uint32_t number = 0; number < 8; ++number) {
            ejected += fixture.health.row(fixture.row(number)).state == HealthState::Ejected;
        }
        CHECK(ejected == expected);
    }
}

TEST_CASE("No upstream is ejected when the whole pool fails")
{
    Fixture fixture(6);
    ALLOW_CALL(fixture.share, isSuspectedByPeer(_)).RETURN(false);
    // The upstreams fail in turn: at the third failure of the first one, the others are failing
    // too.
    for (int round = 0; round < 5; ++round) {
        for (uint32_t number = 0; number < 6; ++number) {
            fixture.fail(number);
        }
        fixture.advance(model::milliseconds(100));
    }
    for (uint32_t number = 0; number < 6; ++number) {
        CHECK(fixture.health.row(fixture.row(number)).state == HealthState::Suspect);
    }
}

TEST_CASE("Upstreams of a zone that becomes slow as a whole are suspected, not ejected")
{
    Fixture fixture(8);
    ALLOW_CALL(fixture.share, isSuspectedByPeer(_)).RETURN(false);
    for (int round = 0; round < 40; ++round) {
        for (uint32_t number = 0; number < 8; ++number) {
            fixture.answer(number, number % 2 == 0 ? 10.0 : 1.0);
        }
        fixture.advance(model::milliseconds(100));
    }
    for (uint32_t number = 0; number < 8; number += 2) {
        CHECK(fixture.health.row(fixture.row(number)).state == HealthState::Suspect);
    }
}

TEST_CASE("Isolated slow answers do not make an upstream suspect")
{
    Fixture fixture(4);
    ALLOW_CALL(fixture.share, isSuspectedByPeer(_)).RETURN(false);
    for (int round = 0; round < 20; ++round) {
        for (uint32_t number = 0; number < 4; ++number) {
            fixture.answer(number, number == 0 && round % 5 == 0 ? 40.0 : 1.0);
        }
        fixture.advance(model::milliseconds(100));
        CHECK(fixture.health.row(fixture.row(0)).state == HealthState::Active);
    }
}

TEST_CASE("Failures of attempts started before a pause of this process are ignored")
{
    Fixture fixture(4);
    ALLOW_CALL(fixture.share, isSuspectedByPeer(_)).RETURN(false);
    const model::TimePoint before = fixture.now;
    fixture.advance(model::seconds(60));
    for (int i = 0; i < 5; ++i) {
        fixture.health.onFailure(fixture.row(0), 1, before, fixture.now);
    }
    CHECK(fixture.health.row(fixture.row(0)).state == HealthState::Active);
}
