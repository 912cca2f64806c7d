#include "relay/versionplacement.h"

#include <cmath>

#include "model/hash.h"

namespace citronpick::relay
{

namespace
{

//! Uniform in (0, 1].
double unitInterval(uint64_t hash)
{
    constexpr uint32_t discardedBits = 11;
    constexpr double scale = 0x1p-53;
    return (static_cast<double>(hash >> discardedBits) + 1.0) * scale;
}

} // namespace

// Weighted rendezvous hashing: the smallest of exponentially distributed scores wins with a
// probability in proportion to the counts.
model::SoftwareVersion placedVersion(const model::CallerRequestId &attempt,
                                     const VersionCounts &counts)
{
    const uint64_t seed = model::hash64(attempt.text());
    model::SoftwareVersion best;
    double bestScore = 0.0;
    for (const auto &[version, count] : counts) {
        if (count == 0) {
            continue;
        }
        const double score = -std::log(unitInterval(model::hash64(version.text(), seed))) / count;
        if (best.isEmpty() || score < bestScore) {
            best = version;
            bestScore = score;
        }
    }
    return best;
}

} // namespace citronpick::relay
