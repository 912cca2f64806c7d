#include "relay/coldstartlimit.h"

#include <algorithm>
#include <cmath>

#include "model/hash.h"

namespace citronpick::relay
{

namespace
{

//! A daemon that is lost may only be cut off, still send, and not see the others. Until it is
//! either back or has surely ended, it keeps its place among the senders. Cuts of links last
//! seconds.
constexpr model::Duration lostDaemonRetention = model::seconds(10);
//! A daemon that has just started knows few others. It knows most of them once no further one has
//! appeared for this long.
constexpr model::Duration settlingTime = model::seconds(3);
//! All members of the largest fleets are known after this time.
constexpr model::Duration maxSettlingTime = model::seconds(12);
//! Somewhat more than the second for which the limit holds, as calls are sent late at times.
constexpr model::Duration window = model::milliseconds(1050);
//! Two parts of a fleet that cannot reach each other each choose senders of their own.
constexpr double shareOfOnePart = 0.5;

} // namespace

void ColdStartLimit::setDaemons(std::vector<model::DaemonId> daemons, model::TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_settledAt = now + settlingTime;
    }
    bool hasGrown = false;
    for (auto &[id, until] : m_daemons) {
        if (until == model::TimePoint::max()) {
            until = now + lostDaemonRetention;
        }
    }
    for (model::DaemonId &daemon : daemons) {
        const auto [it, isNew]
            = m_daemons.insert_or_assign(std::move(daemon), model::TimePoint::max());
        hasGrown = hasGrown || isNew;
    }
    if (hasGrown) {
        m_hasChanged = true;
        if (!isSettled(now)) {
            m_settledAt = std::min(now + settlingTime, *m_startedAt + maxSettlingTime);
        }
    }
}

bool ColdStartLimit::isSettled(model::TimePoint now) const
{
    return m_startedAt && now >= m_settledAt;
}

bool ColdStartLimit::update(model::TimePoint now)
{
    const size_t expired
        = std::erase_if(m_daemons, [now](const auto &entry) { return now >= entry.second; });
    const bool isSettledNow = isSettled(now);
    const bool hasSettled = isSettledNow != std::exchange(m_isSettled, isSettledNow);
    return std::exchange(m_hasChanged, false) || expired > 0 || hasSettled;
}

std::optional<model::TimePoint> ColdStartLimit::nextUpdate() const
{
    std::optional<model::TimePoint> next;
    if (m_startedAt && !m_isSettled) {
        next = m_settledAt;
    }
    for (const auto &[id, until] : m_daemons) {
        if (until < model::TimePoint::max()) {
            next = next ? std::min(*next, until) : until;
        }
    }
    return next;
}

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

// The total is dealt out evenly; the remainder goes to those that come first by rendezvous hashing,
// so that the loss of a daemon moves only its own part.
std::optional<model::Duration> ColdStartLimit::intervalOf(const model::UpstreamId &upstream,
                                                          const model::PoolId &pool) const
{
    const ColdStartRule *rule = ruleOf(pool);
    if (!rule) {
        return model::Duration::zero();
    }
    if (!m_isSettled || m_daemons.empty()) {
        return std::nullopt;
    }
    const uint64_t seed = model::hash64(upstream.text());
    const uint64_t rank = model::hash64(m_options.daemon.text(), seed);
    const auto ahead = std::count_if(m_daemons.begin(), m_daemons.end(), [&](const auto &entry) {
        return model::hash64(entry.first.text(), seed) > rank;
    });
    const auto daemons = static_cast<int64_t>(m_daemons.size());
    const int64_t total = totalOf(*rule);
    const int64_t share = total / daemons + (ahead < total % daemons ? 1 : 0);
    return share > 0 ? std::optional(window / share) : std::nullopt;
}

} // namespace citronpick::relay
