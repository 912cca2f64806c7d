#ifndef CITRONPICK_NET_HTTP_H
#define CITRONPICK_NET_HTTP_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "model/body.h"
#include "model/time.h"

namespace citronpick::net
{

//! HTTP header field. The name is lower-case.
struct Header {
    std::string name;
    std::string value;

    friend auto operator<=>(const Header &, const Header &) = default;
};

using Headers = std::vector<Header>;

//! Value of the first header with a lower-case \a name; empty if there is none.
std::string headerValue(const Headers &headers, std::string_view name);

//! Approximate memory that the headers take.
size_t memoryOf(const Headers &headers);

//! Whether the content type is that of server-sent events.
bool isEventStream(const Headers &headers);

//! Content type of JSON bodies.
inline constexpr const char *jsonType = "application/json";

//! Reason why an HTTP call has no complete response.
enum class HttpError {
    ConnectFailed, //!< Guarantees that no byte of the request was written.
    ConnectionLost,
    TimedOut,
    TooLarge,
    MalformedResponse,
};

std::string_view toString(HttpError error);

//! Request to another HTTP server, with its limits.
struct HttpCall {
    std::string method = "GET";
    config::Endpoint to;
    std::string path = "/";
    Headers headers;
    model::BodyPtr body;
    bool needsFreshConnection = false;
    bool isStreamed = false; //!< The response body is delivered in pieces, not as a whole.
    model::Duration connectTimeout = model::seconds(1);
    model::Duration timeout = model::seconds(30); //!< Covers the whole call.
    //! Longest wait for the response head, and then for each further part of the response.
    //! Without them only \a timeout holds.
    std::optional<model::Duration> headTimeout;
    std::optional<model::Duration> stallTimeout;
    uint64_t maxBodyBytes = 1U << 20U; //!< Limit on the response body.
};

//! Response to an HttpCall.
struct HttpResponse {
    uint16_t status = 0;
    Headers headers;
    model::BodyPtr body; //!< Empty for streamed calls, which use HttpCallbacks::onData.
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_HTTP_H
