#ifndef CITRONPICK_REGISTRY_READERCHOICE_H
#define CITRONPICK_REGISTRY_READERCHOICE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "model/ids.h"

namespace citronpick::registry
{

//! A daemon that can read the registry for others.
struct ReaderCandidate {
    model::DaemonId id;
    model::ZoneId zone;
    uint32_t linkMbps = 0; //!< Network bandwidth of its instance; zero if unknown.

    friend auto operator<=>(const ReaderCandidate &, const ReaderCandidate &) = default;
};

struct ReaderChoiceOptions {
    //! In a smaller fleet each daemon reads the registry itself.
    size_t minDaemons = 24;
    //! A zone has one reader for each started group of this size.
    size_t daemonsPerReader = 100;
};

//! Chooses the daemons that read the registry for their zones; none in a small fleet. Depends only
//! on the set of candidates, so that daemons with equal member lists choose the same readers.
std::vector<ReaderCandidate> chooseReaders(const std::vector<ReaderCandidate> &candidates,
                                           const ReaderChoiceOptions &options);

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_READERCHOICE_H
