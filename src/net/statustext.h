#ifndef CITRONPICK_NET_STATUSTEXT_H
#define CITRONPICK_NET_STATUSTEXT_H

#include <cstdint>
#include <string_view>

namespace citronpick::net
{

//! The reason phrase of an HTTP status code; "Unknown" when there is none.
std::string_view statusText(uint16_t status);

} // namespace citronpick::net

#endif // CITRONPICK_NET_STATUSTEXT_H
