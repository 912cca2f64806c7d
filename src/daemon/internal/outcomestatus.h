#ifndef CITRONPICK_DAEMON_INTERNAL_OUTCOMESTATUS_H
#define CITRONPICK_DAEMON_INTERNAL_OUTCOMESTATUS_H

#include <cstdint>

#include "pipeline/requestcommands.h"

namespace citronpick::daemon
{

//! HTTP status of an answer, for callers that do not evaluate the outcome and reason headers.
uint16_t httpStatusOf(const pipeline::Respond &answer);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_OUTCOMESTATUS_H
