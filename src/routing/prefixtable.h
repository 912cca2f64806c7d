#ifndef CITRONPICK_ROUTING_PREFIXTABLE_H
#define CITRONPICK_ROUTING_PREFIXTABLE_H

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "model/row.h"

namespace citronpick::routing
{

//! Changes of the prefix cache of an inference engine, as reported by that engine.
struct CacheReport {
    uint64_t sequence = 0; //!< Sequence number; increases by one with each report of an engine.
    std::vector<uint64_t> added;
    std::vector<uint64_t> removed;
};

/*! Maps prompt prefixes to the upstreams that probably have them cached. The entries are hints: a
 * stale entry costs time but does not affect correctness. */
class PrefixTable
{
public:
    explicit PrefixTable(size_t capacity);

    //! Records that a request with this prefix was sent to the upstream.
    void recordLocation(uint64_t prefix, model::UpstreamRow upstream);

    /*! Applies a cache report; a gap in the sequence numbers first removes all entries of the
     * upstream. Reports that are not newer than the last one are ignored. */
    void apply(model::UpstreamRow upstream, const CacheReport &report);

    //! Removes all entries of the upstream.
    void forget(model::UpstreamRow upstream);

    std::optional<model::UpstreamRow> find(uint64_t prefix) const;

    size_t size() const
    {
        return m_locations.size();
    }

private:
    size_t m_capacity;
    absl::flat_hash_map<uint64_t, model::UpstreamRow> m_locations;
    //! Insertion order, oldest first; may contain prefixes that were removed.
    std::deque<uint64_t> m_order;
    absl::flat_hash_map<model::UpstreamRow, uint64_t> m_lastSequence;
};

} // namespace citronpick::routing

#endif // CITRONPICK_ROUTING_PREFIXTABLE_H
