#ifndef CITRONPICK_ENTRY_ENTRYCHOICE_H
#define CITRONPICK_ENTRY_ENTRYCHOICE_H

#include <compare>
#include <vector>

#include "config/settings.h"
#include "fleet/fleetsystem.h"
#include "model/ids.h"

namespace citronpick::entry
{

//! One daemon that a caller may use.
struct EntryAddress {
    model::DaemonId daemon;
    config::Endpoint endpoint;
    model::ZoneId zone;
    uint32_t loadPercent = 0;

    friend auto operator<=>(const EntryAddress &, const EntryAddress &) = default;
};

//! The caller that asks.
struct EntryQuery {
    model::ZoneId zone; //!< Empty when unknown.
    model::AccountId account; //!< Empty when unknown.
};

//! Daemons in the order in which this caller should try them, the best first. Daemons that
//! leave, are suspected or dead are not named.
std::vector<EntryAddress> rankEntries(const fleet::FleetSystem &fleet, const EntryQuery &query);

} // namespace citronpick::entry

#endif // CITRONPICK_ENTRY_ENTRYCHOICE_H
