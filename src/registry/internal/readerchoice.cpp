#include "registry/readerchoice.h"

#include <algorithm>
#include <map>

#include "model/hash.h"

namespace citronpick::registry
{

namespace
{

using Candidates = std::vector<const ReaderCandidate *>;

// A reader sends each change to all daemons of its zone, which would saturate a slow link.
Candidates withWideLinks(const Candidates &zone, size_t needed)
{
    uint32_t bestLink = 0;
    for (const ReaderCandidate *candidate : zone) {
        bestLink = std::max(bestLink, candidate->linkMbps);
    }
    Candidates wide;
    for (const ReaderCandidate *candidate : zone) {
        if (candidate->linkMbps >= bestLink / 2) {
            wide.push_back(candidate);
        }
    }
    return wide.size() >= needed ? wide : zone;
}

} // namespace

std::vector<ReaderCandidate> chooseReaders(const std::vector<ReaderCandidate> &candidates,
                                           const ReaderChoiceOptions &options)
{
    if (candidates.size() < options.minDaemons) {
        return {};
    }
    std::map<model::ZoneId, Candidates> zones;
    for (const ReaderCandidate &candidate : candidates) {
        zones[candidate.zone].push_back(&candidate);
    }
    std::vector<ReaderCandidate> readers;
    for (const auto &[zone, members] : zones) {
        const size_t needed
            = (members.size() + options.daemonsPerReader - 1) / options.daemonsPerReader;
        Candidates ranked = withWideLinks(members, needed);
        std::sort(ranked.begin(), ranked.end(),
                  [](const ReaderCandidate *left, const ReaderCandidate *right) {
                      return std::pair(model::hash64(left->id.text()), left->id)
                             > std::pair(model::hash64(right->id.text()), right->id);
                  });
        for (size_t i = 0; i < needed; ++i) {
            readers.push_back(*ranked[i]);
        }
    }
    return readers;
}

} // namespace citronpick::registry
