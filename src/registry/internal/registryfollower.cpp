#include "registry/registryfollower.h"

#include <algorithm>

namespace citronpick::registry
{

namespace
{

constexpr uint32_t maxDoublings = 3;
//! One lost call is a connection's end; from the second on the registry counts as away.
constexpr uint32_t failuresOfOutage = 2;

} // namespace

RegistryFollower::RegistryFollower(FollowerOptions options, uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
{
}

std::optional<FollowerCall> RegistryFollower::takeCall(model::TimePoint now)
{
    if (m_isCalling || now < m_nextCall) {
        return std::nullopt;
    }
    m_isCalling = true;
    if (m_isListing) {
        return ReadPage {.afterKey = m_afterKey};
    }
    return WatchChanges {.afterRevision = m_revision, .wait = m_options.watchWait};
}

std::optional<model::TimePoint> RegistryFollower::nextRun() const
{
    std::optional<model::TimePoint> next;
    if (!m_isCalling) {
        next = m_nextCall;
    }
    for (const auto &[key, goneAt] : m_lapsed) {
        next = next ? std::min(*next, goneAt) : goneAt;
    }
    return next;
}

void RegistryFollower::noteAnswer(model::TimePoint now)
{
    m_isCalling = false;
    m_nextCall = now;
    m_answeredAt = now;
    if (m_failures >= failuresOfOutage) {
        m_graceUntil = now + m_options.returnGrace;
        m_news.emplace_back(Reachable {.isReachable = true});
    }
    m_failures = 0;
}

void RegistryFollower::onPage(const RegistryPage &page, model::TimePoint now)
{
    noteAnswer(now);
    if (m_afterKey.empty()) {
        m_listed.clear();
        m_listRevision = page.revision;
    }
    for (const RegistryItem &item : page.items) {
        m_listed.insert(item.key);
        take(item, now);
    }
    if (page.hasMore && !page.items.empty()) {
        m_afterKey = page.items.back().key;
        return;
    }
    m_afterKey.clear();
    m_isListing = false;
    // Pages are of different moments: what changed since the first one is watched again.
    m_revision = m_listRevision;
    removeMissing(m_listRevision, now);
    becomeSynchronized();
}

void RegistryFollower::becomeSynchronized()
{
    if (!m_isSynchronized) {
        m_isSynchronized = true;
        m_news.emplace_back(Synchronized {});
    }
}

// A daemon that starts while the registry is away, or that is turned away by it, learns from others
// what they have read. The registry's own revisions keep older news from being believed.
void RegistryFollower::onPeerListing(const RegistryPage &listing, model::TimePoint now)
{
    if (listing.revision <= m_revision) {
        return;
    }
    m_listed.clear();
    for (const RegistryItem &item : listing.items) {
        m_listed.insert(item.key);
        take(item, now);
    }
    removeMissing(listing.revision, now);
    m_revision = listing.revision;
    m_isListing = false;
    m_afterKey.clear();
    becomeSynchronized();
}

RegistryPage RegistryFollower::listing() const
{
    RegistryPage page {.revision = m_revision};
    for (const auto &[key, item] : m_known) {
        page.items.push_back(item);
    }
    return page;
}

void RegistryFollower::removeMissing(uint64_t revision, model::TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &[key, item] : m_known) {
        if (!m_listed.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        forget(key, revision, now);
    }
}

void RegistryFollower::onChanges(const RegistryChanges &changes, model::TimePoint now)
{
    noteAnswer(now);
    for (const RegistryItem &item : changes.items) {
        take(item, now);
    }
    m_revision = std::max(m_revision, changes.revision);
    m_nextCall = changes.items.empty() ? now : now + m_options.changePause;
}

void RegistryFollower::take(const RegistryItem &item, model::TimePoint now)
{
    if (!item.value) {
        forget(item.key, item.revision, now);
        return;
    }
    m_lapsed.erase(item.key);
    const auto known = m_known.find(item.key);
    if (known != m_known.end() && known->second.revision >= item.revision) {
        return;
    }
    m_known[item.key] = item;
    m_news.emplace_back(
        KeyChanged {.key = item.key, .value = item.value, .revision = item.revision});
}

void RegistryFollower::forget(const std::string &key, uint64_t revision, model::TimePoint now)
{
    const auto known = m_known.find(key);
    if (known == m_known.end() || known->second.revision > revision) {
        return;
    }
    if (now < m_graceUntil) {
        m_lapsed.emplace(key, m_graceUntil);
        return;
    }
    m_known.erase(known);
    m_lapsed.erase(key);
    m_news.emplace_back(KeyChanged {.key = key, .value = std::nullopt, .revision = revision});
}

void RegistryFollower::onError(CallError error, model::TimePoint now)
{
    m_isCalling = false;
    if (error == CallError::Compacted) {
        m_isListing = true;
        m_afterKey.clear();
        m_nextCall = now;
        return;
    }
    ++m_failures;
    if (m_failures == failuresOfOutage) {
        m_news.emplace_back(Reachable {.isReachable = false});
    }
    const model::Duration pause
        = std::min(m_options.longestPause,
                   m_options.firstPause * (1U << std::min(m_failures - 1, maxDoublings)));
    // Spread, so that daemons that were cut off together do not come back together.
    m_nextCall = now + model::scaled(pause, 0.5 + 0.5 * m_random.unit());
}

std::vector<FollowerNews> RegistryFollower::takeNews(model::TimePoint now)
{
    std::vector<std::string> gone;
    for (const auto &[key, goneAt] : m_lapsed) {
        if (now >= goneAt) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        m_lapsed.erase(key);
        m_known.erase(key);
        m_news.emplace_back(KeyChanged {.key = key, .value = std::nullopt, .revision = m_revision});
    }
    return std::exchange(m_news, {});
}

} // namespace citronpick::registry
