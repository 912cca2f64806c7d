#ifndef CITRONPICK_FLEET_MEMBERTABLE_H
#define CITRONPICK_FLEET_MEMBERTABLE_H

#include <map>
#include <optional>
#include <vector>

#include "fleet/member.h"
#include "model/time.h"

namespace citronpick::fleet
{

//! Membership records of all known daemons, including this one.
class MemberTable
{
public:
    struct Row {
        Member member;
        model::TimePoint since; //!< Start of the current state or incarnation.
    };

    //! Describes how a record changed the table.
    struct Change {
        std::optional<MemberState> before; //!< Previous state; empty for a new member.
        bool isNewIncarnation = false;
    };
    //! Stores the record if it is newer than the stored one; returns nothing if it was ignored.
    std::optional<Change> apply(const Member &member, model::TimePoint now);

    const Row *find(const model::DaemonId &id) const;
    const std::map<model::DaemonId, Row> &rows() const
    {
        return m_rows;
    }

    //! Number of members in state Alive.
    size_t usableCount() const
    {
        return m_usableCount;
    }

    //! Removes members that have been dead since before \a diedBefore.
    void forgetDead(model::TimePoint diedBefore);

    //! Digest of all members that are not dead; equal sets have equal digests.
    uint64_t digest() const
    {
        return m_digest;
    }

private:
    static uint64_t digestOf(const Member &member);

    std::map<model::DaemonId, Row> m_rows;
    uint64_t m_digest = 0;
    size_t m_usableCount = 0;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_MEMBERTABLE_H
