#ifndef CITRONPICK_NET_TESTS_BROKENRESPONSES_H
#define CITRONPICK_NET_TESTS_BROKENRESPONSES_H

#include <string>
#include <vector>

namespace citronpick::net::testing
{

//! Bytes that are no HTTP response. Their sender leaves the connection open.
struct BrokenResponse {
    std::string name;
    std::string bytes;
    bool isHeadValid = false; //!< Only the trailer is broken.
};

//! Responses with a status that is none. \a fields are complete header lines.
inline std::vector<BrokenResponse> responsesWithInvalidStatus(const std::string &fields)
{
    std::vector<BrokenResponse> responses;
    for (const char *status : {"000", "001", "099", "0", "20", "0200", "2000", "600", "999", "-20",
                               "2x0", "", "101 Switching Protocols"}) {
        for (const char *body : {"Content-Length: 5\r\n\r\nother", "Content-Length: 0\r\n\r\n",
                                 "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"}) {
            responses.push_back(
                {.name = std::string("status '") + status + "' " + body,
                 .bytes = std::string("HTTP/1.1 ") + status + " Trouble\r\n" + fields + body});
        }
    }
    responses.push_back({.name = "status without a reason",
                         .bytes = "HTTP/1.1 000\r\n" + fields + "Content-Length: 0\r\n\r\n"});
    responses.push_back({.name = "status 101 with an upgrade",
                         .bytes = "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n"
                                  + fields + "\r\nother"});
    return responses;
}

//! Lines whose field name is none, each without its line end.
inline std::vector<std::string> invalidFieldLines()
{
    using namespace std::string_literals;
    return {"X Note: 1",
            "X-Note : 1",
            "Content-Length : 3",
            " X-Note: 1",
            "\tX-Note: 1",
            " Content-Length: 3",
            "\tContent-Length: 3",
            "X-No\tte: 1",
            "X-Note\t: 1",
            "X-No\x01te: 1",
            "X-No\0te: 1"s,
            "X-No\x7fte: 1",
            "\x01X-Note: 1",
            "Content-Length\x1f: 3",
            "X-No\x0bte: 1",
            ": 1",
            " ",
            "\t"};
}

//! Responses with a field whose name is none, in the head, an interim head or the trailer.
inline std::vector<BrokenResponse> responsesWithInvalidField(const std::string &fields)
{
    std::vector<BrokenResponse> responses;
    const std::string body = "Content-Length: 4\r\n\r\ngood";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n";
    for (const std::string &line : invalidFieldLines()) {
        responses.push_back({.name = "first field '" + line + "'",
                             .bytes = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields + body});
        responses.push_back(
            {.name = "field '" + line + "'",
             .bytes = "HTTP/1.1 200 OK\r\n" + fields + "X-A: 1\r\n" + line + "\r\n" + body});
        responses.push_back(
            {.name = "field behind an empty value '" + line + "'",
             .bytes = "HTTP/1.1 200 OK\r\n" + fields + "X-A:\r\n" + line + "\r\n" + body});
        responses.push_back({.name = "interim field '" + line + "'",
                             .bytes = "HTTP/1.1 103 Early\r\nX-A: 1\r\n" + line
                                      + "\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body});
        responses.push_back(
            {.name = "trailer '" + line + "'",
             .bytes = "HTTP/1.1 200 OK\r\n" + fields + chunks + "X-A: 1\r\n" + line + "\r\n\r\n",
             .isHeadValid = true});
        responses.push_back({.name = "first trailer '" + line + "'",
                             .bytes = "HTTP/1.1 200 OK\r\n" + fields + chunks + line + "\r\n\r\n",
                             .isHeadValid = true});
    }
    return responses;
}

//! Interim responses with a body, which they cannot have: its bytes are no final response.
inline std::vector<BrokenResponse> interimResponsesWithBody(const std::string &fields)
{
    const std::string final = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\ngood";
    return {{.name = "interim body with a length",
             .bytes = "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nother" + final},
            {.name = "interim body in chunks",
             .bytes = "HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "5\r\nother\r\n0\r\n\r\n"
                      + final},
            {.name = "interim body without a length",
             .bytes = "HTTP/1.1 100 Continue\r\n\r\nother" + final}};
}

//! Responses whose lengths contradict each other or are none.
inline std::vector<BrokenResponse> responsesWithInvalidLength(const std::string &fields)
{
    std::vector<BrokenResponse> responses;
    for (const char *lengths :
         {"Content-Length: 4\r\nContent-Length: 5\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 4x\r\n",
          "Content-Length: -4\r\n", "Content-Length: 99999999999999999999\r\n"}) {
        responses.push_back(
            {.name = lengths, .bytes = "HTTP/1.1 200 OK\r\n" + fields + lengths + "\r\ngood"});
    }
    return responses;
}

//! All of them.
inline std::vector<BrokenResponse> brokenResponses(const std::string &fields)
{
    std::vector<BrokenResponse> responses = responsesWithInvalidStatus(fields);
    for (const auto &more : {responsesWithInvalidField(fields), interimResponsesWithBody(fields),
                             responsesWithInvalidLength(fields)}) {
        responses.insert(responses.end(), more.begin(), more.end());
    }
    return responses;
}

} // namespace citronpick::net::testing

#endif // CITRONPICK_NET_TESTS_BROKENRESPONSES_H
