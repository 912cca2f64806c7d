#ifndef CITRONPICK_RELAY_RETRYBUDGET_H
#define CITRONPICK_RELAY_RETRYBUDGET_H

#include <array>
#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

//! Limits on the retries of a pool's requests, over all daemons.
struct RetryBudgetOptions {
    double ratio = 0.2; //!< Allowed retries per request in a window.
    double slack = 0.0; //!< Retries allowed in a window regardless of the number of requests.
    model::Duration window = model::seconds(10);

    friend bool operator==(const RetryBudgetOptions &, const RetryBudgetOptions &) = default;
};

//! This daemon's share of the fleet's retry budget.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : m_options(options)
    {
    }

    void setOptions(RetryBudgetOptions options)
    {
        m_options = options;
    }
    //! Sets the number of daemons that share the slack; zero counts as one.
    void setDaemons(uint32_t count)
    {
        m_daemons = count == 0 ? 1 : count;
    }

    void noteRequest(const model::PoolId &pool, model::TimePoint now);
    //! Whether the budget has a retry left.
    bool canTake(const model::PoolId &pool, model::TimePoint now);
    //! Consumes one retry from the budget; returns false if the budget is exhausted.
    bool take(const model::PoolId &pool, model::TimePoint now);

private:
    static constexpr size_t buckets = 10;
    struct Window {
        std::array<uint32_t, buckets> requests {};
        std::array<uint32_t, buckets> retries {};
        int64_t newest = 0; //!< Number of the current bucket.
    };

    Window &advanceWindow(const model::PoolId &pool, model::TimePoint now);

    RetryBudgetOptions m_options;
    uint32_t m_daemons = 1;
    absl::flat_hash_map<model::PoolId, Window> m_windows;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RETRYBUDGET_H
