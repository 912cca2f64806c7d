#ifndef CITRONPICK_ROUTING_IROUTER_H
#define CITRONPICK_ROUTING_IROUTER_H

#include <cstdint>
#include <optional>
#include <vector>

#include "model/row.h"
#include "model/time.h"

namespace citronpick::routing
{

//! Properties of a stage attempt that determine which upstreams may take it.
struct StageDemand {
    model::PoolRow pool;
    bool isIdempotent = true;
    bool isShort = true;
    bool isCrashSuspect = false; //!< The request's fingerprint is suspected of crashing upstreams.
    bool hasTimeToRetry = true; //!< The deadline leaves time for another attempt if this one fails.
    uint64_t prefix = 0; //!< Hash of the prompt prefix; zero if the request has none.
    std::vector<model::UpstreamRow> excluded; //!< Upstreams that must not be chosen.
};

//! Why the router picked an upstream.
enum class ChoiceKind {
    Normal,
    Prefix, //!< The upstream probably has the prompt prefix in its cache.
    Test, //!< Trial or ramp request to a returning upstream, or a test of a suspect upstream.
    LastResort, //!< A suspect upstream, because no active upstream has capacity.
};

struct Choice {
    model::UpstreamRow upstream;
    ChoiceKind kind = ChoiceKind::Normal;
};

//! Chooses the upstream for one attempt.
class IRouter
{
public:
    virtual ~IRouter() = default;

    //! Returns nothing if no upstream can take the attempt at present.
    virtual std::optional<Choice> choose(const StageDemand &demand, model::TimePoint now) = 0;
};

} // namespace citronpick::routing

#endif // CITRONPICK_ROUTING_IROUTER_H
