#include "daemon/internal/listingcodec.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace citronpick::daemon
{

namespace
{

using Json = nlohmann::json;

// Values are arbitrary bytes, which a JSON string cannot hold, so they are sent as Base64.
Json encodeItems(const std::vector<registry::RegistryItem> &items)
{
    Json list = Json::array();
    for (const registry::RegistryItem &item : items) {
        Json entry {{"key", item.key}, {"revision", item.revision}};
        if (item.value) {
            entry["value"] = absl::Base64Escape(*item.value);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

std::vector<registry::RegistryItem> decodeItems(const Json &list)
{
    std::vector<registry::RegistryItem> items;
    for (const Json &entry : list) {
        registry::RegistryItem item {.key = entry.at("key"), .revision = entry.at("revision")};
        if (entry.contains("value")) {
            std::string value;
            if (!absl::Base64Unescape(entry.at("value").get<std::string>(), &value)) {
                throw std::invalid_argument("registry value is not valid Base64");
            }
            item.value = std::move(value);
        }
        items.push_back(std::move(item));
    }
    return items;
}

template<typename Convert>
auto decode(std::string_view text, Convert convert) -> absl::StatusOr<decltype(convert(Json()))>
{
    try {
        return convert(Json::parse(text));
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

registry::PeerListing toListing(const Json &document)
{
    registry::PeerListing listing {
        .page = {.items = decodeItems(document.at("items")), .revision = document.at("revision")},
        .missingKeys = document.value("missing", std::vector<std::string>()),
        .graceLeft = model::Duration(document.value("graceUs", int64_t {0}))};
    for (const registry::RegistryItem &item : listing.page.items) {
        if (!item.value) {
            throw std::invalid_argument("item of a listing without a value");
        }
    }
    return listing;
}

registry::PeerChanges toPeerChanges(const Json &document)
{
    return {.changes
            = {.items = decodeItems(document.at("items")), .revision = document.at("revision")},
            .graceLeft = model::Duration(document.at("graceUs").get<int64_t>()),
            .digest = document.at("digest")};
}

} // namespace

std::string encodeListing(const registry::PeerListing &listing)
{
    return Json {{"revision", listing.page.revision},
                 {"items", encodeItems(listing.page.items)},
                 {"missing", listing.missingKeys},
                 {"graceUs", listing.graceLeft.count()}}
        .dump();
}

absl::StatusOr<registry::PeerListing> decodeListing(std::string_view text)
{
    return decode(text, &toListing);
}

std::string encodePeerChanges(const registry::PeerChanges &changes)
{
    return Json {{"revision", changes.changes.revision},
                 {"items", encodeItems(changes.changes.items)},
                 {"graceUs", changes.graceLeft.count()},
                 {"digest", changes.digest}}
        .dump();
}

absl::StatusOr<registry::PeerChanges> decodePeerChanges(std::string_view text)
{
    return decode(text, &toPeerChanges);
}

} // namespace citronpick::daemon
