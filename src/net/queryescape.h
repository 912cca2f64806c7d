#ifndef CITRONPICK_NET_QUERYESCAPE_H
#define CITRONPICK_NET_QUERYESCAPE_H

#include <string>
#include <string_view>

namespace citronpick::net
{

//! Percent-encodes a value of a query parameter.
std::string escapeQuery(std::string_view value);

//! Decoded value of a query parameter in a request target; empty if it is absent.
std::string queryValue(std::string_view target, std::string_view name);

} // namespace citronpick::net

#endif // CITRONPICK_NET_QUERYESCAPE_H
