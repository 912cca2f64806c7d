#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

//! Serves one stream that takes this long from its first event to its end.
void serveStream(RelayFixture &fixture, model::Duration duration)
{
    fixture.arrive("/stream/x");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.advanceTime(duration);
    fixture.end(attempt.attempt);
}

} // namespace

// Guards against callers without any answer: a request that waited in its stages when a planned
// stop reached its time limit was dropped together with its connection.
TEST_CASE("A request that outlasts a planned stop is refused as not run instead of being dropped")
{
    RelayFixture fixture;
    fixture.arrive("/staged/x");
    fixture.system.beginShutdown(fixture.now, model::seconds(3));
    fixture.advanceTime(model::seconds(3));
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(refusal.refusal == Refusal::Stopping);
    CHECK(refusal.retryAfter > model::Duration::zero());
    CHECK(fixture.system.requestCount() == 0);
}

// Guards against callers without any answer when an upstream still ran the request at that moment.
TEST_CASE("A request that an upstream runs at the end of a planned stop is answered as unknown")
{
    RelayFixture fixture;
    fixture.arrive("/once/x");
    fixture.system.beginShutdown(fixture.now, model::seconds(3));
    fixture.advanceTime(model::seconds(3));
    CHECK_FALSE(guaranteesNotRun(fixture.take<RefuseRequest>().refusal));
    CHECK(fixture.system.requestCount() == 0);
}

// Guards against connections that the end of the process closes without a log line.
TEST_CASE("A stream that has begun is aborted at the end of a planned stop")
{
    RelayFixture fixture;
    fixture.arrive("/stream/x");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.system.beginShutdown(fixture.now, model::seconds(1));
    fixture.advanceTime(model::seconds(1));
    CHECK(fixture.count<AbortAnswer>() == 1);
    CHECK(fixture.system.requestCount() == 0);
}

// Guards against streams that were cut by the end of the process although another daemon could have
// served them completely.
TEST_CASE("A stopping daemon refuses a stream that would not be complete when the stop ends")
{
    RelayFixture fixture;
    serveStream(fixture, model::seconds(2));
    SECTION("on arrival")
    {
        fixture.system.beginShutdown(fixture.now, milliseconds(1900));
        fixture.arrive("/stream/x");
    }
    SECTION("after its stages")
    {
        fixture.arrive("/staged/x");
        fixture.answerBatch();
        fixture.system.beginShutdown(fixture.now, milliseconds(200));
        fixture.advanceTime(milliseconds(200));
    }
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Stopping);
}

// Guards against refusing what can be served: short streams fit into most of a stop.
TEST_CASE("A stopping daemon serves a stream that is complete before the stop ends")
{
    RelayFixture fixture;
    serveStream(fixture, model::seconds(2));
    fixture.system.beginShutdown(fixture.now, model::seconds(7));
    fixture.arrive("/stream/x");
    CHECK(fixture.count<StartAttempt>() == 1);
}

// Guards against LOST: requests that came late in a planned stop were passed on and cut at its end,
// among them some that must not be repeated.
TEST_CASE(
    "A stopping daemon refuses a request that its upstream may run beyond the end of the stop")
{
    RelayFixture fixture;
    fixture.system.beginShutdown(fixture.now, model::seconds(7));
    fixture.advanceTime(model::seconds(4));
    for (const char *path : {"/once/x", "/safe/x"}) {
        CAPTURE(path);
        fixture.arrive(path, "key", milliseconds(3001));
        CHECK(fixture.count<StartAttempt>() == 0);
        const auto refusal = fixture.take<RefuseRequest>();
        CHECK(refusal.refusal == Refusal::Stopping);
        CHECK(refusal.retryAfter > model::Duration::zero());

        fixture.arrive(path, "key", milliseconds(3000));
        fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success());
        CHECK(fixture.count<ForwardAnswer>() == 1);
        fixture.commands.clear();
    }
}

// Guards against the same for a request that is turned away by one upstream during the stop.
TEST_CASE("A stopping daemon does not send a request on that may run beyond the end of the stop")
{
    RelayFixture fixture;
    fixture.arrive("/safe/x");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.system.beginShutdown(fixture.now, model::seconds(7));
    fixture.answer(attempt.attempt, RelayFixture::notRun());
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Stopping);
}

// Guards against requests that wait in their stages in vain, until a refusal leaves their callers
// no time to go elsewhere.
TEST_CASE("A request in its stages that may outlast a planned stop is refused when the stop begins")
{
    RelayFixture fixture;
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    RouteRule &route = content.routes[4];
    route.kind = RequestKind::AtMostOnce;
    const std::string path = route.prefix + "x";
    fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    fixture.arrive(path);
    const model::RequestId kept = fixture.arrive(path, "key", model::seconds(3));
    REQUIRE(fixture.count<RunBatch>() > 0);
    fixture.system.beginShutdown(fixture.now, model::seconds(7));
    fixture.collect();
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(refusal.refusal == Refusal::Stopping);
    CHECK(refusal.request != kept);
    CHECK(refusal.retryAfter > model::Duration::zero());
    CHECK(fixture.system.requestCount() == 1);
}

// Guards against streams that are cut at the end of a stop because they take longer than the mean.
TEST_CASE("A stopping daemon allows for the spread of a route's stream times")
{
    RelayFixture fixture;
    for (int i = 0; i < 20; ++i) {
        serveStream(fixture, model::seconds(1));
        serveStream(fixture, model::seconds(3));
    }
    fixture.commands.clear();
    fixture.system.beginShutdown(fixture.now, milliseconds(2900));
    fixture.arrive("/stream/x");
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Stopping);
}

TEST_CASE("A daemon that stops accepts only requests that it can finish")
{
    RelayFixture fixture;
    fixture.system.beginShutdown(fixture.now, model::seconds(7));
    fixture.advanceTime(model::seconds(2));
    fixture.arrive("/stream/x");
    CHECK(fixture.count<StartAttempt>() == 1);
    fixture.advanceTime(milliseconds(500));
    fixture.arrive("/stream/x");
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Stopping);
    fixture.arrive("/once/x", "key", model::seconds(4));
    CHECK(fixture.count<StartAttempt>() == 2);
    fixture.arrive("/once/x");
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Stopping);
    fixture.advanceTime(model::seconds(4));
    fixture.commands.clear();
    fixture.arrive("/once/x", "key", milliseconds(100));
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Stopping);
}
