#include "relay/tests/batchfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

StageJob jobOf(const std::string &name, uint32_t priority, model::TimePoint due,
               model::TimePoint deadline)
{
    return {.pool = pool,
            .request = model::CallerRequestId(name),
            .pieceCount = 8,
            .priority = priority,
            .due = due,
            .deadline = deadline};
}

//! Answers a batch of which only the first \a made results could be stored.
void answerPartly(BatchFixture &fixture, const RunBatch &batch, size_t made)
{
    std::vector<ItemOutcome> outcomes;
    for (size_t i = 0; i < batch.items.size(); ++i) {
        outcomes.push_back({.failure = i < made ? ItemFailure::None : ItemFailure::NoStorage,
                            .handle = absl::StrCat("h", i)});
    }
    fixture.scheduler.onAnswered(batch.batch, outcomes, fixture.now);
}

} // namespace

TEST_CASE("Load pattern: in a load peak the least urgent job is delayed so that others are on time")
{
    BatchFixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    // Three batches of 360 ms each, of which only two can end in time. In order of the due time
    // alone, the note would run first and both replies would be late.
    const model::TimePoint start = fixture.now;
    const model::TimePoint deadline = start + model::seconds(9);
    fixture.scheduler.submit(jobOf("note", 2, start + milliseconds(1100), deadline), start);
    fixture.scheduler.submit(jobOf("reply-1", 0, start + milliseconds(1150), deadline), start);
    fixture.scheduler.submit(jobOf("reply-2", 0, start + milliseconds(1160), deadline), start);
    Names order;
    RunBatch last = running;
    for (int i = 0; i < 3; ++i) {
        fixture.advanceTime(milliseconds(360));
        fixture.answer(last);
        last = fixture.takeBatch();
        order.push_back(requestsOf(last).front());
    }
    CHECK(order == Names {"reply-1", "reply-2", "note"});
}

TEST_CASE("Load pattern: with more than a batch waiting, jobs are split to fill batches")
{
    BatchFixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    for (int i = 0; i < 6; ++i) {
        fixture.submit(5);
    }
    fixture.advanceTime(milliseconds(360));
    fixture.answer(running);
    CHECK(requestsOf(fixture.takeBatch())
          == Names {"r2", "r2", "r2", "r2", "r2", "r3", "r3", "r3"});
}

TEST_CASE("Load pattern: pieces whose results were not stored run next, as their job needs them")
{
    BatchFixture fixture;
    fixture.submit(8);
    for (int i = 0; i < 3; ++i) {
        fixture.submit(8, milliseconds(1500));
    }
    answerPartly(fixture, fixture.takeBatch(), 5);
    CHECK(requestsOf(fixture.takeBatch())
          == Names {"r1", "r1", "r1", "r2", "r2", "r2", "r2", "r2"});
}

TEST_CASE(
    "Load pattern: the forecast of a pool with little result storage uses its recent throughput")
{
    BatchFixture fixture;
    fixture.submit(8);
    for (int i = 0; i < 60; ++i) {
        fixture.submit(8, model::seconds(60), {}, model::seconds(90));
    }
    RunBatch batch = fixture.takeBatch();
    // Five of eight results are stored each time; with half or fewer, the upstream would be paused.
    for (int i = 0; i < 60; ++i) {
        fixture.advanceTime(milliseconds(360));
        answerPartly(fixture, batch, 5);
        batch = fixture.takeBatch();
    }
    fixture.advanceTime(milliseconds(100));
    const double ahead = static_cast<double>(fixture.scheduler.queuedPieces(pool));
    const double wait
        = model::toSeconds(fixture.scheduler.forecastOf(pool, fixture.now).at(0).onTime);
    CHECK(wait / ahead == Approx(0.360 / 5.0).epsilon(0.1));
}

TEST_CASE("Load pattern: late jobs are rejected at once during a steady load of on-time jobs")
{
    BatchFixture fixture;
    RunBatch running;
    // Consecutive full batches of on-time jobs leave no capacity for other jobs.
    for (int i = 0; i < 12; ++i) {
        fixture.submit(8);
        fixture.submit(8);
        fixture.advanceTime(milliseconds(360));
        if (i > 0) {
            fixture.answer(running);
        }
        running = fixture.takeBatch();
    }
    fixture.scheduler.takeFinished();
    const JobId late = fixture.submit(8, milliseconds(100), {}, model::seconds(8));
    fixture.advanceTime(milliseconds(100));
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(!finished.empty());
    CHECK(finished.back().job == late);
    CHECK(finished.back().result.failure == JobFailure::Late);
}

TEST_CASE("Inputs that may be released early are released once they were fetched")
{
    BatchFixture fixture;
    StageJob job = jobOf("r", 0, fixture.now + model::seconds(2), fixture.now + model::seconds(8));
    job.inputs = {"i1", "i2"};
    job.releasesInputs = true;
    job.pieceCount = 6;
    fixture.scheduler.submit(job, fixture.now);
    const RunBatch batch = fixture.takeBatch();
    fixture.advanceTime(milliseconds(99));
    CHECK(fixture.scheduler.takeResultsToRelease().empty());
    REQUIRE(fixture.scheduler.nextRun() == fixture.now + milliseconds(1));
    fixture.advanceTime(milliseconds(1));
    CHECK(fixture.scheduler.takeResultsToRelease() == std::vector<ResultHandle> {"i1", "i2"});

    SECTION("and the result says so")
    {
        fixture.answer(batch);
        CHECK(fixture.scheduler.takeFinished().front().result.areInputsReleased);
        CHECK(fixture.scheduler.takeResultsToRelease().empty());
    }
    SECTION("and a piece that fails afterwards cannot run again")
    {
        fixture.answer(batch, ItemFailure::Error);
        CHECK(fixture.scheduler.takeFinished().front().result.failure == JobFailure::InputsGone);
    }
}

TEST_CASE("Inputs of a full batch's last pieces are kept, as their results may not be stored")
{
    BatchFixture fixture;
    StageJob job
        = jobOf("first", 0, fixture.now + model::seconds(2), fixture.now + model::seconds(8));
    job.pieceCount = 6;
    job.inputs = {"i1"};
    job.releasesInputs = true;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    fixture.scheduler.submit(job, fixture.now);
    job.request = model::CallerRequestId("second");
    job.pieceCount = 2;
    job.inputs = {"i2"};
    fixture.scheduler.submit(job, fixture.now);
    fixture.answer(running);
    REQUIRE(fixture.takeBatch().items.size() == 8);
    fixture.scheduler.takeResultsToRelease();
    fixture.advanceTime(milliseconds(150));
    CHECK(fixture.scheduler.takeResultsToRelease() == std::vector<ResultHandle> {"i1"});
}

TEST_CASE("A forecast contains the wait of each priority and decreases while no job is submitted")
{
    BatchFixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    const model::TimePoint deadline = fixture.now + model::seconds(9);
    const model::TimePoint due = fixture.now + model::seconds(4);
    fixture.scheduler.submit(jobOf("reply", 0, due, deadline), fixture.now);
    fixture.scheduler.submit(jobOf("note", 2, due, deadline), fixture.now);
    fixture.advanceTime(milliseconds(100));
    const QueueForecast forecast = fixture.scheduler.forecastOf(pool, fixture.now);
    CHECK(forecast.at(0).onTime == milliseconds(360));
    CHECK(forecast.at(1).onTime == milliseconds(360));
    CHECK(forecast.at(2).onTime == milliseconds(720));
    CHECK(forecast.at(9) == forecast.at(3));
    CHECK(forecast.after(milliseconds(500)).at(0).onTime == model::Duration::zero());
    CHECK(forecast.after(milliseconds(500)).at(2).onTime == milliseconds(220));
    CHECK(fixture.scheduler.forecastOf(model::PoolId("other"), fixture.now) == QueueForecast {});
    static_cast<void>(running);
}

TEST_CASE("An inquiry is answered at once with the pool's forecast")
{
    BatchFixture fixture;
    fixture.submit(8);
    fixture.submit(8);
    fixture.advanceTime(milliseconds(100));
    fixture.scheduler.submit({.pool = pool, .pieceCount = 0, .isInquiry = true}, fixture.now);
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished.front().result.failure == JobFailure::None);
    CHECK(finished.front().result.forecast.at(0).onTime == milliseconds(360));
}

// Guards against upstreams that have no storage left, while others that made nothing lately are
// idle.
TEST_CASE("Load pattern: batches of a half-used pool rotate over its upstreams")
{
    BatchFixture fixture({"a", "a", "a", "b"});
    std::vector<model::UpstreamId> used;
    for (int i = 0; i < 6; ++i) {
        fixture.submit(8, model::seconds(2), "a");
        const RunBatch batch = fixture.takeBatch();
        used.push_back(batch.upstream);
        fixture.advanceTime(milliseconds(360));
        fixture.answer(batch);
    }
    const std::vector<model::UpstreamId> order {model::UpstreamId("u0"), model::UpstreamId("u1"),
                                                model::UpstreamId("u2"), model::UpstreamId("u0"),
                                                model::UpstreamId("u1"), model::UpstreamId("u2")};
    CHECK(used == order);
}

// Guards against chains that start again from their first stage because the inputs of a piece were
// released before the upstream found that it cannot store the result.
TEST_CASE("Load pattern: inputs of pieces that found no storage the last time are kept")
{
    BatchFixture fixture;
    const auto submit = [&fixture](const std::string &request) {
        fixture.scheduler.submit({.pool = pool,
                                  .request = model::CallerRequestId(request),
                                  .stage = 1,
                                  .inputs = {request},
                                  .due = fixture.now + model::seconds(2),
                                  .deadline = fixture.now + model::seconds(8),
                                  .releasesInputs = true},
                                 fixture.now);
    };
    const auto answerWithStorageForTwo = [&fixture](const RunBatch &batch) {
        std::vector<ItemOutcome> outcomes(batch.items.size(), {.failure = ItemFailure::NoStorage});
        outcomes[0] = {.failure = ItemFailure::None, .handle = "h0"};
        outcomes[1] = {.failure = ItemFailure::None, .handle = "h1"};
        fixture.scheduler.onAnswered(batch.batch, outcomes, fixture.now);
    };
    fixture.submit(4);
    const RunBatch first = fixture.takeBatch();
    for (const char *request : {"a", "b", "c", "d"}) {
        submit(request);
    }
    answerWithStorageForTwo(first);
    fixture.advanceTime(milliseconds(80));
    const RunBatch second = fixture.takeBatch();
    REQUIRE(second.items.size() >= 4);
    fixture.scheduler.takeFinished();
    fixture.advanceTime(milliseconds(150));
    answerWithStorageForTwo(second);
    for (const FinishedJob &finished : fixture.scheduler.takeFinished()) {
        CHECK(finished.result.failure == JobFailure::None);
    }
}
