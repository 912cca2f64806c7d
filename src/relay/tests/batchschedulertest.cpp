#include "relay/tests/batchfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

using Fixture = BatchFixture;

} // namespace

TEST_CASE("Load pattern: pieces that arrive while an upstream is busy share its next batch")
{
    Fixture fixture;
    fixture.submit(1);
    const RunBatch first = fixture.takeBatch();
    CHECK(first.items.size() == 1);
    fixture.submit(2);
    fixture.submit(3);
    fixture.submit(1);
    CHECK(fixture.takeBatches().empty());
    fixture.advanceTime(milliseconds(220));
    fixture.answer(first);
    const RunBatch second = fixture.takeBatch();
    CHECK(requestsOf(second) == Names {"r2", "r2", "r3", "r3", "r3", "r4"});
    fixture.answer(second);
    CHECK(fixture.scheduler.takeFinished().size() == 4);
    CHECK(fixture.scheduler.jobCount() == 0);
}

TEST_CASE("Load pattern: in a load peak jobs that can meet their target run before late ones")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    fixture.submit(8, milliseconds(100));
    fixture.submit(8, milliseconds(1500));
    fixture.submit(8, milliseconds(900));
    fixture.advanceTime(milliseconds(360));
    fixture.answer(running);
    const RunBatch next = fixture.takeBatch();
    CHECK(requestsOf(next).front() == "r4");
    fixture.advanceTime(milliseconds(360));
    fixture.answer(next);
    const RunBatch after = fixture.takeBatch();
    CHECK(requestsOf(after).front() == "r3");
    fixture.advanceTime(milliseconds(360));
    fixture.answer(after);
    // Late jobs still run once no other job waits.
    CHECK(requestsOf(fixture.takeBatch()).front() == "r2");
}

TEST_CASE("Load pattern: a large request is split and does not block small ones")
{
    Fixture fixture({"a", "b"});
    fixture.submit(12);
    const std::vector<RunBatch> started = fixture.takeBatches();
    REQUIRE(started.size() == 2);
    CHECK(started[0].items.size() == 8);
    CHECK(started[1].items.size() == 4);
    CHECK(started[0].upstream != started[1].upstream);
    fixture.submit(6);
    fixture.submit(3);
    fixture.submit(2);
    fixture.answer(started[0]);
    // A batch of eight has room for two more pieces beside six, but not for three.
    CHECK(requestsOf(fixture.takeBatch())
          == Names {"r2", "r2", "r2", "r2", "r2", "r2", "r4", "r4"});
}

TEST_CASE("A job is done with its last piece and returns its results in order")
{
    Fixture fixture({"a", "b"});
    const JobId job = fixture.submit(10);
    const std::vector<RunBatch> started = fixture.takeBatches();
    fixture.answer(started[1]);
    CHECK(fixture.scheduler.takeFinished().empty());
    fixture.answer(started[0]);
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].job == job);
    REQUIRE(finished[0].result.handles.size() == 10);
    for (uint32_t i = 0; i < 10; ++i) {
        CHECK(finished[0].result.handles[i] == absl::StrCat("r1/", i));
    }
}

TEST_CASE("A job runs on an upstream of its preferred zone and waits briefly for one")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1, model::seconds(2), "b");
    const RunBatch first = fixture.takeBatch();
    CHECK(first.upstream == model::UpstreamId("u1"));
    fixture.advanceTime(milliseconds(120));
    fixture.submit(1, model::seconds(2), "b");
    CHECK(fixture.takeBatches().empty());
    fixture.advanceTime(milliseconds(100));
    fixture.answer(first);
    CHECK(fixture.takeBatch().upstream == model::UpstreamId("u1"));
}

TEST_CASE("A job result names the zone in which most pieces ran")
{
    Fixture fixture({"a", "b"});
    fixture.submit(9, milliseconds(900), "b");
    for (const RunBatch &batch : fixture.takeBatches()) {
        fixture.answer(batch);
    }
    CHECK(fixture.scheduler.takeFinished().front().result.zone == model::ZoneId("b"));
}

TEST_CASE("A job without slack runs on an upstream of any zone")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1, model::seconds(2), "b");
    fixture.takeBatch();
    fixture.submit(1, milliseconds(250), "b");
    CHECK(fixture.takeBatch().upstream == model::UpstreamId("u0"));
}

TEST_CASE("The wait for a preferred zone ends when its upstream does not become free in time")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1, model::seconds(2), "b");
    fixture.takeBatch();
    fixture.advanceTime(milliseconds(150));
    fixture.submit(1, model::seconds(2), "b");
    CHECK(fixture.takeBatches().empty());
    REQUIRE(fixture.scheduler.nextRun());
    fixture.advanceTime(milliseconds(150));
    CHECK(fixture.takeBatch().upstream == model::UpstreamId("u0"));
}

TEST_CASE("A refused batch is sent again after a pause and does not count as an attempt")
{
    Fixture fixture;
    fixture.submit(1);
    for (int i = 0; i < 8; ++i) {
        fixture.scheduler.onRefused(fixture.takeBatch().batch, fixture.now);
        CHECK(fixture.takeBatches().empty());
        fixture.advanceTime(milliseconds(100));
    }
    fixture.answer(fixture.takeBatch());
    CHECK(fixture.scheduler.takeFinished().size() == 1);
}

TEST_CASE("An upstream without storage for results gets no batch for a while")
{
    Fixture fixture;
    fixture.submit(2);
    const RunBatch first = fixture.takeBatch();
    fixture.scheduler.onAnswered(
        first.batch,
        {{.failure = ItemFailure::None, .handle = "h"}, {.failure = ItemFailure::NoStorage}},
        fixture.now);
    CHECK(fixture.takeBatches().empty());
    fixture.advanceTime(milliseconds(80));
    CHECK(fixture.takeBatch().items.size() == 1);
}

TEST_CASE("An overdue batch is cancelled and its pieces run on another upstream")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1);
    const RunBatch first = fixture.takeBatch();
    fixture.now += milliseconds(801);
    fixture.scheduler.run(fixture.now);
    const std::vector<BatchCommand> commands = fixture.scheduler.takeCommands();
    REQUIRE(commands.size() == 2);
    CHECK(std::get<CancelBatch>(commands[0]).batch == first.batch);
    const auto &second = std::get<RunBatch>(commands[1]);
    CHECK(second.upstream != first.upstream);
    fixture.answer(first);
    CHECK(fixture.scheduler.takeFinished().empty());
    fixture.answer(second);
    CHECK(fixture.scheduler.takeFinished().size() == 1);
}

TEST_CASE("A job fails when a piece has failed on every allowed attempt")
{
    Fixture fixture({"a", "b", "c", "d", "e"});
    fixture.submit(1);
    for (int i = 0; i < 4; ++i) {
        const std::vector<RunBatch> started = fixture.takeBatches();
        REQUIRE(started.size() == 1);
        fixture.scheduler.onBroken(started[0].batch, fixture.now);
    }
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.failure == JobFailure::Failed);
}

TEST_CASE("A job that cannot finish by its deadline fails at once")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    fixture.submit(1, milliseconds(100), {}, milliseconds(500));
    fixture.advanceTime(milliseconds(301));
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.failure == JobFailure::Late);
    CHECK(finished[0].result.retryAfter > model::Duration::zero());
}

TEST_CASE("A job with expired inputs fails before it is sent in a batch")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    StageJob job {.pool = pool,
                  .request = model::CallerRequestId("later"),
                  .inputs = {"x"},
                  .due = fixture.now + model::seconds(2),
                  .deadline = fixture.now + model::seconds(8),
                  .inputsExpireAt = fixture.now + milliseconds(300)};
    fixture.scheduler.submit(job, fixture.now);
    fixture.advanceTime(milliseconds(300));
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.failure == JobFailure::InputsGone);
}

TEST_CASE("Results of a cancelled job are released, including those that arrive later")
{
    Fixture fixture({"a", "b"});
    const JobId job = fixture.submit(10);
    const std::vector<RunBatch> started = fixture.takeBatches();
    fixture.answer(started[1]);
    fixture.scheduler.cancel(job);
    CHECK(fixture.scheduler.takeResultsToRelease() == std::vector<ResultHandle> {"r1/8", "r1/9"});
    fixture.answer(started[0]);
    CHECK(fixture.scheduler.takeResultsToRelease().size() == 8);
}

TEST_CASE("A leaving upstream gets no batch, and a pool without upstreams fails its jobs")
{
    Fixture fixture;
    fixture.directory.apply({.id = model::UpstreamId("u0"),
                             .pool = pool,
                             .address = {.host = "10.0.0.1", .port = 80},
                             .zone = model::ZoneId("a"),
                             .isLeaving = true});
    fixture.submit(1);
    CHECK(fixture.takeBatches().empty());
    fixture.directory.remove(model::UpstreamId("u0"));
    fixture.submit(1);
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 2);
    CHECK(finished[0].result.failure == JobFailure::Unavailable);
    CHECK(finished[1].result.failure == JobFailure::NoUpstream);
}

TEST_CASE("Load pattern: with every upstream busy, eight requests of one piece share one batch")
{
    Fixture fixture({"a", "b", "c"});
    for (int i = 0; i < 3; ++i) {
        fixture.submit(1);
    }
    const std::vector<RunBatch> running = fixture.takeBatches();
    REQUIRE(running.size() == 3);
    for (int i = 0; i < 8; ++i) {
        fixture.submit(1);
    }
    fixture.advanceTime(milliseconds(220));
    fixture.answer(running[0]);
    CHECK(fixture.takeBatch().items.size() == 8);
    fixture.answer(running[1]);
    CHECK(fixture.takeBatches().empty());
}

TEST_CASE("Load pattern: late jobs run in order of their priority")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    const auto submitLate
        = [&](const std::string &name, uint32_t priority, model::Duration deadline) {
              fixture.scheduler.submit({.pool = pool,
                                        .request = model::CallerRequestId(name),
                                        .pieceCount = 8,
                                        .priority = priority,
                                        .due = fixture.now,
                                        .deadline = fixture.now + deadline},
                                       fixture.now);
          };
    submitLate("patient", 2, model::seconds(5));
    submitLate("urgent", 0, model::seconds(6));
    fixture.advanceTime(milliseconds(360));
    fixture.answer(running);
    CHECK(requestsOf(fixture.takeBatch()).front() == "urgent");
}

TEST_CASE("Load pattern: in a load peak beyond the pool's capacity, jobs that cannot finish are "
          "rejected at once")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    // Thirty full batches of 360 ms each, for requests that have five seconds left.
    for (int i = 0; i < 30; ++i) {
        fixture.submit(8, milliseconds(100), {}, model::seconds(5));
    }
    fixture.advanceTime(milliseconds(100));
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    // Thirteen batches fit into that time.
    CHECK(finished.size() >= 16);
    CHECK(finished.size() <= 18);
    for (const FinishedJob &job : finished) {
        CHECK(job.result.failure == JobFailure::Late);
        CHECK(job.result.retryAfter >= model::seconds(4));
    }
    fixture.answer(running);
    CHECK(fixture.takeBatches().size() == 1);
}

TEST_CASE("Load pattern: no job is rejected in a load peak within the pool's capacity")
{
    Fixture fixture({"a", "b", "c"});
    for (int i = 0; i < 30; ++i) {
        fixture.submit(8, milliseconds(100), {}, model::seconds(5));
    }
    for (int turn = 0; turn < 60; ++turn) {
        for (const RunBatch &batch : fixture.takeBatches()) {
            fixture.answer(batch);
        }
        fixture.advanceTime(milliseconds(120));
    }
    for (const FinishedJob &job : fixture.scheduler.takeFinished()) {
        CHECK(job.result.failure == JobFailure::None);
    }
    CHECK(fixture.scheduler.jobCount() == 0);
}

TEST_CASE("Load pattern: in a load peak a more urgent job runs before one that is due slightly "
          "earlier")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.takeBatch();
    const auto submitOnTime = [&](const std::string &name, uint32_t priority, model::Duration due) {
        fixture.scheduler.submit({.pool = pool,
                                  .request = model::CallerRequestId(name),
                                  .pieceCount = 8,
                                  .priority = priority,
                                  .due = fixture.now + due,
                                  .deadline = fixture.now + model::seconds(9)},
                                 fixture.now);
    };
    submitOnTime("note", 2, milliseconds(1200));
    submitOnTime("reply", 0, milliseconds(1700));
    fixture.advanceTime(milliseconds(360));
    fixture.answer(running);
    const RunBatch next = fixture.takeBatch();
    CHECK(requestsOf(next).front() == "reply");
    fixture.advanceTime(milliseconds(360));
    fixture.answer(next);
    CHECK(requestsOf(fixture.takeBatch()).front() == "note");
}
