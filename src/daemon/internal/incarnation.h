#ifndef CITRONPICK_DAEMON_INTERNAL_INCARNATION_H
#define CITRONPICK_DAEMON_INTERNAL_INCARNATION_H

#include <cstdint>

#include "model/ids.h"

namespace citronpick::daemon
{

//! Wall-clock time in microseconds since the Unix epoch.
int64_t wallMicroseconds();

//! Generates the incarnation number of this daemon process.
model::Incarnation generateIncarnation();

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_INCARNATION_H
