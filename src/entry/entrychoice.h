#ifndef CITRONPICK_ENTRY_ENTRYCHOICE_H
#define CITRONPICK_ENTRY_ENTRYCHOICE_H

#include <compare>
#include <vector>

#include "config/settings.h"
#include "fleet/fleetsystem.h"
#include "model/ids.h"

namespace citronpick::entry
{

//! Address of a daemon that a caller may use.
struct EntryAddress {
    model::DaemonId daemon;
    config::Endpoint endpoint;
    model::ZoneId zone;
    uint32_t loadPercent = 0;

    friend auto operator<=>(const EntryAddress &, const EntryAddress &) = default;
};

//! Properties of the caller that requests entry addresses.
struct EntryQuery {
    model::ZoneId zone; //!< Empty when unknown.
    model::AccountId account; //!< Empty when unknown.
};

//! Returns daemons in the order in which this caller should try them, the most suitable first.
//! Leaving, suspected and dead daemons are left out.
std::vector<EntryAddress> rankEntries(const fleet::FleetSystem &fleet, const EntryQuery &query);

} // namespace citronpick::entry

#endif // CITRONPICK_ENTRY_ENTRYCHOICE_H
