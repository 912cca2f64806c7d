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
        const auto second = fixture.take<StartAttempt>();
        CHECK(second.upstream == model::UpstreamId("e9"));
        CHECK(fixture.count<CancelAttempt>() == 0);
        fixture.head(second.attempt, RelayFixture::success());
        CHECK(fixture.take<CancelAttempt>().attempt == attempt.attempt);
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

// Guards against LOST: a stream whose upstream paused for longer than usual was given up for
// another upstream, and was cut when that one had no room.
TEST_CASE("A silent stream goes on at its upstream when the others refuse to resume it")
{
    RelayFixture fixture(2);
    const StartAttempt silent = beginStream(fixture);
    if (GENERATE(false, true)) {
        fixture.system.beginShutdown(fixture.now, model::seconds(7));
    }
    fixture.system.onAttemptProgress(silent.attempt, "4", fixture.now);
    fixture.advanceTime(milliseconds(1300));
    const auto second = fixture.take<StartAttempt>();
    CHECK(second.resumeAfter == "4");
    CHECK(fixture.count<CancelAttempt>() == 0);
    fixture.answer(second.attempt, RelayFixture::notRun());
    CHECK(fixture.count<AbortAnswer>() == 0);
    REQUIRE(fixture.system.requestCount() == 1);
    SECTION("and is whole when it ends there")
    {
        fixture.system.onAttemptProgress(silent.attempt, "5", fixture.now);
        fixture.end(silent.attempt);
        CHECK(fixture.count<FinishStream>() == 1);
    }
    SECTION("and is aborted when it is lost there")
    {
        fixture.fail(silent.attempt, AttemptFailure::Broken, "4");
        CHECK(fixture.count<AbortAnswer>() == 1);
    }
    SECTION("until its caller leaves")
    {
        fixture.system.onCallerDisconnected(model::RequestId(fixture.lastRequest), fixture.now);
        fixture.collect();
        CHECK(fixture.take<CancelAttempt>().attempt == silent.attempt);
    }
    CHECK(fixture.system.requestCount() == 0);
}

// Guards against LOST: the upstream of a silent stream was given up although its rest could not be
// had elsewhere.
TEST_CASE("A silent stream goes on at its upstream when its stages fail while it is resumed")
{
    RelayFixture fixture(2);
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    content.routes[4].kind = RequestKind::ResumableStream;
    content.routes[4].maxAttempts = 2;
    for (StageRule &stage : content.routes[4].stages) {
        stage.resultBytes = 10;
    }
    content.pools[2].batch->resultStorageBytes = 20;
    fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    fixture.arrive("/staged/x");
    fixture.answerBatch();
    fixture.answerBatch();
    const auto silent = fixture.take<StartAttempt>();
    fixture.head(silent.attempt, RelayFixture::success());
    fixture.advanceTime(milliseconds(1300));
    REQUIRE(fixture.count<RunBatch>() > 0);
    CHECK(fixture.count<CancelAttempt>() == 0);
    for (int i = 0; i < 8 && fixture.count<RunBatch>() > 0; ++i) {
        fixture.answerBatch(ItemFailure::Error);
        fixture.advanceTime(milliseconds(10));
    }
    CHECK(fixture.count<AbortAnswer>() == 0);
    fixture.end(silent.attempt);
    CHECK(fixture.count<FinishStream>() == 1);
    CHECK(fixture.system.requestCount() == 0);
}

// Guards against ORDER: of two attempts that run at a time, one would repeat what the other sent.
TEST_CASE("Only one of two attempts goes on with a stream")
{
    RelayFixture fixture(2);
    const StartAttempt silent = beginStream(fixture);
    fixture.system.onAttemptProgress(silent.attempt, "4", fixture.now);
    fixture.advanceTime(milliseconds(1300));
    const auto second = fixture.take<StartAttempt>();
    SECTION("the second one as soon as it answers")
    {
        fixture.head(second.attempt, RelayFixture::success());
        CHECK(fixture.take<CancelAttempt>().attempt == silent.attempt);
        CHECK(fixture.take<ResumeStream>().attempt == second.attempt);
        fixture.end(second.attempt);
    }
    SECTION("the first one as soon as it goes on")
    {
        fixture.system.onAttemptProgress(silent.attempt, "5", fixture.now);
        fixture.collect();
        CHECK(fixture.take<CancelAttempt>().attempt == second.attempt);
        fixture.end(silent.attempt);
    }
    SECTION("the first one when it ends")
    {
        fixture.end(silent.attempt);
        CHECK(fixture.take<CancelAttempt>().attempt == second.attempt);
    }
    SECTION("the second one when the first one is lost")
    {
        fixture.fail(silent.attempt, AttemptFailure::Broken, "4");
        CHECK(fixture.count<AbortAnswer>() == 0);
        fixture.head(second.attempt, RelayFixture::success());
        CHECK(fixture.take<ResumeStream>().attempt == second.attempt);
        fixture.end(second.attempt);
    }
    CHECK(fixture.count<FinishStream>() == 1);
    CHECK(fixture.count<AbortAnswer>() == 0);
    CHECK(fixture.system.requestCount() == 0);
}
