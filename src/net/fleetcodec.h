#ifndef CITRONPICK_NET_FLEETCODEC_H
#define CITRONPICK_NET_FLEETCODEC_H

#include <string>

#include <absl/status/statusor.h>

#include "fleet/fleetmessage.h"

namespace citronpick::net
{

//! A request for a configuration file.
struct FileRequest {
    model::Revision revision;
};

//! Messages between daemons as JSON-RPC 2.0 text. Decoding gives InvalidArgument for whatever is
//! not a message of a known version, with bounded lists and known enumerators.
std::string encodeFleetCall(const fleet::FleetMessage &message);
absl::StatusOr<fleet::FleetMessage> decodeFleetCall(const std::string &text);
std::string encodeFleetResult(const fleet::FleetMessage &message);
absl::StatusOr<fleet::FleetMessage> decodeFleetResult(const std::string &text);

} // namespace citronpick::net

#endif // CITRONPICK_NET_FLEETCODEC_H
