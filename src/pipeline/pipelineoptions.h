#ifndef CITRONPICK_PIPELINE_PIPELINEOPTIONS_H
#define CITRONPICK_PIPELINE_PIPELINEOPTIONS_H

#include "admission/stagequeue.h"
#include "model/time.h"

namespace citronpick::pipeline
{

//! Settings for admission, retries, hedging and quarantine of requests.
struct PipelineOptions {
    admission::QueueOptions queue;
    //! Refuse requests that cannot finish before their deadline; false is the baseline.
    bool rejectsUnreachableDeadlines = true;
    double extraAttemptRatio = 0.09; //!< Allowed retries and hedges per first attempt.
    uint32_t maxAttemptsPerStage = 3;
    //! Adapt the concurrency limit of each upstream to its answers; false keeps the initial limit.
    bool adaptsConcurrencyLimits = true;
    bool hedges = true;
    //! An attempt is hedged after this quantile of the pool's answer times.
    double hedgeQuantile = 0.95;
    //! A request counts as long work when it costs more than this multiple of the pool's median
    //! cost.
    double longCostFactor = 6.0;
    //! Share of a pool's slots that long work may always use.
    double longSlotShare = 0.5;
    //! Share of a pool's slots that long work may use while few are needed for short work.
    double maxLongSlotShare = 0.9;
    model::Duration minBackoff = model::milliseconds(5);
    model::Duration maxBackoff = model::milliseconds(200);
    model::Duration minBudget = model::milliseconds(1); //!< Less time than this is refused.
    model::Duration crashReportLifetime = model::seconds(60);
    model::Duration quarantineLifetime = model::seconds(600);
    //! Number of different upstreams that must crash on a request before it is quarantined.
    uint32_t crashesToQuarantine = 2;
    size_t maxRequests = 16384;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_PIPELINEOPTIONS_H
