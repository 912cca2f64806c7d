#ifndef CITRONPICK_DOCUMENTS_READSCHEDULE_H
#define CITRONPICK_DOCUMENTS_READSCHEDULE_H

#include <compare>
#include <cstdint>

#include "model/random.h"
#include "model/time.h"

namespace citronpick::documents
{

struct ReadScheduleOptions {
    model::Duration afterSuccess = model::seconds(1);
    model::Duration firstBackoff = model::milliseconds(500);
    model::Duration maxBackoff = model::seconds(8);

    friend auto operator<=>(const ReadScheduleOptions &, const ReadScheduleOptions &) = default;
};

//! When a daemon reads the platform next, so that all daemons together stay within its rate.
class ReadSchedule
{
public:
    ReadSchedule(ReadScheduleOptions options, uint64_t seed);

    bool isDue(model::TimePoint now) const
    {
        return !m_isReading && now >= m_next;
    }

    void onStarted()
    {
        m_isReading = true;
    }
    //! The next read comes no sooner than \a atLeast from now, more or less.
    void onSucceeded(model::TimePoint now, model::Duration atLeast = {});
    void onFailed(model::TimePoint now);

    bool isReading() const
    {
        return m_isReading;
    }

private:
    ReadScheduleOptions m_options;
    model::Random m_random;
    model::TimePoint m_next = model::TimePoint::min();
    uint32_t m_failures = 0;
    bool m_isReading = false;
};

} // namespace citronpick::documents

#endif // CITRONPICK_DOCUMENTS_READSCHEDULE_H
