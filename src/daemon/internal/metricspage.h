#ifndef CITRONPICK_DAEMON_INTERNAL_METRICSPAGE_H
#define CITRONPICK_DAEMON_INTERNAL_METRICSPAGE_H

#include <string>

#include "core/core.h"

namespace citronpick::daemon
{

//! Counts that the caller listener and the attempt runner keep outside the core.
struct DaemonCounts {
    size_t openConnections = 0;
    size_t openAttempts = 0;
    size_t streamBufferBytes = 0;
    uint64_t badRequests = 0;
    size_t residentBytes = 0;
    size_t maxResidentBytes = 0;
    uint64_t refusedForRoom = 0;
    uint64_t closedForRoom = 0;
};

//! Formats the metrics of a Daemon in the Prometheus text format.
std::string metricsPage(const core::Core &core, const DaemonCounts &counts);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_METRICSPAGE_H
