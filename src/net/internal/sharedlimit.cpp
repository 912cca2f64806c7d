#include "net/sharedlimit.h"

#include <algorithm>

namespace citronpick::net
{

SharedLimit::SharedLimit(size_t limit)
    : m_limit(limit)
{
}

SharedLimit::Share::Share(SharedLimit &owner, size_t reserve)
    : m_owner(owner)
    , m_reserve(reserve)
{
    m_owner.m_committed += committed();
}

SharedLimit::Share::~Share()
{
    m_owner.m_committed -= committed();
    m_owner.m_used -= m_used;
}

void SharedLimit::Share::setUsed(size_t used)
{
    m_owner.m_committed -= committed();
    m_owner.m_used = m_owner.m_used - m_used + used;
    m_owner.m_peak = std::max(m_owner.m_peak, m_owner.m_used);
    m_used = used;
    m_owner.m_committed += committed();
}

bool SharedLimit::Share::hasRoomFor(size_t amount) const
{
    const size_t others = m_owner.m_committed - committed();
    const size_t wanted = std::max(m_used + amount, m_reserve);
    return wanted <= m_reserve || others + wanted <= m_owner.m_limit;
}

bool SharedLimit::Share::isAbove(size_t mark) const
{
    return m_used > m_reserve && m_owner.m_committed > mark;
}

size_t SharedLimit::Share::committed() const
{
    return std::max(m_used, m_reserve);
}

} // namespace citronpick::net
