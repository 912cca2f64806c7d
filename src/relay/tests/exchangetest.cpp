#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

TEST_CASE("The route with the longest matching prefix of the host is found, or none")
{
    ConfigurationContent content;
    content.routes = {RelayFixture::route("/a/", RequestKind::Idempotent, deskPool),
                      RelayFixture::route("/a/b/", RequestKind::Idempotent, deskPool)};
    const RelayConfiguration configuration(content);
    CHECK(configuration.findRoute("example", "/a/b/c")->prefix == "/a/b/");
    CHECK(configuration.findRoute("example", "/a/bc")->prefix == "/a/");
    CHECK_FALSE(configuration.findRoute("example", "/a"));
    CHECK_FALSE(configuration.findRoute("other", "/a/"));
    RelayFixture fixture;
    fixture.arrive("/nowhere");
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UnknownRoute);
}

TEST_CASE("Requests need the key of an account, except on public routes")
{
    RelayFixture fixture;
    fixture.arrive("/safe/x", "wrong");
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UnknownKey);
    fixture.arrive("/safe/x", std::nullopt);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UnknownKey);
    fixture.arrive("/safe/x");
    CHECK(fixture.take<StartAttempt>().account == model::AccountId("account"));
    fixture.arrive("/open/x", std::nullopt);
    CHECK(fixture.take<StartAttempt>().account.isEmpty());
}

TEST_CASE("A configuration whose revision is not newer is ignored")
{
    RelayFixture fixture;
    CHECK(fixture.system.setConfiguration(RelayFixture::configuration(5)));
    CHECK_FALSE(fixture.system.setConfiguration(RelayFixture::configuration(5)));
    CHECK_FALSE(fixture.system.setConfiguration(RelayFixture::configuration(4)));
    CHECK(fixture.system.configuration()->revision() == model::Revision(5));
}

TEST_CASE("Without a configuration requests are refused with a retry time")
{
    RelaySystem system({.daemon = model::DaemonId("d")});
    system.onRequestArrived({.request = model::RequestId(1)}, {});
    bool isTold = false;
    for (const RelayCommand &command : system.takeCommands()) {
        if (const auto *refusal = std::get_if<RefuseRequest>(&command)) {
            isTold = refusal->refusal == Refusal::NoConfiguration
                     && refusal->retryAfter > model::Duration::zero();
        }
    }
    CHECK(isTold);
}

TEST_CASE("An upstream's answer is forwarded, including its errors")
{
    for (const uint16_t status : {uint16_t {200}, uint16_t {404}, uint16_t {500}}) {
        RelayFixture fixture;
        const model::RequestId id = fixture.arrive("/once/x");
        const auto attempt = fixture.take<StartAttempt>();
        CHECK(attempt.needsFreshConnection);
        fixture.answer(attempt.attempt, RelayFixture::success(status));
        CHECK(fixture.take<ForwardAnswer>().request == id);
        CHECK(fixture.system.requestCount() == 0);
    }
}

TEST_CASE("An at-most-once request is never sent again once an upstream may have received it")
{
    for (const AttemptFailure failure :
         {AttemptFailure::Broken, AttemptFailure::Malformed, AttemptFailure::TimedOut}) {
        RelayFixture fixture;
        fixture.arrive("/once/x");
        fixture.fail(fixture.take<StartAttempt>().attempt, failure);
        CHECK(fixture.count<StartAttempt>() == 0);
        CHECK_FALSE(guaranteesNotRun(fixture.take<RefuseRequest>().refusal));
    }
}

TEST_CASE("An attempt that reached no upstream does not count against the maximum")
{
    RelayFixture fixture;
    fixture.arrive("/once/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.fail(first.attempt, AttemptFailure::NotSent);
    const auto second = fixture.take<StartAttempt>();
    CHECK(second.upstream != first.upstream);
    fixture.fail(second.attempt, AttemptFailure::NotSent);
    fixture.fail(fixture.take<StartAttempt>().attempt, AttemptFailure::NotSent);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::NoUpstream);
}

TEST_CASE("An attempt at a replaced upstream does not count, and the upstream is then avoided")
{
    RelayFixture fixture;
    fixture.arrive("/once/x");
    const auto first = fixture.take<StartAttempt>();
    AnswerFacts facts = RelayFixture::notRun(421);
    facts.isMisdirected = true;
    fixture.answer(first.attempt, facts);
    CHECK(fixture.take<StartAttempt>().upstream != first.upstream);
    for (int i = 0; i < 6; ++i) {
        fixture.arrive("/once/x");
        CHECK(fixture.take<StartAttempt>().upstream != first.upstream);
    }
}

TEST_CASE("A refusal states that a request has not run only if no upstream may have run it")
{
    RelayFixture fixture;
    fixture.arrive("/once/x");
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::notRun());
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(guaranteesNotRun(refusal.refusal));
    CHECK(refusal.retryAfter > model::Duration::zero());

    // The first upstream may have run the request, so the second one's refusal proves nothing.
    fixture.arrive("/safe/x");
    fixture.fail(fixture.take<StartAttempt>().attempt, AttemptFailure::Broken);
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::notRun());
    CHECK_FALSE(guaranteesNotRun(fixture.take<RefuseRequest>().refusal));
}

// Guards against a status that callers take for "not run" while the upstream does not state it
// (REFUSED).
TEST_CASE("An unconfirmed refusal counts as a lost answer")
{
    AnswerFacts unconfirmed = RelayFixture::success(503);
    unconfirmed.promisesNotRun = true;
    for (const char *path : {"/once/x", "/stream/x"}) {
        RelayFixture fixture;
        fixture.arrive(path);
        fixture.answer(fixture.take<StartAttempt>().attempt, unconfirmed);
        CHECK(fixture.count<StartAttempt>() == 0);
        CHECK(fixture.count<ForwardAnswer>() == 0);
        CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UpstreamFailed);
        CHECK(fixture.system.counters().unconfirmedRefusals == 1);
    }
    RelayFixture fixture;
    fixture.arrive("/safe/x");
    fixture.answer(fixture.take<StartAttempt>().attempt, unconfirmed);
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success());
    CHECK(fixture.count<ForwardAnswer>() == 1);
}

// Guards against an upstream that stays on trial although it answers, and against a request whose
// end is counted twice.
TEST_CASE("An unconfirmed refusal shows that its upstream answers, and ends its request once")
{
    AnswerFacts unconfirmed = RelayFixture::success(503);
    unconfirmed.promisesNotRun = true;
    RelayFixture fixture(1);
    for (int i = 0; i < 2; ++i) {
        fixture.arrive("/once/x");
        fixture.fail(fixture.take<StartAttempt>().attempt, AttemptFailure::TimedOut);
    }
    const Upstream &upstream = *fixture.system.upstreams().find(model::UpstreamId("k0"));
    REQUIRE(upstream.isOnTrial);
    fixture.advanceTime(model::seconds(2));
    fixture.commands.clear();
    fixture.arrive("/once/x");
    fixture.answer(fixture.take<StartAttempt>().attempt, unconfirmed);
    CHECK_FALSE(upstream.isOnTrial);
    CHECK(upstream.consecutiveFailures == 0);
    CHECK(upstream.inFlight == 0);
    CHECK(fixture.count<RefuseRequest>() == 1);
    CHECK(fixture.system.requestCount() == 0);
    const RelayCounters &counters = fixture.system.counters();
    CHECK(counters.arrived == 3);
    CHECK(counters.refused == 3);
    CHECK(counters.answersForwarded == 0);
}

// Guards against promises whose evidence cannot be found afterwards.
TEST_CASE("The log line of a refusal tells whether the request may have run")
{
    const auto refusalLine
        = [](RelayFixture &fixture, model::AttemptId attempt, const AnswerFacts &facts) {
              fixture.system.onAttemptHead(attempt, facts, fixture.now);
              fixture.system.onAttemptEnd(attempt, fixture.now);
              for (const RelayCommand &command : fixture.system.takeCommands()) {
                  const auto *event = std::get_if<observability::Event>(&command);
                  if (event && event->code == observability::EventCode::ExchangeRefused) {
                      return event->detail;
                  }
              }
              return std::string();
          };
    AnswerFacts unconfirmed = RelayFixture::success(503);
    unconfirmed.promisesNotRun = true;
    RelayFixture fixture;
    fixture.arrive("/once/x");
    CHECK(refusalLine(fixture, fixture.take<StartAttempt>().attempt, unconfirmed)
              .find("attempts=1 unsent=0 ran=maybe")
          != std::string::npos);
    fixture.arrive("/once/x");
    CHECK(refusalLine(fixture, fixture.take<StartAttempt>().attempt, RelayFixture::notRun())
              .find("attempts=1 unsent=0 ran=no")
          != std::string::npos);
}

TEST_CASE("An idempotent request is retried on other upstreams up to its maximum of attempts")
{
    RelayFixture fixture;
    fixture.arrive("/safe/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.answer(first.attempt, RelayFixture::success(500));
    const auto second = fixture.take<StartAttempt>();
    CHECK(second.upstream != first.upstream);
    fixture.answer(second.attempt, RelayFixture::success(500));
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.take<ForwardAnswer>().attempt == second.attempt);
}

TEST_CASE("Answers that lack provenance, belong to another request or are encoded are rejected")
{
    std::vector<AnswerFacts> bad(3, RelayFixture::success());
    bad[0].hasProvenance = false;
    bad[1].matchesRequest = false;
    bad[2].isEncoded = true;
    for (const AnswerFacts &facts : bad) {
        RelayFixture fixture;
        fixture.arrive("/once/x");
        fixture.answer(fixture.take<StartAttempt>().attempt, facts);
        CHECK(fixture.count<ForwardAnswer>() == 0);
        CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UpstreamFailed);
    }
}

TEST_CASE("The attempt is cancelled when its caller disconnects")
{
    RelayFixture fixture;
    const model::RequestId id = fixture.arrive("/stream/x");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.system.onCallerDisconnected(id, fixture.now);
    fixture.collect();
    CHECK(fixture.take<CancelAttempt>().attempt == attempt.attempt);
    fixture.answer(attempt.attempt, RelayFixture::success());
    CHECK(fixture.commands.empty());
}

TEST_CASE("Answer times are recorded in a histogram")
{
    RelayFixture fixture;
    fixture.arrive("/once/x");
    fixture.advanceTime(milliseconds(300));
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success());
    const observability::Histogram &answers = fixture.system.counters().answers;
    CHECK(answers.counts()[4] == 1);
    CHECK(answers.sumSeconds() == Approx(0.3));
}

TEST_CASE("A request times out after its route's or its caller's timeout, whichever is shorter")
{
    RelayFixture fixture;
    fixture.arrive("/once/x", "key", milliseconds(900));
    CHECK(fixture.take<StartAttempt>().timeLeft == milliseconds(900));
    fixture.advanceTime(milliseconds(900));
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::TimedOut);
    fixture.arrive("/once/x", "key", model::seconds(60));
    CHECK(fixture.take<StartAttempt>().timeLeft == model::seconds(8));
    fixture.advanceTime(model::seconds(8));
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::TimedOut);
    CHECK(fixture.count<CancelAttempt>() == 2);
}

TEST_CASE("A leaving upstream gets no requests")
{
    RelayFixture fixture(2);
    fixture.listUpstream(deskPool, "k0", true);
    for (int i = 0; i < 5; ++i) {
        fixture.arrive("/once/x");
        CHECK(fixture.take<StartAttempt>().upstream == model::UpstreamId("k1"));
    }
    fixture.system.upstreams().remove(model::UpstreamId("k1"));
    fixture.arrive("/once/x");
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::NoUpstream);
}

TEST_CASE("Load pattern: a fleet-wide failure does not cause a retry storm")
{
    RelayFixture fixture;
    fixture.system.setPeers({{.id = model::DaemonId("d1")},
                             {.id = model::DaemonId("d2")},
                             {.id = model::DaemonId("d3")},
                             {.id = model::DaemonId("d4")},
                             {.id = model::DaemonId("d5")}},
                            fixture.now);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.arrive("/safe/x");
        while (fixture.count<StartAttempt>() > 0) {
            ++sent;
            fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success(500));
        }
    }
    // 100 first attempts, retries for a fifth of them (20), and 70 % of one daemon's fifth of the
    // slack of 50 (7).
    CHECK(sent == 127);
}

TEST_CASE("A request whose connection breaks on three upstreams is quarantined")
{
    RelayFixture fixture(6);
    for (int i = 0; i < 3; ++i) {
        fixture.arrive("/once/x", "key", std::nullopt, 7);
        const auto attempt = fixture.take<StartAttempt>();
        fixture.system.upstreams().remove(attempt.upstream);
        fixture.fail(attempt.attempt, AttemptFailure::Broken);
        CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UpstreamFailed);
    }
    CHECK(fixture.count<PublishCrashReport>() == 3);
    fixture.arrive("/once/x", "key", std::nullopt, 7);
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Quarantined);
    fixture.arrive("/once/x", "key", std::nullopt, 8);
    CHECK(fixture.count<StartAttempt>() == 1);
}

TEST_CASE("Crash reports from other daemons count, and an answer clears those of the request")
{
    RelayFixture fixture(6);
    const auto report = [&](const char *upstream) {
        fixture.system.onPeerCrashReport(
            {.fingerprint = model::Fingerprint(7), .upstream = model::UpstreamId(upstream)},
            fixture.now);
    };
    report("a");
    report("b");
    fixture.arrive("/once/x", "key", std::nullopt, 7);
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success());
    report("c");
    fixture.arrive("/once/x", "key", std::nullopt, 7);
    CHECK(fixture.count<StartAttempt>() == 1);
    fixture.commands.clear();
    report("d");
    report("e");
    fixture.collect();
    // The attempt that was under way is ended before it crashes its upstream too.
    CHECK(fixture.count<CancelAttempt>() == 1);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::UpstreamFailed);
    fixture.arrive("/once/x", "key", std::nullopt, 7);
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::Quarantined);
}

TEST_CASE("A request with an absurd number of pieces is refused")
{
    RelayFixture fixture;
    fixture.system.onRequestArrived({.request = model::RequestId(7),
                                     .callerId = model::CallerRequestId("c"),
                                     .host = "example",
                                     .path = "/staged/x",
                                     .accountKey = "key",
                                     .startedAt = fixture.now,
                                     .pieceCounts = {1, 4000000000U}},
                                    fixture.now);
    fixture.collect();
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::BadRequest);
    CHECK(fixture.system.requestCount() == 0);
}

TEST_CASE("A large answer is forwarded while it arrives and aborted if it breaks off")
{
    for (const bool breaksOff : {false, true}) {
        RelayFixture fixture;
        fixture.arrive("/safe/x");
        const auto attempt = fixture.take<StartAttempt>().attempt;
        fixture.head(attempt, RelayFixture::success());
        fixture.system.onAnswerBufferFull(attempt, fixture.now);
        fixture.collect();
        fixture.take<StartStream>();
        if (breaksOff) {
            fixture.fail(attempt, AttemptFailure::Broken);
            fixture.take<AbortAnswer>();
            CHECK(fixture.count<StartAttempt>() == 0);
        } else {
            fixture.end(attempt);
            fixture.take<FinishStream>();
            CHECK(fixture.count<ForwardAnswer>() == 0);
        }
        CHECK(fixture.system.requestCount() == 0);
    }
}

TEST_CASE("A failure whose body has no end is replaced by another upstream's answer")
{
    RelayFixture fixture;
    fixture.arrive("/safe/x");
    const auto attempt = fixture.take<StartAttempt>().attempt;
    fixture.head(attempt, RelayFixture::success(500));
    fixture.system.onAnswerBufferFull(attempt, fixture.now);
    fixture.collect();
    CHECK(fixture.take<CancelAttempt>().attempt == attempt);
    fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success());
    fixture.take<ForwardAnswer>();
}

TEST_CASE("A request under way keeps the configuration of its arrival")
{
    RelayFixture fixture;
    fixture.arrive("/safe/x");
    const auto attempt = fixture.take<StartAttempt>();
    ConfigurationContent content {.revision = model::Revision(9)};
    content.routes = {RelayFixture::route("/safe/", RequestKind::Idempotent, enginePool)};
    content.pools = {{.id = enginePool}};
    REQUIRE(
        fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content))));
    fixture.fail(attempt.attempt, AttemptFailure::NotSent);
    CHECK(fixture.take<StartAttempt>().upstream.text().starts_with("k"));
    fixture.arrive("/safe/x");
    CHECK(fixture.take<StartAttempt>().upstream.text().starts_with("e"));
}
