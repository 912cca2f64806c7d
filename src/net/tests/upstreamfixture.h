#ifndef CITRONPICK_NET_TESTS_UPSTREAMFIXTURE_H
#define CITRONPICK_NET_TESTS_UPSTREAMFIXTURE_H

#include <catch2/catch.hpp>

#include "net/tests/rawpeer.h"
#include "net/upstreamclient.h"

namespace citronpick::net::testing
{

//! Records the callbacks of one call.
struct UpstreamHandler : IUpstreamHandler {
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

//! A client and an upstream that is a raw socket.
struct UpstreamFixture {
    UpstreamFixture()
        : client(loop)
    {
    }

    uint64_t start(bool needsFreshConnection = false)
    {
        UpstreamCall request = call();
        request.needsFreshConnection = needsFreshConnection;
        return client.start(std::move(request), handler);
    }
    UpstreamCall call() const
    {
        return {.to = {.host = "127.0.0.1", .port = listener.port()},
                .method = "GET",
                .target = "/x",
                .headers = {{.name = "x-id", .value = "7"}},
                .correlationHeader = "x-id",
                .correlationValue = "7"};
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
    UpstreamHandler handler;
    UpstreamClient client;
};

inline constexpr std::string_view validResponse
    = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\ngood";

} // namespace citronpick::net::testing

#endif // CITRONPICK_NET_TESTS_UPSTREAMFIXTURE_H
