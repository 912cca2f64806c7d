#include "daemon/internal/listingcodec.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace citronpick::daemon
{

namespace
{

using Json = nlohmann::json;

//! What the daemon that decodes has.
struct Recipient {
    documents::TextHistory &texts;
    const documents::KnownTexts &known;
};

// Values are arbitrary bytes, which a JSON string cannot hold, so they are sent as Base64.
Json encodeItems(const std::vector<registry::RegistryItem> &items, const Recipient &recipient)
{
    Json list = Json::array();
    for (const registry::RegistryItem &item : items) {
        Json entry {{"key", item.key}, {"revision", item.revision}};
        if (item.value && recipient.known && recipient.texts.isLarge(*item.value)) {
            entry["difference"] = toJson(recipient.texts.difference(*item.value, *recipient.known));
        } else if (item.value) {
            entry["value"] = absl::Base64Escape(*item.value);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

std::vector<registry::RegistryItem> decodeItems(const Json &list,
                                                const documents::TextHistory &texts)
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
        } else if (entry.contains("difference")) {
            auto text = texts.restore(documents::toTextDifference(entry["difference"]));
            if (!text.ok()) {
                throw std::invalid_argument(std::string(text.status().message()));
            }
            item.value = *std::move(text);
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

registry::PeerListing toListing(const Json &document, const documents::TextHistory &texts)
{
    registry::PeerListing listing {
        .page = {.items = decodeItems(document.at("items"), texts),
                 .revision = document.at("revision"),
                 .era = document.value("era", uint64_t {0})},
        .missingKeys = document.value("missing", std::vector<std::string>()),
        .graceLeft = model::Duration(document.value("graceUs", int64_t {0}))};
    for (const registry::RegistryItem &item : listing.page.items) {
        if (!item.value) {
            throw std::invalid_argument("item of a listing without a value");
        }
    }
    return listing;
}

registry::PeerChanges toPeerChanges(const Json &document, const documents::TextHistory &texts)
{
    return {.changes = {.items = decodeItems(document.at("items"), texts),
                        .revision = document.at("revision"),
                        .era = document.value("era", uint64_t {0})},
            .graceLeft = model::Duration(document.at("graceUs").get<int64_t>()),
            .digest = document.at("digest")};
}

} // namespace

std::string encodeListing(const registry::PeerListing &listing, documents::TextHistory &texts,
                          const documents::KnownTexts &known)
{
    return Json {{"revision", listing.page.revision},
                 {"era", listing.page.era},
                 {"items", encodeItems(listing.page.items, {.texts = texts, .known = known})},
                 {"missing", listing.missingKeys},
                 {"graceUs", listing.graceLeft.count()}}
        .dump();
}

absl::StatusOr<registry::PeerListing> decodeListing(std::string_view text,
                                                    const documents::TextHistory &texts)
{
    return decode(text, [&texts](const Json &document) { return toListing(document, texts); });
}

std::string encodePeerChanges(const registry::PeerChanges &changes, documents::TextHistory &texts,
                              const documents::KnownTexts &known)
{
    return Json {{"revision", changes.changes.revision},
                 {"era", changes.changes.era},
                 {"items", encodeItems(changes.changes.items, {.texts = texts, .known = known})},
                 {"graceUs", changes.graceLeft.count()},
                 {"digest", changes.digest}}
        .dump();
}

absl::StatusOr<registry::PeerChanges> decodePeerChanges(std::string_view text,
                                                        const documents::TextHistory &texts)
{
    return decode(text, [&texts](const Json &document) { return toPeerChanges(document, texts); });
}

} // namespace citronpick::daemon
