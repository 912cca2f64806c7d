#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

//! Begins to answer a resumable stream.
StartAttempt beginStream(RelayFixture &fixture)
{
    fixture.arrive("/resume/x");
    auto attempt = fixture.take<StartAttempt>();
    fixture.head(attempt.attempt, RelayFixture::success());
    return attempt;
}

} // namespace

// Guards against answers that end because their upstream is silent for a moment although no other
// upstream can continue them and the caller still waits.
TEST_CASE("A silent stream that no other upstream can resume now is kept open")
{
    RelayFixture fixture(1);
    const StartAttempt attempt = beginStream(fixture);
    for (int i = 0; i < 15; ++i) {
        fixture.advanceTime(milliseconds(200));
    }
    CHECK(fixture.count<CancelAttempt>() == 0);
    CHECK(fixture.count<AbortAnswer>() == 0);
    SECTION("and ends when the upstream goes on")
    {
        fixture.end(attempt.attempt);
        CHECK(fixture.count<FinishStream>() == 1);
    }
    SECTION("and is resumed when another upstream is listed")
    {
        fixture.listUpstream(enginePool, "e9");
        fixture.advanceTime(milliseconds(500));
        CHECK(fixture.take<CancelAttempt>().attempt == attempt.attempt);
        CHECK(fixture.take<StartAttempt>().upstream == model::UpstreamId("e9"));
    }
}

// Guards against LOST: the daemon closed a stream whose upstream was silent, shortly before the
// caller would have given up, while the upstream could still have gone on.
TEST_CASE("A silent stream that no other upstream can resume is left to its caller")
{
    RelayFixture fixture(1);
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    for (RouteRule &route : content.routes) {
        route.latencyTarget = milliseconds(300);
        route.pauseTarget = milliseconds(100);
    }
    fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    const std::string path = GENERATE(as<std::string>(), "/stream/x", "/resume/x");
    CAPTURE(path);
    const model::RequestId id = fixture.arrive(path);
    const auto attempt = fixture.take<StartAttempt>();
    fixture.head(attempt.attempt, RelayFixture::success());
    SECTION("in calm")
    {
    }
    SECTION("in a planned stop")
    {
        fixture.system.beginShutdown(fixture.now, model::seconds(7));
    }
    for (int i = 0; i < 30; ++i) {
        fixture.advanceTime(milliseconds(200));
    }
    CHECK(fixture.count<CancelAttempt>() == 0);
    CHECK(fixture.count<AbortAnswer>() == 0);
    // The silence still counts as a failure of the upstream.
    CHECK(fixture.system.upstreams().find(attempt.upstream)->consecutiveFailures > 0);
    SECTION("until the caller leaves")
    {
        fixture.system.onCallerDisconnected(id, fixture.now);
        fixture.collect();
        CHECK(fixture.take<CancelAttempt>().attempt == attempt.attempt);
    }
    SECTION("until the upstream goes on")
    {
        fixture.end(attempt.attempt);
        CHECK(fixture.count<FinishStream>() == 1);
    }
}

// Guards against answers that end without a log line, so that their cause stays unknown.
TEST_CASE("A stream that ends because no upstream is left to resume it is logged as broken")
{
    RelayFixture fixture(1);
    const StartAttempt attempt = beginStream(fixture);
    fixture.system.onAttemptFailed(attempt.attempt, AttemptFailure::Broken, "7", fixture.now);
    bool isAborted = false;
    bool isLogged = false;
    for (const RelayCommand &command : fixture.system.takeCommands()) {
        const auto *event = std::get_if<observability::Event>(&command);
        isLogged = isLogged || (event && event->code == observability::EventCode::AnswerBroken);
        isAborted = isAborted || std::holds_alternative<AbortAnswer>(command);
    }
    CHECK(isAborted);
    CHECK(isLogged);
}

// Guards against requests that are held until their deadline for a stage that cannot run any more.
TEST_CASE("A request is refused when a new configuration has no pool for the stage it waits for")
{
    RelayFixture fixture(1);
    fixture.arrive("/staged/x");
    fixture.arrive("/staged/x");
    REQUIRE(fixture.count<RunBatch>() == 1);
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    std::erase_if(content.pools, [](const PoolRule &pool) { return pool.id == stagePool; });
    fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    fixture.advanceTime(milliseconds(100));
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::StagesFailed);
    CHECK(fixture.system.requestCount() == 1);
}

// Guards against a stage that runs without its inputs: a request whose stages start again while it
// submits two stages at once submitted the second one of them nevertheless.
TEST_CASE("A request whose stages start again submits only stages whose inputs exist")
{
    const model::PoolId slowPool("slow");
    RelayFixture fixture;
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    content.routes[4].stages = {{.pool = stagePool},
                                {.pool = slowPool},
                                {.pool = stagePool, .after = {0, 1}},
                                {.pool = stagePool, .after = {0, 1}}};
    content.pools.push_back(
        {.id = slowPool, .batch = BatchRule {.maxItems = 1, .callTime = model::seconds(3)}});
    fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    fixture.listUpstream(slowPool, "slow0");
    fixture.arrive("/staged/x");
    fixture.answerBatch();
    fixture.advanceTime(milliseconds(4500));
    fixture.answerBatch();
    REQUIRE(fixture.count<RunBatch>() > 0);
    while (fixture.count<RunBatch>() > 0) {
        for (const BatchItem &item : fixture.take<RunBatch>().items) {
            CHECK(item.stage < 2);
        }
    }
}
