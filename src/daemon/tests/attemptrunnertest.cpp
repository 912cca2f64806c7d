#include <catch2/catch.hpp>

#include "daemon/internal/attemptrunner.h"
#include "net/tests/brokenresponses.h"
#include "net/tests/rawpeer.h"

using namespace citronpick;
using namespace citronpick::daemon;
using net::testing::RawListener;
using net::testing::RawPeer;
using net::testing::runUntil;

namespace
{

//! An attempt that goes on with a stream at an upstream that sends exactly the given bytes.
struct ResumedAttempt : IEventSink {
    ResumedAttempt()
        : client(loop)
        , runner(client, *this, model::Incarnation(1))
    {
        runner.start({.attempt = model::AttemptId(1),
                      .request = model::RequestId(1),
                      .callerId = model::CallerRequestId("r"),
                      .host = "127.0.0.1",
                      .port = listener.port(),
                      .path = "/",
                      .budget = model::seconds(5),
                      .isStreaming = true,
                      .resumeFrom = 1,
                      .checksEcho = false,
                      .maxAnswerBytes = 100000});
        REQUIRE(runUntil(loop, [&] { return listener.accept(upstream); }));
        REQUIRE(runUntil(
            loop, [&] { return upstream.received().find("\r\n\r\n") != std::string::npos; }));
    }

    void post(core::Event event) override
    {
        if (const auto *value = std::get_if<pipeline::AttemptAnswered>(&event)) {
            answered = *value;
        } else if (const auto *error = std::get_if<pipeline::AttemptFailed>(&event)) {
            failed = *error;
        } else if (const auto *probe = std::get_if<core::ProbeEnded>(&event)) {
            probed = *probe;
        }
    }
    void record(const observability::Event &) override
    {
    }

    void answer(const std::string &bytes)
    {
        upstream.send(bytes);
        REQUIRE(runUntil(loop, [&] { return answered || failed; }));
    }

    net::EventLoop loop;
    net::HttpClient client;
    AttemptRunner runner;
    RawListener listener;
    RawPeer upstream;
    std::optional<pipeline::AttemptAnswered> answered;
    std::optional<pipeline::AttemptFailed> failed;
    std::optional<core::ProbeEnded> probed;
};

} // namespace

// Guards against streams that end as complete before their last token: the upstream that should go
// on with the stream answered with another success than 200.
TEST_CASE("A streamed answer without its final record is never complete")
{
    ResumedAttempt attempt;
    attempt.answer(GENERATE(
        as<std::string> {}, "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 202 Accepted\r\nContent-Length: 10\r\n\r\nerror-text",
        "HTTP/1.1 206 Partial\r\nContent-Length: 24\r\n\r\n{\"seq\":1,\"text\":\"b\"}\n\n\n\n"));
    CHECK_FALSE(attempt.answered);
    CHECK(attempt.failed);
}

// Guards against a process that one malformed record ends.
TEST_CASE("A record whose fields have other types makes the answer malformed")
{
    ResumedAttempt attempt;
    attempt.answer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n{\"done\":\"yes\"}\n\r\n");
    REQUIRE(attempt.failed);
    CHECK(attempt.failed->error == pipeline::AttemptError::MalformedAnswer);
}

// Guards against pipelines that go on with bytes that are no answer, or wait for one in vain.
TEST_CASE("A broken answer fails its attempt as malformed")
{
    for (const auto &response : net::testing::brokenResponses({})) {
        INFO(response.name);
        ResumedAttempt attempt;
        attempt.answer(response.bytes);
        CHECK_FALSE(attempt.answered);
        REQUIRE(attempt.failed);
        CHECK(attempt.failed->error == pipeline::AttemptError::MalformedAnswer);
    }
}

// Guards against upstreams in trouble that pass a liveness check.
TEST_CASE("A liveness check with a broken answer fails at once")
{
    for (const auto &response : net::testing::brokenResponses({})) {
        INFO(response.name);
        ResumedAttempt attempt;
        attempt.runner.probe({.upstream = model::UpstreamId("u"),
                              .number = 1,
                              .host = "127.0.0.1",
                              .port = attempt.listener.port(),
                              .path = "/",
                              .timeout = model::seconds(60)});
        RawPeer probe;
        REQUIRE(runUntil(attempt.loop, [&] { return attempt.listener.accept(probe); }));
        REQUIRE(runUntil(attempt.loop, [&] { return !probe.received().empty(); }));
        probe.send(response.bytes);
        REQUIRE(runUntil(attempt.loop, [&] { return attempt.probed.has_value(); }));
        CHECK_FALSE(attempt.probed->isGood);
    }
}
