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
    std::string prefix; //!< Of the keys that are followed.
    //! How long one watch waits. A connection that went silent is found no sooner than this.
    model::Duration watchWait = model::milliseconds(2000);
    //! Pause after changes, so that several that come close together cost one call.
    model::Duration changePause = model::milliseconds(250);
    //! First pause after a failure; doubles up to the longest.
    model::Duration firstPause = model::milliseconds(100);
    model::Duration longestPause = model::milliseconds(800);
    //! After an outage, entries that lapsed meanwhile come back within this time.
    model::Duration returnGrace = model::milliseconds(2200);
};

//! Read the page that begins after a key; empty for the first.
struct ReadPage {
    std::string afterKey;
};

//! Wait for changes after a revision.
struct WatchChanges {
    uint64_t afterRevision = 0;
    model::Duration wait {};
};

using FollowerCall = std::variant<ReadPage, WatchChanges>;

//! Why a call gave nothing.
enum class CallError {
    Refused, //!< The registry answered that it does nothing now.
    Unreachable, //!< No answer, or none that can be read.
    Compacted, //!< The history asked for is not there any more.
};

//! A key has a value, or has none any more.
struct KeyChanged {
    std::string key;
    std::optional<std::string> value;
    uint64_t revision = 0;
};

//! Everything that the registry held when it was listed has been told.
struct Synchronized {
};

//! The registry answers again, or does not.
struct Reachable {
    bool isReachable = false;
};

using FollowerNews = std::variant<KeyChanged, Synchronized, Reachable>;

/*!
 * Follows the keys of one prefix in a registry that can only be read: list, then watch.
 *
 * One call is under way at any time. A key that is missing after an outage is reported as removed
 * only once its owner has had time to write it again.
 */
class RegistryFollower
{
public:
    RegistryFollower(FollowerOptions options, uint64_t seed);

    //! The next call, when one is due; it counts as under way.
    std::optional<FollowerCall> takeCall(model::TimePoint now);
    //! When takeCall() or takeNews() has something without another event.
    std::optional<model::TimePoint> nextRun() const;

    void onPage(const RegistryPage &page, model::TimePoint now);
    void onChanges(const RegistryChanges &changes, model::TimePoint now);
    void onError(CallError error, model::TimePoint now);

    //! What another follower of the same keys holds, at its revision. Ignored unless that is newer.
    void onPeerListing(const RegistryPage &listing, model::TimePoint now);
    //! All keys with a value, as of revision(); for a follower that cannot reach the registry.
    RegistryPage listing() const;

    std::vector<FollowerNews> takeNews(model::TimePoint now);

    bool isSynchronized() const
    {
        return m_isSynchronized;
    }
    bool isReachable() const
    {
        return m_failures == 0;
    }
    uint64_t revision() const
    {
        return m_revision;
    }
    //! When the registry last answered.
    model::TimePoint answeredAt() const
    {
        return m_answeredAt;
    }

private:
    void noteAnswer(model::TimePoint now);
    void take(const RegistryItem &item, model::TimePoint now);
    void removeMissing(uint64_t revision, model::TimePoint now);
    void becomeSynchronized();
    void forget(const std::string &key, uint64_t revision, model::TimePoint now);

    FollowerOptions m_options;
    model::Random m_random;
    bool m_isListing = true;
    bool m_isCalling = false;
    bool m_isSynchronized = false;
    std::string m_afterKey;
    uint64_t m_revision = 0;
    uint64_t m_listRevision = 0; //!< Of the first page of the listing under way.
    std::set<std::string> m_listed; //!< Keys of the listing under way.
    std::map<std::string, RegistryItem> m_known; //!< Keys with a value.
    std::map<std::string, model::TimePoint> m_lapsed; //!< Missing keys, and when each is gone.
    uint32_t m_failures = 0;
    model::TimePoint m_nextCall;
    model::TimePoint m_answeredAt;
    model::TimePoint m_graceUntil; //!< Until then, missing keys may come back.
    std::vector<FollowerNews> m_news;
};

} // namespace citronpick::registry

#endif // CITRONPICK_REGISTRY_REGISTRYFOLLOWER_H
