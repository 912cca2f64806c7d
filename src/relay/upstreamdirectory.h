#ifndef CITRONPICK_RELAY_UPSTREAMDIRECTORY_H
#define CITRONPICK_RELAY_UPSTREAMDIRECTORY_H

#include <memory>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "config/settings.h"
#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

//! What an upstream registered of itself.
struct UpstreamListing {
    model::UpstreamId id;
    model::PoolId pool;
    config::Endpoint address;
    model::ZoneId zone;
    uint32_t slots = 1;
    bool isLeaving = false;
    //! Differs between two starts of an upstream under the same id.
    uint64_t incarnation = 0;

    friend bool operator==(const UpstreamListing &, const UpstreamListing &) = default;
};

//! One upstream: what it registered and what this daemon has seen of it.
struct Upstream {
    UpstreamListing listing;
    uint32_t inFlight = 0; //!< Requests or batches of this daemon.
    uint64_t inFlightTokens = 0; //!< Prompt tokens of these.
    uint32_t consecutiveFailures = 0;
    model::TimePoint avoidedUntil; //!< Nothing is sent before, except when nothing else is left.
    bool isOnTrial = false; //!< Failed lately; takes one request at a time until one succeeds.
};

//! What became of a listing that was handed in.
enum class ListingChange {
    None,
    Added,
    Restarted,
    BeganLeaving,
    Updated,
};

//! All registered upstreams, by id and by pool.
class UpstreamDirectory
{
public:
    ListingChange apply(const UpstreamListing &listing);
    //! True when the upstream was known.
    bool remove(const model::UpstreamId &id);

    Upstream *find(const model::UpstreamId &id);
    const Upstream *find(const model::UpstreamId &id) const;
    //! In order of their ids, leaving ones included.
    const std::vector<Upstream *> &inPool(const model::PoolId &pool) const;
    std::vector<model::UpstreamId> ids() const;
    size_t size() const
    {
        return m_rows.size();
    }

    //! An upstream refused a connection, broke one off, or gave no answer.
    void noteFailure(const model::UpstreamId &id, model::TimePoint now);
    //! Another upstream answers at the address; this one is gone, though still listed.
    void noteReplaced(const model::UpstreamId &id, model::TimePoint now);
    void noteSuccess(const model::UpstreamId &id);

    //! Whether the upstream may take new work at this moment.
    static bool isUsable(const Upstream &upstream, model::TimePoint now);

private:
    void insertIntoPool(Upstream &upstream);
    void eraseFromPool(const Upstream &upstream);

    absl::flat_hash_map<model::UpstreamId, std::unique_ptr<Upstream>> m_rows;
    absl::flat_hash_map<model::PoolId, std::vector<Upstream *>> m_pools;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_UPSTREAMDIRECTORY_H
