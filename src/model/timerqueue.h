#ifndef CITRONPICK_MODEL_TIMERQUEUE_H
#define CITRONPICK_MODEL_TIMERQUEUE_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "model/time.h"

namespace citronpick::model
{

//! Priority queue of timers by due time; timers due at the same time keep their insertion order.
//! Single timers cannot be cancelled: the code that takes a timer checks that its subject still
//! exists.
template<typename Timer>
class TimerQueue
{
public:
    void add(TimePoint at, Timer timer)
    {
        m_entries.push_back({.at = at, .sequence = ++m_lastSequence, .timer = std::move(timer)});
        std::push_heap(m_entries.begin(), m_entries.end());
    }

    //! Removes and returns the earliest timer that is due; empty when none is.
    std::optional<Timer> takeDue(TimePoint now)
    {
        if (m_entries.empty() || m_entries.front().at > now) {
            return std::nullopt;
        }
        std::pop_heap(m_entries.begin(), m_entries.end());
        Timer timer = std::move(m_entries.back().timer);
        m_entries.pop_back();
        return timer;
    }

    //! Due time of the next timer; empty when the queue is empty.
    std::optional<TimePoint> earliest() const
    {
        return m_entries.empty() ? std::nullopt : std::optional(m_entries.front().at);
    }

    //! Removes all timers for which the condition holds, in linear time.
    template<typename Condition>
    void removeIf(Condition condition)
    {
        std::erase_if(m_entries, [&](const Entry &entry) { return condition(entry.timer); });
        std::make_heap(m_entries.begin(), m_entries.end());
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
            // The standard heap functions put the greatest element first, so the order is reversed.
            return std::tie(right.at, right.sequence) < std::tie(left.at, left.sequence);
        }
    };

    std::vector<Entry> m_entries;
    uint64_t m_lastSequence = 0;
};

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_TIMERQUEUE_H
