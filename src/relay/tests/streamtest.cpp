#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

TEST_CASE("A stream that loses its upstream is aborted and not ended as complete")
{
    RelayFixture fixture;
    const model::RequestId id = fixture.arrive("/stream/x");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.head(attempt.attempt, RelayFixture::success());
    CHECK(fixture.take<StartStream>().request == id);
    fixture.fail(attempt.attempt, AttemptFailure::Broken);
    CHECK(fixture.take<AbortAnswer>().request == id);
    CHECK(fixture.count<StartAttempt>() == 0);
}

TEST_CASE("A resumable stream continues on another upstream after the last event")
{
    RelayFixture fixture;
    const model::RequestId id = fixture.arrive("/resume/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.head(first.attempt, RelayFixture::success());
    fixture.take<StartStream>();
    fixture.fail(first.attempt, AttemptFailure::Broken, "7");
    const auto second = fixture.take<StartAttempt>();
    CHECK(second.upstream != first.upstream);
    CHECK(second.resumeAfter == "7");
    fixture.head(second.attempt, RelayFixture::success());
    CHECK(fixture.take<ResumeStream>().attempt == second.attempt);
    CHECK(fixture.count<StartStream>() == 0);
    fixture.end(second.attempt);
    CHECK(fixture.take<FinishStream>().request == id);
}

TEST_CASE("A stream that no upstream resumes is aborted")
{
    RelayFixture fixture;
    fixture.arrive("/resume/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.head(first.attempt, RelayFixture::success());
    fixture.fail(first.attempt, AttemptFailure::Broken, "7");
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::notRun());
    CHECK(fixture.count<AbortAnswer>() == 1);
    CHECK(fixture.count<RefuseRequest>() == 0);
}

TEST_CASE("A resumable stream without progress is resumed on another upstream, then cancelled")
{
    RelayFixture fixture;
    fixture.arrive("/resume/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.head(first.attempt, RelayFixture::success());
    for (int i = 0; i < 5; ++i) {
        fixture.advanceTime(milliseconds(600));
        fixture.system.onAttemptProgress(first.attempt, absl::StrCat(i), fixture.now);
    }
    CHECK(fixture.count<StartAttempt>() == 0);
    fixture.advanceTime(milliseconds(1200));
    REQUIRE(fixture.commands.size() == 2);
    const StartAttempt second = std::get<StartAttempt>(fixture.commands[1]);
    CHECK(second.upstream != first.upstream);
    // Without the id of the last event sent, the caller would receive events twice.
    CHECK(second.resumeAfter == "4");
    fixture.head(second.attempt, RelayFixture::success());
    REQUIRE(fixture.commands.size() == 4);
    CHECK(std::get<CancelAttempt>(fixture.commands[2]).attempt == first.attempt);
    CHECK(std::get<ResumeStream>(fixture.commands[3]).attempt == second.attempt);
}

TEST_CASE("A stream that cannot be resumed is kept open as long as its caller waits")
{
    RelayFixture fixture;
    fixture.arrive("/stream/x");
    fixture.head(fixture.take<StartAttempt>().attempt, RelayFixture::success());
    fixture.advanceTime(milliseconds(7900));
    CHECK(fixture.count<AbortAnswer>() == 0);
    fixture.advanceTime(milliseconds(100));
    CHECK(fixture.count<AbortAnswer>() == 1);
}

TEST_CASE("A stream whose caller reads slowly is not taken for a stalled one")
{
    RelayFixture fixture;
    fixture.arrive("/resume/x");
    const auto attempt = fixture.take<StartAttempt>().attempt;
    fixture.head(attempt, RelayFixture::success());
    fixture.system.onAttemptPaused(attempt, true, fixture.now);
    for (int second = 0; second < 6; ++second) {
        fixture.advanceTime(model::seconds(1));
    }
    CHECK(fixture.count<CancelAttempt>() == 0);
    CHECK(fixture.count<StartAttempt>() == 0);
    fixture.system.onAttemptPaused(attempt, false, fixture.now);
    fixture.advanceTime(milliseconds(1500));
    fixture.head(fixture.take<StartAttempt>().attempt, RelayFixture::success());
    CHECK(fixture.count<CancelAttempt>() == 1);
}
