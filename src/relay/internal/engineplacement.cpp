#include "relay/engineplacement.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "model/hash.h"
#include "relay/promptwork.h"

namespace citronpick::relay
{

namespace
{

//! Engines that are compared of each group. Two avoid the busiest ones and yet leave the daemons
//! with different choices when their figures are equally old.
constexpr uint32_t choicesPerGroup = 2;
//! Homes of a part carry this multiple of their share, as much as the remaining engines can spare.
constexpr double homeHeadroom = 1.5;
//! A part has a second home, which takes over when the first one is busy or slow.
constexpr size_t minHomes = 2;
//! A crossing of zones costs about a network delay, less than a step of the engine.
constexpr double zoneWork = 50.0;

} // namespace

// The last shared part may belong to a single session, whose requests gain most from one engine, so
// it has more homes only once many requests certainly have it. The earlier parts are shared by
// many sessions; with too few homes, all daemons would overload these.
size_t EnginePlacement::homeCount(const PromptCriteria &criteria, size_t part, size_t engines,
                                  model::TimePoint now) const
{
    const ShareBounds share = m_shares.of(criteria.sharedParts[part].id, now);
    const bool isLast = part + 1 == criteria.sharedParts.size();
    const double homes = std::ceil((isLast ? share.low : share.high) * homeHeadroom
                                   * static_cast<double>(engines));
    // Daemons that measured slightly different shares mostly agree on a power of two.
    const size_t count = std::bit_ceil(std::max<size_t>(1, static_cast<size_t>(homes)));
    return std::min(engines, isLast ? count : std::max(minHomes, count));
}

EnginePlacement::Engines EnginePlacement::homesOf(const PromptPart &part, Engines among,
                                                  size_t count)
{
    const uint64_t seed = model::hash64(part.id);
    std::vector<std::pair<uint64_t, const Upstream *>> ranked;
    ranked.reserve(among.size());
    for (const Upstream *engine : among) {
        ranked.emplace_back(model::hash64(engine->listing.id.text(), seed), engine);
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    among.clear();
    for (size_t i = 0; i < count; ++i) {
        among.push_back(ranked[i].second);
    }
    return among;
}

EnginePlace EnginePlacement::evaluate(const Upstream &engine, uint64_t kept,
                                      const PromptCriteria &criteria, model::TimePoint now) const
{
    const uint64_t unread = criteria.promptTokens - std::min(kept, criteria.promptTokens);
    const double distance = engine.listing.zone == criteria.preferredZone ? 0.0 : zoneWork;
    const EngineFigure figure = m_speeds.figureOf(engine.listing.id, now);
    const double work = promptWork(unread) + static_cast<double>(engine.inFlightTokens);
    return {.engine = &engine,
            .keptTokens = kept,
            .work = figure.slowness * work + distance,
            .figure = figure};
}

void EnginePlacement::compare(EnginePlace &best, const Engines &engines, uint64_t kept,
                              const PromptCriteria &criteria, model::TimePoint now)
{
    for (uint32_t i = 0; i < choicesPerGroup; ++i) {
        const uint32_t index = m_random.below(static_cast<uint32_t>(engines.size()));
        const EnginePlace place = evaluate(*engines[index], kept, criteria, now);
        if (!best.engine || place.work < best.work) {
            best = place;
        }
    }
}

EnginePlace EnginePlacement::place(const std::vector<const Upstream *> &engines,
                                   const PromptCriteria &criteria, model::TimePoint now)
{
    EnginePlace best;
    compare(best, engines, 0, criteria, now);
    Engines group = engines;
    uint64_t kept = 0;
    for (size_t part = 0; part < criteria.sharedParts.size(); ++part) {
        const uint64_t keptBefore = kept;
        kept += criteria.sharedParts[part].tokens;
        const size_t count = homeCount(criteria, part, engines.size(), now);
        // One more than the homes: the engine that takes over from the only home of a part.
        group = homesOf(criteria.sharedParts[part], std::move(group), std::max(minHomes, count));
        if (count < group.size()) {
            compare(best, {group.begin() + static_cast<std::ptrdiff_t>(count), group.end()},
                    keptBefore, criteria, now);
            group.resize(count);
        }
        compare(best, group, kept, criteria, now);
    }
    return best;
}

void EnginePlacement::noteSent(const PromptCriteria &criteria, model::TimePoint now)
{
    m_shares.noteRequest(now);
    for (const PromptPart &part : criteria.sharedParts) {
        m_shares.notePart(part.id, now);
    }
}

} // namespace citronpick::relay
