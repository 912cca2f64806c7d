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
    const RunBatch first = fixture.batch();
    CHECK(first.items.size() == 1);
    fixture.submit(2);
    fixture.submit(3);
    fixture.submit(1);
    CHECK(fixture.batches().empty());
    fixture.pass(milliseconds(220));
    fixture.answer(first);
    const RunBatch second = fixture.batch();
    CHECK(requestsOf(second) == Names {"r2", "r2", "r3", "r3", "r3", "r4"});
    fixture.answer(second);
    CHECK(fixture.scheduler.takeFinished().size() == 4);
    CHECK(fixture.scheduler.jobCount() == 0);
}

TEST_CASE("Load pattern: at a crest those that can meet their target go before those that cannot")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.batch();
    fixture.submit(8, milliseconds(100));
    fixture.submit(8, milliseconds(1500));
    fixture.submit(8, milliseconds(900));
    fixture.pass(milliseconds(360));
    fixture.answer(running);
    const RunBatch next = fixture.batch();
    CHECK(requestsOf(next).front() == "r4");
    fixture.pass(milliseconds(360));
    fixture.answer(next);
    const RunBatch after = fixture.batch();
    CHECK(requestsOf(after).front() == "r3");
    fixture.pass(milliseconds(360));
    fixture.answer(after);
    // Late work is still done, once nothing else waits.
    CHECK(requestsOf(fixture.batch()).front() == "r2");
}

TEST_CASE("Load pattern: one large request is split and does not keep small ones out")
{
    Fixture fixture({"a", "b"});
    fixture.submit(12);
    const std::vector<RunBatch> started = fixture.batches();
    REQUIRE(started.size() == 2);
    CHECK(started[0].items.size() == 8);
    CHECK(started[1].items.size() == 4);
    CHECK(started[0].upstream != started[1].upstream);
    fixture.submit(6);
    fixture.submit(3);
    fixture.submit(2);
    fixture.answer(started[0]);
    // Three pieces do not fit beside six, two do.
    CHECK(requestsOf(fixture.batch()) == Names {"r2", "r2", "r2", "r2", "r2", "r2", "r4", "r4"});
}

TEST_CASE("A job is done with its last piece and gives its results in order")
{
    Fixture fixture({"a", "b"});
    const JobId job = fixture.submit(10);
    const std::vector<RunBatch> started = fixture.batches();
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

TEST_CASE("A request goes to an upstream of its zone, and waits a little for one")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1, model::seconds(2), "b");
    const RunBatch first = fixture.batch();
    CHECK(first.upstream == model::UpstreamId("u1"));
    fixture.pass(milliseconds(120));
    fixture.submit(1, model::seconds(2), "b");
    CHECK(fixture.batches().empty());
    fixture.pass(milliseconds(100));
    fixture.answer(first);
    CHECK(fixture.batch().upstream == model::UpstreamId("u1"));
}

TEST_CASE("A result tells the zone in which most of it was made")
{
    Fixture fixture({"a", "b"});
    fixture.submit(9, milliseconds(900), "b");
    for (const RunBatch &batch : fixture.batches()) {
        fixture.answer(batch);
    }
    CHECK(fixture.scheduler.takeFinished().front().result.zone == model::ZoneId("b"));
}

TEST_CASE("A request without slack takes an upstream of any zone")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1, model::seconds(2), "b");
    fixture.batch();
    fixture.submit(1, milliseconds(250), "b");
    CHECK(fixture.batch().upstream == model::UpstreamId("u0"));
}

TEST_CASE("Waiting for a zone ends when its upstream does not come back in time")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1, model::seconds(2), "b");
    fixture.batch();
    fixture.pass(milliseconds(150));
    fixture.submit(1, model::seconds(2), "b");
    CHECK(fixture.batches().empty());
    REQUIRE(fixture.scheduler.nextRun());
    fixture.pass(milliseconds(150));
    CHECK(fixture.batch().upstream == model::UpstreamId("u0"));
}

TEST_CASE("A refused batch is sent again, elsewhere or after a pause, without counting as a try")
{
    Fixture fixture;
    fixture.submit(1);
    for (int i = 0; i < 8; ++i) {
        fixture.scheduler.onRefused(fixture.batch().batch, fixture.now);
        CHECK(fixture.batches().empty());
        fixture.pass(milliseconds(100));
    }
    fixture.answer(fixture.batch());
    CHECK(fixture.scheduler.takeFinished().size() == 1);
}

TEST_CASE("An upstream without room for results is given a pause")
{
    Fixture fixture;
    fixture.submit(2);
    const RunBatch first = fixture.batch();
    fixture.scheduler.onAnswered(
        first.batch,
        {{.failure = ItemFailure::None, .handle = "h"}, {.failure = ItemFailure::NoRoom}},
        fixture.now);
    CHECK(fixture.batches().empty());
    fixture.pass(milliseconds(80));
    CHECK(fixture.batch().items.size() == 1);
}

TEST_CASE("A batch that takes far too long runs elsewhere as well")
{
    Fixture fixture({"a", "b"});
    fixture.submit(1);
    const RunBatch first = fixture.batch();
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

TEST_CASE("A job that fails everywhere fails")
{
    Fixture fixture({"a", "b", "c", "d", "e"});
    fixture.submit(1);
    for (int i = 0; i < 4; ++i) {
        const std::vector<RunBatch> started = fixture.batches();
        REQUIRE(started.size() == 1);
        fixture.scheduler.onBroken(started[0].batch, fixture.now);
    }
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.failure == JobFailure::Failed);
}

TEST_CASE("A job that cannot be done by its deadline is given up at once")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.batch();
    fixture.submit(1, milliseconds(100), {}, milliseconds(500));
    fixture.pass(milliseconds(301));
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.failure == JobFailure::Late);
    CHECK(finished[0].result.retryAfter > model::Duration::zero());
}

TEST_CASE("Expired inputs fail a job before it costs a batch")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.batch();
    StageJob job {.pool = pool,
                  .request = model::CallerRequestId("later"),
                  .inputs = {"x"},
                  .due = fixture.now + model::seconds(2),
                  .deadline = fixture.now + model::seconds(8),
                  .inputsUntil = fixture.now + milliseconds(300)};
    fixture.scheduler.submit(job, fixture.now);
    fixture.pass(milliseconds(300));
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.failure == JobFailure::InputsGone);
}

TEST_CASE("Results of a cancelled job are given back, also those that come later")
{
    Fixture fixture({"a", "b"});
    const JobId job = fixture.submit(10);
    const std::vector<RunBatch> started = fixture.batches();
    fixture.answer(started[1]);
    fixture.scheduler.cancel(job);
    CHECK(fixture.scheduler.takeAbandoned() == std::vector<ResultHandle> {"r1/8", "r1/9"});
    fixture.answer(started[0]);
    CHECK(fixture.scheduler.takeAbandoned().size() == 8);
}

TEST_CASE("A leaving upstream gets no batch, and a pool without any refuses")
{
    Fixture fixture;
    fixture.directory.apply({.id = model::UpstreamId("u0"),
                             .pool = pool,
                             .address = {.host = "10.0.0.1", .port = 80},
                             .zone = model::ZoneId("a"),
                             .isLeaving = true});
    fixture.submit(1);
    CHECK(fixture.batches().empty());
    fixture.directory.remove(model::UpstreamId("u0"));
    fixture.submit(1);
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.failure == JobFailure::NoUpstream);
}

TEST_CASE("Load pattern: with every upstream busy, eight requests of one piece cost one batch")
{
    Fixture fixture({"a", "b", "c"});
    for (int i = 0; i < 3; ++i) {
        fixture.submit(1);
    }
    const std::vector<RunBatch> running = fixture.batches();
    REQUIRE(running.size() == 3);
    for (int i = 0; i < 8; ++i) {
        fixture.submit(1);
    }
    fixture.pass(milliseconds(220));
    fixture.answer(running[0]);
    CHECK(fixture.batch().items.size() == 8);
    fixture.answer(running[1]);
    CHECK(fixture.batches().empty());
}

TEST_CASE("Load pattern: among late requests the more urgent kind goes first")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.batch();
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
    fixture.pass(milliseconds(360));
    fixture.answer(running);
    CHECK(requestsOf(fixture.batch()).front() == "urgent");
}

TEST_CASE("Load pattern: under a crest that the pool cannot serve, those without a chance are told "
          "at once")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.batch();
    // Thirty full batches of 360 ms each, for requests that have five seconds left.
    for (int i = 0; i < 30; ++i) {
        fixture.submit(8, milliseconds(100), {}, model::seconds(5));
    }
    fixture.pass(milliseconds(100));
    const std::vector<FinishedJob> finished = fixture.scheduler.takeFinished();
    // Thirteen batches can be done in that time.
    CHECK(finished.size() >= 16);
    CHECK(finished.size() <= 18);
    for (const FinishedJob &job : finished) {
        CHECK(job.result.failure == JobFailure::Late);
        CHECK(job.result.retryAfter >= model::seconds(4));
    }
    fixture.answer(running);
    CHECK(fixture.batches().size() == 1);
}

TEST_CASE("Load pattern: a crest that the pool can serve refuses nobody")
{
    Fixture fixture({"a", "b", "c"});
    for (int i = 0; i < 30; ++i) {
        fixture.submit(8, milliseconds(100), {}, model::seconds(5));
    }
    for (int turn = 0; turn < 60; ++turn) {
        for (const RunBatch &batch : fixture.batches()) {
            fixture.answer(batch);
        }
        fixture.pass(milliseconds(120));
    }
    for (const FinishedJob &job : fixture.scheduler.takeFinished()) {
        CHECK(job.result.failure == JobFailure::None);
    }
    CHECK(fixture.scheduler.jobCount() == 0);
}

TEST_CASE("Load pattern: under a crest the more urgent kind is served before one that is due a "
          "little sooner")
{
    Fixture fixture;
    fixture.submit(8);
    const RunBatch running = fixture.batch();
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
    fixture.pass(milliseconds(360));
    fixture.answer(running);
    const RunBatch next = fixture.batch();
    CHECK(requestsOf(next).front() == "reply");
    fixture.pass(milliseconds(360));
    fixture.answer(next);
    CHECK(requestsOf(fixture.batch()).front() == "note");
}
