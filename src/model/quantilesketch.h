#ifndef CITRONPICK_MODEL_QUANTILESKETCH_H
#define CITRONPICK_MODEL_QUANTILESKETCH_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace citronpick::model
{

//! Quantiles of recent positive values, exact to about 10 %; older values fade.
class QuantileSketch
{
public:
    void add(double value);

    //! The \a share quantile, 0 to 1; \a fallback while fewer than a handful of values are known.
    double quantile(double share, double fallback) const;

    uint32_t count() const
    {
        return m_count;
    }

private:
    static constexpr size_t bucketCount = 128;

    void fade();

    std::array<uint32_t, bucketCount> m_buckets {};
    uint32_t m_count = 0;
};

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_QUANTILESKETCH_H
