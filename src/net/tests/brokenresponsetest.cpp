#include "net/tests/brokenresponses.h"
#include "net/tests/upstreamfixture.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::BrokenResponse;
using net::testing::RawPeer;
using net::testing::runUntil;
using net::testing::validResponse;
using Fixture = net::testing::UpstreamFixture;

namespace
{

const std::string identity = "X-Id: 7\r\n";

RawPeer startOnConnection(Fixture &fixture, bool isKept)
{
    if (!isKept) {
        fixture.start();
        return fixture.accept();
    }
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send(validResponse);
    REQUIRE(fixture.waitForEnd());
    fixture.handler = {};
    fixture.start();
    fixture.waitForRequest(peer);
    return peer;
}

void sendInSteps(Fixture &fixture, RawPeer &peer, std::string_view bytes, size_t step)
{
    for (size_t at = 0; at < bytes.size(); at += step) {
        peer.send(bytes.substr(at, step));
        fixture.loop.runOnce(model::Duration::zero());
    }
}

//! The call fails at once, passes nothing of the response on and closes its connection.
void checkFails(const BrokenResponse &response)
{
    for (const bool isKept : {false, true}) {
        for (const size_t step : {response.bytes.size(), size_t {1}, size_t {5}}) {
            INFO(response.name << ", kept " << isKept << ", step " << step);
            Fixture fixture;
            RawPeer peer = startOnConnection(fixture, isKept);
            sendInSteps(fixture, peer, response.bytes, step);
            const bool isEnded = fixture.waitForEnd();
            CHECK(isEnded);
            CHECK(fixture.handler.ends == 0);
            CHECK(fixture.handler.failure == CallFailure::Malformed);
            if (!response.isHeadValid) {
                CHECK(fixture.handler.heads == 0);
                CHECK(fixture.handler.body.empty());
            }
            CHECK(fixture.client.idleCount() == 0);
            CHECK(runUntil(fixture.loop, [&] { return peer.hasEnded() || peer.wasReset(); }));
        }
    }
}

} // namespace

// Guards against answers whose status is none: 000 was taken for an interim status, its body
// reached the caller before the next answer, and the caller waited until its deadline.
TEST_CASE("A response whose status is not one of HTTP is malformed")
{
    for (const BrokenResponse &response : net::testing::responsesWithInvalidStatus(identity)) {
        checkFails(response);
    }
}

// Guards against bytes of an interim response that reach the caller before the final one.
TEST_CASE("An interim response has no body")
{
    for (const BrokenResponse &response : net::testing::interimResponsesWithBody(identity)) {
        checkFails(response);
    }
}

// Guards against lines that readers take for different fields, or for the rest of a field.
TEST_CASE("A response with a field whose name holds a blank or a control byte is malformed")
{
    for (const BrokenResponse &response : net::testing::responsesWithInvalidField(identity)) {
        checkFails(response);
    }
}

// Guards against bytes of one response that are taken for the next one.
TEST_CASE("A response whose lengths contradict each other is malformed")
{
    for (const BrokenResponse &response : net::testing::responsesWithInvalidLength(identity)) {
        checkFails(response);
    }
}

// Guards against calls that an upstream holds with interim responses alone.
TEST_CASE("Interim responses without an end fail the call")
{
    Fixture fixture;
    RawPeer peer = startOnConnection(fixture, false);
    constexpr size_t limit = 8U << 20U;
    const std::string interim = "HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n";
    size_t sent = 0;
    while (sent < limit && fixture.handler.ends == 0 && !fixture.handler.failure) {
        peer.send(interim);
        sent += interim.size();
        fixture.loop.runOnce(model::Duration::zero());
    }
    CHECK(sent < limit);
    CHECK(fixture.handler.failure == CallFailure::Malformed);
    CHECK(fixture.handler.heads == 0);
}

TEST_CASE("Valid responses of unusual form are received")
{
    using Row = std::pair<std::string, std::string>;
    const std::vector<Row> rows {
        {"HTTP/1.1 200\r\n" + identity + "Content-Length: 4\r\n\r\ngood", "good"},
        {"HTTP/1.1 200 \r\n" + identity + "Content-Length: 4\r\n\r\ngood", "good"},
        {"HTTP/1.0 200 OK\r\n" + identity + "Content-Length: 4\r\n\r\ngood", "good"},
        {"HTTP/1.1 599 Own Kind\r\n" + identity + "Content-Length: 4\r\n\r\ngood", "good"},
        {"HTTP/1.1 200 Two words: \xe9\r\n" + identity + "Content-Length: 4\r\n\r\ngood", "good"},
        {"HTTP/1.1 200 OK\r\n" + identity
             + "X-Empty:\r\nX-Blank: \r\nX-Tab:\t a\tb \t\r\n!#$%&'*+-.^_`|~: 1\r\n"
               "Content-Length: 4\r\n\r\ngood",
         "good"},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\nContent-Length: 5\r\n\r\n"
         "HTTP/1.1 200 OK\r\n"
             + identity + "Content-Length: 4\r\n\r\ngood",
         "good"},
        {"HTTP/1.1 200 OK\r\n" + identity
             + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n",
         "good"},
        {"HTTP/1.1 200 OK\n" + identity + "Content-Length: 4\n\ngood", "good"},
        {"HTTP/1.1 204 None\r\n" + identity + "Content-Length: 4\r\n\r\n", ""},
        {"HTTP/1.1 304 Same\r\n" + identity + "Content-Length: 4\r\n\r\n", ""},
        {"HTTP/1.1 304 Same\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n", ""},
    };
    for (const auto &[bytes, body] : rows) {
        for (const size_t step : {bytes.size(), size_t {1}, size_t {5}}) {
            CAPTURE(bytes, step);
            Fixture fixture;
            RawPeer peer = startOnConnection(fixture, true);
            sendInSteps(fixture, peer, bytes, step);
            CHECK(fixture.waitForEnd());
            CHECK(fixture.handler.ends == 1);
            CHECK(fixture.handler.heads == 1);
            CHECK(fixture.handler.body == body);
        }
    }
}
