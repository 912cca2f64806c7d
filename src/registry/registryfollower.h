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
#include "registry/registryitem.h"

namespace citronpick::registry
{

struct FollowerOptions {
    std::string prefix; //!< Only keys that start with this prefix are followed.
    //! Long-poll timeout of one watch call. A connection that stopped responding isn't detected
    //! before this timeout expires.
    model::Duration watchTimeout = model::milliseconds(2000);
    //! Delay before the next watch after one that returned changes, so that changes in quick
    //! succession are fetched with one call.
    model::Duration coalescingDelay = model::milliseconds(250);
    //! Delay after the first failed call; doubles with each further failure up to maxBackoff.
    model::Duration initialBackoff = model::milliseconds(100);
    model::Duration maxBackoff = model::milliseconds(800);
    //! Daemons whose revision was compacted at the same time list again spread over this period.
    model::Duration relistSpread = model::milliseconds(500);
    //! Keys that expired during a registry outage are kept for this long after it ends, so that
    //! their owners can write them again.
    model::Duration recoveryGracePeriod = model::milliseconds(2200);
};

//! Read the page of the listing that follows \a afterKey; an empty key reads the first page.
struct ReadPage {
    std::string afterKey;
};

//! Watch for changes after a revision, for at most \a timeout.
struct WatchChanges {
    uint64_t afterRevision = 0;
    model::Duration timeout {};
};

using FollowerCall = std::variant<ReadPage, WatchChanges>;

//! Why a call to the registry failed.
enum class CallError {
    Refused, //!< The registry answered with an error status.
    Unreachable, //!< No answer, or one that could not be decoded.
    Compacted, //!< The registry no longer keeps the requested revisions.
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

using FollowerUpdate = std::variant<KeyChanged, Synchronized, ReachabilityChanged>;

/*!
 * Mirrors the keys under one prefix of a registry with read-only access: lists them once, then
 * watches for changes.
 *
 * At most one call is pending at any time. A key that is missing after a registry outage is
 * reported as removed only after FollowerOptions::recoveryGracePeriod, so that its owner can write
 * it again.
 */
class RegistryFollower
{
public:
    RegistryFollower(FollowerOptions options, uint64_t seed);

    //! The next call to make, if one is due. It is pending until onPage(), onChanges() or
    //! onError().
    std::optional<FollowerCall> takeCall(model::TimePoint now);
    //! When takeCall() or takeUpdates() will next return something if no answer arrives before.
    std::optional<model::TimePoint> nextRun() const;

    void onPage(const RegistryPage &page, model::TimePoint now);
    void onChanges(const RegistryChanges &changes, model::TimePoint now);
    void onError(CallError error, model::TimePoint now);

    //! Applies the listing() of another follower of the same prefix; ignored unless its revision is
    //! newer than revision().
    void onPeerListing(const RegistryPage &listing, model::TimePoint now);
    //! All keys with a value, as of revision(). Serves followers that cannot reach the registry.
    RegistryPage listing() const;

    std::vector<FollowerUpdate> takeUpdates(model::TimePoint now);

    bool isSynchronized() const
    {
        return m_isSynchronized;
    }
    //! False from the first failed call on; a ReachabilityChanged notification needs two in a row.
    bool isReachable() const
    {
        return m_failures == 0;
    }
    uint64_t revision() const
    {
        return m_revision;
    }
    //! When the registry last answered a call successfully.
    model::TimePoint answeredAt() const
    {
        return m_answeredAt;
    }

private:
    void recordAnswer(model::TimePoint now);
    void applyItem(const RegistryItem &item, model::TimePoint now);
    void removeUnlisted(uint64_t revision, model::TimePoint now);
    void markSynchronized();
    void restartListing(model::TimePoint now);
    void removeKey(const std::string &key, uint64_t revision, model::TimePoint now);

    FollowerOptions m_options;
    model::Random m_random;
    bool m_isListing = true;
    bool m_isCallPending = false;
    //! The pending call reads a page of a listing that a peer's listing has replaced.
    bool m_isPendingPageObsolete = false;
    bool m_isSynchronized = false;
    std::string m_afterKey;
    uint64_t m_revision = 0;
    uint64_t m_listRevision = 0; //!< Revision of the first page of the current listing.
    std::set<std::string> m_listedKeys; //!< Keys seen in the current listing.
    std::map<std::string, RegistryItem> m_items; //!< All keys with a value.
    //! Missing keys and when each is removed.
    std::map<std::string, model::TimePoint> m_pendingRemovals;
    uint32_t m_failures = 0;
    uint32_t m_compactions = 0; //!< Compacted answers since the last successful watch.
    model::TimePoint m_nextCallAt;
    model::TimePoint m_answeredAt;
    model::TimePoint m_graceEndsAt; //!< Missing keys are kept until then.
    std::vector<FollowerUpdate> m_notifications;
};

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_REGISTRYFOLLOWER_H
