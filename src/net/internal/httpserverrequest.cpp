#include "net/httpserver.h"

#include <algorithm>

#include "net/internal/iovec.h"
#include "net/queryescape.h"

namespace citronpick::net
{

using internal::viewOf;

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
    const std::string_view target = viewOf(m_request->path);
    return target.substr(0, target.find('?'));
}

std::string HttpServerRequest::query(std::string_view name) const
{
    return queryValue(viewOf(m_request->path), name);
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
