#ifndef CITRONPICK_MODEL_TIMERQUEUE_H
#define CITRONPICK_MODEL_TIMERQUEUE_H

#include <cstdint>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "model/time.h"

namespace citronpick::model
{

//! Timers in order of time; equal times keep the order of insertion. Timers are not cancelled:
//! whoever takes one checks that its subject still exists.
template<typename Timer>
class TimerQueue
{
public:
    void add(TimePoint at, Timer timer)
    {
        m_entries.push({.at = at, .sequence = ++m_lastSequence, .timer = std::move(timer)});
    }

    //! The earliest timer that is due, removed from the queue.
    std::optional<Timer> takeDue(TimePoint now)
    {
        if (m_entries.empty() || m_entries.top().at > now) {
            return std::nullopt;
        }
        Timer timer = m_entries.top().timer;
        m_entries.pop();
        return timer;
    }

    size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry {
        TimePoint at;
        uint64_t sequence = 0;
        Timer timer;

        friend bool operator<(const Entry &left, const Entry &right)
        {
            // The priority queue serves the greatest first, so the order is turned round.
            return std::tie(right.at, right.sequence) < std::tie(left.at, left.sequence);
        }
    };

    std::priority_queue<Entry> m_entries;
    uint64_t m_lastSequence = 0;
};

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_TIMERQUEUE_H
