#include "relay/senderranking.h"

#include <algorithm>

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

} // namespace

void SenderRanking::setDaemons(std::vector<model::DaemonId> daemons, model::TimePoint now)
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
        if (!isSettledAt(now)) {
            m_settledAt = std::min(now + settlingTime, *m_startedAt + maxSettlingTime);
        }
    }
}

bool SenderRanking::isSettledAt(model::TimePoint now) const
{
    return m_startedAt && now >= m_settledAt;
}

bool SenderRanking::update(model::TimePoint now)
{
    const size_t expired
        = std::erase_if(m_daemons, [now](const auto &entry) { return now >= entry.second; });
    const bool isSettledNow = isSettledAt(now);
    const bool hasSettled = isSettledNow != std::exchange(m_isSettled, isSettledNow);
    return std::exchange(m_hasChanged, false) || expired > 0 || hasSettled;
}

std::optional<model::TimePoint> SenderRanking::nextUpdate() const
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

size_t SenderRanking::daemonCount() const
{
    return std::max<size_t>(1, m_daemons.size());
}

size_t SenderRanking::rankOf(const model::UpstreamId &upstream) const
{
    const uint64_t seed = model::hash64(upstream.text());
    const uint64_t own = model::hash64(m_self.text(), seed);
    return static_cast<size_t>(
        std::count_if(m_daemons.begin(), m_daemons.end(), [&](const auto &entry) {
            return model::hash64(entry.first.text(), seed) > own;
        }));
}

} // namespace citronpick::relay
