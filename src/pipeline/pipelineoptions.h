#ifndef CITRONPICK_PIPELINE_PIPELINEOPTIONS_H
#define CITRONPICK_PIPELINE_PIPELINEOPTIONS_H

#include "admission/stagequeue.h"
#include "model/time.h"

namespace citronpick::pipeline
{

//! How requests are admitted, repeated and given up.
struct PipelineOptions {
    admission::QueueOptions queue;
    bool refusesEarly = true; //!< Refuse what cannot finish in time; false is the baseline.
    double extraAttemptRatio = 0.09; //!< Retries and hedges per first attempt.
    uint32_t maxAttemptsPerStage = 3;
    bool adaptsLimits = true; //!< Learn each upstream's concurrency; false keeps the first.
    bool hedges = true;
    double hedgeQuantile = 0.95; //!< Of the pool's answer times, after which a second is tried.
    double longCostFactor = 6.0; //!< Of the pool's usual cost; beyond it work is long.
    double longSlotShare = 0.5; //!< Of a pool's slots that long work may hold in any case.
    double maxLongSlotShare = 0.9; //!< The same while short work needs little.
    model::Duration minBackoff = model::milliseconds(5);
    model::Duration maxBackoff = model::milliseconds(200);
    model::Duration minBudget = model::milliseconds(1);
    model::Duration strikeLifetime = model::seconds(60);
    model::Duration quarantineLifetime = model::seconds(600);
    uint32_t strikesToQuarantine = 2; //!< Upstreams that crashed under one request.
    size_t maxRequests = 16384;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_PIPELINEOPTIONS_H
