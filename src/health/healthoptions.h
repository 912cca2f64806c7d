#ifndef CITRONPICK_HEALTH_HEALTHOPTIONS_H
#define CITRONPICK_HEALTH_HEALTHOPTIONS_H

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

#include "model/time.h"

namespace citronpick::health
{

//! Return by hold-down, probes, trials and a ramp whose steps are confirmed by real answers.
struct StagedReturn {
    model::Duration holdDown = model::seconds(2); //!< First; doubles with each relapse.
    model::Duration maxHoldDown = model::seconds(30);
    model::Duration relapseDecay = model::seconds(60); //!< Of good time per forgiven relapse.
    uint32_t probesToPass = 3; //!< Consecutive.
    uint32_t probesToPassWithoutTrial = 10; //!< Where no real request may be tried.
    uint32_t trialsToPass = 3; //!< Consecutive.
    std::vector<double> rampSteps = {0.1, 0.25, 0.5, 0.75}; //!< Shares of a full upstream.
    uint32_t answersPerStep = 8;
    model::Duration minStepTime = model::milliseconds(500);
    double maxReturnRatio = 2.0; //!< Of the pool's present normalised answer time.
    double coldAllowance = 2.0; //!< Extra factor for the first answers after a return.
    uint32_t coldAnswers = 24;

    friend bool operator==(const StagedReturn &, const StagedReturn &) = default;
};

//! Baseline: full share as soon as a fixed time has passed.
struct TimedReturn {
    model::Duration holdDown = model::seconds(5);

    friend bool operator==(const TimedReturn &, const TimedReturn &) = default;
};

using ReturnPolicy = std::variant<StagedReturn, TimedReturn>;

//! When an upstream is taken out of service and how it comes back.
struct HealthOptions {
    uint32_t failuresToEject = 3; //!< Consecutive.
    double failureShareToEject = 0.5; //!< Of the last \a failureWindow answers.
    uint32_t failureWindow = 12;
    double slowRatio = 3.0; //!< Of the pool's median normalised answer time.
    uint32_t minSlowSamples = 5;
    model::Duration suspectTime = model::milliseconds(500); //!< Slow for this long ejects.
    double degradedShare = 0.6; //!< Of a pool or zone; from here on nothing of it is ejected.
    model::Duration probeInterval = model::milliseconds(500);
    model::Duration probeTimeout = model::seconds(1);
    model::Duration wakeGap = model::seconds(3); //!< A longer pause of this process is noticed.
    ReturnPolicy returnPolicy = StagedReturn {};

    friend bool operator==(const HealthOptions &, const HealthOptions &) = default;
};

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_HEALTHOPTIONS_H
