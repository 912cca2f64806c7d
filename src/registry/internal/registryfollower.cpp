#include "registry/registryfollower.h"

#include <algorithm>

#include "model/hash.h"

namespace citronpick::registry
{

namespace
{

constexpr uint32_t maxBackoffDoublings = 3;
//! More removals than a registry has entries; older ones are of use to no other daemon.
constexpr size_t maxRemovals = 2000;
//! Consecutive failures after which the registry counts as unreachable. A single failure may only
//! mean that a connection was closed.
constexpr uint32_t outageFailureCount = 2;

} // namespace

RegistryFollower::RegistryFollower(FollowerOptions options, uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_source(m_options.source)
    , m_history(maxRemovals)
    , m_isListingStale(m_options.allowsStaleStart)
{
}

void RegistryFollower::setDaemons(const std::vector<ReaderCandidate> &daemons)
{
    m_source.setDaemons(daemons);
}

// Watches bring changes from the listing's revision on, so content from an outdated copy is
// complete afterwards. A copy that claimed a later revision than its content would leave errors
// that no watch mends; a comparison with a reader finds them. A daemon without a reader lists
// again.
bool RegistryFollower::needsVerification(model::TimePoint now)
{
    if (!m_isUnverified || !m_isSynchronized || m_isListing) {
        return false;
    }
    if (m_source.hasReaders()) {
        m_verifyAt = now + m_options.verificationDelay;
        return false;
    }
    return now >= m_verifyAt;
}

std::optional<FollowerCall> RegistryFollower::takeCall(model::TimePoint now)
{
    if (!m_isCallPending && needsVerification(now)) {
        m_isListing = true;
        m_afterKey.clear();
    }
    const bool isRegistryDue = now >= m_registryDueAt;
    if (m_isCallPending || (m_isListing && !isRegistryDue)) {
        return std::nullopt;
    }
    if (m_isListing) {
        return take(ReadPage {.afterKey = m_afterKey, .allowsStale = m_isListingStale},
                    model::Duration::zero(), now);
    }
    if (now < m_watchDueAt) {
        return std::nullopt;
    }
    if (m_isConfirming) {
        constexpr model::Duration shortest = model::milliseconds(1);
        return isRegistryDue ? std::optional(take(
                   WatchChanges {.afterRevision = m_revision, .timeout = shortest}, shortest, now))
                             : std::nullopt;
    }
    if (const std::optional<ReaderCandidate> reader = m_source.choose(now, isRegistryDue)) {
        setSource(reader->id);
        return take(WatchPeer {.reader = reader->id,
                               .afterRevision = m_revision,
                               .timeout = m_options.sharedWatchTimeout},
                    m_options.sharedWatchTimeout, now);
    }
    if (!isRegistryDue) {
        return std::nullopt;
    }
    setSource({});
    const model::Duration timeout
        = m_source.isReader() ? m_options.sharedWatchTimeout : m_options.watchTimeout;
    return take(WatchChanges {.afterRevision = m_revision, .timeout = timeout}, timeout, now);
}

FollowerCall RegistryFollower::take(FollowerCall call, model::Duration timeout,
                                    model::TimePoint now)
{
    m_isCallPending = true;
    m_callStartedAt = now;
    m_callTimeout = timeout;
    return call;
}

void RegistryFollower::setSource(const model::DaemonId &reader)
{
    if (reader != m_reader) {
        m_reader = reader;
        m_notifications.emplace_back(SourceChanged {.reader = reader});
    }
}

std::optional<model::TimePoint> RegistryFollower::nextRun() const
{
    std::optional<model::TimePoint> next;
    if (!m_isCallPending) {
        const bool asksReader
            = !m_isListing && !m_isConfirming && m_source.choose(m_watchDueAt, false);
        next = m_isListing  ? m_registryDueAt
               : asksReader ? m_watchDueAt
                            : std::max(m_watchDueAt, m_registryDueAt);
    }
    for (const auto &[key, removeAt] : m_pendingRemovals) {
        next = next ? std::min(*next, removeAt) : removeAt;
    }
    return next;
}

void RegistryFollower::recordAnswer(model::TimePoint now)
{
    m_isCallPending = false;
    m_registryDueAt = now;
    m_source.onRegistryCallEnded();
    recordReachable(now);
}

void RegistryFollower::recordReachable(model::TimePoint now)
{
    const bool isOutageOver = m_failures >= outageFailureCount
                              || (m_failures > 0 && now - m_lostSince >= m_options.minOutage);
    if (isOutageOver) {
        m_graceEndsAt = now + m_options.recoveryGracePeriod;
    }
    if (m_failures >= outageFailureCount) {
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
        m_listedAt = now;
    }
    // Each page may come from another copy.
    m_listRevision = std::min(m_listRevision, page.revision);
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
    finishListing(now);
}

void RegistryFollower::finishListing(model::TimePoint now)
{
    // The pages have different revisions, so the watch starts at the revision of the first page and
    // repeats what changed while the others were read.
    m_completeAt = m_listedAt;
    const uint64_t before = m_revision;
    m_revision = m_listRevision;
    removeUnlisted(m_listRevision, now);
    m_isUnverified = std::exchange(m_isListingStale, false);
    if (m_isUnverified) {
        m_isConfirming = true;
        return;
    }
    m_isSynchronized ? m_history.skip(before, m_revision) : m_history.start(m_revision);
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
    m_isSynchronized ? m_history.skip(m_revision, listing.revision)
                     : m_history.start(listing.revision);
    m_revision = listing.revision;
    m_isPendingPageObsolete = m_isCallPending && m_isListing;
    m_isListingStale = false;
    m_isConfirming = false;
    m_isUnverified = false;
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
    applyChanges(changes, now);
    m_completeAt = now;
    m_compactions = 0;
    if (std::exchange(m_isConfirming, false)) {
        m_history.start(m_revision);
        m_verifyAt = now + m_options.verificationDelay;
        markSynchronized();
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

void RegistryFollower::onPeerChanges(const PeerChanges &changes, model::TimePoint now)
{
    m_isCallPending = false;
    m_source.onPeerAnswered();
    // The content is current although this daemon itself may not reach the registry.
    recordReachable(now);
    m_graceEndsAt = std::max(m_graceEndsAt, now + changes.graceLeft);
    applyChanges(changes.changes, now);
    compareContent(changes, now);
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

void RegistryFollower::onPeerError(PeerError error, model::TimePoint now)
{
    m_isCallPending = false;
    m_source.onPeerFailed(m_reader, error, now);
}

bool RegistryFollower::isCurrentReader(model::TimePoint now) const
{
    return m_source.isReader() && m_isSynchronized && m_failures < outageFailureCount
           && now - m_completeAt <= m_options.maxReaderAge;
}

// A removal that is not believed yet is passed on at once, with the time that is left: the other
// daemon has to wait as well.
std::optional<PeerChanges> RegistryFollower::changesAfter(uint64_t revision,
                                                          model::TimePoint now) const
{
    if (!m_history.covers(revision)) {
        return std::nullopt;
    }
    PeerChanges result {.changes = {.revision = m_revision},
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
    m_source.onRegistryCallEnded();
    const bool wasPageObsolete = std::exchange(m_isPendingPageObsolete, false);
    if (error == CallError::Compacted && !wasPageObsolete) {
        restartListing(now);
        return;
    }
    if (m_failures == 0) {
        // A call that was held for longer than it may be got no answer all that time.
        const bool wasSilent = now - m_callStartedAt > m_callTimeout;
        m_lostSince = wasSilent ? m_callStartedAt : now;
    }
    ++m_failures;
    if (m_failures == outageFailureCount) {
        m_notifications.emplace_back(ReachabilityChanged {.isReachable = false});
    }
    const bool hasReaders = m_source.hasReaders();
    const model::Duration initial
        = hasReaders ? m_options.initialSharedBackoff : m_options.initialBackoff;
    const model::Duration backoff
        = std::min(hasReaders ? m_options.maxSharedBackoff : m_options.maxBackoff,
                   initial * (1U << std::min(m_failures - 1, maxBackoffDoublings)));
    // Jitter, so that daemons that lost the registry at the same time do not reconnect at once.
    m_registryDueAt = now + model::scaled(backoff, 0.5 + 0.5 * m_random.uniformDouble());
}

// A registry that drops its history answers the watches of all daemons at once, and each listing
// takes several calls. A registry that keeps dropping it is asked no more often than a failing one.
void RegistryFollower::restartListing(model::TimePoint now)
{
    m_isListing = true;
    m_isListingStale = false;
    m_isConfirming = false;
    m_afterKey.clear();
    ++m_compactions;
    const double share = m_random.uniformDouble();
    // There are few readers, and the other daemons wait for them.
    const model::Duration spread
        = m_source.isReader() ? m_options.initialBackoff : m_options.relistSpread;
    m_registryDueAt
        = now
          + (m_compactions == 1 ? model::scaled(spread, share)
                                : model::scaled(m_options.maxBackoff, 0.5 + 0.5 * share));
}

std::vector<FollowerUpdate> RegistryFollower::takeUpdates(model::TimePoint now)
{
    if (m_isListingStale || m_isConfirming) {
        // Outdated content is not acted on.
        return {};
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
