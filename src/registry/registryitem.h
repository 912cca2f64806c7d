#ifndef CITRONPICK_REGISTRY_REGISTRYITEM_H
#define CITRONPICK_REGISTRY_REGISTRYITEM_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronpick::registry
{

//! One key of a registry as it was at a revision; without a value it was removed there.
struct RegistryItem {
    std::string key;
    std::optional<std::string> value;
    uint64_t revision = 0;

    friend auto operator<=>(const RegistryItem &, const RegistryItem &) = default;
};

//! Part of a listing. Parts are not a snapshot: each is as of its own revision.
struct RegistryPage {
    std::vector<RegistryItem> items;
    bool hasMore = false;
    uint64_t revision = 0; //!< Of the registry when the page was read.

    friend bool operator==(const RegistryPage &, const RegistryPage &) = default;
};

//! What changed after a revision, in order.
struct RegistryChanges {
    std::vector<RegistryItem> items;
    uint64_t revision = 0; //!< From which to go on.

    friend bool operator==(const RegistryChanges &, const RegistryChanges &) = default;
};

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_REGISTRYITEM_H
