#include "relay/retrybudget.h"

#include <numeric>

namespace citronpick::relay
{

namespace
{

//! Share of the slack that is used. The rest is a reserve: daemons can disagree for a moment about
//! their number, and their windows do not begin at the same time.
constexpr double usableSlackShare = 0.7;

} // namespace

RetryBudget::Window &RetryBudget::advanceWindow(const model::PoolId &pool, model::TimePoint now)
{
    Window &window = m_windows[pool];
    const auto bucketTime = m_options.window / static_cast<int64_t>(buckets);
    const int64_t newest = now.time_since_epoch() / bucketTime;
    const int64_t passed = newest - window.newest;
    for (int64_t i = 1; i <= passed && i <= static_cast<int64_t>(buckets); ++i) {
        const size_t slot = static_cast<size_t>(window.newest + i) % buckets;
        window.requests[slot] = 0;
        window.retries[slot] = 0;
    }
    window.newest = newest;
    return window;
}

void RetryBudget::noteRequest(const model::PoolId &pool, model::TimePoint now)
{
    Window &window = advanceWindow(pool, now);
    ++window.requests[static_cast<size_t>(window.newest) % buckets];
}

bool RetryBudget::canTake(const model::PoolId &pool, model::TimePoint now)
{
    const Window &window = advanceWindow(pool, now);
    const double requests = std::accumulate(window.requests.begin(), window.requests.end(), 0.0);
    const double retries = std::accumulate(window.retries.begin(), window.retries.end(), 0.0);
    const double allowed
        = m_options.ratio * requests + usableSlackShare * m_options.slack / m_daemons;
    return retries + 1.0 <= allowed;
}

bool RetryBudget::take(const model::PoolId &pool, model::TimePoint now)
{
    if (!canTake(pool, now)) {
        return false;
    }
    Window &window = m_windows[pool];
    ++window.retries[static_cast<size_t>(window.newest) % buckets];
    return true;
}

} // namespace citronpick::relay
