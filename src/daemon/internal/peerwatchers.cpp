#include "daemon/internal/peerwatchers.h"

#include <algorithm>

#include "daemon/internal/listingcodec.h"

namespace citronpick::daemon
{

namespace
{

//! Interval at which expired watches, and the loss of the registry, are noticed.
constexpr model::Duration checkInterval = model::milliseconds(50);

} // namespace

void PeerWatchers::add(const RegistryWatch &watch, model::TimePoint now)
{
    // Bounds the time that a peer can have a watch kept; the peer asks again.
    constexpr model::Duration maxWait = model::seconds(2);
    const Watch entry {.afterRevision = watch.afterRevision,
                       .expiresAt = now + std::min(watch.wait, maxWait),
                       .knownTexts = watch.knownTexts};
    if (!answer(watch.exchange, entry, now)) {
        m_watches.emplace(watch.exchange, entry);
        m_nextCheck = std::min(m_nextCheck, now + checkInterval);
    }
}

void PeerWatchers::run(model::TimePoint now)
{
    const uint64_t revision = m_follower.revision();
    if (m_watches.empty() || (now < m_nextCheck && revision == m_answeredRevision)) {
        return;
    }
    m_answeredRevision = revision;
    m_nextCheck = now + checkInterval;
    std::erase_if(m_watches, [this, now](const auto &entry) {
        return answer(entry.first, entry.second, now);
    });
}

std::optional<model::TimePoint> PeerWatchers::nextRun() const
{
    return m_watches.empty() ? std::nullopt : std::optional(m_nextCheck);
}

bool PeerWatchers::answer(uint64_t exchange, const Watch &watch, model::TimePoint now)
{
    if (!m_follower.isCurrentReader(now)) {
        m_api.rejectWatch(exchange);
        return true;
    }
    const bool isExpired = now >= watch.expiresAt;
    if (m_follower.revision() <= watch.afterRevision && !isExpired) {
        return false;
    }
    const std::optional<registry::PeerChanges> changes
        = m_follower.changesAfter(watch.afterRevision, now);
    if (!changes) {
        m_api.rejectWatch(exchange);
        return true;
    }
    if (changes->changes.items.empty() && !isExpired) {
        return false;
    }
    m_api.answerWatch(exchange, encodePeerChanges(*changes, m_texts, watch.knownTexts));
    return true;
}

} // namespace citronpick::daemon
