#ifndef CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H
#define CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "registry/registryitem.h"

namespace citronpick::daemon
{

//! What a daemon has read in the registry, as JSON text for another daemon. Decoding gives
//! InvalidArgument for anything else.
std::string encodeListing(const registry::RegistryPage &listing);
absl::StatusOr<registry::RegistryPage> decodeListing(std::string_view text);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H
