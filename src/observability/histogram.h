#ifndef CITRONPICK_OBSERVABILITY_HISTOGRAM_H
#define CITRONPICK_OBSERVABILITY_HISTOGRAM_H

#include <array>
#include <cstdint>

#include "model/time.h"

namespace citronpick::observability
{

//! Histogram of durations with fixed bucket bounds, for metrics.
class Histogram
{
public:
    //! Upper bounds of the buckets. They double from the time of a fast local answer up to the
    //! longest deadlines.
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

    //! Counts per bucket, not cumulative; the last bucket counts durations above all bounds.
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
