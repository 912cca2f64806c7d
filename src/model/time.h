#ifndef CITRONPICK_MODEL_TIME_H
#define CITRONPICK_MODEL_TIME_H

#include <chrono>

namespace citronpick::model
{

using Duration = std::chrono::microseconds;

//! Clock type of all time points. It has no now(): the current time is passed in by
//! the event loop, which reads CLOCK_BOOTTIME and so includes time spent suspended.
struct CoreClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock, duration>;
    static constexpr bool is_steady = true;
};

using TimePoint = CoreClock::time_point;

//! Time of day, for times that other systems state. Differs between instances, and may jump.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

constexpr Duration milliseconds(int64_t count)
{
    return std::chrono::milliseconds(count);
}

constexpr Duration seconds(int64_t count)
{
    return std::chrono::seconds(count);
}

constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

constexpr int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

//! \a duration times \a factor, truncated to whole microseconds.
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_TIME_H
