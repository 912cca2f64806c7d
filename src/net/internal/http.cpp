#include "net/http.h"

#include <absl/strings/match.h>

namespace citronpick::net
{

std::string headerValue(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return {};
}

size_t memoryOf(const Headers &headers)
{
    size_t bytes = headers.capacity() * sizeof(Header);
    for (const Header &header : headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

bool isEventStream(const Headers &headers)
{
    return absl::StartsWithIgnoreCase(headerValue(headers, "content-type"), "text/event-stream");
}

std::string_view toString(HttpError error)
{
    switch (error) {
    case HttpError::ConnectFailed:
        return "connect-failed";
    case HttpError::ConnectionLost:
        return "connection-lost";
    case HttpError::TimedOut:
        return "timed-out";
    case HttpError::TooLarge:
        return "too-large";
    case HttpError::MalformedResponse:
        return "garbage";
    }
    return "connection-lost";
}

} // namespace citronpick::net
