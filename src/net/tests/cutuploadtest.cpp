#include "net/tests/upstreamfixture.h"

using namespace citronpick;
using namespace citronpick::net;
using net::testing::RawPeer;
using net::testing::runUntil;
using net::testing::validResponse;

namespace
{

constexpr std::string_view headWithoutLength = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n";
//! More than the buffers of the connection hold, so that sending it does not end.
constexpr size_t longUpload = 32U << 20U;

//! When the connection is reset.
enum class Moment {
    BeforeAnswer,
    WithHead,
    BehindHead,
    WithPart,
    BehindPart,
    BehindPausedPart,
};

struct Fixture : net::testing::UpstreamFixture {
    uint64_t upload = 0; //!< The number of its call.
};

void startUpload(Fixture &fixture, size_t bytes)
{
    UpstreamCall call = fixture.call();
    call.method = "POST";
    call.body.assign(bytes, 'b');
    call.hasBody = true;
    fixture.upload = fixture.client.start(std::move(call), fixture.handler);
}

RawPeer acceptUpload(Fixture &fixture, bool isKept, size_t bytes)
{
    RawPeer peer;
    if (isKept) {
        fixture.start();
        peer = fixture.accept();
        peer.send(validResponse);
        REQUIRE(fixture.waitForEnd());
        fixture.handler = {};
        startUpload(fixture, bytes);
        REQUIRE(fixture.client.connectsStarted() == 1);
        return peer;
    }
    startUpload(fixture, bytes);
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.listener.accept(peer); }));
    REQUIRE(runUntil(fixture.loop, [&] { return !peer.received().empty(); }));
    return peer;
}

void sendAndReset(Fixture &fixture, RawPeer &peer, Moment moment)
{
    if (moment != Moment::BeforeAnswer) {
        peer.send(headWithoutLength);
    }
    if (moment >= Moment::BehindHead) {
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.handler.heads == 1; }));
    }
    if (moment >= Moment::WithPart) {
        peer.send("part");
    }
    if (moment >= Moment::BehindPart) {
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.handler.body == "part"; }));
    }
    if (moment != Moment::BehindPausedPart) {
        peer.reset();
        return;
    }
    fixture.client.setPaused(fixture.upload, true);
    peer.reset();
    constexpr int iterations = 4; // More than the reset needs to arrive.
    for (int i = 0; i < iterations; ++i) {
        fixture.loop.runOnce(model::milliseconds(1));
    }
    fixture.client.setPaused(fixture.upload, false);
}

} // namespace

// Guards against MIXED: a part of an answer without a length that is passed on as a whole one. The
// write that was under way took the error of the reset, and reading then found an ordinary end.
TEST_CASE("A response without a length that is cut by a reset during the upload is not complete")
{
    const Moment moment = GENERATE(Moment::BeforeAnswer, Moment::WithHead, Moment::BehindHead,
                                   Moment::WithPart, Moment::BehindPart, Moment::BehindPausedPart);
    const bool isKept = GENERATE(false, true);
    const size_t upload = GENERATE(size_t {0}, size_t {1U << 20U}, longUpload);
    CAPTURE(static_cast<int>(moment), isKept, upload);
    constexpr int repetitions = 10;
    int completed = 0;
    int lost = 0;
    for (int i = 0; i < repetitions; ++i) {
        Fixture fixture;
        RawPeer peer = acceptUpload(fixture, isKept, upload);
        sendAndReset(fixture, peer, moment);
        REQUIRE(fixture.waitForEnd());
        completed += fixture.handler.ends;
        lost += fixture.handler.failure == CallFailure::ConnectionLost ? 1 : 0;
        CHECK(fixture.client.idleCount() == 0);
    }
    CHECK(completed == 0);
    CHECK(lost == repetitions);
}
