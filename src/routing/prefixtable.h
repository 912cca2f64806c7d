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

//! What an engine published about its prefix cache.
struct CacheReport {
    uint64_t sequence = 0; //!< Of this report; one more than the engine's last one.
    std::vector<uint64_t> added;
    std::vector<uint64_t> removed;
};

//! Where prompt prefixes are probably cached. Entries are hints: a wrong one costs time only.
class PrefixTable
{
public:
    explicit PrefixTable(size_t capacity);

    //! The request with this prefix went to the upstream.
    void note(uint64_t prefix, model::UpstreamRow upstream);

    //! Takes a report over; a gap in the sequence drops all that was known of the upstream.
    void apply(model::UpstreamRow upstream, const CacheReport &report);

    void forget(model::UpstreamRow upstream);

    std::optional<model::UpstreamRow> find(uint64_t prefix) const;

    size_t size() const
    {
        return m_places.size();
    }

private:
    size_t m_capacity;
    absl::flat_hash_map<uint64_t, model::UpstreamRow> m_places;
    std::deque<uint64_t> m_order; //!< Oldest first; may name prefixes that are gone.
    absl::flat_hash_map<model::UpstreamRow, uint64_t> m_lastSequence;
};

} // namespace citronpick::routing

#endif // CITRONPICK_ROUTING_PREFIXTABLE_H
