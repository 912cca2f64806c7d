#include "model/quantilesketch.h"

#include <algorithm>
#include <cmath>

namespace citronpick::model
{

namespace
{

constexpr double minValue = 1e-3;
constexpr double bucketsPerDoubling = 6.0;
constexpr uint32_t minCount = 8;
// Counts are halved at this total, so that the last few hundred values have most of the weight.
constexpr uint32_t decayThreshold = 1000;

} // namespace

void QuantileSketch::add(double value)
{
    const double position = std::log2(std::max(value, minValue) / minValue);
    const auto bucket = static_cast<size_t>(position * bucketsPerDoubling);
    ++m_buckets[std::min(bucket, bucketCount - 1)];
    ++m_count;
    if (m_count >= decayThreshold) {
        decay();
    }
}

double QuantileSketch::quantile(double fraction, double fallback) const
{
    if (m_count < minCount) {
        return fallback;
    }
    const auto rank = static_cast<uint32_t>(std::ceil(fraction * m_count));
    uint32_t cumulativeCount = 0;
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulativeCount += m_buckets[bucket];
        if (cumulativeCount >= rank) {
            const double midpoint = (static_cast<double>(bucket) + 0.5) / bucketsPerDoubling;
            return minValue * std::exp2(midpoint);
        }
    }
    return fallback;
}

void QuantileSketch::decay()
{
    m_count = 0;
    for (uint32_t &bucket : m_buckets) {
        bucket /= 2;
        m_count += bucket;
    }
}

} // namespace citronpick::model
