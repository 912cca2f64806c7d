#include "relay/coldstartlimit.h"

#include <algorithm>
#include <cmath>

namespace citronpick::relay
{

namespace
{

//! Somewhat more than the second for which the limit holds, as calls are sent late at times.
constexpr model::Duration window = model::milliseconds(1050);
//! Two parts of a fleet that cannot reach each other each choose senders of their own.
constexpr double shareOfOnePart = 0.5;

} // namespace

const ColdStartRule *ColdStartLimit::ruleOf(const model::PoolId &pool) const
{
    const PoolRule *rule = m_configuration ? m_configuration->findPool(pool) : nullptr;
    return rule && rule->coldStart ? &*rule->coldStart : nullptr;
}

uint32_t ColdStartLimit::totalOf(const ColdStartRule &rule) const
{
    const double limit = rule.requestsPerSecond * m_options.overshoot + m_options.slack;
    return static_cast<uint32_t>(std::max(1.0, std::floor(limit * shareOfOnePart)));
}

// The total is dealt out evenly; the remainder goes to those that rank first.
std::optional<model::Duration> ColdStartLimit::intervalOf(const model::UpstreamId &upstream,
                                                          const model::PoolId &pool,
                                                          const SenderRanking &ranking) const
{
    const ColdStartRule *rule = ruleOf(pool);
    if (!rule) {
        return model::Duration::zero();
    }
    if (!ranking.isSettled()) {
        return std::nullopt;
    }
    const auto daemons = static_cast<int64_t>(ranking.daemonCount());
    const auto ahead = static_cast<int64_t>(ranking.rankOf(upstream));
    const int64_t total = totalOf(*rule);
    const int64_t share = total / daemons + (ahead < total % daemons ? 1 : 0);
    return share > 0 ? std::optional(window / share) : std::nullopt;
}

} // namespace citronpick::relay
