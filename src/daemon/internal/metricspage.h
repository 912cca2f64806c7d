#ifndef CITRONPICK_DAEMON_INTERNAL_METRICSPAGE_H
#define CITRONPICK_DAEMON_INTERNAL_METRICSPAGE_H

#include <string>

#include "core/core.h"

namespace citronpick::daemon
{

//! What the shell counts itself.
struct ShellCounts {
    size_t openConnections = 0;
    size_t openAttempts = 0;
    size_t streamBufferBytes = 0;
    uint64_t badRequests = 0;
};

//! The daemon's figures in the Prometheus text format.
std::string metricsPage(const core::Core &core, const ShellCounts &counts);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_METRICSPAGE_H
