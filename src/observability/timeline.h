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

//! An event with the times at which one daemon saw it.
struct TimelineEntry {
    uint64_t sequence = 0; //!< Counts the daemon's events from 1.
    int64_t wallMicroseconds = 0; //!< Since 1970, UTC.
    model::TimePoint at; //!< On the daemon's monotonic clock.
    Event event;
};

//! The last events of one daemon.
class Timeline
{
public:
    explicit Timeline(size_t capacity);

    void add(const Event &event, int64_t wallMicroseconds, model::TimePoint at);

    //! Entries after a sequence number, the oldest first, at most \a limit.
    std::vector<TimelineEntry> after(uint64_t sequence, size_t limit) const;

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
