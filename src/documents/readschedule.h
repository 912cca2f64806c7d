#ifndef CITRONPICK_DOCUMENTS_READSCHEDULE_H
#define CITRONPICK_DOCUMENTS_READSCHEDULE_H

#include <compare>
#include <cstdint>

#include "model/random.h"
#include "model/time.h"

namespace citronpick::documents
{

struct ReadScheduleOptions {
    //! Interval between successful reads.
    model::Duration readInterval = model::seconds(1);
    model::Duration initialBackoff = model::milliseconds(500);
    model::Duration maxBackoff = model::seconds(8);

    friend auto operator<=>(const ReadScheduleOptions &, const ReadScheduleOptions &) = default;
};

//! Schedules a daemon's reads of a platform service. Intervals and backoff are randomized, so that
//! the daemons' combined request rate stays within what the platform accepts.
class ReadSchedule
{
public:
    ReadSchedule(ReadScheduleOptions options, uint64_t seed);

    bool isDue(model::TimePoint now) const
    {
        return !m_isReading && now >= m_nextReadAt;
    }

    void onStarted()
    {
        m_isReading = true;
    }
    //! Schedules the next read after the regular interval or \a minInterval, whichever is longer,
    //! with 20 % jitter either way.
    void onSucceeded(model::TimePoint now, model::Duration minInterval = {});
    void onFailed(model::TimePoint now);

    bool isReading() const
    {
        return m_isReading;
    }

private:
    ReadScheduleOptions m_options;
    model::Random m_random;
    model::TimePoint m_nextReadAt = model::TimePoint::min();
    uint32_t m_failures = 0;
    bool m_isReading = false;
};

} // namespace citronpick::documents

#endif // CITRONPICK_DOCUMENTS_READSCHEDULE_H
