#include <set>

#include "relay/tests/batchfixture.h"
#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

constexpr uint32_t urgent = 0;
constexpr uint32_t patient = 2;

JobId submit(BatchFixture &fixture, const std::string &name, uint32_t priority, model::Duration due,
             std::vector<ResultHandle> inputs = {}, model::Duration workSpent = {},
             uint32_t pieces = 8)
{
    StageJob job {.pool = pool,
                  .request = model::CallerRequestId(name),
                  .pieceCount = pieces,
                  .inputs = std::move(inputs),
                  .priority = priority,
                  .due = fixture.now + due,
                  .deadline = fixture.now + model::seconds(20)};
    job.workSpent = workSpent;
    return fixture.scheduler.submit(std::move(job), fixture.now);
}

//! Lets the running batch end and returns the requests of the next one.
Names nextBatch(BatchFixture &fixture, RunBatch &running)
{
    fixture.advanceTime(milliseconds(360));
    fixture.answer(running);
    running = fixture.takeBatch();
    return requestsOf(running);
}

//! Routes of stages in one pool that a peer schedules: an urgent one and a patient one.
struct ChainFixture : RelayFixture {
    ChainFixture()
    {
        ConfigurationContent content = system.configuration()->content();
        content.revision = model::Revision(2);
        content.routes[4].priority = patient;
        content.routes.push_back(content.routes[4]);
        content.routes.back().id = model::RouteId("/urgent/");
        content.routes.back().prefix = "/urgent/";
        content.routes.back().priority = urgent;
        system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
        system.setPeers({{.id = model::DaemonId("d2"), .linkMbps = 100}}, now);
    }

    //! A request whose first stage ends with a forecast.
    void hearForecast(const QueueForecast &forecast)
    {
        const model::RequestId request = arrive("/staged/x");
        system.onForwardAnswered(take<ForwardJob>().job, {.handles = {"h"}, .forecast = forecast},
                                 now);
        system.onCallerDisconnected(request, now);
        collect();
        commands.clear();
    }
};

} // namespace

// Guards against urgent requests that became late and wait until no other request does.
TEST_CASE("Load pattern: a late urgent request runs before a burst of less urgent ones")
{
    BatchFixture fixture;
    fixture.submit(8);
    RunBatch running = fixture.takeBatch();
    for (int i = 0; i < 10; ++i) {
        submit(fixture, "cheap", patient, model::seconds(15));
    }
    submit(fixture, "dear", urgent, milliseconds(100));
    CHECK(nextBatch(fixture, running).front() == "dear");
    CHECK(nextBatch(fixture, running).front() == "cheap");
}

// Guards against refusals on arrival of the most urgent requests while less urgent ones that are
// on time fill the pool.
TEST_CASE("Load pattern: the forecast of a late urgent request leaves out less urgent ones")
{
    BatchFixture fixture;
    RunBatch running;
    for (int i = 0; i < 12; ++i) {
        submit(fixture, "cheap", patient, model::seconds(15));
        submit(fixture, "cheap", patient, model::seconds(15));
        fixture.advanceTime(milliseconds(360));
        if (i > 0) {
            fixture.answer(running);
        }
        running = fixture.takeBatch();
    }
    fixture.advanceTime(milliseconds(100));
    const QueueForecast forecast = fixture.scheduler.forecastOf(pool, fixture.now);
    CHECK(forecast.at(urgent).late == model::Duration::zero());
    CHECK(forecast.at(patient).late > model::seconds(4));
}

// Guards against less urgent requests that get nothing during a long overload.
TEST_CASE("Load pattern: less urgent requests keep a share of a pool that urgent ones fill")
{
    BatchFixture fixture;
    fixture.submit(8);
    RunBatch running = fixture.takeBatch();
    submit(fixture, "patient", patient, milliseconds(100));
    size_t patientPieces = 0;
    for (int i = 0; i < 40; ++i) {
        submit(fixture, "urgent", urgent, milliseconds(1000));
        const Names names = nextBatch(fixture, running);
        patientPieces += static_cast<size_t>(std::count(names.begin(), names.end(), "patient"));
    }
    CHECK(patientPieces == 8);
}

// Guards against finished stages that are thrown away because a request that has none was first.
TEST_CASE("Load pattern: among late requests those with finished stages run first")
{
    BatchFixture fixture;
    fixture.submit(8);
    RunBatch running = fixture.takeBatch();
    submit(fixture, "fresh", urgent, milliseconds(100));
    fixture.advanceTime(milliseconds(10));
    submit(fixture, "begun", urgent, milliseconds(100), {"input"}, milliseconds(50));
    CHECK(nextBatch(fixture, running).front() == "begun");
    CHECK(nextBatch(fixture, running).front() == "fresh");
}

// Guards against large requests that are displaced by every later small one.
TEST_CASE("Load pattern: a large late request is served before smaller ones that came later")
{
    BatchFixture fixture;
    fixture.submit(8);
    RunBatch running = fixture.takeBatch();
    submit(fixture, "large", urgent, milliseconds(100), {}, {}, 16);
    for (int i = 0; i < 6; ++i) {
        fixture.advanceTime(milliseconds(1));
        submit(fixture, "small", urgent, milliseconds(100), {}, {}, 2);
    }
    CHECK(nextBatch(fixture, running).front() == "large");
    CHECK(nextBatch(fixture, running).front() == "large");
    CHECK(nextBatch(fixture, running).front() == "small");
}

// Guards against an urgent chain that counts as late on arrival because less urgent requests wait
// long in its pools.
TEST_CASE("Load pattern: waits of less urgent requests do not make an urgent chain late")
{
    ChainFixture fixture;
    fixture.arrive("/urgent/x");
    const auto before = fixture.take<ForwardJob>();
    for (int i = 0; i < 30; ++i) {
        fixture.arrive("/staged/x");
        fixture.system.onForwardAnswered(
            fixture.take<ForwardJob>().job,
            {.failure = JobFailure::None, .handles = {"h"}, .duration = milliseconds(800)},
            fixture.now);
        fixture.collect();
        fixture.commands.clear();
    }
    fixture.arrive("/urgent/x");
    CHECK(fixture.take<ForwardJob>().content.due == before.content.due);
}

// Guards against callers that are refused together and return together.
TEST_CASE("Load pattern: callers that are refused together are told to return at different times")
{
    ChainFixture fixture;
    QueueForecast full;
    full.waits.fill({.onTime = model::seconds(3), .late = milliseconds(4000)});
    fixture.hearForecast(full);
    std::set<model::Duration> times;
    for (int i = 0; i < 20; ++i) {
        fixture.arrive("/staged/x");
        const auto refusal = fixture.take<RefuseRequest>();
        REQUIRE(refusal.refusal == Refusal::TooLate);
        CHECK(refusal.retryAfter >= milliseconds(300));
        times.insert(refusal.retryAfter);
    }
    CHECK(times.size() > 15);
    CHECK(fixture.system.counters().refused == 20);
}

// Guards against refusals by a state of the queue that has passed.
TEST_CASE("Load pattern: a forecast that is a second old counts as a second shorter")
{
    ChainFixture fixture;
    QueueForecast full;
    full.waits.fill({.onTime = model::seconds(3), .late = milliseconds(4000)});
    fixture.hearForecast(full);
    fixture.advanceTime(model::seconds(1));
    fixture.arrive("/staged/x");
    CHECK(fixture.count<RefuseRequest>() == 0);
    CHECK(fixture.count<ForwardJob>() == 1);
}

// Guards against a daemon that refuses because nothing has told it about the queues.
TEST_CASE("Load pattern: a daemon that hears no forecast admits and leaves it to the coordinator")
{
    ChainFixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.arrive("/staged/x");
    }
    CHECK(fixture.count<RefuseRequest>() == 0);
    CHECK(fixture.count<ForwardJob>() == 100);
}
