#ifndef CITRONPICK_FLEET_MEMBERTABLE_H
#define CITRONPICK_FLEET_MEMBERTABLE_H

#include <map>
#include <optional>
#include <vector>

#include "fleet/member.h"
#include "model/time.h"

namespace citronpick::fleet
{

//! Every daemon this one knows of, itself among them.
class MemberTable
{
public:
    struct Row {
        Member member;
        model::TimePoint since; //!< Of the present state.
    };

    //! The state before, if the record replaced what was known; empty when it was ignored.
    struct Change {
        std::optional<MemberState> before; //!< Empty for a member not known before.
        bool isNewIncarnation = false;
    };
    std::optional<Change> apply(const Member &member, model::TimePoint now);

    const Row *find(const model::DaemonId &id) const;
    const std::map<model::DaemonId, Row> &rows() const
    {
        return m_rows;
    }

    //! Members that are alive.
    size_t usableCount() const
    {
        return m_usableCount;
    }

    void forgetDead(model::TimePoint diedBefore);

    //! Equal for equal tables.
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
