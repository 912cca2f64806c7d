#ifndef CITRONPICK_MODEL_QUANTILESKETCH_H
#define CITRONPICK_MODEL_QUANTILESKETCH_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace citronpick::model
{

//! Estimates quantiles of positive values from logarithmic buckets, exact to about 10 %. Older
//! values lose weight over time.
class QuantileSketch
{
public:
    void add(double value);

    //! Estimate of the quantile \a fraction (0 to 1), or \a fallback while fewer than eight values
    //! are counted.
    double quantile(double fraction, double fallback) const;

    uint32_t count() const
    {
        return m_count;
    }

private:
    static constexpr size_t bucketCount = 128;

    void decay();

    std::array<uint32_t, bucketCount> m_buckets {};
    uint32_t m_count = 0;
};

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_QUANTILESKETCH_H
