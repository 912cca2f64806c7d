#ifndef CITRONPICK_OBSERVABILITY_LOG_H
#define CITRONPICK_OBSERVABILITY_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

#include "observability/event.h"

namespace citronpick::observability
{

//! Opens the process's log on standard output. Events below the level are not written.
void openLog(std::string_view level);

//! Writes out what writeLog() has taken, as far as standard output takes it without waiting.
void flushLog();

//! Lines dropped since the last call because standard output was not read.
uint64_t takeDroppedLines();

//! Takes one event as a line of its number, name and fields; flushLog() writes it.
void writeLog(std::string_view daemon, const Event &event);

//! The line that writeLog() writes, without time and level.
std::string formatEvent(std::string_view daemon, const Event &event);

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_LOG_H
