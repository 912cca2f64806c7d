#include "registry/registryfollower.h"

#include <algorithm>

#include "model/hash.h"

// The part of RegistryFollower that holds the content and passes it on to other daemons.

namespace citronpick::registry
{

// The revision is later than the removals that are not believed yet, so no watch repeats them to
// the daemon that applies the listing.
PeerListing RegistryFollower::listing(model::TimePoint now) const
{
    PeerListing result {.page = {.revision = m_revision, .era = m_era},
                        .graceLeft = std::max(model::Duration::zero(), m_graceEndsAt - now)};
    for (const auto &[key, item] : m_items) {
        result.page.items.push_back(item);
    }
    for (const auto &[key, removeAt] : m_pendingRemovals) {
        result.missingKeys.push_back(key);
    }
    return result;
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

void RegistryFollower::applyChanges(const RegistryChanges &changes, model::TimePoint now)
{
    for (const RegistryItem &item : changes.items) {
        applyItem(item, now);
    }
    m_revision = std::max(m_revision, changes.revision);
    m_watchDueAt = changes.items.empty() ? now : now + m_options.coalescingDelay;
}

// Two daemons at the same revision have the same content, unless one of them missed a change.
void RegistryFollower::compareContent(const PeerChanges &changes, model::TimePoint now)
{
    const uint64_t digest = contentDigest();
    const bool isComparable
        = changes.digest != 0 && digest != 0 && m_revision == changes.changes.revision;
    if (isComparable && digest == changes.digest) {
        m_isUnverified = false;
    }
    if (!isComparable || digest == changes.digest || now < m_nextComparisonAt) {
        return;
    }
    m_nextComparisonAt = now + m_options.mismatchInterval;
    m_notifications.emplace_back(ContentMismatch {.reader = m_reader});
    restartListing(now);
}

// Zero while a key is known at a later revision than the content as a whole.
uint64_t RegistryFollower::contentDigest() const
{
    uint64_t digest = 1;
    for (const auto &[key, item] : m_items) {
        if (item.revision > m_revision) {
            return 0;
        }
        if (!m_pendingRemovals.contains(key)) {
            digest ^= model::hash64(key, item.revision);
        }
    }
    return digest == 0 ? 1 : digest;
}

// A removal that is not believed yet is passed on at once, with the time that is left: the other
// daemon has to wait as well.
std::optional<PeerChanges> RegistryFollower::changesAfter(uint64_t revision,
                                                          model::TimePoint now) const
{
    if (m_isRestored || !m_history.covers(revision)) {
        return std::nullopt;
    }
    PeerChanges result {.changes = {.revision = m_revision, .era = m_era},
                        .graceLeft = std::max(model::Duration::zero(), m_graceEndsAt - now),
                        .digest = contentDigest()};
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision && !m_pendingRemovals.contains(key)) {
            result.changes.items.push_back(item);
        }
    }
    for (const auto &[key, removedAt] : m_history.removalsAfter(revision)) {
        result.changes.items.push_back({.key = key, .revision = removedAt});
    }
    return result;
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
    // The value of before the registry was restored.
    const bool isUnchanged = known != m_items.end() && known->second.revision == 0
                             && known->second.value == item.value;
    if (isUnchanged) {
        known->second.revision = item.revision;
        return;
    }
    m_items[item.key] = item;
    m_history.recordValue(item.key);
    m_notifications.emplace_back(
        KeyChanged {.key = item.key, .value = item.value, .revision = item.revision});
}

void RegistryFollower::removeKey(const std::string &key, uint64_t revision, model::TimePoint now)
{
    const auto known = m_items.find(key);
    if (known == m_items.end() || known->second.revision > revision) {
        return;
    }
    m_history.recordRemoval(key, revision);
    if (now < m_graceEndsAt) {
        if (m_pendingRemovals.emplace(key, m_graceEndsAt).second) {
            m_notifications.emplace_back(
                RemovalDelayed {.key = key, .revision = revision, .delay = m_graceEndsAt - now});
        }
        return;
    }
    m_items.erase(known);
    m_pendingRemovals.erase(key);
    m_notifications.emplace_back(
        KeyChanged {.key = key, .value = std::nullopt, .revision = revision});
}

std::vector<FollowerUpdate> RegistryFollower::takeUpdates(model::TimePoint now)
{
    if (m_isListingStale || m_isConfirming) {
        // Outdated content is not acted on.
        const auto firstChange = std::stable_partition(
            m_notifications.begin(), m_notifications.end(), [](const FollowerUpdate &update) {
                return !std::holds_alternative<KeyChanged>(update);
            });
        std::vector<FollowerUpdate> changes(firstChange, m_notifications.end());
        m_notifications.erase(firstChange, m_notifications.end());
        return std::exchange(m_notifications, std::move(changes));
    }
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
