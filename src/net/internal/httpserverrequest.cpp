#include "net/httpserver.h"

#include <algorithm>

#include "net/internal/iovec.h"

namespace citronpick::net
{

using internal::viewOf;

namespace
{

int hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0
                              && hexDigit(text[i + 2]) >= 0;
        if (isEscape) {
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

HttpServerRequest::HttpServerRequest(st_h2o_req_t *request, uint64_t number)
    : m_request(request)
    , m_number(number)
{
}

std::string_view HttpServerRequest::method() const
{
    return viewOf(m_request->method);
}

std::string_view HttpServerRequest::path() const
{
    const std::string_view whole = viewOf(m_request->path);
    return whole.substr(0, whole.find('?'));
}

std::string HttpServerRequest::query(std::string_view name) const
{
    const std::string_view whole = viewOf(m_request->path);
    const size_t start = whole.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    std::string_view rest = whole.substr(start + 1);
    while (!rest.empty()) {
        const size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
        }
        rest = rest.substr(std::min(end + 1, rest.size()));
    }
    return {};
}

std::string_view HttpServerRequest::header(std::string_view name) const
{
    for (size_t i = 0; i < m_request->headers.size; ++i) {
        const h2o_header_t &header = m_request->headers.entries[i];
        if (viewOf(*header.name) == name) {
            return viewOf(header.value);
        }
    }
    return {};
}

std::string_view HttpServerRequest::body() const
{
    return viewOf(m_request->entity);
}

} // namespace citronpick::net
