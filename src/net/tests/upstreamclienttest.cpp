#include <catch2/catch.hpp>

#include "net/tests/rawpeer.h"
#include "net/upstreamclient.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawListener;
using net::testing::RawPeer;
using net::testing::runUntil;

namespace
{

struct Handler : IUpstreamHandler {
    void onHead(uint64_t, const MessageHead &value) override
    {
        head = value;
        ++heads;
    }
    void onBody(uint64_t, std::string_view bytes) override
    {
        body.append(bytes);
    }
    void onEnd(uint64_t) override
    {
        ++ends;
    }
    void onFailure(uint64_t, CallFailure value) override
    {
        failure = value;
    }

    MessageHead head;
    std::string body;
    int heads = 0;
    int ends = 0;
    std::optional<CallFailure> failure;
};

struct Fixture {
    Fixture()
        : client(loop)
    {
    }

    uint64_t start(bool needsFreshConnection = false)
    {
        return client.start({.to = {.host = "127.0.0.1", .port = listener.port()},
                             .method = "GET",
                             .target = "/x",
                             .headers = {{.name = "x-id", .value = "7"}},
                             .needsFreshConnection = needsFreshConnection,
                             .correlationHeader = "x-id",
                             .correlationValue = "7"},
                            handler);
    }
    RawPeer accept()
    {
        RawPeer peer;
        const bool isAccepted = runUntil(loop, [&] { return listener.accept(peer); });
        REQUIRE(isAccepted);
        waitForRequest(peer);
        return peer;
    }
    void waitForRequest(RawPeer &peer)
    {
        REQUIRE(
            runUntil(loop, [&] { return peer.received().find("\r\n\r\n") != std::string::npos; }));
        peer.clear();
    }
    bool waitForEnd()
    {
        return runUntil(loop, [&] { return handler.ends > 0 || handler.failure; });
    }

    EventLoop loop;
    RawListener listener;
    Handler handler;
    UpstreamClient client;
};

constexpr std::string_view validResponse
    = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\ngood";

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
