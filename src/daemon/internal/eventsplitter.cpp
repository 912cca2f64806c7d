#include "daemon/internal/eventsplitter.h"

#include <algorithm>

namespace citronpick::daemon
{

namespace
{

//! Where the last event that is whole ends; zero when none is.
size_t endOfEvents(std::string_view text)
{
    constexpr std::string_view shortEnd = "\n\n";
    constexpr std::string_view longEnd = "\r\n\r\n";
    const size_t atShort = text.rfind(shortEnd);
    const size_t atLong = text.rfind(longEnd);
    const size_t afterShort = atShort == std::string_view::npos ? 0 : atShort + shortEnd.size();
    const size_t afterLong = atLong == std::string_view::npos ? 0 : atLong + longEnd.size();
    return std::max(afterShort, afterLong);
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    const size_t end = endOfEvents(m_partial);
    std::string events = m_partial.substr(0, end);
    m_partial.erase(0, end);
    noteIds(events);
    return events;
}

void EventSplitter::noteIds(std::string_view events)
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
        m_lastEvent = line;
    }
}

} // namespace citronpick::daemon
