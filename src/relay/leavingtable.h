#ifndef CITRONPICK_RELAY_LEAVINGTABLE_H
#define CITRONPICK_RELAY_LEAVINGTABLE_H

#include <functional>

#include <absl/container/flat_hash_map.h>

#include "relay/upstreamnotice.h"

namespace citronpick::relay
{

//! Remembers which starts of upstreams have begun to leave, whether they are listed or not.
class LeavingTable
{
public:
    //! Returns false if the latest of these starts is known to leave.
    bool add(const model::UpstreamId &upstream, const UpstreamStarts &starts);
    bool contains(const model::UpstreamId &upstream, uint64_t incarnation) const;

    //! Removes the oldest rows of upstreams that are not listed if the table has become too large.
    void limit(const std::function<bool(const model::UpstreamId &)> &isListed);
    size_t size() const
    {
        return m_rows.size();
    }

private:
    struct Row {
        UpstreamStarts starts;
        uint64_t addedAs = 0; //!< Number of the last addition to this row.
    };

    uint64_t m_additions = 0;
    absl::flat_hash_map<model::UpstreamId, Row> m_rows;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_LEAVINGTABLE_H
