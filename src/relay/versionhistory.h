#ifndef CITRONPICK_RELAY_VERSIONHISTORY_H
#define CITRONPICK_RELAY_VERSIONHISTORY_H

#include <deque>
#include <set>
#include <vector>

#include "model/time.h"
#include "relay/versionplacement.h"

namespace citronpick::relay
{

//! Counts that came into force at some time in a range.
struct VersionEpoch {
    model::TimePoint earliest;
    model::TimePoint latest;
    VersionCounts counts;

    friend auto operator<=>(const VersionEpoch &, const VersionEpoch &) = default;
};

/*!
 * The counts of a pool's versions over the last minute.
 *
 * Other daemons learn of a change a little earlier or later than this one, so that a stream which
 * began near a change may have been placed by the counts before or after it.
 */
class VersionHistory
{
public:
    //! Counts that are in force from \a now on.
    void set(const VersionCounts &counts, model::TimePoint now);
    //! What was in force before the first call of set(), oldest first, the counts of that call
    //! last. Replaces what was assumed.
    void setPast(const std::vector<VersionEpoch> &past);

    const VersionCounts &current() const;
    //! The versions that may have begun an attempt's stream between two times; an empty one among
    //! them if it may have been a version that is not known.
    std::set<model::SoftwareVersion> versionsOf(const model::CallerRequestId &attempt,
                                                model::TimePoint from,
                                                model::TimePoint until) const;

private:
    std::vector<const VersionEpoch *> inForce(model::TimePoint from, model::TimePoint until) const;

    std::deque<VersionEpoch> m_epochs; //!< In order.
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_VERSIONHISTORY_H
