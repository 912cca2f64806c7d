#include <catch2/catch.hpp>

#include "net/httpserver.h"
#include "net/tests/rawpeer.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawPeer;
using net::testing::runUntil;

namespace
{

struct Handler : IHttpHandler {
    void onRequest(const HttpServerRequest &request) override
    {
        requests.push_back(request.number());
    }
    void onClosed(uint64_t number, bool wasAnswered) override
    {
        closed.emplace_back(number, wasAnswered);
    }

    std::vector<uint64_t> requests;
    std::vector<std::pair<uint64_t, bool>> closed;
};

struct Fixture {
    Fixture()
        : server(loop, handler, {})
    {
        auto socket = ListenSocket::bind({.host = "127.0.0.1", .port = 0});
        server.listen(*std::move(socket));
    }

    RawPeer sendRequest()
    {
        RawPeer peer = RawPeer::connectTo(server.port());
        peer.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        REQUIRE(runUntil(loop, [&] { return handler.requests.size() == 1; }));
        return peer;
    }

    EventLoop loop;
    Handler handler;
    HttpServer server;
};

using Closed = std::vector<std::pair<uint64_t, bool>>;

} // namespace

TEST_CASE("The end of an exchange whose caller disconnected is reported once")
{
    Fixture fixture;
    RawPeer peer = fixture.sendRequest();
    peer.close();
    REQUIRE(runUntil(fixture.loop, [&] {
        fixture.server.closeAbandonedExchanges();
        return fixture.server.openConnections() == 0;
    }));
    CHECK(fixture.handler.closed == Closed {{fixture.handler.requests[0], false}});
}

TEST_CASE("The end of an answered exchange is reported once")
{
    Fixture fixture;
    RawPeer peer = fixture.sendRequest();
    fixture.server.respond(fixture.handler.requests[0], 200, {}, model::makeBody("done"));
    REQUIRE(runUntil(fixture.loop, [&] { return !fixture.handler.closed.empty(); }));
    CHECK(fixture.handler.closed == Closed {{fixture.handler.requests[0], true}});
    CHECK(peer.received().ends_with("done"));
}
