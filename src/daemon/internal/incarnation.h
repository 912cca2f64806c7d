#ifndef CITRONPICK_DAEMON_INTERNAL_INCARNATION_H
#define CITRONPICK_DAEMON_INTERNAL_INCARNATION_H

#include <cstdint>

#include "model/ids.h"

namespace citronpick::daemon
{

//! The time of day in microseconds since 1970.
int64_t wallMicroseconds();

//! A number for this run of the daemon.
model::Incarnation drawIncarnation();

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_INCARNATION_H
