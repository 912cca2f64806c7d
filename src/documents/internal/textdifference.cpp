#include "documents/textdifference.h"

#include <stdexcept>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace citronpick::documents
{

nlohmann::json toJson(const TextDifference &difference)
{
    return {{"base", difference.base},
            {"digest", difference.digest},
            {"bytes", absl::Base64Escape(difference.bytes)}};
}

TextDifference toTextDifference(const nlohmann::json &document)
{
    TextDifference difference {.base = document.at("base"), .digest = document.at("digest")};
    if (!absl::Base64Unescape(document.at("bytes").get<std::string>(), &difference.bytes)) {
        throw std::invalid_argument("compressed text is not valid Base64");
    }
    return difference;
}

} // namespace citronpick::documents
