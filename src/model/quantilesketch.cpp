#include "model/quantilesketch.h"

#include <algorithm>
#include <cmath>

namespace citronpick::model
{

namespace
{

constexpr double smallestValue = 1e-3;
constexpr double bucketsPerDoubling = 6.0;
constexpr uint32_t minCount = 8;
// Halving at this count gives the last few hundred values most of the weight.
constexpr uint32_t fadeCount = 1000;

} // namespace

void QuantileSketch::add(double value)
{
    const double position = std::log2(std::max(value, smallestValue) / smallestValue);
    const auto bucket = static_cast<size_t>(position * bucketsPerDoubling);
    ++m_buckets[std::min(bucket, bucketCount - 1)];
    ++m_count;
    if (m_count >= fadeCount) {
        fade();
    }
}

double QuantileSketch::quantile(double share, double fallback) const
{
    if (m_count < minCount) {
        return fallback;
    }
    const auto wanted = static_cast<uint32_t>(std::ceil(share * m_count));
    uint32_t seen = 0;
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        seen += m_buckets[bucket];
        if (seen >= wanted) {
            const double middle = (static_cast<double>(bucket) + 0.5) / bucketsPerDoubling;
            return smallestValue * std::exp2(middle);
        }
    }
    return fallback;
}

void QuantileSketch::fade()
{
    m_count = 0;
    for (uint32_t &bucket : m_buckets) {
        bucket /= 2;
        m_count += bucket;
    }
}

} // namespace citronpick::model
