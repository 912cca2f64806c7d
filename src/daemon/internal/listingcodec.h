#ifndef CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H
#define CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "registry/registryitem.h"

namespace citronpick::daemon
{

//! Encodes the registry content that a daemon holds as JSON text for another daemon. Decoding
//! returns InvalidArgument for malformed text.
std::string encodeListing(const registry::PeerListing &listing);
absl::StatusOr<registry::PeerListing> decodeListing(std::string_view text);

//! The same for changes that a daemon passes on. An item without a value is a removal.
std::string encodePeerChanges(const registry::PeerChanges &changes);
absl::StatusOr<registry::PeerChanges> decodePeerChanges(std::string_view text);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H
