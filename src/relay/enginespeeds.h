#ifndef CITRONPICK_RELAY_ENGINESPEEDS_H
#define CITRONPICK_RELAY_ENGINESPEEDS_H

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

//! What is known of an engine's speed.
struct EngineFigure {
    double slowness = 1.0; //!< Time of a prompt relative to the pool's median; 1 if unknown.
    double samples = 0.0; //!< Weight of the measurements, in answers; decays with their age.
    model::Duration age {}; //!< Time since the newest measurement; zero if there is none.

    friend bool operator==(const EngineFigure &, const EngineFigure &) = default;
};

//! Learns the speed of a pool's engines, including their queues, from the times of first events.
class EngineSpeeds
{
public:
    //! An engine began to answer after \a took; it had to read \a tokens of the prompt.
    void note(const model::UpstreamId &engine, uint64_t tokens, model::Duration took,
              model::TimePoint now);
    EngineFigure figureOf(const model::UpstreamId &engine, model::TimePoint now) const;
    size_t size() const
    {
        return m_engines.size();
    }

private:
    struct Speed {
        double logTime = 0.0; //!< Logarithm of the time per token in microseconds.
        double samples = 0.0;
        model::TimePoint at;
    };

    static double samplesAt(const Speed &speed, model::TimePoint now);
    void updateMedian(model::TimePoint now);

    absl::flat_hash_map<model::UpstreamId, Speed> m_engines;
    double m_medianLogTime = 0.0;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_ENGINESPEEDS_H
