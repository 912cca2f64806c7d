#include "fleet/facttable.h"

#include <tuple>

namespace citronpick::fleet
{

namespace
{

constexpr size_t maxFacts = 20000;

} // namespace

bool FactTable::apply(const Fact &fact, model::TimePoint now)
{
    FactKey key = keyOf(fact);
    const auto it = m_rows.find(key);
    if (it == m_rows.end()) {
        if (m_rows.size() >= maxFacts) {
            return false;
        }
        m_rows.emplace(std::move(key), Row {.fact = fact, .heardAt = now});
        return true;
    }
    const Fact &present = it->second.fact;
    const bool isNewer
        = std::tie(fact.incarnation, fact.version) > std::tie(present.incarnation, present.version);
    if (isNewer) {
        it->second = Row {.fact = fact, .heardAt = now};
    }
    return isNewer;
}

void FactTable::remove(const FactKey &key)
{
    m_rows.erase(key);
}

} // namespace citronpick::fleet
