#include "net/statustext.h"

#include <http_parser.h>

namespace citronpick::net
{

std::string_view statusText(uint16_t status)
{
    switch (status) {
#define CITRONPICK_STATUS_CASE(number, name, text) \
    case number: \
        return #text;
        HTTP_STATUS_MAP(CITRONPICK_STATUS_CASE)
#undef CITRONPICK_STATUS_CASE
    default:
        return "Unknown";
    }
}

} // namespace citronpick::net
