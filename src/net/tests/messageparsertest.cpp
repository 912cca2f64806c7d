#include <catch2/catch.hpp>

#include "net/connectionheaders.h"
#include "net/messageparser.h"

using namespace citronpick::net;

namespace
{

struct Collector : IMessageSink {
    void onHead(MessageHead value) override
    {
        head = std::move(value);
        ++heads;
    }
    void onBody(std::string_view bytes) override
    {
        body.append(bytes);
    }
    void onComplete() override
    {
        ++completed;
    }

    MessageHead head;
    std::string body;
    int heads = 0;
    int completed = 0;
};

bool isRejected(const std::string &text)
{
    Collector sink;
    MessageParser parser(MessageParser::Kind::Request, sink);
    parser.feed(text);
    return parser.error() != ParseError::None;
}

} // namespace

TEST_CASE("A request is parsed alike in pieces of any size")
{
    const std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: Example\r\nX-Thing:  two words \r\n"
                             "Content-Length: 5\r\n\r\nhello";
    for (const size_t step : {size_t {1}, size_t {7}, text.size()}) {
        Collector sink;
        MessageParser parser(MessageParser::Kind::Request, sink);
        for (size_t at = 0; at < text.size(); at += step) {
            parser.feed(std::string_view(text).substr(at, step));
        }
        REQUIRE(parser.isComplete());
        CHECK(sink.head.method == "POST");
        CHECK(sink.head.target == "/a/b?c=1");
        CHECK(headerValue(sink.head.headers, "host") == "Example");
        CHECK(headerValue(sink.head.headers, "x-thing") == "two words");
        CHECK(sink.head.contentLength == 5);
        CHECK(sink.head.isKeepAlive);
        CHECK(sink.body == "hello");
    }
}

TEST_CASE("Bytes of the next request are not consumed")
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
    Collector sink;
    MessageParser parser(MessageParser::Kind::Request, sink);
    CHECK(parser.feed(first + "GET /2 HTTP/1.1\r\n\r\n") == first.size());
    CHECK(parser.isComplete());
    CHECK(sink.completed == 1);
}

TEST_CASE("A chunked body is joined and its trailers are discarded")
{
    Collector sink;
    MessageParser parser(MessageParser::Kind::Request, sink);
    parser.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "4\r\nwest\r\n3;x=y\r\nern\r\n0\r\nX-Late: 1\r\n\r\n");
    REQUIRE(parser.isComplete());
    CHECK(sink.body == "western");
    CHECK(sink.head.isChunked);
    CHECK(headerValue(sink.head.headers, "x-late").empty());
}

TEST_CASE("Ambiguous and malformed requests are rejected")
{
    CHECK(isRejected("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(
        isRejected("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"));
    CHECK(isRejected("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3x\r\n\r\nabc"));
    CHECK(isRejected("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n"));
    CHECK(isRejected("GET / HTTP/1.1\r\nBad Name: a\r\n\r\n"));
    CHECK(isRejected("NONSENSE\r\n\r\n"));
}

TEST_CASE("A head over its limit is rejected before it ends")
{
    Collector sink;
    MessageParser parser(MessageParser::Kind::Request, sink);
    parser.setMaxHeadBytes(100);
    parser.feed("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(200, 'x'));
    CHECK(parser.error() == ParseError::HeadTooLarge);
}

TEST_CASE("A response without a length is complete when its connection is closed")
{
    Collector sink;
    MessageParser parser(MessageParser::Kind::Response, sink);
    parser.feed("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_FALSE(parser.isComplete());
    CHECK(parser.finish());
    CHECK(sink.body == "part");
    CHECK_FALSE(sink.head.isKeepAlive);
}

TEST_CASE("A response that ends before its length or last chunk is incomplete")
{
    for (const char *framing :
         {"Content-Length: 10\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
        Collector sink;
        MessageParser parser(MessageParser::Kind::Response, sink);
        parser.feed(std::string("HTTP/1.1 200 OK\r\n") + framing);
        CHECK_FALSE(parser.finish());
        CHECK(sink.completed == 0);
    }
}

// Guards against heads within their limit that take many times its bytes in memory.
TEST_CASE("Small fields of a response head count with the memory that they take")
{
    std::string fields;
    constexpr int fieldCount = 2000;
    for (int i = 0; i < fieldCount; ++i) {
        fields += "a:\r\n";
    }
    Collector sink;
    MessageParser response(MessageParser::Kind::Response, sink);
    response.feed("HTTP/1.1 200 OK\r\n" + fields);
    CHECK(response.error() == ParseError::HeadTooLarge);
    response.reset();
    response.feed("HTTP/1.1 200 OK\r\n" + fields + "\r\n");
    CHECK(response.error() == ParseError::HeadTooLarge);
    // The limit on the heads of callers is stated in bytes of the head.
    CHECK_FALSE(isRejected("GET / HTTP/1.1\r\nHost: a\r\n" + fields));
}

TEST_CASE("Interim responses are skipped")
{
    Collector sink;
    MessageParser parser(MessageParser::Kind::Response, sink);
    parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    REQUIRE(parser.isComplete());
    CHECK(sink.heads == 1);
    CHECK(sink.head.status == 204);
}

TEST_CASE("Hop-by-hop headers and those listed in the connection header are removed")
{
    const Headers headers {
        {.name = "connection", .value = "close, X-Mine"},  {.name = "x-mine", .value = "1"},
        {.name = "keep-alive", .value = "timeout=5"},      {.name = "content-length", .value = "3"},
        {.name = "transfer-encoding", .value = "chunked"}, {.name = "x-kept", .value = "2"}};
    const Headers expected {{.name = "x-kept", .value = "2"}};
    CHECK(withoutConnectionHeaders(headers) == expected);
}
