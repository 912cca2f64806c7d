#include "net/tests/upstreamfixture.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawListener;
using net::testing::RawPeer;
using net::testing::runUntil;
using net::testing::validResponse;
using Fixture = net::testing::UpstreamFixture;

namespace
{

//! Sends \a head and then \a filler until the call ends or \a limit bytes were sent. Returns the
//! number of bytes sent.
size_t sendUntilEnd(Fixture &fixture, RawPeer &peer, std::string_view head, std::string_view filler,
                    size_t limit)
{
    std::string block;
    constexpr size_t blockBytes = 16U << 10U;
    while (block.size() < blockBytes) {
        block.append(filler);
    }
    peer.send(head);
    size_t sent = 0;
    const auto isEnded = [&] {
        return fixture.handler.ends > 0 || fixture.handler.failure;
    };
    while (sent < limit && !isEnded()) {
        sent += peer.sendSome(block);
        fixture.loop.runOnce(model::Duration::zero());
    }
    return sent;
}

} // namespace

TEST_CASE("A connection is reused unless a fresh one is required")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send(validResponse);
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.body == "good");
    CHECK(fixture.client.idleCount() == 1);
    fixture.start();
    fixture.waitForRequest(peer);
    fixture.start(true);
    RawPeer second = fixture.accept();
    CHECK(fixture.client.connectsStarted() == 2);
}

TEST_CASE("A late response to an earlier request is discarded")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nother");
    peer.send(validResponse);
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.heads == 1);
    CHECK(fixture.handler.body == "good");
    CHECK(fixture.client.idleCount() == 0);
}

TEST_CASE("Bytes that follow a response close the connection")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send(std::string(validResponse) + "HTTP/1.1 200 OK\r\n");
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.body == "good");
    CHECK(fixture.client.idleCount() == 0);
    CHECK(runUntil(fixture.loop, [&] { return peer.hasEnded(); }));
}

TEST_CASE("Bytes received on an idle connection close it")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send(validResponse);
    REQUIRE(fixture.waitForEnd());
    REQUIRE(fixture.client.idleCount() == 1);
    peer.send(validResponse);
    CHECK(runUntil(fixture.loop, [&] { return fixture.client.idleCount() == 0; }));
}

TEST_CASE("A response without a length is complete after a close but not after a reset")
{
    for (const bool resets : {false, true}) {
        Fixture fixture;
        fixture.start();
        RawPeer peer = fixture.accept();
        peer.send("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it");
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.handler.body == "all of it"; }));
        resets ? peer.reset() : peer.close();
        REQUIRE(fixture.waitForEnd());
        CHECK(fixture.handler.ends == (resets ? 0 : 1));
        CHECK(fixture.handler.failure.has_value() == resets);
    }
}

TEST_CASE("A truncated response is reported as broken")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 9\r\n\r\npart");
    peer.close();
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.failure == CallFailure::ConnectionLost);
    CHECK(fixture.handler.ends == 0);
}

TEST_CASE("Bytes that are not an HTTP response are reported as malformed")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send("\x01\x02 nonsense\r\n\r\n");
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.failure == CallFailure::Malformed);
}

TEST_CASE("Only a failed connect is reported as a request that was not sent")
{
    Fixture fixture;
    uint16_t freePort = 0;
    {
        RawListener closedListener;
        freePort = closedListener.port();
    }
    fixture.client.start(
        {.to = {.host = "127.0.0.1", .port = freePort}, .method = "GET", .target = "/"},
        fixture.handler);
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.failure == CallFailure::NotSent);
    fixture.handler = {};
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.reset();
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.failure == CallFailure::ConnectionLost);
}

TEST_CASE("An expired call fails and a cancelled one has no further callback")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    fixture.client.sweep(EventLoop::now() + model::seconds(61));
    CHECK(fixture.handler.failure == CallFailure::TimedOut);
    fixture.handler = {};
    const uint64_t call = fixture.start();
    RawPeer second = fixture.accept();
    fixture.client.cancel(call);
    CHECK(runUntil(fixture.loop, [&] { return second.hasEnded(); }));
    CHECK_FALSE(fixture.handler.failure);
    CHECK(fixture.client.callCount() == 0);
}

TEST_CASE("The keep-alive timeout announced by the upstream is respected")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send("HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(fixture.waitForEnd());
    REQUIRE(fixture.client.idleCount() == 1);
    fixture.client.sweep(EventLoop::now() + model::milliseconds(1000));
    CHECK(fixture.client.idleCount() == 1);
    fixture.client.sweep(EventLoop::now() + model::milliseconds(1400));
    CHECK(fixture.client.idleCount() == 0);
}

TEST_CASE("A head without an end is reported as malformed")
{
    constexpr size_t limit = 4U << 20U;
    const std::vector<std::pair<std::string, std::string>> endlessHeads {
        {"HTTP/1.1 200 OK\r\nx-a: ", "a"},
        {"HTTP/1.1 200 OK\r\n", "x-a: b\r\n"},
        {"HTTP/1.1 200 ", "OK"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"", "\r\n"},
    };
    for (const auto &[head, filler] : endlessHeads) {
        CAPTURE(head, filler);
        Fixture fixture;
        fixture.start();
        RawPeer peer = fixture.accept();
        CHECK(sendUntilEnd(fixture, peer, head, filler, limit) < limit);
        CHECK(fixture.handler.failure == CallFailure::Malformed);
    }
}

// Guards against heads that are within the limit of one call, but not together.
TEST_CASE("Load pattern: heads without an end on many connections to a faulty upstream")
{
    Fixture fixture;
    constexpr size_t calls = 200;
    const std::string head = "HTTP/1.1 200 OK\r\nx-a: " + std::string(40000, 'a');
    std::vector<RawPeer> peers;
    for (size_t i = 0; i < calls; ++i) {
        fixture.start(true);
        peers.push_back(fixture.accept());
        peers.back().send(head);
    }
    // Those that were begun last end until the others hold no more than 4 MB.
    const auto hasRoom = [&] {
        return fixture.client.callCount() * head.size() <= (4U << 20U);
    };
    REQUIRE(runUntil(fixture.loop, hasRoom));
    CHECK(fixture.client.callCount() > 0);
    CHECK(fixture.handler.failure == CallFailure::Malformed);
    fixture.start(true);
    RawPeer sound = fixture.accept();
    sound.send(validResponse);
    CHECK(runUntil(fixture.loop, [&] { return fixture.handler.ends == 1; }));
}

TEST_CASE("A chunk extension or trailer without an end is reported as malformed")
{
    constexpr size_t limit = 4U << 20U;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &[start, filler] :
         {std::pair<std::string, std::string>("4;", "x"), {"0\r\n", "x-a: b\r\n"}}) {
        CAPTURE(start);
        Fixture fixture;
        fixture.start();
        RawPeer peer = fixture.accept();
        CHECK(sendUntilEnd(fixture, peer, head + start, filler, limit) < limit);
        CHECK(fixture.handler.failure == CallFailure::Malformed);
    }
}

TEST_CASE("A collected body without an end fails at its limit")
{
    constexpr size_t limit = 4U << 20U;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    const std::vector<std::pair<std::string, std::string>> framings {
        {"\r\n", "x"},
        {"Content-Length: 1000000000000\r\n\r\n", "x"},
        {"Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
    };
    for (const auto &[framing, filler] : framings) {
        CAPTURE(framing);
        Fixture fixture;
        UpstreamCall call = fixture.call();
        call.maxBodyBytes = 100000;
        fixture.client.start(std::move(call), fixture.handler);
        RawPeer peer = fixture.accept();
        CHECK(sendUntilEnd(fixture, peer, head + framing, filler, limit) < limit);
        CHECK(fixture.handler.failure == CallFailure::TooLarge);
        CHECK(fixture.handler.body.size() <= 100000);
    }
}

TEST_CASE("A late response without an end is not discarded for ever")
{
    constexpr size_t limit = 16U << 20U;
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    CHECK(sendUntilEnd(fixture, peer, "HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\n", "x", limit) < limit);
    CHECK(fixture.handler.failure == CallFailure::Malformed);
    CHECK(fixture.handler.body.empty());
}

TEST_CASE("Bytes without an end after a complete response end the connection")
{
    constexpr size_t limit = 16U << 20U;
    for (const bool readsRequest : {true, false}) {
        CAPTURE(readsRequest);
        Fixture fixture;
        UpstreamCall call = fixture.call();
        if (!readsRequest) {
            // More than the buffers of the connection hold, so that sending it does not end.
            call.method = "POST";
            call.body.assign(32U << 20U, 'b');
            call.hasBody = true;
        }
        fixture.client.start(std::move(call), fixture.handler);
        RawPeer peer;
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.listener.accept(peer); }));
        if (readsRequest) {
            fixture.waitForRequest(peer);
        }
        CHECK(sendUntilEnd(fixture, peer, validResponse, "x", limit) < limit);
        CHECK(fixture.handler.body == "good");
        CHECK(fixture.handler.ends == 1);
        CHECK(fixture.client.idleCount() == 0);
    }
}

TEST_CASE("A truncated response is never complete, whatever its framing")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    struct Truncated {
        std::string bytes;
        bool resets;
    };
    const std::vector<Truncated> responses {
        {"Content-Length: 9\r\n\r\npart", false},
        {"Content-Length: 9\r\n\r\npart", true},
        {"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
        {"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", false},
        {"Transfer-Encoding: chunked\r\n\r\n8\r\npart", true},
        {"\r\npart", true},
    };
    for (const Truncated &response : responses) {
        CAPTURE(response.bytes, response.resets);
        Fixture fixture;
        fixture.start();
        RawPeer peer = fixture.accept();
        peer.send(head + response.bytes);
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.handler.body == "part"; }));
        response.resets ? peer.reset() : peer.close();
        REQUIRE(fixture.waitForEnd());
        CHECK(fixture.handler.ends == 0);
        CHECK(fixture.handler.failure == CallFailure::ConnectionLost);
    }
}

TEST_CASE("A second copy of a response on a reused connection does not reach the next caller")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send(validResponse);
    REQUIRE(fixture.waitForEnd());
    fixture.handler = {};
    UpstreamCall next = fixture.call();
    next.correlationValue = "8";
    fixture.client.start(std::move(next), fixture.handler);
    fixture.waitForRequest(peer);
    CHECK(fixture.client.connectsStarted() == 1);
    peer.send(validResponse);
    peer.send("HTTP/1.1 200 OK\r\nX-Id: 8\r\nContent-Length: 4\r\n\r\nnext");
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.body == "next");
    CHECK(fixture.client.idleCount() == 0);
}

// Guards against a refusal that is taken for the answer to the next request: an upstream wrote it
// once more, without the name of its request.
TEST_CASE("A response on a reused connection that names no request belongs to none")
{
    const std::string unnamed = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    Fixture fixture;
    SECTION("on a new connection it can belong to only one")
    {
        fixture.start();
        RawPeer peer = fixture.accept();
        peer.send(unnamed);
        REQUIRE(fixture.waitForEnd());
        CHECK(fixture.handler.heads == 1);
        CHECK(fixture.handler.ends == 1);
    }
    SECTION("on a reused one")
    {
        fixture.start();
        RawPeer peer = fixture.accept();
        peer.send(validResponse);
        REQUIRE(fixture.waitForEnd());
        fixture.handler = {};
        fixture.start();
        fixture.waitForRequest(peer);
        peer.send(unnamed);
        REQUIRE(fixture.waitForEnd());
        CHECK(fixture.handler.heads == 0);
        CHECK(fixture.handler.ends == 0);
        CHECK(fixture.handler.failure == CallFailure::Malformed);
        CHECK(fixture.client.idleCount() == 0);
    }
}

TEST_CASE("An absurd keep-alive timeout is limited")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send("HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: timeout=9000000000000000000\r\n"
              "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.client.idleCount() == 1);
}

TEST_CASE("Idle connections to an upstream can be closed")
{
    Fixture fixture;
    fixture.start();
    RawPeer peer = fixture.accept();
    peer.send(validResponse);
    REQUIRE(fixture.waitForEnd());
    fixture.client.closeIdleConnections({.host = "127.0.0.1", .port = 1});
    CHECK(fixture.client.idleCount() == 1);
    fixture.client.closeIdleConnections(fixture.call().to);
    CHECK(fixture.client.idleCount() == 0);
}
