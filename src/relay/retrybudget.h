#ifndef CITRONPICK_RELAY_RETRYBUDGET_H
#define CITRONPICK_RELAY_RETRYBUDGET_H

#include <array>
#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

//! How many requests of a pool may be sent once more, over all daemons.
struct RetryBudgetOptions {
    double ratio = 0.2; //!< Of the pool's requests in a window.
    double slack = 0.0; //!< Repeats in a window whatever the number of requests.
    model::Duration window = model::seconds(10);

    friend bool operator==(const RetryBudgetOptions &, const RetryBudgetOptions &) = default;
};

//! This daemon's part of the fleet's retry budget.
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
    //! Daemons that share the slack; at least this one.
    void setDaemons(uint32_t count)
    {
        m_daemons = count == 0 ? 1 : count;
    }

    void noteRequest(const model::PoolId &pool, model::TimePoint now);
    //! True, and taken off the budget, when one more repeat fits.
    bool take(const model::PoolId &pool, model::TimePoint now);

private:
    static constexpr size_t buckets = 10;
    struct Window {
        std::array<uint32_t, buckets> requests {};
        std::array<uint32_t, buckets> repeats {};
        int64_t newest = 0; //!< Number of the bucket in use.
    };

    Window &advance(const model::PoolId &pool, model::TimePoint now);

    RetryBudgetOptions m_options;
    uint32_t m_daemons = 1;
    absl::flat_hash_map<model::PoolId, Window> m_windows;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RETRYBUDGET_H
