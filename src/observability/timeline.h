#ifndef CITRONPICK_OBSERVABILITY_TIMELINE_H
#define CITRONPICK_OBSERVABILITY_TIMELINE_H

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "model/time.h"
#include "observability/event.h"

namespace citronpick::observability
{

//! An event with the times at which the daemon recorded it.
struct TimelineEntry {
    uint64_t sequence = 0; //!< Consecutive number within the daemon, from 1.
    int64_t wallMicroseconds = 0; //!< Microseconds since the Unix epoch.
    model::TimePoint at; //!< On the daemon's monotonic clock.
    Event event;
};

//! Bounded buffer of a daemon's most recent events.
class Timeline
{
public:
    explicit Timeline(size_t capacity);

    void add(const Event &event, int64_t wallMicroseconds, model::TimePoint at);

    //! Up to \a limit entries with a sequence number above \a sequence, oldest first.
    std::vector<TimelineEntry> entriesAfter(uint64_t sequence, size_t limit) const;

    uint64_t lastSequence() const
    {
        return m_lastSequence;
    }

private:
    size_t m_capacity;
    std::deque<TimelineEntry> m_entries;
    uint64_t m_lastSequence = 0;
};

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_TIMELINE_H
