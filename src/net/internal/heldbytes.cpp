#include "net/heldbytes.h"

#include <algorithm>
#include <numeric>

namespace citronpick::net
{

namespace
{

//! The rest of the memory is for the program, its tables and what the allocator does not give back.
constexpr size_t memoryShare = 4;
//! Two greatest bodies (4 MB) with room for their growth and their copies for the upstream.
constexpr size_t minLimitBytes = 24U << 20U;
//! What a request without a large body takes.
constexpr size_t smallShareBytes = 32U << 10U;

} // namespace

size_t sumOf(const HeldBytes &bytes)
{
    return std::accumulate(bytes.begin(), bytes.end(), size_t {0});
}

bool holdsMore(const RoomCandidate &left, const RoomCandidate &right)
{
    // Even the newest has an age, so that bytes decide among equals.
    const auto weight = [](const RoomCandidate &candidate) {
        constexpr double leastSeconds = 0.1;
        return static_cast<double>(candidate.bytes)
               * std::max(leastSeconds, model::toSeconds(candidate.age));
    };
    return weight(left) > weight(right);
}

HeldBytesBudget::HeldBytesBudget(size_t limit, SharedLimit *shared, size_t reserve)
    : m_limit(limit)
{
    if (shared) {
        m_share.emplace(*shared, reserve);
    }
}

void HeldBytesBudget::update(HeldBytes &reported, const HeldBytes &held)
{
    for (size_t i = 0; i < holderCount; ++i) {
        m_held[i] = m_held[i] - reported[i] + held[i];
    }
    m_total = m_total - sumOf(reported) + sumOf(held);
    m_peak = std::max(m_peak, m_total);
    reported = held;
    if (m_share) {
        m_share->setUsed(m_total);
    }
}

bool HeldBytesBudget::isAboveHighMark() const
{
    // The reserves alone take more than a third of a shared limit.
    const auto isSharedAbove = [this] {
        return m_share && m_share->isAbove(m_share->limit() / 4 * 3);
    };
    return m_total > highMark() || isSharedAbove();
}

bool HeldBytesBudget::isAboveLimit() const
{
    return m_total > m_limit || (m_share && m_share->isAbove(m_share->limit()));
}

bool HeldBytesBudget::hasRoomFor(size_t bytes) const
{
    return m_total + bytes <= m_limit && (!m_share || m_share->hasRoomFor(bytes));
}

size_t HeldBytesBudget::highMark() const
{
    return m_limit / 2;
}

size_t HeldBytesBudget::smallShare() const
{
    return smallShareBytes;
}

size_t heldBytesLimit(size_t memoryMb)
{
    return std::max((memoryMb << 20U) / memoryShare, minLimitBytes);
}

} // namespace citronpick::net
