#ifndef CITRONPICK_RELAY_NOTICETABLE_H
#define CITRONPICK_RELAY_NOTICETABLE_H

#include <functional>

#include <absl/container/flat_hash_map.h>

#include "config/settings.h"
#include "relay/upstreamnotice.h"

namespace citronpick::relay
{

//! Remembers what upstreams stated about themselves, whether they are listed or not. A statement
//! applies to certain starts of its upstream.
class NoticeTable
{
public:
    //! Returns false if the latest of these starts is known to leave.
    bool addLeaving(const model::UpstreamId &upstream, const UpstreamStarts &starts);
    bool isLeaving(const model::UpstreamId &upstream, uint64_t incarnation) const;

    //! A rest that was requested before is not shortened.
    void addRest(const model::UpstreamId &upstream, const UpstreamStarts &starts,
                 model::TimePoint until);
    //! TimePoint() if the upstream has not asked for a rest.
    model::TimePoint restUntil(const model::UpstreamId &upstream, uint64_t incarnation) const;

    //! Where the upstream was reached; ignored if it has stated nothing.
    void setAddress(const model::UpstreamId &upstream, const config::Endpoint &address);
    //! Whether an upstream that was last reached at this address leaves or rests.
    bool isClosed(const config::Endpoint &address, model::TimePoint now) const;

    //! Removes the oldest rows of upstreams that are not listed if the table has become too large.
    void limit(const std::function<bool(const model::UpstreamId &)> &isListed);
    size_t size() const
    {
        return m_rows.size();
    }

private:
    struct Row {
        bool isLeaving = false;
        UpstreamStarts leaving;
        model::TimePoint restUntil;
        UpstreamStarts resting;
        config::Endpoint address;
        uint64_t addedAs = 0; //!< Number of the last addition to this row.
    };

    Row &rowOf(const model::UpstreamId &upstream);

    uint64_t m_additions = 0;
    absl::flat_hash_map<model::UpstreamId, Row> m_rows;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_NOTICETABLE_H
