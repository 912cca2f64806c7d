#ifndef CITRONPICK_OBSERVABILITY_HISTOGRAM_H
#define CITRONPICK_OBSERVABILITY_HISTOGRAM_H

#include <array>
#include <cstdint>

#include "model/time.h"

namespace citronpick::observability
{

//! Counts of durations by fixed upper bounds, for metrics.
class Histogram
{
public:
    //! Double from step to step, from a fast local answer to the longest deadlines.
    static constexpr std::array<double, 11> boundsSeconds
        = {0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6};

    void add(model::Duration duration)
    {
        const double seconds = model::toSeconds(duration);
        size_t bucket = 0;
        while (bucket < boundsSeconds.size() && seconds > boundsSeconds[bucket]) {
            ++bucket;
        }
        ++m_counts[bucket];
        m_sum += seconds;
    }

    //! Durations up to a bound and over the one before; the last is of those over all bounds.
    const std::array<uint64_t, boundsSeconds.size() + 1> &counts() const
    {
        return m_counts;
    }
    double sumSeconds() const
    {
        return m_sum;
    }

private:
    std::array<uint64_t, boundsSeconds.size() + 1> m_counts {};
    double m_sum = 0.0;
};

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_HISTOGRAM_H
