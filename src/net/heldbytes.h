#ifndef CITRONPICK_NET_HELDBYTES_H
#define CITRONPICK_NET_HELDBYTES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "model/time.h"
#include "net/sharedlimit.h"

namespace citronpick::net
{

//! Purpose for which bytes are buffered.
enum class Holder : uint8_t {
    Input, //!< Bytes that were read and not yet parsed, or received and not yet read.
    Heads, //!< Heads that are not complete.
    Bodies, //!< Bodies of callers, and their copies for upstreams.
    Answers, //!< Answers that callers have not taken yet.
};
inline constexpr size_t holderCount = 4;

//! Buffered bytes of one connection or answer, by purpose.
using HeldBytes = std::array<size_t, holderCount>;

size_t sumOf(const HeldBytes &bytes);

//! What the choice among connections that may be closed for room depends on.
struct RoomCandidate {
    uint64_t id = 0;
    size_t bytes = 0;
    model::Duration age {}; //!< Since the request began or the caller last took bytes.

    friend bool operator==(const RoomCandidate &, const RoomCandidate &) = default;
};

//! Whether \a left should be closed before \a right: the product of bytes and age is larger.
bool holdsMore(const RoomCandidate &left, const RoomCandidate &right);

/*!
 * Bytes that a process holds for the callers of one listener, and the marks that bound them.
 *
 * All that hold such bytes report the differences. Above the high mark, reading stops for what
 * holds more than a small share; above the limit, room is made at once. The same holds above the
 * marks of a limit that this budget shares with others, unless it is within its reserve.
 */
class HeldBytesBudget
{
public:
    explicit HeldBytesBudget(size_t limit, SharedLimit *shared = nullptr, size_t reserve = 0);

    void setLimit(size_t limit)
    {
        m_limit = limit;
    }

    //! Replaces the bytes that one connection or answer has reported before.
    void update(HeldBytes &reported, const HeldBytes &held);

    size_t limit() const
    {
        return m_limit;
    }
    size_t highMark() const;
    //! Connections that hold less than this are read also above the high mark.
    size_t smallShare() const;

    size_t total() const
    {
        return m_total;
    }
    size_t peak() const
    {
        return m_peak;
    }
    size_t held(Holder holder) const
    {
        return m_held[static_cast<size_t>(holder)];
    }
    bool isAboveHighMark() const;
    bool isAboveLimit() const;
    bool hasRoomFor(size_t bytes) const;

private:
    size_t m_limit;
    std::optional<SharedLimit::Share> m_share;
    size_t m_total = 0;
    size_t m_peak = 0;
    HeldBytes m_held {};
};

//! Limit on bytes buffered for callers on an instance with this much memory.
size_t heldBytesLimit(size_t memoryMb);

} // namespace citronpick::net

#endif // CITRONPICK_NET_HELDBYTES_H
