#ifndef CITRONPICK_PIPELINE_COSTTABLE_H
#define CITRONPICK_PIPELINE_COSTTABLE_H

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::pipeline
{

//! Attempts and upstream time of one stage since the daemon started.
struct StageCost {
    uint64_t attempts = 0;
    uint64_t retries = 0;
    uint64_t hedges = 0;
    uint64_t tokens = 0;
    model::Duration upstreamTime {}; //!< Time that upstreams spent on all attempts.
    model::Duration wastedTime {}; //!< Time spent on attempts whose answer was not used.

    friend auto operator<=>(const StageCost &, const StageCost &) = default;
};

//! Requests and upstream time of one client account since the daemon started.
struct AccountCost {
    uint64_t requests = 0;
    model::Duration upstreamTime {};
    model::Duration wastedTime {};

    friend auto operator<=>(const AccountCost &, const AccountCost &) = default;
};

//! Number of requests of one route by outcome, since the daemon started.
struct RouteCount {
    uint64_t arrived = 0;
    uint64_t complete = 0;
    uint64_t notRun = 0;
    uint64_t failed = 0;
    uint64_t unknown = 0;
    uint64_t late = 0; //!< Complete requests that were answered after their deadline.
    model::Duration totalTime {}; //!< Sum over complete requests, from arrival to answer.

    friend auto operator<=>(const RouteCount &, const RouteCount &) = default;
};

struct StageKey {
    model::RouteId route;
    std::string stage;

    friend auto operator<=>(const StageKey &, const StageKey &) = default;
};

//! Cost by stage, route and account. Accounts beyond the first 512 are counted together as "other".
struct CostTable {
    std::map<StageKey, StageCost> stages;
    std::map<model::RouteId, RouteCount> routes;
    std::map<model::AccountId, AccountCost> accounts;

    AccountCost &account(const model::AccountId &id)
    {
        constexpr size_t maxAccounts = 512;
        const auto it = accounts.find(id);
        if (it != accounts.end()) {
            return it->second;
        }
        return accounts[accounts.size() < maxAccounts ? id : model::AccountId("other")];
    }
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_COSTTABLE_H
