#include "net/tests/upstreamfixture.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawPeer;
using net::testing::runUntil;
using net::testing::validResponse;
using Fixture = net::testing::UpstreamFixture;

// Guards against answers that are lost or late: an upstream that answers before it has read a long
// request was waited for until it had read the rest, and its answer was dropped if it closed.
TEST_CASE("A response that arrives before the request has been sent ends the call at once")
{
    enum class Ending {
        KeepsConnection,
        Closes,
        Resets,
    };
    for (const Ending ending : {Ending::KeepsConnection, Ending::Closes, Ending::Resets}) {
        CAPTURE(static_cast<int>(ending));
        Fixture fixture;
        UpstreamCall call = fixture.call();
        call.method = "POST";
        // More than the buffers of the connection hold, so that sending it does not end.
        call.body.assign(32U << 20U, 'b');
        call.hasBody = true;
        fixture.client.start(std::move(call), fixture.handler);
        RawPeer peer;
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.listener.accept(peer); }));
        peer.send(validResponse);
        if (ending == Ending::Closes) {
            peer.finishSending();
        } else if (ending == Ending::Resets) {
            peer.close(); // Resets the connection, as it has unread bytes.
        }
        REQUIRE(fixture.waitForEnd());
        CHECK(fixture.handler.ends == 1);
        CHECK(fixture.handler.body == "good");
        CHECK(fixture.client.idleCount() == 0);
    }
}

TEST_CASE("A response without a length may end before the request has been sent")
{
    Fixture fixture;
    UpstreamCall call = fixture.call();
    call.method = "POST";
    call.body.assign(32U << 20U, 'b');
    call.hasBody = true;
    fixture.client.start(std::move(call), fixture.handler);
    RawPeer peer;
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.listener.accept(peer); }));
    peer.send("HTTP/1.1 503 Full\r\nX-Id: 7\r\n\r\nall of it");
    peer.finishSending();
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.ends == 1);
    CHECK(fixture.handler.body == "all of it");
}

TEST_CASE("A response that has no body ends with its head, without a length")
{
    for (const auto &[method, head] : {std::pair("HEAD", "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"),
                                       {"GET", "HTTP/1.1 204 None\r\nX-Id: 7\r\n\r\n"},
                                       {"GET", "HTTP/1.1 304 Same\r\nX-Id: 7\r\n\r\n"}}) {
        CAPTURE(method, head);
        Fixture fixture;
        UpstreamCall call = fixture.call();
        call.method = method;
        fixture.client.start(std::move(call), fixture.handler);
        RawPeer peer = fixture.accept();
        peer.send(head);
        REQUIRE(fixture.waitForEnd());
        CHECK(fixture.handler.ends == 1);
        CHECK_FALSE(fixture.handler.head.endsWithConnection);
    }
}

TEST_CASE("A late response without a length does not end as the response to the next request")
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
    peer.send("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nlate");
    peer.close();
    REQUIRE(fixture.waitForEnd());
    CHECK(fixture.handler.failure == CallFailure::ConnectionLost);
    CHECK(fixture.handler.heads == 0);
    CHECK(fixture.handler.body.empty());
}
