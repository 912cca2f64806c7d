#ifndef CITRONPICK_ROUTING_IROUTER_H
#define CITRONPICK_ROUTING_IROUTER_H

#include <cstdint>
#include <optional>
#include <vector>

#include "model/row.h"
#include "model/time.h"

namespace citronpick::routing
{

//! What the choice of an upstream depends on.
struct StageDemand {
    model::PoolRow pool;
    bool isIdempotent = true;
    bool isShort = true;
    bool isStruck = false; //!< Was on an upstream when that crashed.
    bool hasTimeToRetry = true; //!< A failed attempt still leaves time for another.
    uint64_t prefix = 0; //!< Digest of the prompt's beginning; zero when it has none.
    std::vector<model::UpstreamRow> excluded;
};

//! Why an upstream was chosen.
enum class ChoiceKind {
    Normal,
    Prefix, //!< The prompt's beginning is probably cached there.
    Test, //!< A trial or ramp slot of an upstream that returns, or a look at a suspect.
    LastResort, //!< A suspect, because nothing better is free.
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

    //! Empty when no upstream may take the attempt now.
    virtual std::optional<Choice> choose(const StageDemand &demand, model::TimePoint now) = 0;
};

} // namespace citronpick::routing

#endif // CITRONPICK_ROUTING_IROUTER_H
