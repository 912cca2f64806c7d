#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include "daemon/internal/fleetapi.h"
#include "net/tests/brokenresponses.h"
#include "net/tests/rawpeer.h"

using namespace citronpick;
using namespace citronpick::daemon;
using net::testing::RawListener;
using net::testing::RawPeer;

namespace
{

struct Sink : IEventSink {
    void post(core::Event event) override
    {
        posted.push_back(std::move(event));
    }
    void record(const observability::Event &event) override
    {
        recorded.push_back(event);
    }

    std::vector<core::Event> posted;
    std::vector<observability::Event> recorded;
};

//! The fleet interface of a daemon whose peer is a raw socket.
struct Fixture {
    Fixture()
        : client(loop)
        , api(loop, client,
              {.daemon = model::DaemonId("d1"),
               .endpoint = {.host = "127.0.0.1", .port = 1},
               .key = key,
               .incarnation = model::Incarnation(1)},
              {}, sink)
        , peerAuth(key, model::DaemonId("d2"), model::Incarnation(1))
    {
    }

    config::Endpoint peerAddress() const
    {
        return {.host = "127.0.0.1", .port = listener.port()};
    }

    void runOnce()
    {
        loop.runOnce(model::milliseconds(1));
        client.expire(net::EventLoop::now());
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        constexpr int maxIterations = 4000;
        for (int iteration = 0; iteration < maxIterations; ++iteration) {
            if (condition()) {
                return true;
            }
            runOnce();
        }
        return false;
    }

    //! Accepts the daemon's call and begins to answer it with \a body.
    RawPeer acceptAndSendHead(const std::string &body)
    {
        RawPeer peer;
        REQUIRE(runUntil([&] { return listener.accept(peer); }));
        REQUIRE(runUntil([&] { return peer.received().find("\r\n\r\n") != std::string::npos; }));
        const std::string &request = peer.received();
        constexpr std::string_view name = "x-citronpick-stamp: ";
        const size_t stampAt = request.find(name) + name.size();
        const std::string stamp = request.substr(stampAt, request.find('\r', stampAt) - stampAt);
        peer.send(absl::StrCat(
            "HTTP/1.1 200 OK\r\nx-citronpick-code: ", peerAuth.signResponse(stamp, body),
            "\r\ncontent-length: ", body.size(), "\r\n\r\n"));
        return peer;
    }

    static constexpr const char *key = "key";
    net::EventLoop loop;
    RawListener listener;
    net::HttpClient client;
    Sink sink;
    FleetApi api;
    net::MessageAuth peerAuth;
};

} // namespace

// Guards against copies of a configuration that are given up on a narrow link while they arrive,
// and sent again from the start.
TEST_CASE("The answer to a watch that keeps arriving is used, however long it takes")
{
    Fixture fixture;
    std::optional<absl::StatusOr<std::string>> result;
    fixture.api.watchPeer(
        fixture.peerAddress(),
        {.reader = model::DaemonId("d2"),
         .afterRevision = 1,
         .timeout = model::milliseconds(50),
         .margin = model::milliseconds(500)},
        [&result](const absl::StatusOr<std::string> &text, registry::PeerError) { result = text; });
    const std::string body(1000, 'a');
    RawPeer peer = fixture.acceptAndSendHead(body);
    const model::TimePoint start = net::EventLoop::now();
    size_t sent = 0;
    while (!result && sent < body.size()) {
        const auto due
            = static_cast<size_t>(model::toMilliseconds(net::EventLoop::now() - start)) + 1;
        const size_t count = std::min(due, body.size()) - sent;
        peer.send(body.substr(sent, count));
        sent += count;
        fixture.runOnce();
    }
    REQUIRE(fixture.runUntil([&] { return result.has_value(); }));
    REQUIRE(result->ok());
    CHECK(**result == body);
}

// Guards against exchanges with other daemons that wait for an answer in vain, or fail unseen.
TEST_CASE("A broken answer of another daemon fails its exchange and is recorded")
{
    for (const auto &response : net::testing::brokenResponses({})) {
        INFO(response.name);
        Fixture fixture;
        fixture.api.send({.exchange = 7,
                          .to = fixture.peerAddress(),
                          .timeout = model::seconds(60),
                          .message = {}});
        RawPeer peer;
        REQUIRE(fixture.runUntil([&] { return fixture.listener.accept(peer); }));
        REQUIRE(fixture.runUntil([&] { return !peer.received().empty(); }));
        peer.send(response.bytes);
        REQUIRE(fixture.runUntil([&] { return !fixture.sink.posted.empty(); }));
        CHECK(std::holds_alternative<core::FleetExchangeFailed>(fixture.sink.posted.front()));
        REQUIRE(fixture.sink.recorded.size() == 1);
        CHECK(fixture.sink.recorded.front().detail.find("why=garbage") != std::string::npos);
    }
}

TEST_CASE("A document in a broken answer of another daemon is not used")
{
    for (const auto &response : net::testing::brokenResponses({})) {
        INFO(response.name);
        Fixture fixture;
        std::optional<absl::StatusOr<std::string>> result;
        fixture.api.fetchListing(
            fixture.peerAddress(), 1,
            [&result](const absl::StatusOr<std::string> &text) { result = text; });
        RawPeer peer;
        REQUIRE(fixture.runUntil([&] { return fixture.listener.accept(peer); }));
        REQUIRE(fixture.runUntil([&] { return !peer.received().empty(); }));
        peer.send(response.bytes);
        REQUIRE(fixture.runUntil([&] { return result.has_value(); }));
        CHECK_FALSE(result->ok());
        REQUIRE(fixture.sink.recorded.size() == 1);
        CHECK(fixture.sink.recorded.front().detail.find("outcome=garbage") != std::string::npos);
    }
}
