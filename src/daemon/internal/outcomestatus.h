#ifndef CITRONPICK_DAEMON_INTERNAL_OUTCOMESTATUS_H
#define CITRONPICK_DAEMON_INTERNAL_OUTCOMESTATUS_H

#include <cstdint>

#include "pipeline/requestcommands.h"

namespace citronpick::daemon
{

//! HTTP status of an answer to a caller, for callers that look no further.
uint16_t httpStatusOf(const pipeline::Respond &answer);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_OUTCOMESTATUS_H
