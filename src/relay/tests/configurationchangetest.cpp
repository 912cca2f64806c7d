#include "relay/tests/relayfixture.h"

// What a change of the configuration means for requests in progress and for jobs of other daemons.

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

//! The next configuration: no staged route, another key, and a pool less or another one for
//! "/safe/".
RelayConfigurationPtr nextConfiguration(bool hasStagePool = true)
{
    ConfigurationContent content = RelayFixture::configuration(1)->content();
    content.revision = model::Revision(2);
    std::erase_if(content.routes, [](const RouteRule &route) {
        return route.prefix == "/staged/" || route.prefix == "/resume/";
    });
    content.routes.front().pools = {{.pool = enginePool}};
    content.accounts = {{.id = model::AccountId("account"), .keys = {"next-key"}, .priority = {}}};
    if (!hasStagePool) {
        std::erase_if(content.pools, [](const PoolRule &pool) { return pool.id == stagePool; });
    }
    return std::make_shared<RelayConfiguration>(std::move(content));
}

bool isIn(const model::PoolId &pool, const RelayFixture &fixture, const StartAttempt &attempt)
{
    return fixture.system.upstreams().find(attempt.upstream)->listing.pool == pool;
}

} // namespace

// Guards against CONFIG: requests handled by an older configuration than the one that was in force
// when they arrived.
TEST_CASE("Requests that arrive after a change follow it, those in progress keep theirs")
{
    RelayFixture fixture;
    SECTION("in its stages")
    {
        fixture.arrive("/staged/x");
        fixture.system.setConfiguration(nextConfiguration());
        fixture.arrive("/staged/x", "next-key");
        CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UnknownRoute);
        fixture.answerBatch();
        fixture.answerBatch();
        const auto attempt = fixture.take<StartAttempt>();
        CHECK(isIn(enginePool, fixture, attempt));
        CHECK(attempt.account == model::AccountId("account"));
    }
    SECTION("at an upstream that refuses it")
    {
        fixture.arrive("/safe/x");
        const auto first = fixture.take<StartAttempt>();
        fixture.system.setConfiguration(nextConfiguration());
        fixture.answer(first.attempt, RelayFixture::notRun());
        CHECK(isIn(deskPool, fixture, fixture.take<StartAttempt>()));
        fixture.arrive("/safe/x", "next-key");
        CHECK(isIn(enginePool, fixture, fixture.take<StartAttempt>()));
    }
    SECTION("in a stream that breaks off")
    {
        fixture.arrive("/resume/x");
        const auto first = fixture.take<StartAttempt>();
        fixture.head(first.attempt, RelayFixture::success());
        fixture.system.setConfiguration(nextConfiguration());
        fixture.fail(first.attempt, AttemptFailure::Broken, "3");
        const auto second = fixture.take<StartAttempt>();
        CHECK(second.resumeAfter == "3");
        CHECK(isIn(enginePool, fixture, second));
    }
    fixture.arrive("/once/x", "key");
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UnknownKey);
}

// Guards against requests that wait until their deadline for a pool that no longer exists.
TEST_CASE("Requests that wait for a pool which a change drops are refused at once")
{
    RelayFixture fixture(1);
    const model::RequestId running = fixture.arrive("/staged/x");
    const model::RequestId waiting = fixture.arrive("/staged/y");
    REQUIRE(fixture.count<RunBatch>() == 1);
    fixture.system.setConfiguration(nextConfiguration(false));
    fixture.advanceTime(model::Duration::zero());
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(refusal.request == waiting);
    CHECK(guaranteesNotRun(refusal.refusal));
    CHECK(refusal.retryAfter > model::Duration::zero());
    fixture.answerBatch();
    CHECK(fixture.take<RefuseRequest>().request == running);
}

// Guards against routes that were added and are not served because the daemon that schedules one of
// their pools is behind.
TEST_CASE("A peer's job for a pool that is not known yet is handed back at once")
{
    RelayFixture fixture;
    fixture.system.onPeerJob(1,
                             {.pool = model::PoolId("added"),
                              .pieceCount = 1,
                              .deadline = fixture.now + model::seconds(8)},
                             fixture.now);
    fixture.collect();
    CHECK(fixture.take<AnswerPeer>().result.failure == JobFailure::NoUpstream);
}
