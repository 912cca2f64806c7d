#include <catch2/catch.hpp>

#include "net/exchangeserver.h"
#include "net/tests/rawpeer.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawPeer;
using net::testing::runUntil;

namespace
{

struct Handler : IExchangeHandler {
    void onRequest(uint64_t exchange, IncomingRequest request) override
    {
        exchanges.push_back(exchange);
        requests.push_back(std::move(request));
    }
    void onCallerGone(uint64_t exchange) override
    {
        gone.push_back(exchange);
    }

    std::vector<uint64_t> exchanges;
    std::vector<IncomingRequest> requests;
    std::vector<uint64_t> gone;
};

struct Fixture {
    explicit Fixture(ExchangeLimits limits = {})
        : server(loop, handler, limits)
    {
        auto socket = ListenSocket::bind({.host = "127.0.0.1", .port = 0});
        port = socket->port();
        server.listen(*std::move(socket));
    }

    RawPeer ask(std::string_view bytes)
    {
        RawPeer peer = RawPeer::connectTo(port);
        const size_t before = handler.exchanges.size();
        peer.send(bytes);
        runUntil(loop, [&] { return handler.exchanges.size() > before; });
        return peer;
    }
    bool waitFor(RawPeer &peer, std::string_view text)
    {
        return runUntil(loop, [&] { return peer.received().find(text) != std::string::npos; });
    }

    EventLoop loop;
    Handler handler;
    ExchangeServer server;
    uint16_t port = 0;
};

constexpr std::string_view simpleRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_CASE("An answer goes out whole and the connection serves the next request")
{
    Fixture fixture;
    RawPeer peer = fixture.ask(simpleRequest);
    REQUIRE(fixture.handler.exchanges.size() == 1);
    fixture.server.respond(fixture.handler.exchanges[0], 200, {{.name = "x-a", .value = "b"}},
                           "body");
    CHECK(fixture.waitFor(peer, "\r\n\r\nbody"));
    CHECK(peer.received().find("x-a: b") != std::string::npos);
    peer.send(simpleRequest);
    CHECK(runUntil(fixture.loop, [&] { return fixture.handler.exchanges.size() == 2; }));
}

TEST_CASE("A request sent ahead waits for the answer before it")
{
    Fixture fixture;
    RawPeer peer
        = fixture.ask("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.handler.requests.size() == 1);
    fixture.server.respond(fixture.handler.exchanges[0], 200, {}, "one");
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.handler.requests.size() == 2; }));
    CHECK(fixture.handler.requests[1].head.target == "/2");
}

TEST_CASE("A caller that leaves is told once, whether it closes or resets")
{
    for (const bool resets : {false, true}) {
        Fixture fixture;
        RawPeer peer = fixture.ask(simpleRequest);
        REQUIRE(fixture.handler.exchanges.size() == 1);
        resets ? peer.reset() : peer.close();
        REQUIRE(runUntil(fixture.loop, [&] { return !fixture.handler.gone.empty(); }));
        CHECK(fixture.handler.gone == fixture.handler.exchanges);
        fixture.server.respond(fixture.handler.exchanges[0], 200, {}, "too late");
        CHECK(fixture.server.exchangeCount() == 0);
    }
}

TEST_CASE("A stream that is aborted does not look complete")
{
    Fixture fixture;
    RawPeer peer = fixture.ask(simpleRequest);
    const uint64_t exchange = fixture.handler.exchanges[0];
    fixture.server.begin(exchange, 200, {}, std::nullopt);
    fixture.server.write(exchange, "part");
    REQUIRE(fixture.waitFor(peer, "part"));
    fixture.server.abort(exchange);
    REQUIRE(runUntil(fixture.loop, [&] { return peer.hasEnded(); }));
    CHECK(peer.received().find("0\r\n\r\n") == std::string::npos);
    CHECK(fixture.handler.gone.empty());
}

TEST_CASE("A stream that ends has its last chunk")
{
    Fixture fixture;
    RawPeer peer = fixture.ask(simpleRequest);
    const uint64_t exchange = fixture.handler.exchanges[0];
    fixture.server.begin(exchange, 200, {}, std::nullopt);
    fixture.server.write(exchange, "data");
    fixture.server.end(exchange);
    CHECK(fixture.waitFor(peer, "4\r\ndata\r\n0\r\n\r\n"));
}

TEST_CASE("Bodies and heads over their limits are refused and end the connection")
{
    Fixture fixture({.maxHeadBytes = 200, .maxBodyBytes = 10});
    RawPeer large = RawPeer::connectTo(fixture.port);
    large.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    CHECK(fixture.waitFor(large, "HTTP/1.1 413"));
    RawPeer chunked = RawPeer::connectTo(fixture.port);
    chunked.send(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901");
    CHECK(fixture.waitFor(chunked, "HTTP/1.1 413"));
    RawPeer head = RawPeer::connectTo(fixture.port);
    head.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(300, 'x'));
    CHECK(fixture.waitFor(head, "HTTP/1.1 431"));
    RawPeer smuggler = RawPeer::connectTo(fixture.port);
    smuggler.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(fixture.waitFor(smuggler, "HTTP/1.1 400"));
    CHECK(runUntil(fixture.loop, [&] { return smuggler.hasEnded(); }));
    CHECK(fixture.handler.exchanges.empty());
}

TEST_CASE("Idle connections end, slow heads are told so, requests under way are left alone")
{
    Fixture fixture;
    RawPeer idle = RawPeer::connectTo(fixture.port);
    RawPeer slow = RawPeer::connectTo(fixture.port);
    slow.send("GET / HT");
    RawPeer busy = fixture.ask(simpleRequest);
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.server.connectionCount() == 3; }));
    const model::TimePoint now = EventLoop::now();
    fixture.server.sweep(now + model::seconds(4));
    CHECK(fixture.waitFor(slow, "HTTP/1.1 408"));
    CHECK_FALSE(idle.hasEnded());
    fixture.server.sweep(now + model::seconds(60));
    CHECK(runUntil(fixture.loop, [&] { return idle.hasEnded(); }));
    CHECK(fixture.server.exchangeCount() == 1);
}

TEST_CASE("Answers of a server that stops end their connections")
{
    Fixture fixture;
    RawPeer peer = fixture.ask(simpleRequest);
    fixture.server.closeAfterAnswers();
    fixture.server.respond(fixture.handler.exchanges[0], 200, {}, "bye");
    CHECK(fixture.waitFor(peer, "connection: close"));
    CHECK(fixture.waitFor(peer, "bye"));
    CHECK(runUntil(fixture.loop, [&] { return peer.hasEnded(); }));
}
