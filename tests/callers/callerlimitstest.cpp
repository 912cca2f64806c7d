#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include "callers/callercrowd.h"

using namespace citronpick;
using citronpick::testing::CallerCrowd;
using citronpick::testing::CrowdAnswer;

namespace
{

constexpr size_t crowd = 100;
constexpr size_t megabyte = 1U << 20U;

std::string head(std::string_view framing)
{
    return absl::StrCat("POST /once/crowd HTTP/1.1\r\nHost: shop\r\nX-Request-Id: crowd\r\n",
                        std::string(framing), "\r\n\r\n");
}

void checkHolds(CallerCrowd &callers)
{
    CHECK(callers.isAlive());
    CHECK(callers.answersOrdinaryRequest());
    CHECK(callers.isAlive());
    CHECK(callers.peakBytes() < (CallerCrowd::memoryMb << 20U));
    CHECK(callers.openDescriptors() < CallerCrowd::maxDescriptors);
}

} // namespace

// Guards against bodies of many callers that together exceed the memory of the instance.
TEST_CASE("Load pattern: bodies with a length that stop one byte short")
{
    CallerCrowd callers;
    callers.send(crowd,
                 head(absl::StrCat("Content-Length: ", megabyte)) + std::string(megabyte - 1, 'x'));
    checkHolds(callers);
}

// Guards against small chunks that cost a multiple of their payload.
TEST_CASE("Load pattern: bodies in chunks of one byte that stop short of their end")
{
    std::string bytes = head("Transfer-Encoding: chunked");
    constexpr size_t payload = 200000;
    for (size_t i = 0; i < payload; ++i) {
        bytes += "1\r\nx\r\n";
    }
    CallerCrowd callers;
    callers.send(crowd, bytes + "0\r\n\r");
    checkHolds(callers);
}

// Guards against large chunks of many callers that together exceed the memory of the instance.
TEST_CASE("Load pattern: bodies in chunks of a megabyte that stop short of their end")
{
    CallerCrowd callers;
    callers.send(crowd, head("Transfer-Encoding: chunked") + "100000\r\n"
                            + std::string(megabyte, 'x') + "\r\n0\r\n\r");
    checkHolds(callers);
}

// Guards against chunk extensions and trailers that are kept.
TEST_CASE("Load pattern: chunk extensions without an end")
{
    CallerCrowd callers;
    callers.send(crowd, head("Transfer-Encoding: chunked") + "1;a=" + std::string(megabyte, 'x'));
    checkHolds(callers);
}

// Guards against memory that is reserved for a body that is only announced.
TEST_CASE("Load pattern: bodies announced far over the limit")
{
    CallerCrowd callers;
    callers.send(crowd, head("Content-Length: 100000000000") + std::string(megabyte, 'x'));
    checkHolds(callers);
}

// Guards against bodies without a length that are read far beyond the limit.
TEST_CASE("Load pattern: bodies sent far over the limit")
{
    std::string chunk = "100000\r\n" + std::string(megabyte, 'x') + "\r\n";
    std::string bytes = head("Transfer-Encoding: chunked");
    constexpr int chunks = 16;
    for (int i = 0; i < chunks; ++i) {
        bytes += chunk;
    }
    CallerCrowd callers;
    callers.send(crowd, bytes);
    checkHolds(callers);
}

// Guards against whole requests that wait for their answers with two copies of their bodies.
TEST_CASE("Load pattern: whole bodies for an upstream that does not answer")
{
    CallerCrowd callers;
    callers.send(crowd,
                 head(absl::StrCat("Content-Length: ", megabyte)) + std::string(megabyte, 'x'));
    checkHolds(callers);
}

// Guards against heads that are kept without an end.
TEST_CASE("Load pattern: heads in pieces")
{
    CallerCrowd callers;
    callers.send(CallerCrowd::maxConnections - 1,
                 "POST /once/crowd HTTP/1.1\r\nHost: shop\r\nX-Piece: " + std::string(14000, 'x'));
    checkHolds(callers);
}

// Guards against complete heads of many small fields, which take a multiple of their bytes.
TEST_CASE("Load pattern: heads of many small fields whose bodies do not come")
{
    // Within the limit on heads, and far over it.
    for (const size_t headBytes : {16000, 60000}) {
        CAPTURE(headBytes);
        std::string bytes = "POST /once/crowd HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n";
        while (bytes.size() < headBytes) {
            bytes += "a:\r\n";
        }
        CallerCrowd callers;
        callers.send(crowd, bytes + "\r\n");
        checkHolds(callers);
    }
}

// Guards against callers that keep others out by a refused request on each of their connections.
TEST_CASE("Load pattern: connections that stay after a refused request")
{
    CallerCrowd callers;
    callers.send(CallerCrowd::maxConnections,
                 "GET /nowhere HTTP/1.1\r\nHost: shop\r\nX-Request-Id: crowd\r\n\r\n");
    checkHolds(callers);
}

// Guards against large requests that are held without a bound behind open ones.
TEST_CASE("Load pattern: large bodies behind requests that wait for their responses")
{
    CallerCrowd callers;
    callers.send(crowd, head("Content-Length: 0") + head(absl::StrCat("Content-Length: ", megabyte))
                            + std::string(megabyte, 'x'));
    checkHolds(callers);
}

// Guards against silent connections that keep all others out.
TEST_CASE("Load pattern: connections that say nothing")
{
    CallerCrowd callers;
    callers.stayConnected(2 * CallerCrowd::maxConnections);
    checkHolds(callers);
}

// Guards against requests that are read ahead of the answer to the first one.
TEST_CASE("Load pattern: pipelined requests")
{
    std::string bytes;
    while (bytes.size() < megabyte) {
        bytes += head("Content-Length: 0");
    }
    CallerCrowd callers;
    callers.send(crowd, bytes);
    checkHolds(callers);
}

// Guards against memory that answers take while their callers do not read them.
TEST_CASE("Load pattern: answers that are not read")
{
    for (const auto &[answer, path] : {std::pair(CrowdAnswer::Plain, "/once/crowd"),
                                       {CrowdAnswer::Stream, "/stream/crowd"},
                                       {CrowdAnswer::Lengthless, "/stream/crowd"}}) {
        CAPTURE(path, static_cast<int>(answer));
        CallerCrowd callers(answer);
        callers.send(crowd, absl::StrCat("POST ", path,
                                         " HTTP/1.1\r\nHost: shop\r\nX-Request-Id: crowd\r\n"
                                         "Content-Length: 0\r\n\r\n"));
        checkHolds(callers);
    }
}

// Guards against a faulty upstream whose bytes without an end, summed over many calls to it, take
// the memory of the instance, so that the requests of all other callers end with the process.
TEST_CASE("Load pattern: answers without an end from a faulty upstream")
{
    for (const auto &[answer, path] : {std::pair(CrowdAnswer::HeadWithoutEnd, "/once/crowd"),
                                       {CrowdAnswer::InterimHeads, "/once/crowd"},
                                       {CrowdAnswer::HeadOnly, "/once/crowd"},
                                       {CrowdAnswer::TrailerWithoutEnd, "/stream/crowd"},
                                       {CrowdAnswer::EventWithoutEnd, "/resume/crowd"},
                                       {CrowdAnswer::NoHttp, "/once/crowd"},
                                       {CrowdAnswer::BodyWithoutEnd, "/once/crowd"},
                                       {CrowdAnswer::BodyInSmallChunks, "/once/crowd"},
                                       {CrowdAnswer::FailureWithoutEnd, "/once/crowd"},
                                       {CrowdAnswer::ChunkExtensionWithoutEnd, "/once/crowd"},
                                       {CrowdAnswer::BytesAfterAnswer, "/once/crowd"}}) {
        CAPTURE(path, static_cast<int>(answer));
        CallerCrowd callers(answer);
        callers.send(crowd, absl::StrCat("POST ", path,
                                         " HTTP/1.1\r\nHost: shop\r\nX-Request-Id: crowd\r\n"
                                         "Content-Length: 0\r\n\r\n"));
        checkHolds(callers);
    }
}

// Guards against bodies for the lookup, the readiness or the metrics that take the memory of all.
TEST_CASE("Load pattern: bodies for addresses that expect none")
{
    CallerCrowd callers;
    for (const uint16_t port :
         {callers.settings().directory.port, callers.settings().readiness.port,
          callers.settings().metricsPort}) {
        callers.sendTo(port, crowd,
                       head(absl::StrCat("Content-Length: ", megabyte))
                           + std::string(megabyte - 1, 'x'));
    }
    checkHolds(callers);
}

// Guards against bodies for the stages of peers that take the memory of all.
TEST_CASE("Load pattern: bodies for the address of stages")
{
    CallerCrowd callers;
    callers.sendTo(callers.settings().stagePort, crowd,
                   head(absl::StrCat("Content-Length: ", megabyte))
                       + std::string(megabyte - 1, 'x'));
    checkHolds(callers);
}

// Guards against bodies for the address of the fleet that take the memory of all.
TEST_CASE("Load pattern: bodies for the address of the fleet")
{
    CallerCrowd callers;
    callers.sendTo(callers.settings().fleet.port, crowd,
                   head("Transfer-Encoding: chunked") + "ff000\r\n"
                       + std::string(megabyte - 4096, 'x') + "\r\n0\r\n\r");
    checkHolds(callers);
}

// Guards against bounds that hold for each address and not for all of them together: callers at
// several addresses at once took the memory and the descriptors of the process, or ended it, as
// writes outside the event loop met more ready connections than one of its turns handles.
TEST_CASE("Load pattern: bodies for all addresses at once")
{
    CallerCrowd callers;
    callers.sendToEach(
        callers.addresses(), crowd,
        {head(absl::StrCat("Content-Length: ", megabyte)) + std::string(megabyte - 1, 'x')});
    checkHolds(callers);
}

// Guards against the same for callers that differ in what they send.
TEST_CASE("Load pattern: all kinds of bodies for all addresses at once")
{
    std::string smallChunks = head("Transfer-Encoding: chunked");
    constexpr size_t payload = 200000;
    for (size_t i = 0; i < payload; ++i) {
        smallChunks += "1\r\nx\r\n";
    }
    const std::string largeChunk = "100000\r\n" + std::string(megabyte, 'x') + "\r\n";
    CallerCrowd callers;
    callers.sendToEach(
        callers.addresses(), crowd,
        {head(absl::StrCat("Content-Length: ", megabyte)) + std::string(megabyte - 1, 'x'),
         smallChunks + "0\r\n\r", head("Transfer-Encoding: chunked") + largeChunk + "0\r\n\r",
         head("Transfer-Encoding: chunked") + largeChunk + largeChunk + largeChunk,
         head("Content-Length: 100000000000") + std::string(megabyte, 'x'),
         "POST /once/crowd HTTP/1.1\r\nHost: shop\r\nX-Piece: " + std::string(14000, 'x')});
    checkHolds(callers);
}

// Guards against a budget that refuses the greatest request that is allowed.
TEST_CASE("A request of the greatest size is served in calm")
{
    CallerCrowd callers;
    CHECK(callers.answersOrdinaryRequest(std::string(4 * megabyte, 'x')));
}
