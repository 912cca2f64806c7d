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

//! Timers in order of time; equal times keep the order of insertion. Timers are not cancelled one
//! by one: whoever takes one checks that its subject still exists.
template<typename Timer>
class TimerQueue
{
public:
    void add(TimePoint at, Timer timer)
    {
        m_entries.push_back({.at = at, .sequence = ++m_lastSequence, .timer = std::move(timer)});
        std::push_heap(m_entries.begin(), m_entries.end());
    }

    //! The earliest timer that is due, removed from the queue.
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

    //! When the next timer is due; empty when there is none.
    std::optional<TimePoint> earliest() const
    {
        return m_entries.empty() ? std::nullopt : std::optional(m_entries.front().at);
    }

    //! Drops all timers that the condition names; costs as much as there are timers.
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
            // A heap serves the greatest first, so the order is turned round.
            return std::tie(right.at, right.sequence) < std::tie(left.at, left.sequence);
        }
    };

    std::vector<Entry> m_entries;
    uint64_t m_lastSequence = 0;
};

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_TIMERQUEUE_H
