#ifndef CITRONPICK_NET_SHAREDLIMIT_H
#define CITRONPICK_NET_SHAREDLIMIT_H

#include <cstddef>
#include <limits>

namespace citronpick::net
{

//! A limit that several users of one resource share. Each has a reserve that the others leave free.
class SharedLimit
{
public:
    class Share;

    //! The reserves must not exceed \a limit together.
    explicit SharedLimit(size_t limit = std::numeric_limits<size_t>::max());
    SharedLimit(const SharedLimit &) = delete;
    SharedLimit &operator=(const SharedLimit &) = delete;

    size_t limit() const
    {
        return m_limit;
    }
    //! What is in use, and what is left of the reserves.
    size_t committed() const
    {
        return m_committed;
    }
    size_t used() const
    {
        return m_used;
    }
    //! The most that was in use at a time.
    size_t peak() const
    {
        return m_peak;
    }

private:
    size_t m_limit;
    size_t m_committed = 0;
    size_t m_used = 0;
    size_t m_peak = 0;
};

//! What one user has of a SharedLimit, which must outlive it.
class SharedLimit::Share
{
public:
    Share(SharedLimit &owner, size_t reserve);
    ~Share();
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    void setUsed(size_t used);
    size_t used() const
    {
        return m_used;
    }
    //! Whether \a amount more fit into the reserve, or into what all users leave free.
    bool hasRoomFor(size_t amount) const;
    //! Whether all users together exceed \a mark, and this one its reserve.
    bool isAbove(size_t mark) const;
    size_t limit() const
    {
        return m_owner.limit();
    }

private:
    size_t committed() const;

    SharedLimit &m_owner;
    size_t m_reserve;
    size_t m_used = 0;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_SHAREDLIMIT_H
