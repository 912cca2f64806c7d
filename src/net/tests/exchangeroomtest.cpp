#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include "net/exchangeserver.h"
#include "net/tests/rawpeer.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawPeer;
using net::testing::runUntil;

namespace
{

constexpr size_t maxHeldBytes = 1U << 20U;
constexpr size_t partBytes = 300U << 10U;

struct Handler : IExchangeHandler {
    void onRequest(uint64_t exchange, IncomingRequest request) override
    {
        exchanges.push_back(exchange);
        bodyBytes += request.body.size();
    }
    void onCallerDisconnected(uint64_t exchange) override
    {
        static_cast<void>(exchange);
    }

    std::vector<uint64_t> exchanges;
    size_t bodyBytes = 0;
};

struct Fixture {
    explicit Fixture(ExchangeLimits limits = {.maxHeldBytes = maxHeldBytes})
        : server(loop, handler, limits)
    {
        auto socket = ListenSocket::bind({.host = "127.0.0.1", .port = 0});
        port = socket->port();
        server.listen(*std::move(socket));
    }

    //! Sends all bytes that the server takes.
    RawPeer send(std::string_view bytes)
    {
        RawPeer peer = RawPeer::connectTo(port);
        size_t sent = 0;
        constexpr int iterations = 100;
        for (int i = 0; i < iterations; ++i) {
            sent += sent < bytes.size() ? peer.sendSome(bytes.substr(sent)) : 0;
            loop.runOnce(model::milliseconds(1));
        }
        return peer;
    }

    EventLoop loop;
    Handler handler;
    ExchangeServer server;
    uint16_t port = 0;
};

std::string partOfBody()
{
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
           + std::string(partBytes, 'x');
}

std::string wholeRequest(size_t bytes)
{
    return absl::StrCat("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: ", bytes, "\r\n\r\n",
                        std::string(bytes, 'x'));
}

} // namespace

// Guards against bodies without an end that together take all memory and keep others out.
TEST_CASE("Load pattern: bodies that do not end give way to others")
{
    Fixture fixture;
    std::vector<RawPeer> peers;
    constexpr size_t crowd = 12;
    for (size_t i = 0; i < crowd; ++i) {
        peers.push_back(fixture.send(partOfBody()));
        CHECK(fixture.server.heldBytes().total() < maxHeldBytes + partBytes);
    }
    const RawPeer ordinary = fixture.send(wholeRequest(1000));
    CHECK(fixture.handler.exchanges.size() == 1);
    CHECK(fixture.server.roomCounters().refused > 0);
    fixture.server.sweep(EventLoop::now());
    CHECK(fixture.server.heldBytes().total() <= maxHeldBytes);
}

// Guards against a request that is refused for room although it is passed on.
TEST_CASE("Load pattern: a whole body without room is refused before it is passed on")
{
    Fixture fixture;
    const RawPeer first = fixture.send(wholeRequest(partBytes));
    REQUIRE(fixture.handler.exchanges.size() == 1);
    RawPeer second = fixture.send(wholeRequest(2 * partBytes));
    for (int i = 0; i < 3000 && second.received().empty(); ++i) {
        fixture.loop.runOnce(model::milliseconds(1));
        fixture.server.sweep(EventLoop::now());
    }
    CHECK(second.received().starts_with("HTTP/1.1 503"));
    CHECK(second.received().find("retry-after: 1") != std::string::npos);
    CHECK(fixture.handler.exchanges.size() == 1);
    CHECK(fixture.server.roomCounters().refused == 1);
    fixture.server.respond(fixture.handler.exchanges.front(), 200, {}, {});
    const RawPeer third = fixture.send(wholeRequest(partBytes));
    CHECK(fixture.handler.exchanges.size() == 2);
}

// Guards against silent connections that keep callers out.
TEST_CASE("Load pattern: silent connections give way at the greatest number")
{
    constexpr size_t connections = 4;
    Fixture fixture({.maxConnections = connections});
    std::vector<RawPeer> silent;
    for (size_t i = 0; i < connections; ++i) {
        silent.push_back(fixture.send({}));
    }
    const RawPeer ordinary = fixture.send(wholeRequest(10));
    CHECK(fixture.handler.exchanges.size() == 1);
    CHECK(fixture.server.connectionCount() == connections);
    CHECK(silent.front().hasEnded());
    CHECK_FALSE(silent.back().hasEnded());
    CHECK(fixture.server.roomCounters().silent == 1);
}

// Guards against bytes that stay counted, so that a daemon in calm refuses more and more.
TEST_CASE("A connection at rest holds nothing")
{
    Fixture fixture;
    RawPeer peer = fixture.send(wholeRequest(partBytes));
    REQUIRE(fixture.handler.exchanges.size() == 1);
    CHECK(fixture.server.heldBytes().held(Holder::Bodies) == 2 * partBytes);
    fixture.server.respond(fixture.handler.exchanges.front(), 200, {}, "answer");
    REQUIRE(runUntil(fixture.loop, [&] {
        return peer.received().ends_with("answer") && fixture.server.heldBytes().total() == 0;
    }));
    CHECK(fixture.server.connectionCount() == 1);
}

// Guards against the end of the process by an assertion in H2O: a write outside the event loop to a
// connection whose reading was resumed in the same phase, while more connections are ready than one
// turn of the loop handles.
TEST_CASE("Load pattern: many connections are refused at once outside the event loop")
{
    constexpr size_t largeLimit = 64U << 20U;
    constexpr size_t largeBody = 3U << 20U;
    constexpr size_t smallBody = 40U << 10U;
    constexpr size_t crowd = 320; // H2O handles 256 events in one turn.
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n";
    Fixture fixture({.maxHeldBytes = largeLimit});
    std::vector<RawPeer> large;
    while (!fixture.server.heldBytes().isAboveHighMark()) {
        large.push_back(fixture.send(head + std::string(largeBody, 'x')));
    }
    // Above the high mark the server stops reading from them.
    std::vector<RawPeer> peers;
    for (size_t i = 0; i < crowd; ++i) {
        peers.push_back(RawPeer::connectTo(fixture.port));
        peers.back().send(head + std::string(smallBody, 'x'));
    }
    for (int i = 0; i < 200; ++i) {
        fixture.loop.runOnce(model::milliseconds(1));
    }
    fixture.server.sweep(EventLoop::now() + model::seconds(20));
    for (int i = 0; i < 200; ++i) {
        fixture.loop.runOnce(model::milliseconds(1));
    }
    for (RawPeer &peer : peers) {
        CHECK(peer.received().starts_with("HTTP/1.1 "));
    }
}
