#ifndef CITRONPICK_NET_QUERYESCAPE_H
#define CITRONPICK_NET_QUERYESCAPE_H

#include <string>
#include <string_view>

namespace citronpick::net
{

//! Percent-encodes a value of a query parameter.
std::string escapeQuery(std::string_view value);

} // namespace citronpick::net

#endif // CITRONPICK_NET_QUERYESCAPE_H
