#ifndef CITRONPICK_OBSERVABILITY_LOG_H
#define CITRONPICK_OBSERVABILITY_LOG_H

#include <string>
#include <string_view>

#include "observability/event.h"

namespace citronpick::observability
{

//! Opens the process's log on standard output. Events below the level are not written.
void openLog(std::string_view level);

//! Writes one event as a line of its number, name and fields.
void writeLog(std::string_view daemon, const Event &event);

//! The line that writeLog() writes, without time and level.
std::string formatEvent(std::string_view daemon, const Event &event);

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_LOG_H
