#include "relay/tests/noticefixture.h"

// Each test guards against BUDGET: an upstream that asked this daemon for a rest is sent work
// before the rest is over.

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

using Names = NoticeFixture::Names;

namespace
{

constexpr model::Duration rest = model::seconds(20);

//! Daemons that one upstream asked for a rest at the same moment.
class RestingFleet
{
public:
    //! Each daemon knows of \a knownPeers daemons.
    RestingFleet(size_t daemons, size_t knownPeers)
    {
        for (size_t i = 0; i < daemons; ++i) {
            auto daemon = std::make_unique<RelaySystem>(
                RelayOptions {.daemon = model::DaemonId(absl::StrCat("d", i)),
                              .zone = model::ZoneId("a"),
                              .retries = {},
                              .seed = 1 + i});
            daemon->setConfiguration(RelayFixture::configuration(1));
            std::vector<PeerDaemon> peers;
            for (size_t peer = 0; peer < knownPeers; ++peer) {
                peers.push_back({.id = model::DaemonId(absl::StrCat("d", peer)), .address = {}});
            }
            daemon->setPeers(std::move(peers), model::TimePoint());
            daemon->upstreams().apply({.id = model::UpstreamId("k0"),
                                       .pool = deskPool,
                                       .address = {.host = "10.0.0.1", .port = 80},
                                       .zone = model::ZoneId("a"),
                                       .slots = 4,
                                       .incarnation = NoticeFixture::firstStart});
            daemon->onUpstreamNotice({.upstream = model::UpstreamId("k0"),
                                      .incarnation = NoticeFixture::firstStart,
                                      .request = {}},
                                     {.rest = rest}, m_start);
            m_daemons.push_back(std::move(daemon));
        }
    }

    //! Number of requests that reach the upstream in this time after the end of the rest, while
    //! each daemon gets one every 100 ms.
    size_t arrivals(model::Duration from, model::Duration until)
    {
        constexpr model::Duration interval = milliseconds(100);
        size_t count = 0;
        for (model::Duration at = from; at < until; at += interval) {
            for (const auto &daemon : m_daemons) {
                count += sends(*daemon, m_start + rest + at) ? 1 : 0;
            }
        }
        return count;
    }

private:
    bool sends(RelaySystem &daemon, model::TimePoint now)
    {
        const model::RequestId id(++m_lastRequest);
        daemon.onRequestArrived({.request = id,
                                 .callerId = model::CallerRequestId(absl::StrCat("c", id.value())),
                                 .host = "example",
                                 .path = "/safe/x",
                                 .accountKey = "key",
                                 .startedAt = now},
                                now);
        bool isSent = false;
        for (const RelayCommand &command : daemon.takeCommands()) {
            if (const auto *attempt = std::get_if<StartAttempt>(&command)) {
                isSent = true;
                daemon.onAttemptHead(attempt->attempt, RelayFixture::success(), now);
                daemon.onAttemptEnd(attempt->attempt, now);
                daemon.takeCommands();
            }
        }
        return isSent;
    }

    model::TimePoint m_start {model::seconds(100)};
    std::vector<std::unique_ptr<RelaySystem>> m_daemons;
    uint64_t m_lastRequest = 0;
};

} // namespace

TEST_CASE("An upstream that asked for a rest gets no request of any kind until the rest is over")
{
    NoticeFixture fixture;
    fixture.askRest("e0", rest);
    fixture.askRest("k0", rest);
    fixture.advanceTime(rest - milliseconds(1));
    CHECK(fixture.usedBy("/safe/x") == Names {"k1"});
    CHECK(fixture.usedBy("/once/x") == Names {"k1"});
    CHECK(fixture.usedBy("/stream/x") == Names {"e1"});
    CHECK(fixture.usedBy("/resume/x") == Names {"e1"});
    fixture.advanceTime(model::seconds(1));
    CHECK(fixture.usedBy("/safe/x").contains("k0"));
    CHECK(fixture.usedBy("/stream/x").contains("e0"));
}

TEST_CASE("Neither a success, a shorter rest nor a listing of the same start ends a rest early")
{
    NoticeFixture fixture;
    fixture.arrive("/safe/x");
    const auto attempt = fixture.take<StartAttempt>();
    const std::string resting = attempt.upstream.text();
    const std::string other = resting == "k0" ? "k1" : "k0";
    fixture.askRest(resting, rest);
    SECTION("a success of an earlier request")
    {
        fixture.answer(attempt.attempt, RelayFixture::success());
    }
    SECTION("a shorter rest")
    {
        fixture.askRest(resting, model::seconds(1));
    }
    SECTION("a listing of the same start")
    {
        fixture.system.upstreams().apply({.id = model::UpstreamId(resting),
                                          .pool = deskPool,
                                          .address = {.host = "10.0.0.2", .port = 80},
                                          .zone = model::ZoneId("b"),
                                          .slots = 9,
                                          .incarnation = NoticeFixture::firstStart});
    }
    SECTION("an entry that is removed and back")
    {
        fixture.system.upstreams().remove(model::UpstreamId(resting));
        fixture.list(deskPool, resting);
    }
    fixture.advanceTime(rest - milliseconds(1));
    CHECK(fixture.usedBy("/safe/x") == Names {other});
}

TEST_CASE("A restart of the upstream ends its rest")
{
    NoticeFixture fixture;
    fixture.askRest("k0", rest);
    fixture.list(deskPool, "k0", NoticeFixture::firstStart + 1);
    CHECK(fixture.usedBy("/safe/x").contains("k0"));
}

TEST_CASE("A request that an upstream turns away for a rest is retried elsewhere without a strike")
{
    NoticeFixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.commands.clear();
        fixture.arrive("/safe/x");
        const auto first = fixture.take<StartAttempt>();
        if (first.upstream.text() != "k0") {
            continue;
        }
        fixture.askRest("k0", rest);
        fixture.answer(first.attempt, RelayFixture::notRun());
        CHECK(fixture.take<StartAttempt>().upstream == model::UpstreamId("k1"));
        break;
    }
    const Upstream &resting = *fixture.system.upstreams().find(model::UpstreamId("k0"));
    CHECK(resting.consecutiveFailures == 0);
    CHECK_FALSE(resting.isOnTrial);
}

TEST_CASE("A stream is not resumed at an upstream that rests, nor a retry sent there")
{
    NoticeFixture fixture;
    fixture.askRest("e0", model::seconds(15));
    fixture.askRest("k0", milliseconds(250));
    fixture.arrive("/resume/x");
    const auto stream = fixture.take<StartAttempt>();
    fixture.head(stream.attempt, RelayFixture::success());
    fixture.fail(stream.attempt, AttemptFailure::Broken, "3");
    CHECK(fixture.count<AbortAnswer>() == 1);
    fixture.arrive("/safe/x");
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success(500));
    CHECK(fixture.count<StartAttempt>() == 0);
}

TEST_CASE("Queued pieces of this and of other daemons do not go to an upstream that rests")
{
    NoticeFixture fixture;
    fixture.arrive("/staged/x");
    const auto running = fixture.take<RunBatch>();
    const std::string other = running.upstream.text() == "s0" ? "s1" : "s0";
    fixture.askRest(other, rest);
    fixture.arrive("/staged/x");
    fixture.system.onPeerJob(1,
                             {.pool = stagePool,
                              .request = model::CallerRequestId("p"),
                              .key = "k",
                              .due = fixture.now + model::seconds(2),
                              .deadline = fixture.now + model::seconds(4)},
                             fixture.now);
    fixture.advanceTime(milliseconds(200));
    CHECK(fixture.count<RunBatch>() == 0);
    fixture.system.onBatchAnswered(running.batch, {{.failure = ItemFailure::None, .handle = "h"}},
                                   fixture.now);
    fixture.collect();
    CHECK(fixture.take<RunBatch>().upstream == running.upstream);
    CHECK(fixture.count<RunBatch>() == 0);
}

// Guards against requests that wait for a connection and arrive long after the upstream's answer.
TEST_CASE("A request that was not sent yet goes elsewhere without a strike for the upstream")
{
    NoticeFixture fixture;
    fixture.arrive("/once/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.askRest(first.upstream.text(), rest);
    CHECK(fixture.take<RecallCalls>().upstream == first.upstream);
    fixture.system.onAttemptRecalled(first.attempt, fixture.now);
    fixture.collect();
    CHECK(fixture.take<StartAttempt>().upstream != first.upstream);
    CHECK(fixture.system.upstreams().find(first.upstream)->consecutiveFailures == 0);
    CHECK(fixture.system.upstreams().find(first.upstream)->inFlight == 0);
}

TEST_CASE("A pool whose upstreams all rest refuses at once, with the time at which one is back")
{
    NoticeFixture fixture;
    for (const char *id : {"e0", "k0"}) {
        fixture.askRest(id, model::seconds(3));
    }
    for (const char *id : {"e1", "k1"}) {
        fixture.askRest(id, rest);
    }
    for (const char *path : {"/safe/x", "/once/x", "/stream/x", "/resume/x"}) {
        CAPTURE(path);
        fixture.commands.clear();
        fixture.arrive(path);
        CHECK(fixture.count<StartAttempt>() == 0);
        const auto refusal = fixture.take<RefuseRequest>();
        CHECK(guaranteesNotRun(refusal.refusal));
        CHECK(refusal.retryAfter >= model::seconds(3));
        CHECK(refusal.retryAfter < model::seconds(4));
    }
}

TEST_CASE("A request runs no stage if a pool that it needs rests for longer than it can wait")
{
    const auto *pool = GENERATE("e", "s");
    CAPTURE(pool);
    NoticeFixture fixture;
    fixture.askRest(absl::StrCat(pool, "0"), rest);
    fixture.askRest(absl::StrCat(pool, "1"), rest);
    fixture.arrive("/staged/x");
    CHECK(fixture.count<RunBatch>() == 0);
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(guaranteesNotRun(refusal.refusal));
    CHECK(refusal.retryAfter > model::seconds(1));
}

TEST_CASE("A stage whose upstreams rest for a short time keeps its pieces until one is back")
{
    NoticeFixture fixture;
    fixture.askRest("s0", milliseconds(500));
    fixture.askRest("s1", rest);
    fixture.arrive("/staged/x");
    fixture.advanceTime(milliseconds(499));
    CHECK(fixture.count<RunBatch>() == 0);
    CHECK(fixture.count<RefuseRequest>() == 0);
    REQUIRE(fixture.system.nextRun());
    CHECK(*fixture.system.nextRun() <= fixture.now + model::seconds(1));
    fixture.advanceTime(milliseconds(101));
    CHECK(fixture.take<RunBatch>().upstream == model::UpstreamId("s0"));
}

// Guards against a daemon that runs without a pause while pieces wait beside an idle upstream.
TEST_CASE("Pieces that wait while an upstream takes no work do not keep the daemon busy")
{
    NoticeFixture fixture;
    fixture.arrive("/staged/x");
    const auto first = fixture.take<RunBatch>();
    const bool isLeaving = GENERATE(false, true);
    CAPTURE(isLeaving);
    fixture.notice(first.upstream.text(),
                   {.isLeaving = isLeaving,
                    .rest = isLeaving ? model::Duration::zero() : model::Duration(rest)});
    fixture.system.onBatchRefused(first.batch, fixture.now);
    fixture.collect();
    REQUIRE(fixture.count<RunBatch>() == 1);
    fixture.arrive("/staged/x");
    fixture.advanceTime(milliseconds(200));
    REQUIRE(fixture.system.nextRun());
    CHECK(*fixture.system.nextRun() > fixture.now);
}

TEST_CASE("An upstream that is back from a rest gets one request until one succeeds")
{
    NoticeFixture fixture;
    fixture.askRest("k0", rest);
    fixture.advanceTime(rest + model::seconds(1));
    std::vector<StartAttempt> trials;
    for (int i = 0; i < 10; ++i) {
        fixture.commands.clear();
        fixture.arrive("/safe/x");
        const auto attempt = fixture.take<StartAttempt>();
        if (attempt.upstream.text() == "k0") {
            trials.push_back(attempt);
        }
    }
    REQUIRE(trials.size() == 1);
    fixture.answer(trials[0].attempt, RelayFixture::success());
    CHECK(fixture.usedBy("/safe/x", 4) == Names {"k0"});
}

// Guards against an upstream that is met by the whole fleet at the moment at which its rest ends.
TEST_CASE("Load pattern: 300 daemons that were told to wait at the same moment return spread out")
{
    constexpr size_t daemons = 300;
    const size_t spread = RestingFleet(daemons, daemons).arrivals({}, model::seconds(1));
    const size_t atOnce = RestingFleet(daemons, 0).arrivals({}, model::seconds(1));
    CAPTURE(spread, atOnce);
    CHECK(RestingFleet(daemons, daemons).arrivals(-rest, {}) == 0);
    CHECK(atOnce >= daemons * 9);
    // All of them return within seconds, so about a third of the load comes back in the first one.
    CHECK(spread < atOnce / 3);
    CHECK(spread > 0);
    RestingFleet fleet(daemons, daemons);
    fleet.arrivals({}, model::seconds(4));
    CHECK(fleet.arrivals(model::seconds(4), model::seconds(5)) == daemons * 10);
}
