#include "daemon/internal/listingcodec.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "model/abslview.h"

namespace citronpick::daemon
{

namespace
{

using Json = nlohmann::json;

} // namespace

std::string encodeListing(const registry::RegistryPage &listing)
{
    Json items = Json::array();
    for (const registry::RegistryItem &item : listing.items) {
        // Values are arbitrary bytes, which a JSON string cannot hold, so they are sent as Base64.
        items.push_back({{"key", item.key},
                         {"value", absl::Base64Escape(item.value.value_or(std::string()))},
                         {"revision", item.revision}});
    }
    return Json {{"revision", listing.revision}, {"items", std::move(items)}}.dump();
}

absl::StatusOr<registry::RegistryPage> decodeListing(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    try {
        registry::RegistryPage listing {.revision = document.at("revision")};
        for (const Json &entry : document.at("items")) {
            std::string value;
            if (!absl::Base64Unescape(entry.at("value").get<std::string>(), &value)) {
                return absl::InvalidArgumentError("registry value is not valid Base64");
            }
            listing.items.push_back({.key = entry.at("key"),
                                     .value = std::move(value),
                                     .revision = entry.at("revision")});
        }
        return listing;
    } catch (const Json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace citronpick::daemon
