#include "registry/registryfollower.h"

#include <algorithm>

namespace citronpick::registry
{

namespace
{

constexpr uint32_t maxBackoffDoublings = 3;
//! Consecutive failures after which the registry counts as unreachable. A single failure may only
//! mean that a connection was closed.
constexpr uint32_t outageFailureCount = 2;

} // namespace

RegistryFollower::RegistryFollower(FollowerOptions options, uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
{
}

std::optional<FollowerCall> RegistryFollower::takeCall(model::TimePoint now)
{
    if (m_isCallPending || now < m_nextCallAt) {
        return std::nullopt;
    }
    m_isCallPending = true;
    if (m_isListing) {
        return ReadPage {.afterKey = m_afterKey};
    }
    return WatchChanges {.afterRevision = m_revision, .timeout = m_options.watchTimeout};
}

std::optional<model::TimePoint> RegistryFollower::nextRun() const
{
    std::optional<model::TimePoint> next;
    if (!m_isCallPending) {
        next = m_nextCallAt;
    }
    for (const auto &[key, removeAt] : m_pendingRemovals) {
        next = next ? std::min(*next, removeAt) : removeAt;
    }
    return next;
}

void RegistryFollower::recordAnswer(model::TimePoint now)
{
    m_isCallPending = false;
    m_nextCallAt = now;
    m_answeredAt = now;
    if (m_failures >= outageFailureCount) {
        m_graceEndsAt = now + m_options.recoveryGracePeriod;
        m_notifications.emplace_back(ReachabilityChanged {.isReachable = true});
    }
    m_failures = 0;
}

void RegistryFollower::onPage(const RegistryPage &page, model::TimePoint now)
{
    recordAnswer(now);
    if (std::exchange(m_isPendingPageObsolete, false)) {
        return;
    }
    if (m_afterKey.empty()) {
        m_listedKeys.clear();
        m_listRevision = page.revision;
    }
    for (const RegistryItem &item : page.items) {
        m_listedKeys.insert(item.key);
        applyItem(item, now);
    }
    if (page.hasMore && !page.items.empty()) {
        m_afterKey = page.items.back().key;
        return;
    }
    m_afterKey.clear();
    m_isListing = false;
    // The pages have different revisions, so the watch starts at the revision of the first page and
    // repeats what changed while the others were read.
    m_revision = m_listRevision;
    removeUnlisted(m_listRevision, now);
    markSynchronized();
}

void RegistryFollower::markSynchronized()
{
    if (!m_isSynchronized) {
        m_isSynchronized = true;
        m_notifications.emplace_back(Synchronized {});
    }
}

// A daemon that starts while the registry is unreachable or refuses its calls gets the listing from
// another daemon. Comparing registry revisions prevents an older listing from replacing a newer
// one.
void RegistryFollower::onPeerListing(const RegistryPage &listing, model::TimePoint now)
{
    if (listing.revision <= m_revision) {
        return;
    }
    m_listedKeys.clear();
    for (const RegistryItem &item : listing.items) {
        m_listedKeys.insert(item.key);
        applyItem(item, now);
    }
    removeUnlisted(listing.revision, now);
    m_revision = listing.revision;
    m_isPendingPageObsolete = m_isCallPending && m_isListing;
    m_isListing = false;
    m_afterKey.clear();
    markSynchronized();
}

RegistryPage RegistryFollower::listing() const
{
    RegistryPage page {.revision = m_revision};
    for (const auto &[key, item] : m_items) {
        page.items.push_back(item);
    }
    return page;
}

void RegistryFollower::removeUnlisted(uint64_t revision, model::TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &[key, item] : m_items) {
        if (!m_listedKeys.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        removeKey(key, revision, now);
    }
}

void RegistryFollower::onChanges(const RegistryChanges &changes, model::TimePoint now)
{
    recordAnswer(now);
    for (const RegistryItem &item : changes.items) {
        applyItem(item, now);
    }
    m_revision = std::max(m_revision, changes.revision);
    m_compactions = 0;
    m_nextCallAt = changes.items.empty() ? now : now + m_options.coalescingDelay;
}

void RegistryFollower::applyItem(const RegistryItem &item, model::TimePoint now)
{
    if (!item.value) {
        removeKey(item.key, item.revision, now);
        return;
    }
    m_pendingRemovals.erase(item.key);
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && known->second.revision >= item.revision) {
        return;
    }
    m_items[item.key] = item;
    m_notifications.emplace_back(
        KeyChanged {.key = item.key, .value = item.value, .revision = item.revision});
}

void RegistryFollower::removeKey(const std::string &key, uint64_t revision, model::TimePoint now)
{
    const auto known = m_items.find(key);
    if (known == m_items.end() || known->second.revision > revision) {
        return;
    }
    if (now < m_graceEndsAt) {
        m_pendingRemovals.emplace(key, m_graceEndsAt);
        return;
    }
    m_items.erase(known);
    m_pendingRemovals.erase(key);
    m_notifications.emplace_back(
        KeyChanged {.key = key, .value = std::nullopt, .revision = revision});
}

void RegistryFollower::onError(CallError error, model::TimePoint now)
{
    m_isCallPending = false;
    const bool wasPageObsolete = std::exchange(m_isPendingPageObsolete, false);
    if (error == CallError::Compacted && !wasPageObsolete) {
        restartListing(now);
        return;
    }
    ++m_failures;
    if (m_failures == outageFailureCount) {
        m_notifications.emplace_back(ReachabilityChanged {.isReachable = false});
    }
    const model::Duration backoff = std::min(
        m_options.maxBackoff,
        m_options.initialBackoff * (1U << std::min(m_failures - 1, maxBackoffDoublings)));
    // Jitter, so that daemons that lost the registry at the same time do not reconnect at once.
    m_nextCallAt = now + model::scaled(backoff, 0.5 + 0.5 * m_random.uniformDouble());
}

// A registry that drops its history answers the watches of all daemons at once, and each listing
// takes several calls. A registry that keeps dropping it is asked no more often than a failing one.
void RegistryFollower::restartListing(model::TimePoint now)
{
    m_isListing = true;
    m_afterKey.clear();
    ++m_compactions;
    const double share = m_random.uniformDouble();
    m_nextCallAt = now
                   + (m_compactions == 1 ? model::scaled(m_options.relistSpread, share)
                                         : model::scaled(m_options.maxBackoff, 0.5 + 0.5 * share));
}

std::vector<FollowerUpdate> RegistryFollower::takeUpdates(model::TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &[key, removeAt] : m_pendingRemovals) {
        if (now >= removeAt) {
            expired.push_back(key);
        }
    }
    for (const std::string &key : expired) {
        m_pendingRemovals.erase(key);
        m_items.erase(key);
        m_notifications.emplace_back(
            KeyChanged {.key = key, .value = std::nullopt, .revision = m_revision});
    }
    return std::exchange(m_notifications, {});
}

} // namespace citronpick::registry
