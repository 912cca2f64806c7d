#include "net/connectionheaders.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace citronpick::net
{

namespace
{

constexpr std::array connectionHeaders = {std::string_view("connection"),
                                          std::string_view("keep-alive"),
                                          std::string_view("proxy-connection"),
                                          std::string_view("proxy-authenticate"),
                                          std::string_view("proxy-authorization"),
                                          std::string_view("te"),
                                          std::string_view("trailer"),
                                          std::string_view("transfer-encoding"),
                                          std::string_view("upgrade"),
                                          std::string_view("content-length"),
                                          std::string_view("expect"),
                                          std::string_view("http2-settings")};

} // namespace

Headers withoutConnectionHeaders(const Headers &headers)
{
    std::vector<std::string> listedNames;
    for (const Header &header : headers) {
        if (header.name != "connection") {
            continue;
        }
        for (const absl::string_view part : absl::StrSplit(header.value, ',')) {
            listedNames.push_back(absl::AsciiStrToLower(absl::StripAsciiWhitespace(part)));
        }
    }
    Headers kept;
    for (const Header &header : headers) {
        const bool isRemoved
            = std::find(connectionHeaders.begin(), connectionHeaders.end(), header.name)
                  != connectionHeaders.end()
              || std::find(listedNames.begin(), listedNames.end(), header.name)
                     != listedNames.end();
        if (!isRemoved) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace citronpick::net
