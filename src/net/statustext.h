#ifndef CITRONPICK_NET_STATUSTEXT_H
#define CITRONPICK_NET_STATUSTEXT_H

#include <cstdint>
#include <string_view>

namespace citronpick::net
{

//! Reason phrase of an HTTP status code; "Unknown" if it has none.
std::string_view statusText(uint16_t status);

} // namespace citronpick::net

#endif // CITRONPICK_NET_STATUSTEXT_H
