#ifndef CITRONPICK_NET_FLEETCODEC_H
#define CITRONPICK_NET_FLEETCODEC_H

#include <string>

#include <absl/status/statusor.h>

#include "fleet/fleetmessage.h"

namespace citronpick::net
{

//! Encode and decode messages between daemons as JSON-RPC 2.0 text. Decoding returns
//! InvalidArgument for text that is not a message of the supported version, exceeds the limits on
//! list lengths or holds unknown enumerators.
std::string encodeFleetCall(const fleet::FleetMessage &message);
absl::StatusOr<fleet::FleetMessage> decodeFleetCall(const std::string &text);
std::string encodeFleetResult(const fleet::FleetMessage &message);
absl::StatusOr<fleet::FleetMessage> decodeFleetResult(const std::string &text);

} // namespace citronpick::net

#endif // CITRONPICK_NET_FLEETCODEC_H
