#include <catch2/catch.hpp>

#include "net/httpclient.h"
#include "net/tests/brokenresponses.h"
#include "net/tests/rawpeer.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::BrokenResponse;
using net::testing::RawListener;
using net::testing::RawPeer;
using net::testing::runUntil;

namespace
{

constexpr const char *validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

struct Fixture {
    Fixture()
        : client(loop)
    {
    }

    uint64_t start(bool isStreamed, size_t uploadBytes = 0)
    {
        HttpCall call;
        call.method = "POST";
        call.to = {.host = "127.0.0.1", .port = listener.port()};
        call.isStreamed = isStreamed;
        call.body = model::makeBody(std::string(uploadBytes, 'b'));
        HttpCallbacks callbacks;
        callbacks.onHead = [this](const HttpResponse &) {
            ++heads;
        };
        callbacks.onData = [this](std::string_view bytes) {
            body.append(bytes);
        };
        callbacks.onResponse = [this](const HttpResponse &value) {
            response = value;
        };
        callbacks.onError = [this](HttpError value) {
            error = value;
        };
        return client.start(call, std::move(callbacks));
    }
    RawPeer accept()
    {
        RawPeer peer;
        REQUIRE(runUntil(loop, [&] { return listener.accept(peer); }));
        waitForRequest(peer);
        return peer;
    }
    void waitForRequest(RawPeer &peer)
    {
        REQUIRE(
            runUntil(loop, [&] { return peer.received().find("\r\n\r\n") != std::string::npos; }));
        peer.clear();
    }
    //! A connection that has a call, its first or its second one.
    RawPeer startOnConnection(bool isStreamed, bool isKept, size_t uploadBytes = 0)
    {
        if (!isKept) {
            start(isStreamed, uploadBytes);
            return accept();
        }
        start(false);
        RawPeer peer = accept();
        peer.send(validResponse);
        REQUIRE(waitForEnd());
        response.reset();
        start(isStreamed, uploadBytes);
        waitForRequest(peer);
        return peer;
    }
    bool waitForEnd()
    {
        return runUntil(loop, [&] {
            client.expire(EventLoop::now());
            return response || error;
        });
    }

    EventLoop loop;
    RawListener listener;
    int heads = 0;
    std::string body;
    std::optional<HttpResponse> response;
    std::optional<HttpError> error;
    HttpClient client;
};

} // namespace

// Guards against answers of other daemons, of upstreams of own pipelines and of the platform that
// UpstreamClient refuses: this client read them with a parser of its own.
TEST_CASE("HttpClient fails calls whose response is broken")
{
    const bool isKept = GENERATE(false, true);
    const bool isStreamed = GENERATE(false, true);
    for (const BrokenResponse &response : net::testing::brokenResponses({})) {
        for (const size_t step : {response.bytes.size(), size_t {3}}) {
            INFO(response.name << ", kept " << isKept << ", streamed " << isStreamed << ", step "
                               << step);
            Fixture fixture;
            RawPeer peer = fixture.startOnConnection(isStreamed, isKept);
            for (size_t at = 0; at < response.bytes.size(); at += step) {
                peer.send(std::string_view(response.bytes).substr(at, step));
                fixture.loop.runOnce(model::Duration::zero());
            }
            CHECK(fixture.waitForEnd());
            CHECK_FALSE(fixture.response);
            CHECK(fixture.error == HttpError::MalformedResponse);
            if (!response.isHeadValid) {
                CHECK(fixture.heads == 0);
                CHECK(fixture.body.empty());
            }
            CHECK(runUntil(fixture.loop, [&] { return peer.hasEnded() || peer.wasReset(); }));
        }
    }
}

// Guards against truncated answers that pass as whole ones, and against calls that wait for their
// request to be sent although it has been answered.
TEST_CASE("HttpClient reads responses while it sends the request")
{
    const size_t upload = GENERATE(size_t {0}, size_t {32U << 20U});
    const bool isKept = GENERATE(false, true);
    const bool isStreamed = GENERATE(false, true);
    const bool isWhole = GENERATE(false, true);
    CAPTURE(upload, isKept, isStreamed, isWhole);
    constexpr int repetitions = 10;
    for (int i = 0; i < repetitions; ++i) {
        Fixture fixture;
        RawPeer peer = fixture.startOnConnection(isStreamed, isKept, upload);
        if (isWhole) {
            peer.send(validResponse);
            REQUIRE(fixture.waitForEnd());
            CHECK(fixture.response);
            continue;
        }
        peer.send("HTTP/1.1 200 OK\r\n\r\npart");
        constexpr int iterations = 10; // More than the part needs to arrive.
        for (int turn = 0; turn < iterations; ++turn) {
            fixture.loop.runOnce(model::milliseconds(1));
        }
        peer.reset();
        REQUIRE(fixture.waitForEnd());
        CHECK(fixture.error == HttpError::ConnectionLost);
    }
}

// Guards against reading bytes of a connection that is already gone.
TEST_CASE("A callback of HttpClient may cancel its call while more of the response is at hand")
{
    const bool cancelsInHead = GENERATE(false, true);
    const std::string framing
        = GENERATE(as<std::string>(), "Content-Length: 100000\r\n\r\n" + std::string(100000, 'b'),
                   "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n5000\r\n" + std::string(0x5000, 'b')
                       + "\r\n0\r\n\r\n",
                   "\r\nuntil the end");
    Fixture fixture;
    int callbacks = 0;
    uint64_t number = 0;
    HttpCallbacks cancelling;
    cancelling.onHead = [&](const HttpResponse &) {
        if (cancelsInHead) {
            ++callbacks;
            fixture.client.cancel(number);
        }
    };
    cancelling.onData = [&](std::string_view) {
        ++callbacks;
        fixture.client.cancel(number);
    };
    cancelling.onResponse = [&](const HttpResponse &) {
        ++callbacks;
    };
    cancelling.onError = [&](HttpError) {
        ++callbacks;
    };
    number = fixture.client.start(
        {.to = {.host = "127.0.0.1", .port = fixture.listener.port()}, .isStreamed = true},
        std::move(cancelling));
    RawPeer peer = fixture.accept();
    peer.send("HTTP/1.1 200 OK\r\n" + framing);
    peer.finishSending();
    CHECK(runUntil(fixture.loop, [&] { return peer.hasEnded() || peer.wasReset(); }));
    CHECK(callbacks == 1);
}

TEST_CASE("HttpClient uses a connection again after a whole response only")
{
    for (const auto &[bytes, isReused] :
         {std::pair<std::string, bool>(validResponse, true),
          {"HTTP/1.1 204 None\r\n\r\n", true},
          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", true},
          {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", false},
          {std::string(validResponse) + "more", false}}) {
        CAPTURE(bytes);
        Fixture fixture;
        fixture.start(false);
        RawPeer peer = fixture.accept();
        peer.send(bytes);
        REQUIRE(fixture.waitForEnd());
        REQUIRE(fixture.response);
        fixture.start(false);
        RawPeer next;
        const bool isFresh = runUntil(fixture.loop, [&] {
            return fixture.listener.accept(next) || !peer.received().empty();
        });
        REQUIRE(isFresh);
        CHECK(peer.received().empty() != isReused);
    }
}
