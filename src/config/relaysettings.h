#ifndef CITRONPICK_CONFIG_RELAYSETTINGS_H
#define CITRONPICK_CONFIG_RELAYSETTINGS_H

#include "config/settings.h"

namespace citronpick::config
{

//! Settings of a daemon in relay mode, which routes requests by host and path and reads its
//! configuration and its upstreams from a registry.
struct RelaySettings {
    model::DaemonId daemon;
    model::ZoneId zone;
    Endpoint callers;
    Endpoint readiness;
    Endpoint directory;
    Endpoint fleet;
    std::string fleetKey; //!< Secret shared by all daemons that signs fleet messages.
    uint16_t stagePort = 0; //!< Receives stages forwarded by peers; same on all daemons.
    uint16_t metricsPort = 0;
    std::vector<Endpoint> seeds;
    Endpoint registry;
    //! Time within which a watch of the registry that was lost is replaced.
    model::Duration registrySilence = model::milliseconds(2300);
    model::Duration entryLifetime = model::seconds(1); //!< Cache time of daemon addresses.
    size_t maxConnections = 3000;
    size_t memoryMb = 512; //!< Memory of the instance for this process.
    //! Descriptors of the process; zero when unknown.
    size_t maxDescriptors = 0;
    uint32_t linkMbps = 0; //!< Link speed of the instance; zero when unknown.
    double retryRatio = 0.2; //!< Retries allowed per request of a pool, fleet-wide.
    double retrySlack = 50.0; //!< Retries allowed per window in addition to the ratio.
    model::Duration retryWindow = model::seconds(10);
    //! What a cold upstream may get from the whole fleet in one second: this multiple of the rate
    //! that its pool tolerates, plus the slack.
    double coldOvershoot = 1.0;
    double coldSlack = 0.0;
    //! Model engines are chosen by the expected time of the first event.
    bool placesByFirstEvent = false;
    DrainSettings drain {.acceptPeriod = model::milliseconds(6200),
                         .maxDuration = model::milliseconds(7600)};
    std::string logLevel = "info";
    uint32_t maxLogLinesPerSecond = 400;

    friend bool operator==(const RelaySettings &, const RelaySettings &) = default;
};

//! Greatest number of caller connections: maxConnections, but only a part of the descriptors.
size_t callerConnections(const RelaySettings &settings);

//! Whether a settings file holds RelaySettings, recognized by its "mode" key, rather than Settings.
bool isRelaySettings(std::string_view text);

//! Parses and validates a settings file. On failure, the status lists all errors found in one
//! validation step (schema, then addresses); see toStatus().
absl::StatusOr<RelaySettings> parseRelaySettings(std::string_view text);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_RELAYSETTINGS_H
