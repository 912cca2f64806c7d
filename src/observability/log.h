#ifndef CITRONPICK_OBSERVABILITY_LOG_H
#define CITRONPICK_OBSERVABILITY_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

#include "observability/event.h"

namespace citronpick::observability
{

//! Sets up the process's log on standard output; events below \a level are discarded.
void openLog(std::string_view level);

//! Writes the lines buffered by writeLog() as far as standard output accepts them without blocking.
void flushLog();

//! Number of lines dropped since the last call because the buffer was full.
uint64_t takeDroppedLines();

//! Buffers one event as a line with its code, name and fields, to be written by flushLog().
void writeLog(std::string_view daemon, const Event &event);

//! Formats the line for an event, without time and level.
std::string formatEvent(std::string_view daemon, const Event &event);

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_LOG_H
