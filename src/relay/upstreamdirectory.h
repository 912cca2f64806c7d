#ifndef CITRONPICK_RELAY_UPSTREAMDIRECTORY_H
#define CITRONPICK_RELAY_UPSTREAMDIRECTORY_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "config/settings.h"
#include "model/ids.h"
#include "model/time.h"
#include "relay/coldstartlimit.h"
#include "relay/noticetable.h"
#include "relay/ratelimit.h"
#include "relay/senderranking.h"
#include "relay/versionplacement.h"

namespace citronpick::relay
{

//! The registration of an upstream.
struct UpstreamListing {
    model::UpstreamId id;
    model::PoolId pool;
    config::Endpoint address;
    model::ZoneId zone;
    uint32_t slots = 1;
    bool isLeaving = false;
    model::Duration coldFor {}; //!< How long it stays cold after the registration.
    //! Changes with each restart of an upstream under the same id.
    uint64_t incarnation = 0;
    model::SoftwareVersion version; //!< Empty if the registration does not name it.

    friend bool operator==(const UpstreamListing &, const UpstreamListing &) = default;
};

//! An upstream: its registration and what this daemon has observed.
struct Upstream {
    UpstreamListing listing;
    uint32_t inFlight = 0; //!< Unfinished requests or batches of this daemon.
    uint64_t inFlightTokens = 0; //!< Prompt tokens of the unfinished requests.
    model::TimePoint lastStartedAt; //!< When this daemon last sent it work.
    uint32_t consecutiveFailures = 0;
    //! Results that it could store of the last batch for which it had too little storage; nullopt
    //! once it has stored more.
    std::optional<size_t> storedResults;
    //! Batches are not sent before this time; requests only if no other upstream is usable.
    model::TimePoint avoidedUntil;
    bool isOnTrial = false; //!< Failed recently; gets one request at a time until one succeeds.
    bool hasSaidLeaving = false; //!< Stated in an answer that it leaves.
    //! Gets no work before this time, as it asked for a rest; TimePoint() if it has not asked.
    model::TimePoint restUntil;
    //! No work that began after the rest has succeeded yet.
    bool isReturning = false;
    uint32_t inFlightSinceRest = 0; //!< Unfinished requests or batches that began after the rest.
    bool isEvacuated = false; //!< The operator has ordered its availability zone to be emptied.
    //! It takes little until then; TimePoint() if it has not been cold.
    model::TimePoint coldUntil;
    //! When this daemon may next send to it while it is cold; TimePoint::max() if other daemons do.
    model::TimePoint coldTurnAt;
    //! Minimum time between two calls of this daemon while the upstream is cold.
    model::Duration coldInterval {};

    std::optional<RateLimit> limit; //!< What it takes from all daemons together, if it says so.
    RatePublication publishedRate;
    RateShare limitShare; //!< This daemon's part in that.
    model::TimePoint limitTurnAt; //!< When this daemon may next send to it while it is limited.

    //! Whether it gets no new work until it starts again.
    bool isLeaving() const
    {
        return listing.isLeaving || hasSaidLeaving;
    }
    //! Whether it gets no new work for an unknown time.
    bool isClosed() const
    {
        return isLeaving() || isEvacuated;
    }
    bool isCold(model::TimePoint now) const
    {
        return now < coldUntil;
    }
    //! The earliest time at which it takes work of this daemon, failures not considered;
    //! TimePoint::max() if it is closed.
    model::TimePoint opensAt(model::TimePoint now) const
    {
        if (isClosed()) {
            return model::TimePoint::max();
        }
        const model::TimePoint afterCold = std::min(coldUntil, coldTurnAt);
        return std::max({now, restUntil, isCold(now) ? afterCold : now, limit ? limitTurnAt : now});
    }
    //! The earliest time at which some daemon may send to it; TimePoint::max() if it is closed.
    model::TimePoint opensToFleetAt(model::TimePoint now) const;
    //! The earliest time at which it takes releases of results; TimePoint::max() if it is closed or
    //! limited.
    model::TimePoint takesReleasesFrom(model::TimePoint now) const
    {
        return isClosed() || limit ? model::TimePoint::max()
                                   : std::max({now, restUntil, coldUntil});
    }
};

//! How a listing differed from the known one.
enum class ListingChange {
    None,
    Added,
    Restarted,
    BeganLeaving,
    Updated,
    Outdated, //!< Older than the known one, which stays in force.
};

//! All registered upstreams, by id and by pool.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(ColdStartOptions coldStarts = {})
        : m_ranking(coldStarts.daemon)
        , m_coldStarts(std::move(coldStarts))
    {
    }

    void setConfiguration(RelayConfigurationPtr configuration);
    //! Sets the daemons that are alive, including this one.
    void setDaemons(std::vector<model::DaemonId> daemons, model::TimePoint now);
    //! Applies what depends on the time alone.
    void run(model::TimePoint now);
    std::optional<model::TimePoint> nextRun() const;

    ListingChange apply(const UpstreamListing &listing);
    //! Returns false if the upstream is not listed.
    bool remove(const model::UpstreamId &id);

    Upstream *find(const model::UpstreamId &id);
    const Upstream *find(const model::UpstreamId &id) const;
    //! An upstream that is listed at this address; null if there is none.
    const Upstream *findByAddress(const config::Endpoint &address) const;
    //! The upstreams of a pool sorted by id, including those that are leaving.
    const std::vector<Upstream *> &inPool(const model::PoolId &pool) const;
    std::vector<model::UpstreamId> ids() const;
    size_t size() const
    {
        return m_upstreams.size();
    }
    //! Upstreams that the registry lists as taking work, by the versions of each pool. Those
    //! without a version are left out where others have one.
    std::map<model::PoolId, VersionCounts> versionCounts() const;
    //! Whether an upstream of a version is listed that takes work.
    bool hasVersion(const model::PoolId &pool, const model::SoftwareVersion &version) const;

    //! An answer, or another daemon, states that these starts of the upstream leave; it need not
    //! be listed. Returns false if this is known.
    bool noteLeaving(const model::UpstreamId &id, const UpstreamStarts &starts);
    //! An answer asks for a rest of these starts of the upstream; it need not be listed.
    void noteRest(const model::UpstreamId &id, const UpstreamStarts &starts,
                  model::TimePoint until);
    //! The upstream is cold until then. Ignored if it is not listed or its pool has no limit for
    //! cold upstreams.
    void noteCold(const model::UpstreamId &id, model::TimePoint until);
    //! The operator orders that a zone's upstreams get no work, or takes the order back. Returns
    //! false if this is known.
    bool setEvacuated(const model::ZoneId &zone, bool isEvacuated, model::TimePoint now);
    const std::set<model::ZoneId> &evacuatedZones() const
    {
        return m_evacuatedZones;
    }
    //! The upstream has stated what it takes from all daemons together. Returns whether this
    //! differs from what was known.
    bool setLimit(const model::UpstreamId &id, const RateLimit &limit);
    //! The upstream has stated that it is not limited. Returns false if this is known.
    bool endLimit(const model::UpstreamId &id);
    //! Daemons that are alive or were recently; at least this one.
    size_t daemonCount() const
    {
        return m_ranking.daemonCount();
    }
    //! Number of upstreams that are limited.
    size_t limitedCount() const;
    std::vector<model::UpstreamId> inZone(const model::ZoneId &zone) const;
    //! Where an upstream that made a statement was reached.
    void noteAddress(const model::UpstreamId &id, const config::Endpoint &address);
    //! Whether no upstream that leaves, rests, is cold or is in a zone that is emptied is known at
    //! an address, so that it takes releases of results. A listed upstream goes before those that
    //! were reached there earlier.
    bool takesCalls(const config::Endpoint &address, model::TimePoint now) const;
    //! The earliest time at which an upstream of a pool takes work again: \a now if one does
    //! already, TimePoint::max() if all leave, all are in zones that are emptied or none is listed.
    //! Failures are not considered.
    model::TimePoint availableFrom(const model::PoolId &pool, model::TimePoint now) const;
    //! The same for all daemons: upstreams that are limited take work of some daemon at times.
    model::TimePoint availableToFleetFrom(const model::PoolId &pool, model::TimePoint now) const;
    //! When the next upstream of a pool that rests, is cold or is limited takes work of this
    //! daemon; TimePoint::max() if there is none.
    model::TimePoint nextReturn(const model::PoolId &pool, model::TimePoint now) const;
    //! Number of upstreams that rest.
    size_t restingCount(model::TimePoint now) const;
    //! Number of upstreams that are cold.
    size_t coldCount(model::TimePoint now) const;
    //! Number of upstreams in zones that are emptied.
    size_t evacuatedCount() const;

    //! A request or batch was sent to the upstream.
    static void noteStarted(Upstream &upstream, model::TimePoint now);
    //! One that was sent at \a startedAt has ended in any way.
    void noteEnded(const model::UpstreamId &id, model::TimePoint startedAt);

    //! The upstream refused or closed a connection, or did not answer.
    void noteFailure(const model::UpstreamId &id, model::TimePoint now);
    //! The connection to the upstream was refused, timed out or broke.
    void noteConnectionLost(const model::UpstreamId &id, model::TimePoint now);
    //! Upstreams that have become cold by a lost connection since the last call.
    std::vector<model::UpstreamId> takeSuspects()
    {
        return std::exchange(m_suspects, {});
    }
    //! A different upstream answers at the address of this one, which is still listed.
    void noteReplaced(const model::UpstreamId &id, model::TimePoint now);
    //! Work that began at \a startedAt succeeds.
    void noteSuccess(const model::UpstreamId &id, model::TimePoint startedAt);

    //! Whether the upstream can be given new work now.
    static bool isUsable(const Upstream &upstream, model::TimePoint now);
    //! Whether the upstream takes work, apart from its recent failures.
    static bool isAvailable(const Upstream &upstream, model::TimePoint now)
    {
        return upstream.opensAt(now) <= now;
    }

private:
    bool isOutdated(const Upstream *known, const UpstreamListing &listing) const;
    void applyRest(Upstream &upstream) const;
    void applyColdTurn(Upstream &upstream) const;
    void applyLimitShare(Upstream &upstream) const;
    void insertIntoPool(Upstream &upstream);
    void eraseFromPool(const Upstream &upstream);

    absl::flat_hash_map<model::UpstreamId, std::unique_ptr<Upstream>> m_upstreams;
    absl::flat_hash_map<model::PoolId, std::vector<Upstream *>> m_pools;
    NoticeTable m_notices;
    RelayConfigurationPtr m_configuration;
    SenderRanking m_ranking;
    ColdStartLimit m_coldStarts;
    bool m_hasNewRules = false; //!< Since the last call of run().
    std::vector<model::UpstreamId> m_suspects; //!< See takeSuspects().
    std::set<model::ZoneId> m_evacuatedZones;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_UPSTREAMDIRECTORY_H
