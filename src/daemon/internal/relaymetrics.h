#ifndef CITRONPICK_DAEMON_INTERNAL_RELAYMETRICS_H
#define CITRONPICK_DAEMON_INTERNAL_RELAYMETRICS_H

#include <string>

#include "daemon/internal/fleetapi.h"
#include "fleet/fleetsystem.h"
#include "net/exchangeserver.h"
#include "relay/relaysystem.h"

namespace citronpick::daemon
{

//! Data sources of the metrics page of a RelayDaemon.
struct RelayMetricsSource {
    const relay::RelaySystem &relay;
    const fleet::FleetSystem &fleet;
    const DocumentCounters &documents;
    uint64_t appliedConfigurations = 0;
    const net::HeldBytesBudget &heldBytes;
    const net::RoomCounters &room;
    size_t connections = 0;
    const net::ProcessLimits &limits;
    uint64_t upstreamConnects = 0;
    uint64_t lateTurns = 0;
    uint64_t suppressedLines = 0;
    model::TimePoint now;
};

//! Formats the metrics of a RelayDaemon in the Prometheus text format.
std::string relayMetricsPage(const RelayMetricsSource &source);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_RELAYMETRICS_H
