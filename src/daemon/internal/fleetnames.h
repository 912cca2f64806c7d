#ifndef CITRONPICK_DAEMON_INTERNAL_FLEETNAMES_H
#define CITRONPICK_DAEMON_INTERNAL_FLEETNAMES_H

#include <cstdint>

// Names and limits of the messages between daemons.

namespace citronpick::daemon
{

constexpr const char *exchangePath = "/fleet/exchange";
constexpr const char *configurationPath = "/fleet/configuration";
constexpr const char *listingPath = "/fleet/listing";
constexpr const char *changesPath = "/fleet/changes";
constexpr const char *stampHeader = "x-citronpick-stamp";
constexpr const char *codeHeader = "x-citronpick-code";
//! Digests of the large texts that the sender of a request has. A daemon that does not send it
//! reads no differences.
constexpr const char *textsHeader = "x-citronpick-texts";
constexpr uint64_t maxMessageBytes = 2U << 20U;

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_FLEETNAMES_H
