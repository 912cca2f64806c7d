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
        model::TimePoint heardAt;
    };

    //! True when the fact is newer than what was known under its key.
    bool apply(const Fact &fact, model::TimePoint now);

    void remove(const FactKey &key);

    //! Drops what is too old; \a isHeld tells the facts that stay all the same.
    template<typename IsHeld>
    void forgetExpired(model::TimePoint now, IsHeld isHeld)
    {
        std::erase_if(m_rows, [&](const auto &entry) {
            const Row &row = entry.second;
            return now - row.heardAt > lifetimeOf(row.fact) && !isHeld(row.fact);
        });
    }

    const std::map<FactKey, Row> &rows() const
    {
        return m_rows;
    }

private:
    std::map<FactKey, Row> m_rows;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FACTTABLE_H
