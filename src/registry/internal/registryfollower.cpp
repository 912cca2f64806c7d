#include "registry/registryfollower.h"

#include <algorithm>

namespace citronpick::registry
{

namespace
{

//! Long-poll timeout of a watch that is answered immediately, with or without changes.
constexpr model::Duration shortestWatch = model::milliseconds(1);
//! More removals than a registry has entries; older ones are of use to no other daemon.
constexpr size_t maxRemovals = 2000;
//! Consecutive failures after which the registry counts as unreachable. A single failure may only
//! mean that a connection was closed.
constexpr uint32_t outageFailureCount = 2;
//! If the registry does not keep so many revisions, this part of them is tried next.
constexpr uint64_t pastDivisor = 4;

} // namespace

RegistryFollower::RegistryFollower(FollowerOptions options, uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_source(m_options.source)
    , m_history(maxRemovals)
    , m_isListingStale(m_options.allowsStaleStart)
    , m_pastRevisions(m_options.pastRevisions)
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
                    model::Duration::zero(), m_options.readTimeout, now);
    }
    if (m_pastRevisions > 0 && m_isSynchronized && isRegistryDue) {
        m_isReadingPast = true;
        return take(
            WatchChanges {.afterRevision = m_revision - std::min(m_revision, m_pastRevisions),
                          .timeout = shortestWatch},
            shortestWatch, m_options.readTimeout, now);
    }
    if (now < m_watchDueAt) {
        return std::nullopt;
    }
    if (m_isConfirming) {
        return isRegistryDue ? std::optional(probeRegistry(now)) : std::nullopt;
    }
    if (const std::optional<ReaderCandidate> reader = m_source.choose(now, isRegistryDue)) {
        setSource(reader->id);
        // Two long polls that are lost one after the other would take longer than a change may.
        const bool hasFailed = m_source.hasPeerFailed() || m_failures > 0;
        const model::Duration timeout = hasFailed ? shortestWatch : m_options.sharedWatchTimeout;
        const FollowerCall call = take(WatchPeer {.reader = reader->id,
                                                  .afterRevision = m_revision,
                                                  .timeout = timeout,
                                                  .margin = m_options.readerMargin},
                                       timeout, model::Duration::zero(), now);
        // The sender of the call knows when a reader is lost.
        m_callDeadline.reset();
        return call;
    }
    if (!isRegistryDue) {
        return std::nullopt;
    }
    setSource({});
    // A registry that has failed is asked for an immediate answer: a long poll that is lost before
    // the registry returns would hide its return.
    return m_failures > 0 ? probeRegistry(now) : watchRegistry(now);
}

FollowerCall RegistryFollower::watchRegistry(model::TimePoint now)
{
    // One margin to notice that the watch was lost, one for the answer of the call that follows.
    const model::Duration timeout
        = m_source.isReader() || m_source.hasReaders()
              ? m_options.sharedWatchTimeout
              : std::max(m_options.maxSilence - 2 * m_options.answerMargin, m_options.answerMargin);
    return take(WatchChanges {.afterRevision = m_revision, .timeout = timeout}, timeout,
                m_options.answerMargin, now);
}

FollowerCall RegistryFollower::probeRegistry(model::TimePoint now)
{
    return take(WatchChanges {.afterRevision = m_revision, .timeout = shortestWatch}, shortestWatch,
                m_options.readTimeout, now);
}

FollowerCall RegistryFollower::take(FollowerCall call, model::Duration timeout,
                                    model::Duration margin, model::TimePoint now)
{
    m_isCallPending = true;
    m_callStartedAt = now;
    m_callTimeout = timeout;
    m_callDeadline = now + timeout + margin;
    m_answeredAt = m_answeredAt.value_or(now);
    return call;
}

void RegistryFollower::endCall()
{
    m_isCallPending = false;
    m_callDeadline.reset();
}

void RegistryFollower::onProgress(model::TimePoint now)
{
    if (m_callDeadline) {
        m_callDeadline = std::max(*m_callDeadline, now + m_options.readTimeout);
    }
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
    std::optional<model::TimePoint> next = m_callDeadline;
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
    endCall();
    m_registryDueAt = now;
    m_source.onRegistryCallEnded();
    recordReachable(now);
}

void RegistryFollower::recordReachable(model::TimePoint now)
{
    const bool isOutageOver = m_failures >= outageFailureCount
                              || (m_failures > 0 && now - m_lostSince >= m_options.minOutage);
    if (isOutageOver) {
        const model::Duration longest
            = m_source.hasReaders() ? m_options.maxSharedRecoveryGrace : m_options.maxRecoveryGrace;
        m_graceEndsAt = std::min(now + m_options.recoveryGracePeriod, m_mayAnswerSince + longest);
    }
    if (m_failures >= outageFailureCount) {
        m_notifications.emplace_back(ReachabilityChanged {.isReachable = true});
    }
    m_failures = 0;
    m_answeredAt = now;
}

void RegistryFollower::onPage(const RegistryPage &page, model::TimePoint now)
{
    recordAnswer(now);
    if (std::exchange(m_isPendingPageObsolete, false)) {
        return;
    }
    const bool isFirst = m_afterKey.empty();
    // Revisions of exact listings rise, unless the registry has been restored.
    const bool hasGoneBack = isFirst && !m_isListingStale && page.revision < m_revision;
    switch (compareEra(page.era)) {
    case EraOrder::Earlier:
        restartListing(now);
        return;
    case EraOrder::Later:
        beginEra(page.era, now);
        if (!isFirst) {
            restartListing(now);
            return;
        }
        break;
    case EraOrder::Same:
        if (hasGoneBack) {
            beginEra(page.era, now);
        }
        break;
    }
    m_era = page.era == 0 ? m_era : page.era;
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
    m_isSynchronized && !m_isRestored ? m_history.skip(before, m_revision)
                                      : m_history.start(m_revision);
    m_isRestored = false;
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
void RegistryFollower::onPeerListing(const PeerListing &listing, model::TimePoint now)
{
    const EraOrder order = compareEra(listing.page.era);
    if (order == EraOrder::Later) {
        beginEra(listing.page.era, now);
    }
    if (order == EraOrder::Earlier || listing.page.revision <= m_revision) {
        return;
    }
    m_era = listing.page.era == 0 ? m_era : listing.page.era;
    m_graceEndsAt = std::max(m_graceEndsAt, now + listing.graceLeft);
    m_listedKeys.clear();
    for (const RegistryItem &item : listing.page.items) {
        m_listedKeys.insert(item.key);
        applyItem(item, now);
    }
    removeUnlisted(listing.page.revision, now);
    for (const std::string &key : listing.missingKeys) {
        removeKey(key, listing.page.revision, now);
    }
    m_isSynchronized && !m_isRestored ? m_history.skip(m_revision, listing.page.revision)
                                      : m_history.start(listing.page.revision);
    m_isRestored = false;
    m_revision = listing.page.revision;
    m_isPendingPageObsolete = m_isCallPending && m_isListing;
    m_isListingStale = false;
    m_isConfirming = false;
    m_isUnverified = false;
    m_isListing = false;
    m_afterKey.clear();
    markSynchronized();
}

void RegistryFollower::onChanges(const RegistryChanges &changes, model::TimePoint now)
{
    recordAnswer(now);
    const EraOrder order = compareEra(changes.era);
    if (order != EraOrder::Same) {
        m_isReadingPast = false;
        if (order == EraOrder::Later) {
            beginEra(changes.era, now);
        }
        restartListing(now);
        return;
    }
    m_era = changes.era == 0 ? m_era : changes.era;
    applyChanges(std::exchange(m_isReadingPast, false) ? withoutPast(changes) : changes, now);
    m_completeAt = now;
    m_compactions = 0;
    if (std::exchange(m_isConfirming, false)) {
        m_history.start(m_revision);
        m_verifyAt = now + m_options.verificationDelay;
        markSynchronized();
    }
}

void RegistryFollower::onPeerChanges(const PeerChanges &changes, model::TimePoint now)
{
    endCall();
    const EraOrder order = compareEra(changes.changes.era);
    if (order == EraOrder::Earlier) {
        m_source.onPeerFailed(m_reader, PeerError::Outdated, now);
        return;
    }
    m_source.onPeerAnswered();
    if (order == EraOrder::Later) {
        beginEra(changes.changes.era, now);
        restartListing(now);
        return;
    }
    // The content is current although this daemon itself may not reach the registry.
    recordReachable(now);
    m_graceEndsAt = std::max(m_graceEndsAt, now + changes.graceLeft);
    applyChanges(changes.changes, now);
    compareContent(changes, now);
}

void RegistryFollower::onPeerError(PeerError error, model::TimePoint now)
{
    endCall();
    m_source.onPeerFailed(m_reader, error, now);
}

RegistryChanges RegistryFollower::withoutPast(RegistryChanges changes)
{
    m_pastRevisions = 0;
    const auto firstNew
        = std::find_if(changes.items.begin(), changes.items.end(),
                       [this](const RegistryItem &item) { return item.revision > m_revision; });
    m_notifications.emplace_back(PastChanges {.items = {changes.items.begin(), firstNew}});
    changes.items.erase(changes.items.begin(), firstNew);
    return changes;
}

bool RegistryFollower::handlePastError(CallError error)
{
    if (!std::exchange(m_isReadingPast, false)) {
        return false;
    }
    const bool isCompacted = error == CallError::Compacted;
    m_pastRevisions = isCompacted ? m_pastRevisions / pastDivisor : 0;
    if (m_pastRevisions == 0) {
        m_notifications.emplace_back(PastChanges {});
    }
    return isCompacted || error == CallError::TooManyChanges;
}

void RegistryFollower::onError(CallError error, model::TimePoint now)
{
    endCall();
    m_source.onRegistryCallEnded();
    if (handlePastError(error)) {
        return;
    }
    const bool wasPageObsolete = std::exchange(m_isPendingPageObsolete, false);
    const bool needsListing = error == CallError::Compacted || error == CallError::TooManyChanges;
    if (needsListing && !wasPageObsolete) {
        restartListing(now);
        return;
    }
    // A call that outlasted its timeout got no answer from its start on, and the registry may have
    // returned at any time after that.
    const bool wasSilent = now - m_callStartedAt > m_callTimeout;
    m_mayAnswerSince = wasSilent ? m_callStartedAt : now;
    if (m_failures == 0) {
        m_lostSince = m_mayAnswerSince;
    }
    ++m_failures;
    if (m_failures == outageFailureCount) {
        m_notifications.emplace_back(ReachabilityChanged {.isReachable = false});
    }
    scheduleRetry(error, now);
}

bool RegistryFollower::isCurrentReader(model::TimePoint now) const
{
    return m_source.isReader() && m_isSynchronized && !m_isRestored
           && m_failures < outageFailureCount && now - m_completeAt <= m_options.maxReaderAge;
}

} // namespace citronpick::registry
