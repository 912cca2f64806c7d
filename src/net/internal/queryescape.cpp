#include "net/queryescape.h"

#include <absl/strings/ascii.h>

namespace citronpick::net
{

std::string escapeQuery(std::string_view value)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned highDigit = 4;
    constexpr unsigned lowDigit = 0x0f;
    std::string escaped;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isPlain = absl::ascii_isalnum(byte) || character == '-' || character == '_'
                             || character == '.' || character == '~' || character == '/';
        if (isPlain) {
            escaped += character;
        } else {
            escaped += '%';
            escaped += digits[byte >> highDigit];
            escaped += digits[byte & lowDigit];
        }
    }
    return escaped;
}

} // namespace citronpick::net
