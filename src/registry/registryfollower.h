#ifndef CITRONPICK_REGISTRY_REGISTRYFOLLOWER_H
#define CITRONPICK_REGISTRY_REGISTRYFOLLOWER_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "model/random.h"
#include "model/time.h"
#include "registry/changehistory.h"
#include "registry/changesource.h"
#include "registry/registryitem.h"

namespace citronpick::registry
{

struct FollowerOptions {
    std::string prefix; //!< Only keys that start with this prefix are followed.
    //! A watch whose answer was lost is replaced, and the next call answered, within this time if
    //! the registry answers by then.
    model::Duration maxSilence = model::milliseconds(2300);
    //! A watch without an answer this long after its long-poll timeout has been lost.
    model::Duration answerMargin = model::milliseconds(125);
    //! Timeout of a call that the registry answers immediately, and the time in which more of an
    //! answer has to arrive that has begun.
    model::Duration readTimeout = model::milliseconds(900);
    //! Long-poll timeout in a fleet with readers. Changes reach all daemons late by at most about
    //! three times this when a reader is lost.
    model::Duration sharedWatchTimeout = model::milliseconds(1000);
    //! A reader whose content was last known to be complete before that has no current content.
    //! Covers a watch and the call that replaces it if it was lost.
    model::Duration maxReaderAge = model::milliseconds(1900);
    //! Delay before the next watch after one that returned changes, so that changes in quick
    //! succession are fetched with one call.
    model::Duration coalescingDelay = model::milliseconds(250);
    //! Delay after the first failed call; doubles with each further failure up to maxBackoff.
    model::Duration initialBackoff = model::milliseconds(100);
    model::Duration maxBackoff = model::milliseconds(800);
    //! Both for a daemon that has readers: their calls tell when the registry is back. Backoffs are
    //! shorter where maxSilence leaves less beside a lost call to the registry and one to a reader.
    model::Duration initialSharedBackoff = model::milliseconds(400);
    model::Duration maxSharedBackoff = model::milliseconds(3200);
    //! A reader whose answer has not begun this long after its long-poll timeout is lost.
    model::Duration readerMargin = model::milliseconds(500);
    //! Daemons whose revision was compacted at the same time list again spread over this period.
    model::Duration relistSpread = model::milliseconds(500);
    //! No key expires during a shorter outage.
    model::Duration minOutage = model::seconds(2);
    //! Keys that expired during a registry outage are kept for this long after it ends, so that
    //! their owners can write them again.
    model::Duration recoveryGracePeriod = model::milliseconds(2200);
    //! Keys are not kept for longer than this after the registry may have returned: a later removal
    //! can be that of an upstream that leaves, which must get no more requests.
    model::Duration maxRecoveryGrace = model::milliseconds(4500);
    //! The same while there are readers; their backoff makes the return less certain.
    model::Duration maxSharedRecoveryGrace = model::milliseconds(6000);
    //! Content that differs from a reader's is listed again at most this often.
    model::Duration mismatchInterval = model::seconds(10);
    //! Whether the first listing may be read from outdated copies of the registry, which costs
    //! less.
    bool allowsStaleStart = false;
    //! Content from outdated copies that no reader has confirmed is listed again after this time.
    //! Daemons that start together know their readers after some ten seconds.
    model::Duration verificationDelay = model::seconds(20);
    //! Revisions before the first listing whose changes are read as well, to learn what was listed
    //! shortly before; zero for none. Fewer if the registry no longer keeps as many.
    uint64_t pastRevisions = 0;
    ChangeSourceOptions source;
};

//! Read the page of the listing that follows \a afterKey; an empty key reads the first page.
struct ReadPage {
    std::string afterKey;
    bool allowsStale = false; //!< An outdated copy of the registry may answer.
};

//! Watch for changes after a revision, for at most \a timeout.
struct WatchChanges {
    uint64_t afterRevision = 0;
    model::Duration timeout {};
};

//! Ask another daemon that reads the registry for changes after a revision.
struct WatchPeer {
    model::DaemonId reader;
    uint64_t afterRevision = 0;
    model::Duration timeout {};
    model::Duration margin {}; //!< Time behind \a timeout in which the answer has to begin.
};

using FollowerCall = std::variant<ReadPage, WatchChanges, WatchPeer>;

//! Why a call to the registry failed.
enum class CallError {
    Refused, //!< The registry answered with an error status.
    Unreachable, //!< The connection failed, or the answer could not be decoded.
    TimedOut, //!< No answer by callDeadline().
    Compacted, //!< The registry no longer keeps the requested revisions.
    TooManyChanges, //!< The answer to a watch is larger than a listing would be.
};

//! A key was set to a value, or removed when \a value is empty.
struct KeyChanged {
    std::string key;
    std::optional<std::string> value;
    uint64_t revision = 0;
};

//! The first full listing has been reported.
struct Synchronized {
};

//! The registry became reachable or unreachable.
struct ReachabilityChanged {
    bool isReachable = false;
};

//! Changes now come from another daemon, or from the registry if \a reader is empty.
struct SourceChanged {
    model::DaemonId reader;
};

//! The content differs from that of a reader at the same revision and is listed again.
struct ContentMismatch {
    model::DaemonId reader;
};

//! The registry was restored from an older copy; its content is listed again.
struct RegistryRestored {
    uint64_t era = 0; //!< Zero if unknown.
    uint64_t revisionBefore = 0;
};

//! A key is missing after an outage and counts as removed only after \a delay.
struct RemovalDelayed {
    std::string key;
    uint64_t revision = 0;
    model::Duration delay {};
};

//! Changes from before the first listing that the registry still keeps, in order; empty if they
//! can't be read. They are not reported as KeyChanged.
struct PastChanges {
    std::vector<RegistryItem> items;
};

using FollowerUpdate
    = std::variant<KeyChanged, PastChanges, Synchronized, ReachabilityChanged, SourceChanged,
                   ContentMismatch, RegistryRestored, RemovalDelayed>;

/*!
 * Mirrors the keys under one prefix of a registry with read-only access: lists them once, then
 * watches for changes, either at the registry or at a daemon that reads it for others.
 *
 * Revisions are comparable within an era only: a registry that was restored from an older copy
 * gives them out again. A new era, or a revision that has gone back, makes the follower list again.
 *
 * At most one call is pending at any time. A key that is missing after a registry outage is
 * reported as removed only after FollowerOptions::recoveryGracePeriod, so that its owner can write
 * it again.
 */
class RegistryFollower
{
public:
    RegistryFollower(FollowerOptions options, uint64_t seed);

    //! Sets the daemons that accept requests, including this one if it does.
    void setDaemons(const std::vector<ReaderCandidate> &daemons);

    //! The next call to make, if one is due. It is pending until onPage(), onChanges(), onError(),
    //! onPeerChanges() or onPeerError().
    std::optional<FollowerCall> takeCall(model::TimePoint now);
    //! When takeCall() or takeUpdates() will next return something, or the pending call is lost, if
    //! no answer arrives before.
    std::optional<model::TimePoint> nextRun() const;
    //! When the pending call to the registry is to be abandoned with CallError::TimedOut.
    std::optional<model::TimePoint> callDeadline() const
    {
        return m_callDeadline;
    }
    //! A part of the pending call's answer has arrived.
    void onProgress(model::TimePoint now);

    void onPage(const RegistryPage &page, model::TimePoint now);
    void onChanges(const RegistryChanges &changes, model::TimePoint now);
    void onError(CallError error, model::TimePoint now);
    void onPeerChanges(const PeerChanges &changes, model::TimePoint now);
    void onPeerError(PeerError error, model::TimePoint now);

    //! Applies the listing() of another follower of the same prefix; ignored unless its revision is
    //! newer than revision().
    void onPeerListing(const PeerListing &listing, model::TimePoint now);
    //! All keys with a value, as of revision(). Serves followers that cannot reach the registry.
    PeerListing listing(model::TimePoint now) const;

    //! Whether other daemons may rely on this one: it watches the registry for them and was
    //! answered recently.
    bool isCurrentReader(model::TimePoint now) const;
    //! What changed after \a revision; nothing if that is not fully known.
    std::optional<PeerChanges> changesAfter(uint64_t revision, model::TimePoint now) const;

    std::vector<FollowerUpdate> takeUpdates(model::TimePoint now);

    bool isSynchronized() const
    {
        return m_isSynchronized;
    }
    //! False from the first failed call on, unless a reader has answered since; a
    //! ReachabilityChanged notification needs two failures in a row.
    bool isReachable() const
    {
        return m_failures == 0;
    }
    uint64_t revision() const
    {
        return m_revision;
    }
    //! Consecutive failed calls to the registry.
    uint32_t failures() const
    {
        return m_failures;
    }
    //! Since the last answer of the registry or a reader, also one without changes.
    model::Duration silence(model::TimePoint now) const
    {
        return now - m_answeredAt.value_or(now);
    }
    //! Since the pending or last call was made.
    model::Duration callAge(model::TimePoint now) const
    {
        return now - m_callStartedAt;
    }
    //! Long-poll timeout of that call; zero for a read.
    model::Duration callTimeout() const
    {
        return m_callTimeout;
    }

private:
    //! How the era of some content relates to that of this follower's.
    enum class EraOrder {
        Same, //!< Also if one of them is unknown.
        Earlier,
        Later,
    };

    EraOrder compareEra(uint64_t era) const;
    //! The registry was restored from an older copy: nothing is known to be current.
    void beginEra(uint64_t era, model::TimePoint now);
    void recordAnswer(model::TimePoint now);
    void recordReachable(model::TimePoint now);
    void applyChanges(const RegistryChanges &changes, model::TimePoint now);
    void setSource(const model::DaemonId &reader);
    uint64_t contentDigest() const;
    void compareContent(const PeerChanges &changes, model::TimePoint now);
    FollowerCall take(FollowerCall call, model::Duration timeout, model::Duration margin,
                      model::TimePoint now);
    FollowerCall watchRegistry(model::TimePoint now);
    FollowerCall probeRegistry(model::TimePoint now);
    void endCall();
    //! Reports the changes up to the current revision as past and returns the others.
    RegistryChanges withoutPast(RegistryChanges changes);
    //! Returns whether the failed call was one for past changes, which needs no other treatment.
    bool handlePastError(CallError error);
    void scheduleRetry(CallError error, model::TimePoint now);
    model::Duration longestBackoff() const;
    void applyItem(const RegistryItem &item, model::TimePoint now);
    void removeUnlisted(uint64_t revision, model::TimePoint now);
    void markSynchronized();
    void restartListing(model::TimePoint now);
    void finishListing(model::TimePoint now);
    bool needsVerification(model::TimePoint now);
    void removeKey(const std::string &key, uint64_t revision, model::TimePoint now);

    FollowerOptions m_options;
    model::Random m_random;
    ChangeSource m_source;
    ChangeHistory m_history;
    model::DaemonId m_reader; //!< The source of the last call; empty for the registry.
    bool m_isListing = true;
    bool m_isCallPending = false;
    //! The pending call reads a page of a listing that a peer's listing has replaced.
    bool m_isPendingPageObsolete = false;
    bool m_isSynchronized = false;
    //! The current listing may be outdated, in which case a short watch has to complete it.
    bool m_isListingStale = false;
    bool m_isConfirming = false; //!< That watch is next or pending.
    uint64_t m_pastRevisions = 0; //!< Still to be read; see FollowerOptions::pastRevisions.
    bool m_isReadingPast = false; //!< The pending call reads them.
    //! The content comes from an outdated listing, and no reader has confirmed it.
    bool m_isUnverified = false;
    model::TimePoint m_verifyAt;
    std::string m_afterKey;
    uint64_t m_era = 0; //!< Of m_revision; zero if unknown.
    bool m_isRestored = false; //!< A new era has begun and is not listed yet.
    uint64_t m_revision = 0;
    uint64_t m_listRevision = 0; //!< Revision of the first page of the current listing.
    std::set<std::string> m_listedKeys; //!< Keys seen in the current listing.
    std::map<std::string, RegistryItem> m_items; //!< All keys with a value.
    //! Missing keys and when each is removed.
    std::map<std::string, model::TimePoint> m_pendingRemovals;
    uint32_t m_failures = 0;
    uint32_t m_compactions = 0; //!< Compacted answers since the last successful watch.
    model::TimePoint m_nextComparisonAt;
    model::TimePoint m_registryDueAt; //!< No call to the registry is made before.
    model::TimePoint m_watchDueAt; //!< No watch is made before, wherever it goes.
    model::TimePoint m_completeAt; //!< When the content was last known to be complete.
    model::TimePoint m_listedAt; //!< When the first page of the current listing was read.
    model::TimePoint m_callStartedAt;
    model::Duration m_callTimeout {}; //!< For how long the registry may hold the pending call.
    std::optional<model::TimePoint> m_callDeadline; //!< Empty without a pending registry call.
    std::optional<model::TimePoint> m_answeredAt; //!< Last answer of any source.
    model::TimePoint m_lostSince; //!< Since when the registry does not answer.
    model::TimePoint m_mayAnswerSince; //!< Until when the registry surely did not answer.
    model::TimePoint m_graceEndsAt; //!< Missing keys are kept until then.
    std::vector<FollowerUpdate> m_notifications;
};

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_REGISTRYFOLLOWER_H
