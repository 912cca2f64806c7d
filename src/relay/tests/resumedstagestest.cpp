#include <catch2/catch.hpp>

#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

constexpr uint64_t resultBytes = 10;
constexpr uint16_t conflict = 409;

//! The route "/staged/" can resume; the storage for its results holds some of them.
struct StorageFixture : RelayFixture {
    explicit StorageFixture(uint64_t storageBytes)
    {
        ConfigurationContent content = configuration(2)->content();
        RouteRule &route = content.routes[4];
        route.kind = RequestKind::ResumableStream;
        route.maxAttempts = 3;
        for (StageRule &stage : route.stages) {
            stage.resultBytes = resultBytes;
        }
        content.pools[2].batch->resultStorageBytes = storageBytes;
        system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    }
};

constexpr uint64_t scarce = 20 * resultBytes;
constexpr uint64_t ample = 1000 * resultBytes;

//! Takes a request through both stages; returns the attempt that is then made.
StartAttempt runStages(RelayFixture &fixture)
{
    fixture.answerBatch();
    fixture.answerBatch();
    return fixture.take<StartAttempt>();
}

} // namespace

// Guards against storage of a stage that is taken up by the results of streams that run: no further
// request finds room there for as long as they last.
TEST_CASE("Load pattern: long streams do not occupy scarce storage for results")
{
    StorageFixture fixture(scarce);
    fixture.arrive("/staged/x");
    const StartAttempt attempt = runStages(fixture);
    fixture.commands.clear();
    fixture.head(attempt.attempt, RelayFixture::success());
    CHECK(fixture.take<ReleaseResults>().handles == attempt.inputs);
}

TEST_CASE("Results are kept for a stream that can resume where there is ample storage")
{
    StorageFixture fixture(ample);
    fixture.arrive("/staged/x");
    const StartAttempt first = runStages(fixture);
    fixture.commands.clear();
    fixture.head(first.attempt, RelayFixture::success());
    CHECK(fixture.count<ReleaseResults>() == 0);
    fixture.fail(first.attempt, AttemptFailure::Broken, "3");
    CHECK(fixture.take<StartAttempt>().inputs == first.inputs);
}

// Guards against streams that end early because their results are gone.
TEST_CASE("A stream that resumes runs its stages again once its results were released")
{
    StorageFixture fixture(scarce);
    fixture.arrive("/staged/x");
    const StartAttempt first = runStages(fixture);
    fixture.head(first.attempt, RelayFixture::success());
    // The latency target and the limit for the first event have passed by now.
    fixture.now += model::seconds(4);
    fixture.fail(first.attempt, AttemptFailure::Broken, "3");
    CHECK(fixture.count<StartAttempt>() == 0);
    const StartAttempt second = runStages(fixture);
    CHECK(second.resumeAfter == "3");
    CHECK(second.inputs != first.inputs);
    CHECK(second.upstream != first.upstream);
    fixture.head(second.attempt, RelayFixture::success());
    fixture.end(second.attempt);
    CHECK(fixture.count<FinishStream>() == 1);
    CHECK(fixture.count<AbortAnswer>() == 0);
    CHECK(fixture.count<RefuseRequest>() == 0);
}

// Guards against LOST: a stopping daemon gave up a stream that was silent for a moment, ran its
// stages again, and ended the answer when these did not finish before the stop did.
TEST_CASE("A stopping daemon does not run stages again for a stream that is only silent")
{
    StorageFixture fixture(scarce);
    fixture.arrive("/staged/x");
    const StartAttempt attempt = runStages(fixture);
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.system.beginShutdown(fixture.now, model::seconds(3));
    for (int i = 0; i < 10; ++i) {
        fixture.advanceTime(milliseconds(200));
    }
    CHECK(fixture.count<CancelAttempt>() == 0);
    SECTION("which is aborted only at the end of the stop")
    {
        fixture.advanceTime(milliseconds(900));
        CHECK(fixture.count<AbortAnswer>() == 0);
        fixture.advanceTime(milliseconds(100));
        CHECK(fixture.count<AbortAnswer>() == 1);
    }
    SECTION("which is complete when its upstream goes on")
    {
        fixture.system.onAttemptProgress(attempt.attempt, "4", fixture.now);
        fixture.end(attempt.attempt);
        CHECK(fixture.count<FinishStream>() == 1);
    }
    SECTION("but does so when its upstream is lost")
    {
        fixture.fail(attempt.attempt, AttemptFailure::Broken, "3");
        CHECK(fixture.count<RunBatch>() > 0);
        CHECK(fixture.count<AbortAnswer>() == 0);
    }
}

TEST_CASE("A stream that resumes runs its stages again if the results have expired")
{
    StorageFixture fixture(ample);
    fixture.arrive("/staged/x");
    const StartAttempt first = runStages(fixture);
    fixture.head(first.attempt, RelayFixture::success());
    fixture.fail(first.attempt, AttemptFailure::Broken, "3");
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::notRun(conflict));
    CHECK(fixture.count<AbortAnswer>() == 0);
    CHECK(runStages(fixture).resumeAfter == "3");
}

// Guards against a refusal in the middle of an answer, and against a stream that ends although it
// could go on: a timer that was set for its events expires while its stages run.
TEST_CASE("A stream whose stages fail while it resumes is aborted, not refused")
{
    StorageFixture fixture(scarce);
    fixture.arrive("/staged/x");
    const StartAttempt first = runStages(fixture);
    fixture.head(first.attempt, RelayFixture::success());
    fixture.fail(first.attempt, AttemptFailure::Broken, "3");
    fixture.advanceTime(milliseconds(1250));
    CHECK(fixture.count<AbortAnswer>() == 0);
    for (int i = 0; i < 8 && fixture.count<RunBatch>() > 0; ++i) {
        fixture.answerBatch(ItemFailure::Error);
        fixture.advanceTime(milliseconds(10));
    }
    CHECK(fixture.count<AbortAnswer>() == 1);
    CHECK(fixture.count<RefuseRequest>() == 0);
    CHECK(fixture.system.requestCount() == 0);
}
