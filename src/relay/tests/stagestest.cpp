#include "relay/tests/relayfixture.h"

#include <set>

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

using Handles = std::vector<ResultHandle>;

const PeerDaemon self {.id = model::DaemonId("d1"), .address = "10.0.0.1:1"};

//! Sets and returns two peers of which the one that is not the fixture's daemon schedules the stage
//! pool.
std::vector<PeerDaemon> peersWithCoordinator(RelayFixture &fixture)
{
    for (int i = 2; i < 20; ++i) {
        const PeerDaemon other {.id = model::DaemonId(absl::StrCat("d", i)),
                                .address = absl::StrCat("10.0.0.", i, ":1")};
        fixture.system.setPeers({self, other}, fixture.now);
        fixture.arrive("/staged/x");
        const bool isForwarded = fixture.count<ForwardJob>() > 0;
        fixture.system.onCallerDisconnected(model::RequestId(fixture.lastRequest), fixture.now);
        fixture.collect();
        fixture.commands.clear();
        if (isForwarded) {
            return {self, other};
        }
    }
    FAIL("no coordinator");
    return {};
}

//! The fixture's configuration with other stages for the route "/staged/".
RelayConfigurationPtr withStages(std::vector<StageRule> stages)
{
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    constexpr size_t staged = 4;
    content.routes[staged].stages = std::move(stages);
    return std::make_shared<RelayConfiguration>(std::move(content));
}

//! The log line of the refusal of a request that is refused on arrival.
std::string refusalLine(RelayFixture &fixture, const std::string &path)
{
    fixture.system.onRequestArrived({.request = model::RequestId(++fixture.lastRequest),
                                     .callerId = model::CallerRequestId("c"),
                                     .host = "example",
                                     .path = path,
                                     .accountKey = "key",
                                     .startedAt = fixture.now,
                                     .pieceKey = "piece"},
                                    fixture.now);
    for (const RelayCommand &command : fixture.system.takeCommands()) {
        const auto *event = std::get_if<observability::Event>(&command);
        if (event && event->code == observability::EventCode::ExchangeRefused) {
            return event->detail;
        }
    }
    return {};
}

} // namespace

TEST_CASE("A request is sent after its stages are done, with their final results as inputs")
{
    RelayFixture fixture;
    const model::RequestId id = fixture.arrive("/staged/x");
    CHECK(fixture.count<StartAttempt>() == 0);
    fixture.answerBatch();
    CHECK(fixture.count<StartAttempt>() == 0);
    fixture.answerBatch();
    CHECK(fixture.take<ReleaseResults>().handles == Handles {"h0/1"});
    const auto attempt = fixture.take<StartAttempt>();
    CHECK(attempt.hasStages);
    CHECK(attempt.inputs == Handles {"h1/2"});
    CHECK(fixture.count<ReleaseResults>() == 0);
    fixture.head(attempt.attempt, RelayFixture::success());
    CHECK(fixture.take<ReleaseResults>().handles == Handles {"h1/2"});
    fixture.end(attempt.attempt);
    CHECK(fixture.take<FinishStream>().request == id);
}

TEST_CASE("Stages whose results were lost are restarted once")
{
    RelayFixture fixture;
    fixture.arrive("/staged/x");
    fixture.answerBatch();
    fixture.answerBatch();
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::notRun(409));
    fixture.answerBatch();
    fixture.answerBatch();
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::notRun(409));
    CHECK(fixture.count<RunBatch>() == 0);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::StagesFailed);
}

TEST_CASE("The stages are restarted when inputs are lost")
{
    RelayFixture fixture;
    fixture.arrive("/staged/x");
    fixture.answerBatch();
    fixture.answerBatch(ItemFailure::InputsGone);
    CHECK(fixture.take<RunBatch>().items.front().stage == 0);
}

TEST_CASE("Stage results are released when the caller disconnects")
{
    RelayFixture fixture;
    const model::RequestId id = fixture.arrive("/staged/x");
    fixture.answerBatch();
    fixture.system.onCallerDisconnected(id, fixture.now);
    fixture.collect();
    CHECK(fixture.take<ReleaseResults>().handles == Handles {"h0/1"});
}

TEST_CASE("A stream that cannot begin within its caller's timeout is refused")
{
    RelayFixture fixture;
    fixture.arrive("/staged/x");
    const auto batch = fixture.take<RunBatch>();
    for (int i = 0; i < 80; ++i) {
        fixture.advanceTime(milliseconds(100));
        while (fixture.count<RunBatch>() > 0) {
            fixture.system.onBatchRefused(fixture.take<RunBatch>().batch, fixture.now);
            fixture.collect();
        }
        if (fixture.count<RefuseRequest>() > 0) {
            break;
        }
    }
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(guaranteesNotRun(refusal.refusal));
    // Four times the latency target of two seconds is the longest of the three caller timeouts.
    CHECK(fixture.now < model::TimePoint(model::seconds(108)));
    static_cast<void>(batch);
}

TEST_CASE("Stage jobs are forwarded to the daemon that schedules their pool")
{
    RelayFixture fixture;
    const std::vector<PeerDaemon> peers = peersWithCoordinator(fixture);
    fixture.arrive("/staged/x");
    CHECK(fixture.count<RunBatch>() == 0);
    const auto forward = fixture.take<ForwardJob>();
    CHECK(forward.peer == peers[1]);
    CHECK(forward.content.key == "piece");
    fixture.system.onForwardAnswered(forward.job, {.handles = {"h"}}, fixture.now);
    fixture.collect();
    CHECK(fixture.take<ForwardJob>().content.inputs == Handles {"h"});
}

// Guards against requests that seem to have more work behind them than was done for them: they
// displace others when there is too little room.
TEST_CASE("The work of a stage that precedes another one on two paths counts once")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    fixture.system.setConfiguration(withStages({{.pool = stagePool},
                                                {.pool = stagePool, .after = {0}},
                                                {.pool = stagePool, .after = {0, 1}}}));
    fixture.arrive("/staged/x");
    // A piece takes 20 ms and an eighth of the 200 ms of a call.
    for (const auto workSpent : {milliseconds(0), milliseconds(45), milliseconds(90)}) {
        const auto forward = fixture.take<ForwardJob>();
        CHECK(forward.content.workSpent == workSpent);
        fixture.system.onForwardAnswered(forward.job, {.handles = {"h"}}, fixture.now);
        fixture.collect();
    }
}

// Guards against a wait that leaves out the stages with later numbers.
TEST_CASE("The expected wait for a chain of stages does not depend on their numbers")
{
    constexpr uint32_t count = 50;
    std::vector<StageRule> forward(count, {.pool = stagePool});
    std::vector<StageRule> backward(count, {.pool = stagePool});
    for (uint32_t i = 1; i < count; ++i) {
        forward[i].after = {i - 1};
        backward[i - 1].after = {i};
    }
    for (const std::vector<StageRule> &stages : {forward, backward}) {
        RelayFixture fixture;
        fixture.system.setConfiguration(withStages(stages));
        const std::string refusal = refusalLine(fixture, "/staged/x");
        // Each stage has one piece: 200 ms for the call and 20 ms for the piece.
        CHECK(refusal.find("why=too-late") != std::string::npos);
        CHECK(refusal.find("lateWaitMs=11000 ") != std::string::npos);
    }
}

// Guards against estimates whose time doubles with each stage.
TEST_CASE("Load pattern: many stages that all follow each other are planned at once")
{
    constexpr uint32_t count = 64;
    std::vector<StageRule> stages(count, {.pool = deskPool});
    for (uint32_t i = 0; i < count; ++i) {
        for (uint32_t before = 0; before < i; ++before) {
            stages[i].after.push_back(before);
        }
    }
    RelayFixture fixture;
    fixture.system.setConfiguration(withStages(stages));
    fixture.arrive("/staged/x");
    CHECK(fixture.system.requestCount() <= 1);
}

TEST_CASE("Load pattern: only daemons with fast network links schedule pools")
{
    RelayFixture fixture;
    const PeerDaemon narrow {.id = model::DaemonId("d1"), .address = "10.0.0.1:1", .linkMbps = 10};
    std::vector<PeerDaemon> peers {narrow};
    for (int i = 2; i < 30; ++i) {
        peers.push_back({.id = model::DaemonId(absl::StrCat("d", i)),
                         .address = absl::StrCat("10.0.0.", i, ":1"),
                         .linkMbps = i == 17 ? 200U : 10U});
    }
    fixture.system.setPeers(peers, fixture.now);
    fixture.arrive("/staged/x");
    CHECK(fixture.take<ForwardJob>().peer.id == model::DaemonId("d17"));
    // Without the fast one, all daemons have equal links.
    std::erase_if(peers, [](const PeerDaemon &peer) { return peer.linkMbps == 200; });
    fixture.system.setPeers(peers, fixture.now);
    fixture.arrive("/staged/x");
    CHECK(fixture.count<ForwardJob>() + fixture.count<RunBatch>() == 1);
}

TEST_CASE("A coordinator that fails is avoided for a while and its jobs are scheduled locally")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    fixture.arrive("/staged/x");
    fixture.system.onForwardFailed(fixture.take<ForwardJob>().job, fixture.now);
    fixture.collect();
    CHECK(fixture.count<RunBatch>() == 1);
    fixture.commands.clear();
    fixture.arrive("/staged/x");
    CHECK(fixture.count<ForwardJob>() == 0);
    fixture.advanceTime(model::seconds(3));
    fixture.commands.clear();
    fixture.arrive("/staged/x");
    CHECK(fixture.count<ForwardJob>() == 1);
}

TEST_CASE("A coordinator that does not answer is considered stuck")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    fixture.arrive("/staged/x");
    const auto forward = fixture.take<ForwardJob>();
    fixture.advanceTime(milliseconds(1499));
    CHECK(fixture.count<CancelForwardedJob>() == 0);
    fixture.advanceTime(milliseconds(1));
    CHECK(fixture.take<CancelForwardedJob>().job == forward.job);
    CHECK(fixture.count<RunBatch>() == 1);
}

TEST_CASE("Load pattern: a coordinator that answers inquiries is not considered stuck")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    fixture.arrive("/staged/x");
    fixture.take<ForwardJob>();
    for (int i = 0; i < 5; ++i) {
        fixture.advanceTime(milliseconds(700));
        const auto inquiry = fixture.take<ForwardJob>();
        REQUIRE(inquiry.content.isInquiry);
        fixture.advanceTime(milliseconds(2));
        CHECK(fixture.count<ForwardJob>() == 0);
        fixture.system.onForwardAnswered(inquiry.job, {}, fixture.now);
        fixture.collect();
    }
    CHECK(fixture.count<CancelForwardedJob>() == 0);
    CHECK(fixture.count<RunBatch>() == 0);
}

TEST_CASE("A failed inquiry alone does not make a coordinator considered stuck")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    fixture.arrive("/staged/x");
    fixture.take<ForwardJob>();
    fixture.advanceTime(milliseconds(700));
    fixture.system.onForwardFailed(fixture.take<ForwardJob>().job, fixture.now);
    fixture.collect();
    CHECK(fixture.count<RunBatch>() == 0);
    fixture.advanceTime(milliseconds(800));
    CHECK(fixture.count<RunBatch>() == 1);
}

TEST_CASE("Load pattern: a request that cannot finish because of long queues is refused on arrival")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    const model::RequestId first = fixture.arrive("/staged/x");
    QueueForecast full;
    full.waits.fill({.onTime = model::seconds(3), .late = model::seconds(9)});
    fixture.system.onForwardAnswered(fixture.take<ForwardJob>().job,
                                     {.handles = {"h"}, .forecast = full}, fixture.now);
    fixture.system.onCallerDisconnected(first, fixture.now);
    fixture.collect();
    fixture.commands.clear();
    // Two stages of nine seconds each against a caller that waits for eight.
    fixture.arrive("/staged/x");
    CHECK(fixture.count<ForwardJob>() == 0);
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(refusal.refusal == Refusal::TooLate);
    CHECK(refusal.retryAfter > model::seconds(10));
    // Without new jobs the queue is short again after some seconds.
    fixture.advanceTime(model::seconds(7));
    fixture.arrive("/staged/x");
    CHECK(fixture.count<ForwardJob>() == 1);
}

TEST_CASE("Load pattern: a stage prefers the zone in which its inputs were produced")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    fixture.arrive("/staged/x");
    const auto first = fixture.take<ForwardJob>();
    CHECK(first.content.preferredZone == model::ZoneId("a"));
    fixture.system.onForwardAnswered(first.job, {.handles = {"h"}, .zone = model::ZoneId("b")},
                                     fixture.now);
    fixture.collect();
    CHECK(fixture.take<ForwardJob>().content.preferredZone == model::ZoneId("b"));
}

TEST_CASE("A job is scheduled locally if its coordinator has no upstreams")
{
    RelayFixture fixture;
    peersWithCoordinator(fixture);
    fixture.arrive("/staged/x");
    fixture.system.onForwardAnswered(fixture.take<ForwardJob>().job,
                                     {.failure = JobFailure::NoUpstream}, fixture.now);
    fixture.collect();
    CHECK(fixture.count<RunBatch>() == 1);
}

TEST_CASE("A peer's job is run and answered, or cancelled when the peer disconnects")
{
    RelayFixture fixture;
    const StageJob job {.pool = stagePool,
                        .request = model::CallerRequestId("theirs"),
                        .pieceCount = 2,
                        .key = "k",
                        .due = fixture.now + model::seconds(1),
                        .deadline = fixture.now + model::seconds(5)};
    fixture.system.onPeerJob(17, job, fixture.now);
    fixture.collect();
    fixture.answerBatch();
    const auto answer = fixture.take<AnswerPeer>();
    CHECK(answer.exchange == 17);
    CHECK(answer.result.handles.size() == 2);
    fixture.system.onPeerJob(18, job, fixture.now);
    fixture.collect();
    fixture.system.onPeerDisconnected(18);
    fixture.answerBatch();
    CHECK(fixture.count<AnswerPeer>() == 0);
    CHECK(fixture.take<ReleaseResults>().handles.size() == 2);
}

TEST_CASE("Daemons with the same list of members choose the same coordinator for a pool")
{
    std::vector<PeerDaemon> peers;
    for (int i = 1; i <= 6; ++i) {
        peers.push_back({.id = model::DaemonId(absl::StrCat("d", i)),
                         .address = absl::StrCat("10.0.0.", i, ":1")});
    }
    std::set<std::string> coordinators;
    for (const PeerDaemon &peer : peers) {
        RelaySystem system({.daemon = peer.id});
        system.setConfiguration(RelayFixture::configuration(1));
        system.upstreams().apply({.id = model::UpstreamId("s"), .pool = stagePool});
        system.setPeers(peers, model::TimePoint());
        system.onRequestArrived({.request = model::RequestId(1),
                                 .callerId = model::CallerRequestId("c"),
                                 .host = "example",
                                 .path = "/staged/x",
                                 .accountKey = "key"},
                                model::TimePoint(model::seconds(1)));
        for (const RelayCommand &command : system.takeCommands()) {
            if (const auto *forward = std::get_if<ForwardJob>(&command)) {
                coordinators.insert(forward->peer.id.text());
            }
            if (std::holds_alternative<RunBatch>(command)) {
                coordinators.insert(peer.id.text());
            }
        }
    }
    CHECK(coordinators.size() == 1);
}

// Guards against memory that is read after it was freed: questions to several silent coordinators
// are kept in the table that names the coordinators.
TEST_CASE("Several coordinators that are silent at once are each asked once")
{
    RelayFixture fixture;
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    constexpr int pools = 14;
    content.routes[4].stages.clear();
    for (int i = 0; i < pools; ++i) {
        PoolRule pool = content.pools[2];
        pool.id = model::PoolId(absl::StrCat("stages-", i));
        content.routes[4].stages.push_back({.pool = pool.id});
        content.pools.push_back(std::move(pool));
    }
    fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    std::vector<PeerDaemon> peers;
    for (int i = 1; i <= 20; ++i) {
        peers.push_back({.id = model::DaemonId(absl::StrCat("d", i)),
                         .address = absl::StrCat("10.0.0.", i, ":1")});
    }
    fixture.system.setPeers(peers, fixture.now);
    for (int i = 0; i < pools; ++i) {
        fixture.listUpstream(model::PoolId(absl::StrCat("stages-", i)), absl::StrCat("x", i));
    }
    fixture.arrive("/staged/x");
    std::set<std::string> coordinators;
    while (fixture.count<ForwardJob>() > 0) {
        coordinators.insert(fixture.take<ForwardJob>().peer.address);
    }
    REQUIRE(coordinators.size() > 5);
    fixture.advanceTime(milliseconds(800));
    std::set<std::string> asked;
    while (fixture.count<ForwardJob>() > 0) {
        const auto inquiry = fixture.take<ForwardJob>();
        CHECK(inquiry.content.isInquiry);
        CHECK(asked.insert(inquiry.peer.address).second);
    }
    CHECK(asked == coordinators);
}
