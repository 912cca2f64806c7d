#include "net/queryescape.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace citronpick::net
{

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

std::string queryValue(std::string_view target, std::string_view name)
{
    const size_t start = target.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    std::string_view rest = target.substr(start + 1);
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

} // namespace citronpick::net
