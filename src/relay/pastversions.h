#ifndef CITRONPICK_RELAY_PASTVERSIONS_H
#define CITRONPICK_RELAY_PASTVERSIONS_H

#include <map>
#include <optional>
#include <vector>

#include "relay/upstreamdirectory.h"
#include "relay/versionhistory.h"

namespace citronpick::relay
{

//! An earlier change of an upstream's registration.
struct PastListing {
    model::UpstreamId id;
    std::optional<UpstreamListing> listing; //!< Empty if the registration was removed.
    bool isFirst = false; //!< The upstream was not listed before.

    friend bool operator==(const PastListing &, const PastListing &) = default;
};

/*!
 * Reconstructs which versions each pool had before now from earlier changes, oldest first, and from
 * what is listed now. \a wallNow is the time of day at \a now.
 *
 * The registry states no times. Starts of upstreams do, and bound the times of the changes between
 * them.
 */
std::map<model::PoolId, std::vector<VersionEpoch>>
pastVersions(const std::vector<PastListing> &changes, const std::vector<UpstreamListing> &listed,
             model::WallTime wallNow, model::TimePoint now);

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_PASTVERSIONS_H
