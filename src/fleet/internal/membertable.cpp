#include "fleet/membertable.h"

#include "model/hash.h"

namespace citronpick::fleet
{

std::optional<MemberTable::Change> MemberTable::apply(const Member &member, model::TimePoint now)
{
    const auto it = m_rows.find(member.id);
    if (it == m_rows.end()) {
        m_rows.emplace(member.id, Row {.member = member, .since = now});
        m_digest ^= digestOf(member);
        m_usableCount += member.isUsable() ? 1 : 0;
        return Change {.before = std::nullopt, .isNewIncarnation = true};
    }
    Member &present = it->second.member;
    if (!supersedes(member, present)) {
        return std::nullopt;
    }
    const Change change {.before = present.state,
                         .isNewIncarnation = member.incarnation != present.incarnation};
    m_digest ^= digestOf(present) ^ digestOf(member);
    m_usableCount += member.isUsable() ? 1 : 0;
    m_usableCount -= present.isUsable() ? 1 : 0;
    if (present.state != member.state || change.isNewIncarnation) {
        it->second.since = now;
    }
    present = member;
    return change;
}

const MemberTable::Row *MemberTable::find(const model::DaemonId &id) const
{
    const auto it = m_rows.find(id);
    return it == m_rows.end() ? nullptr : &it->second;
}

void MemberTable::forgetDead(model::TimePoint diedBefore)
{
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        const bool isOld
            = it->second.member.state == MemberState::Dead && it->second.since < diedBefore;
        if (!isOld) {
            ++it;
            continue;
        }
        m_digest ^= digestOf(it->second.member);
        it = m_rows.erase(it);
    }
}

// Dead members are excluded because daemons remove them at different times.
uint64_t MemberTable::digestOf(const Member &member)
{
    if (member.state == MemberState::Dead) {
        return 0;
    }
    uint64_t digest = model::hash64(member.id.text(), member.incarnation.value());
    digest ^= (static_cast<uint64_t>(member.version) + 1) * 0x9E3779B97F4A7C15ULL;
    return model::hash64(toString(member.state), digest);
}

} // namespace citronpick::fleet
