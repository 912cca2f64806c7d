#ifndef CITRONPICK_CONFIG_RELAYSETTINGS_H
#define CITRONPICK_CONFIG_RELAYSETTINGS_H

#include "config/settings.h"

namespace citronpick::config
{

//! Settings of a daemon that relays requests by host and path, with its configuration and its
//! upstreams read from a registry.
struct RelaySettings {
    model::DaemonId daemon;
    model::ZoneId zone;
    Endpoint callers;
    Endpoint readiness;
    Endpoint directory;
    Endpoint fleet;
    std::string fleetKey; //!< Shared by all daemons; signs what they say to each other.
    uint16_t stagePort = 0; //!< For stages that peers hand over; the same on all daemons.
    uint16_t metricsPort = 0;
    std::vector<Endpoint> seeds;
    Endpoint registry;
    model::Duration registryWatch = model::milliseconds(2000); //!< How long one watch waits.
    model::Duration entryLifetime = model::seconds(1);
    size_t maxConnections = 3000;
    uint32_t linkMbps = 0; //!< Of the instance; zero when it is not known.
    double retryRatio = 0.2; //!< Repeats over requests of a pool, over the whole fleet.
    double retrySlack = 50.0; //!< Repeats in a window whatever the number of requests.
    model::Duration retryWindow = model::seconds(10);
    DrainSettings drain {.accept = model::milliseconds(6200), .limit = model::milliseconds(7600)};
    std::string logLevel = "info";
    uint32_t maxLogLinesPerSecond = 400;

    friend bool operator==(const RelaySettings &, const RelaySettings &) = default;
};

//! Whether a settings file is one of RelaySettings; the others are of Settings.
bool isRelaySettings(std::string_view text);

//! Reads and checks a settings file. All faults are reported together; see toStatus().
absl::StatusOr<RelaySettings> parseRelaySettings(std::string_view text);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_RELAYSETTINGS_H
