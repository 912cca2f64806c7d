#ifndef CITRONPICK_FLEET_FACTTABLE_H
#define CITRONPICK_FLEET_FACTTABLE_H

#include <map>
#include <vector>

#include "fleet/fact.h"
#include "model/time.h"

namespace citronpick::fleet
{

//! The newest facts of all daemons, bounded in number.
class FactTable
{
public:
    struct Row {
        Fact fact;
        //! Time of publication by the origin, on this daemon's clock.
        model::TimePoint publishedAt;
    };

    /*! Stores the fact unless it is expired, not newer than the stored one or the table is full.
     * Returns whether it was stored. */
    bool apply(const Fact &fact, model::TimePoint now);

    //! Removes expired facts except those for which \a isRetained returns true.
    template<typename IsRetained>
    void forgetExpired(model::TimePoint now, IsRetained isRetained)
    {
        for (auto it = m_rows.begin(); it != m_rows.end();) {
            const Row &row = it->second;
            const bool isExpired
                = now - row.publishedAt > lifetimeOf(row.fact) && !isRetained(row.fact);
            if (isExpired) {
                m_digest ^= digestOf(row.fact);
            }
            it = isExpired ? m_rows.erase(it) : std::next(it);
        }
    }

    const std::map<FactKey, Row> &rows() const
    {
        return m_rows;
    }

    //! Digest of the facts for which usesAntiEntropy() is true; equal sets have equal digests.
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
