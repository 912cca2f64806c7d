#ifndef CITRONPICK_HEALTH_HEALTHOPTIONS_H
#define CITRONPICK_HEALTH_HEALTHOPTIONS_H

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

#include "model/time.h"

namespace citronpick::health
{

/*! Returns an ejected upstream to service in stages: hold-down, probes, trial requests and a ramp
 * whose steps are confirmed by the answers to regular requests. */
struct StagedReturn {
    model::Duration holdDown = model::seconds(2); //!< Initial hold-down; doubles with each relapse.
    model::Duration maxHoldDown = model::seconds(30);
    //! Time in service after which the relapse count drops by one.
    model::Duration relapseDecay = model::seconds(60);
    uint32_t probesToPass = 3; //!< Consecutive successful probes required before trials start.
    //! Replaces \a probesToPass in pools without idempotent stages.
    uint32_t probesToPassWithoutTrial = 10;
    //! Consecutive successful trial requests required before the ramp starts.
    uint32_t trialsToPass = 3;
    //! Fractions of the upstream's concurrency limit.
    std::vector<double> rampSteps = {0.1, 0.25, 0.5, 0.75};
    uint32_t answersPerStep = 8; //!< Minimum number of answers that confirm a ramp step.
    model::Duration minStepTime = model::milliseconds(500);
    double maxReturnRatio = 2.0; //!< Highest accepted answer time, relative to the pool's median.
    //! Raises \a maxReturnRatio for the first \a coldAnswers answers.
    double coldRatioFactor = 2.0;
    uint32_t coldAnswers = 24; //!< Answers during which caches may still be cold.

    friend bool operator==(const StagedReturn &, const StagedReturn &) = default;
};

//! Baseline for comparisons: returns an upstream to full service after a fixed hold-down.
struct TimedReturn {
    model::Duration holdDown = model::seconds(5);

    friend bool operator==(const TimedReturn &, const TimedReturn &) = default;
};

using ReturnPolicy = std::variant<StagedReturn, TimedReturn>;

//! Thresholds for ejecting upstreams and the policy by which they return to service.
struct HealthOptions {
    uint32_t failuresToEject = 3; //!< Consecutive failures.
    //! Fraction of failures among the last \a failureWindow answers.
    double failureShareToEject = 0.5;
    uint32_t failureWindow = 12;
    //! Slow above this multiple of the pool's median normalised answer time.
    double slowRatio = 3.0;
    //! Answers required before the median can mark an upstream as slow.
    uint32_t minSlowSamples = 5;
    //! A suspect that stays unhealthy for this long is ejected.
    model::Duration suspectTime = model::milliseconds(500);
    //! Fraction of unhealthy upstreams from which a pool ejects no more.
    double degradedShare = 0.6;
    model::Duration probeInterval = model::milliseconds(500);
    model::Duration probeTimeout = model::seconds(1);
    //! A longer gap between two calls of HealthSystem::observeTime() is a pause of this process.
    model::Duration processPauseThreshold = model::seconds(3);
    ReturnPolicy returnPolicy = StagedReturn {};

    friend bool operator==(const HealthOptions &, const HealthOptions &) = default;
};

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_HEALTHOPTIONS_H
