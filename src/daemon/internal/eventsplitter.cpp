#include "daemon/internal/eventsplitter.h"

#include <algorithm>

namespace citronpick::daemon
{

namespace
{

//! Offset behind the last complete event; zero if there is none.
size_t endOfLastEvent(std::string_view text)
{
    constexpr std::string_view lfSeparator = "\n\n";
    constexpr std::string_view crlfSeparator = "\r\n\r\n";
    const size_t lfPosition = text.rfind(lfSeparator);
    const size_t crlfPosition = text.rfind(crlfSeparator);
    const size_t lfEnd = lfPosition == std::string_view::npos ? 0 : lfPosition + lfSeparator.size();
    const size_t crlfEnd
        = crlfPosition == std::string_view::npos ? 0 : crlfPosition + crlfSeparator.size();
    return std::max(lfEnd, crlfEnd);
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    const size_t end = endOfLastEvent(m_partialEvent);
    std::string events = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    updateLastEventId(events);
    return events;
}

void EventSplitter::updateLastEventId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    size_t start = 0;
    while (start < events.size()) {
        size_t end = events.find('\n', start);
        end = end == std::string_view::npos ? events.size() : end;
        std::string_view line = events.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && (line.front() == ' ')) {
            line.remove_prefix(1);
        }
        while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
            line.remove_suffix(1);
        }
        m_lastEventId = line;
    }
}

} // namespace citronpick::daemon
