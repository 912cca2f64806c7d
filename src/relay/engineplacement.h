#ifndef CITRONPICK_RELAY_ENGINEPLACEMENT_H
#define CITRONPICK_RELAY_ENGINEPLACEMENT_H

#include <vector>

#include "model/random.h"
#include "relay/enginespeeds.h"
#include "relay/partshares.h"
#include "relay/relayevents.h"
#include "relay/upstreamdirectory.h"

namespace citronpick::relay
{

//! What is placed on an engine.
struct PromptCriteria {
    std::vector<PromptPart> sharedParts; //!< In the order of the prompt, widest shared first.
    uint64_t promptTokens = 0;
    model::ZoneId preferredZone;
};

//! An engine for a request and the reasons.
struct EnginePlace {
    const Upstream *engine = nullptr;
    uint64_t keptTokens = 0; //!< Prompt tokens that the engine probably has in its memory.
    double work = 0.0; //!< Expected work until the first event, in tokens of a median engine.
    EngineFigure figure;
};

/*! Places requests on the model engines of a pool by the expected time of the first event.
 *
 * Each shared part of a prompt has home engines, which all daemons derive from its id: those of a
 * later part lie among those of the earlier ones, and there are more the larger the part's share of
 * the requests is. A request is compared on a few random homes of each of its parts. */
class EnginePlacement
{
public:
    explicit EnginePlacement(uint64_t seed)
        : m_random(seed)
    {
    }

    //! \a engines must not be empty.
    EnginePlace place(const std::vector<const Upstream *> &engines, const PromptCriteria &criteria,
                      model::TimePoint now);
    void noteSent(const PromptCriteria &criteria, model::TimePoint now);
    const EngineSpeeds &speeds() const
    {
        return m_speeds;
    }
    EngineSpeeds &speeds()
    {
        return m_speeds;
    }

private:
    using Engines = std::vector<const Upstream *>;

    size_t homeCount(const PromptCriteria &criteria, size_t part, size_t engines,
                     model::TimePoint now) const;
    static Engines homesOf(const PromptPart &part, Engines among, size_t count);
    EnginePlace evaluate(const Upstream &engine, uint64_t kept, const PromptCriteria &criteria,
                         model::TimePoint now) const;
    void compare(EnginePlace &best, const Engines &engines, uint64_t kept,
                 const PromptCriteria &criteria, model::TimePoint now);

    EngineSpeeds m_speeds;
    PartShares m_shares;
    model::Random m_random;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_ENGINEPLACEMENT_H
