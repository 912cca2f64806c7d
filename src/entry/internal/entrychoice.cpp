#include "entry/entrychoice.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "model/hash.h"

namespace citronpick::entry
{

namespace
{

//! Load is compared in coarse steps, so that a small difference does not redirect all callers.
constexpr uint32_t loadStepPercent = 25;
//! Maximum number of addresses in one answer.
constexpr size_t maxEntries = 6;

std::map<model::DaemonId, uint32_t> loads(const fleet::FleetSystem &fleet)
{
    std::map<model::DaemonId, uint32_t> result;
    for (const auto &[key, row] : fleet.facts().rows()) {
        if (const auto *load = std::get_if<fleet::LoadFact>(&row.fact.body)) {
            result[key.origin] = load->percent;
        }
    }
    return result;
}

} // namespace

std::vector<EntryAddress> rankEntries(const fleet::FleetSystem &fleet, const EntryQuery &query)
{
    const std::map<model::DaemonId, uint32_t> loadOf = loads(fleet);
    std::vector<EntryAddress> entries;
    for (const auto &[id, row] : fleet.members().rows()) {
        if (!row.member.isUsable()) {
            continue;
        }
        const auto load = loadOf.find(id);
        entries.push_back({.daemon = id,
                           .endpoint = row.member.caller,
                           .zone = row.member.zone,
                           .loadPercent = load == loadOf.end() ? 0 : load->second});
    }
    // Rendezvous hashing sends the callers of an account to a few daemons, which then receive most
    // of its demand. When a daemon fails, its accounts are distributed over all remaining daemons.
    const auto rank = [&](const EntryAddress &entry) {
        return std::tuple(entry.zone != query.zone, entry.loadPercent / loadStepPercent,
                          model::hash64(entry.daemon.text(), model::hash64(query.account.text())));
    };
    std::sort(entries.begin(), entries.end(),
              [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
    if (entries.size() > maxEntries) {
        entries.resize(maxEntries);
    }
    return entries;
}

} // namespace citronpick::entry
