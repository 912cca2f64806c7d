#include "observability/timeline.h"

namespace citronpick::observability
{

Timeline::Timeline(size_t capacity)
    : m_capacity(capacity)
{
}

void Timeline::add(const Event &event, int64_t wallMicroseconds, model::TimePoint at)
{
    m_entries.push_back({.sequence = ++m_lastSequence,
                         .wallMicroseconds = wallMicroseconds,
                         .at = at,
                         .event = event});
    if (m_entries.size() > m_capacity) {
        m_entries.pop_front();
    }
}

std::vector<TimelineEntry> Timeline::entriesAfter(uint64_t sequence, size_t limit) const
{
    std::vector<TimelineEntry> result;
    for (const TimelineEntry &entry : m_entries) {
        if (entry.sequence > sequence && result.size() < limit) {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace citronpick::observability
