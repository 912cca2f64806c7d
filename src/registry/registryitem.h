#ifndef CITRONPICK_REGISTRY_REGISTRYITEM_H
#define CITRONPICK_REGISTRY_REGISTRYITEM_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/time.h"

namespace citronpick::registry
{

//! State of one registry key at a revision. An empty value means that the key was removed.
struct RegistryItem {
    std::string key;
    std::optional<std::string> value;
    uint64_t revision = 0;
    uint64_t createdRevision
        = 0; //!< Of the first value since the key did not exist; zero if unknown.

    friend auto operator<=>(const RegistryItem &, const RegistryItem &) = default;
};

//! One page of a listing. The pages do not form a snapshot: each has its own revision.
struct RegistryPage {
    std::vector<RegistryItem> items;
    bool hasMore = false;
    uint64_t revision = 0; //!< Revision of the registry when the page was read.
    uint64_t era = 0; //!< Of \a revision. Rises when the registry is restored; zero if unknown.

    friend bool operator==(const RegistryPage &, const RegistryPage &) = default;
};

//! Changes after a revision, in order.
struct RegistryChanges {
    std::vector<RegistryItem> items;
    uint64_t revision = 0; //!< Revision to pass to the next watch.
    uint64_t era = 0; //!< See RegistryPage.

    friend bool operator==(const RegistryChanges &, const RegistryChanges &) = default;
};

//! Changes after a revision as a daemon that reads the registry passes them on to another one.
struct PeerChanges {
    RegistryChanges changes;
    //! For how much longer removals are not to be believed, because the registry has just returned.
    model::Duration graceLeft {};
    //! Digest of all keys with a value as of the revision of \a changes; zero if unknown.
    uint64_t digest = 0;

    friend bool operator==(const PeerChanges &, const PeerChanges &) = default;
};

//! The content of a daemon as it passes it on to one that cannot reach the registry.
struct PeerListing {
    RegistryPage page; //!< Includes the missing keys.
    //! Keys that are missing since an outage; they count as removed when graceLeft is over.
    std::vector<std::string> missingKeys;
    model::Duration graceLeft {};

    friend bool operator==(const PeerListing &, const PeerListing &) = default;
};

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_REGISTRYITEM_H
