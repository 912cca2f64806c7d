#ifndef CITRONPICK_FLEET_FACTTABLE_H
#define CITRONPICK_FLEET_FACTTABLE_H

#include <map>
#include <vector>

#include "fleet/fact.h"
#include "model/time.h"

namespace citronpick::fleet
{

//! The newest facts of every daemon, bounded in number.
class FactTable
{
public:
    struct Row {
        Fact fact;
        model::TimePoint toldAt; //!< When the origin told it, on this daemon's clock.
    };

    //! True when the fact is newer than what was known under its key.
    bool apply(const Fact &fact, model::TimePoint now);

    //! Drops what is too old; \a isHeld tells the facts that stay all the same.
    template<typename IsHeld>
    void forgetExpired(model::TimePoint now, IsHeld isHeld)
    {
        for (auto it = m_rows.begin(); it != m_rows.end();) {
            const Row &row = it->second;
            const bool isOver = now - row.toldAt > lifetimeOf(row.fact) && !isHeld(row.fact);
            if (isOver) {
                m_digest ^= digestOf(row.fact);
            }
            it = isOver ? m_rows.erase(it) : std::next(it);
        }
    }

    const std::map<FactKey, Row> &rows() const
    {
        return m_rows;
    }

    //! Equal for equal sets of those facts that are compared.
    uint64_t digest() const
    {
        return m_digest;
    }

private:
    static uint64_t digestOf(const Fact &fact);

    uint64_t m_digest = 0;
    std::map<FactKey, Row> m_rows;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FACTTABLE_H
