#include <catch2/catch.hpp>

#include "net/httpclient.h"
#include "net/tests/rawpeer.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawListener;
using net::testing::RawPeer;
using net::testing::runUntil;

namespace
{

struct Fixture {
    Fixture()
        : client(loop)
    {
    }

    RawPeer startAndAccept(HttpCall call = {})
    {
        call.to = {.host = "127.0.0.1", .port = listener.port()};
        call.maxBodyBytes = 100000;
        HttpCallbacks callbacks;
        callbacks.onProgress = [this](size_t bytes) {
            if (onProgress) {
                onProgress(bytes);
            }
        };
        callbacks.onResponse = [this](const HttpResponse &value) {
            response = value;
        };
        callbacks.onError = [this](HttpError value) {
            error = value;
        };
        client.start(call, std::move(callbacks));
        RawPeer peer;
        REQUIRE(runUntil(loop, [&] { return listener.accept(peer); }));
        return peer;
    }
    bool receiveRequest(RawPeer &peer)
    {
        return runUntil(loop,
                        [&] { return peer.received().find("\r\n\r\n") != std::string::npos; });
    }
    //! Sends \a filler until the call ends or \a limit bytes were sent; returns their number.
    size_t sendUntilEnd(RawPeer &peer, const std::string &filler, size_t limit)
    {
        std::string block;
        constexpr size_t blockBytes = 16U << 10U;
        while (block.size() < blockBytes) {
            block.append(filler);
        }
        size_t sent = 0;
        while (sent < limit && !response && !error) {
            sent += peer.sendSome(block);
            loop.runOnce(model::Duration::zero());
            client.expire(EventLoop::now());
        }
        return sent;
    }

    EventLoop loop;
    RawListener listener;
    std::optional<HttpResponse> response;
    std::optional<HttpError> error;
    std::function<void(size_t)> onProgress;
    HttpClient client;
};

constexpr size_t limit = 8U << 20U;

} // namespace

TEST_CASE("A response head without an end fails the call")
{
    Fixture fixture;
    RawPeer peer = fixture.startAndAccept();
    peer.send("HTTP/1.1 200 OK\r\nx-a: ");
    CHECK(fixture.sendUntilEnd(peer, "a", limit) < limit);
    CHECK(fixture.error == HttpError::TooLarge);
}

TEST_CASE("A response body without an end fails the call at its limit")
{
    for (const char *framing : {"\r\n", "content-length: 1000000000000\r\n\r\n"}) {
        CAPTURE(framing);
        Fixture fixture;
        RawPeer peer = fixture.startAndAccept();
        peer.send(std::string("HTTP/1.1 200 OK\r\n") + framing);
        CHECK(fixture.sendUntilEnd(peer, "b", limit) < limit);
        CHECK(fixture.error.has_value());
        CHECK_FALSE(fixture.response);
    }
}

TEST_CASE("A response body that is cut off is not a complete response")
{
    Fixture fixture;
    RawPeer peer = fixture.startAndAccept();
    peer.send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart");
    peer.close();
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.response || fixture.error; }));
    CHECK(fixture.error.has_value());
}

// Guards against a success made of the first part of a head.
TEST_CASE("A response whose head is cut off is not a response")
{
    const std::string head = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    for (size_t cut = 0; cut < head.size(); ++cut) {
        CAPTURE(cut);
        Fixture fixture;
        RawPeer peer = fixture.startAndAccept();
        peer.send(head.substr(0, cut));
        peer.close();
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.response || fixture.error; }));
        CHECK_FALSE(fixture.response);
    }
}

// Guards against truncated responses that are taken for complete ones: the end of the connection
// was the end of every response without a length, and of a chunked one between two chunks.
TEST_CASE("A response that ends with its connection is complete only if nothing is missing")
{
    struct Ending {
        std::string bytes;
        bool isReset;
        bool isComplete;
    };
    const std::string chunked = "transfer-encoding: chunked\r\n\r\n";
    const std::vector<Ending> endings {
        {"\r\npart", false, true},
        {"\r\npart", true, false},
        {chunked + "4\r\npart\r\n", false, false},
        {chunked + "4\r\npart\r\n", true, false},
        {chunked + "4\r\npart\r\n0\r\n", false, false},
        {chunked + "4\r\npart\r\n8\r\nmore", false, false},
        {chunked + "4\r\npart\r\n0\r\n\r\n", false, true},
        {"content-length: 9\r\n\r\npart", true, false},
    };
    for (const bool arrivesWithEnd : {false, true}) {
        for (const Ending &ending : endings) {
            CAPTURE(ending.bytes, ending.isReset, arrivesWithEnd);
            Fixture fixture;
            RawPeer peer = fixture.startAndAccept();
            // Closing a connection that holds unread bytes would reset it.
            REQUIRE(runUntil(fixture.loop, [&] { return peer.received().ends_with("\r\n\r\n"); }));
            peer.send("HTTP/1.1 200 OK\r\n" + ending.bytes);
            constexpr int iterations = 20; // More than the response needs to arrive.
            for (int i = 0; !arrivesWithEnd && i < iterations; ++i) {
                fixture.loop.runOnce(model::milliseconds(1));
            }
            ending.isReset ? peer.reset() : peer.close();
            REQUIRE(runUntil(fixture.loop, [&] { return fixture.response || fixture.error; }));
            CHECK(fixture.response.has_value() == ending.isComplete);
        }
    }
}

// Guards against calls that are given up because their response is large.
TEST_CASE("A response fails the call when it stands still, not when it takes long")
{
    constexpr model::Duration stall = model::seconds(5);
    Fixture fixture;
    RawPeer peer
        = fixture.startAndAccept({.headTimeout = model::seconds(3), .stallTimeout = stall});
    REQUIRE(fixture.receiveRequest(peer));
    const auto expireIn = [&fixture](model::Duration time) {
        fixture.client.expire(EventLoop::now() + time);
        return fixture.error.has_value();
    };
    CHECK_FALSE(expireIn(model::seconds(2)));
    size_t received = 0;
    fixture.onProgress = [&received](size_t bytes) {
        received += bytes;
    };
    peer.send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\na");
    REQUIRE(runUntil(fixture.loop, [&] { return received == 1; }));
    // The head came in time, and each part restarts the wait for the next one.
    CHECK_FALSE(expireIn(model::seconds(4)));
    peer.send("a");
    REQUIRE(runUntil(fixture.loop, [&] { return received == 2; }));
    CHECK_FALSE(expireIn(model::seconds(4)));
    CHECK(expireIn(stall));
    CHECK(fixture.error == HttpError::TimedOut);
}

TEST_CASE("A response that does not begin in time fails the call")
{
    Fixture fixture;
    RawPeer peer = fixture.startAndAccept(
        {.headTimeout = model::seconds(3), .stallTimeout = model::seconds(5)});
    REQUIRE(fixture.receiveRequest(peer));
    fixture.client.expire(EventLoop::now() + model::seconds(2));
    CHECK_FALSE(fixture.error);
    fixture.client.expire(EventLoop::now() + model::seconds(3));
    CHECK(fixture.error == HttpError::TimedOut);
}
