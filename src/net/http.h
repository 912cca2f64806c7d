#ifndef CITRONPICK_NET_HTTP_H
#define CITRONPICK_NET_HTTP_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.h"
#include "model/body.h"
#include "model/time.h"

namespace citronpick::net
{

//! One header; names are lower-case.
struct Header {
    std::string name;
    std::string value;

    friend auto operator<=>(const Header &, const Header &) = default;
};

using Headers = std::vector<Header>;

//! The value of a header; empty when it is absent.
std::string headerValue(const Headers &headers, std::string_view name);

//! Content type of all structured bodies.
inline constexpr const char *jsonType = "application/json";

//! Why an HTTP call gave no answer.
enum class HttpError {
    ConnectFailed, //!< Proven: no byte of the request was handed to the connection.
    ConnectionLost,
    TimedOut,
    TooLarge,
    Garbage,
};

std::string_view toString(HttpError error);

//! A call to another HTTP server.
struct HttpCall {
    std::string method = "GET";
    config::Endpoint to;
    std::string path = "/";
    Headers headers;
    model::BodyPtr body;
    bool needsFreshConnection = false;
    bool isStreamed = false; //!< The body comes piece by piece instead of as a whole.
    model::Duration connectTimeout = model::seconds(1);
    model::Duration timeout = model::seconds(30); //!< For the whole call.
    uint64_t maxBodyBytes = 1U << 20U;
};

//! What came back.
struct HttpAnswer {
    uint16_t status = 0;
    Headers headers;
    model::BodyPtr body; //!< Empty for streamed calls.
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_HTTP_H
