#ifndef CITRONPICK_RELAY_VERSIONPLACEMENT_H
#define CITRONPICK_RELAY_VERSIONPLACEMENT_H

#include <cstdint>
#include <map>

#include "model/ids.h"

namespace citronpick::relay
{

//! Number of upstreams of a pool that take new streams, by the version of their software.
using VersionCounts = std::map<model::SoftwareVersion, uint32_t>;

/*!
 * The version that begins the stream of a caller's attempt; empty if there is none.
 *
 * Follows from the attempt's id and the counts alone, so that every daemon finds it again without
 * having seen the attempt. Each version gets a share of the ids in proportion to its count, and a
 * change of a count moves ids to or from that version only.
 */
model::SoftwareVersion placedVersion(const model::CallerRequestId &attempt,
                                     const VersionCounts &counts);

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_VERSIONPLACEMENT_H
