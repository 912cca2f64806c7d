#ifndef CITRONPICK_RELAY_RELAYCOUNTERS_H
#define CITRONPICK_RELAY_RELAYCOUNTERS_H

#include <cstdint>
#include <map>
#include <utility>

#include "observability/histogram.h"
#include "relay/relaycommands.h"

namespace citronpick::relay
{

//! Counts since the start of the daemon.
struct RelayCounters {
    uint64_t arrived = 0;
    uint64_t answersForwarded = 0;
    uint64_t refused = 0;
    //! Answers whose status promises that a request has not run, while their upstreams do not.
    uint64_t unconfirmedRefusals = 0;
    uint64_t answersAborted = 0;
    uint64_t callersDisconnected = 0;
    uint64_t attempts = 0;
    uint64_t retries = 0;
    uint64_t resumes = 0;
    uint64_t batches = 0;
    uint64_t batchedPieces = 0;
    uint64_t forwardedJobs = 0;
    uint64_t movedJobs = 0; //!< Queued jobs passed on to a coordinator that became known later.
    uint64_t refusedBatches = 0; //!< Batches that upstreams had no room for.
    uint64_t stageRestarts = 0;
    uint64_t quarantinedParts = 0;
    uint64_t releasedParts = 0;
    uint64_t leavingNotices = 0;
    uint64_t restNotices = 0;
    uint64_t limitNotices = 0; //!< Upstreams that began to limit what they take.
    uint64_t limitedCalls = 0; //!< Requests and batches sent to limited upstreams.
    uint64_t coldCalls = 0; //!< Requests and batches sent to cold upstreams.
    //! Refusals by the priority of the request and the reason.
    std::map<std::pair<uint32_t, Refusal>, uint64_t> refusedByPriority;
    //! Stages that were queued as late, by the priority of the request.
    std::map<uint32_t, uint64_t> lateStagesByPriority;
    observability::Histogram firstEvents; //!< From a request's arrival to its stream's first event.
    observability::Histogram answers; //!< From a request's arrival to the end of its answer.
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RELAYCOUNTERS_H
