#include "fleet/facttable.h"

#include <tuple>

#include "model/hash.h"

namespace citronpick::fleet
{

namespace
{

constexpr size_t maxFacts = 20000;

} // namespace

bool FactTable::apply(const Fact &fact, model::TimePoint now)
{
    if (fact.age > lifetimeOf(fact)) {
        return false;
    }
    const Row row {.fact = fact, .publishedAt = now - fact.age};
    FactKey key = keyOf(fact);
    const auto it = m_rows.find(key);
    if (it == m_rows.end()) {
        if (m_rows.size() >= maxFacts) {
            return false;
        }
        m_rows.emplace(std::move(key), row);
        m_digest ^= digestOf(fact);
        return true;
    }
    const Fact &present = it->second.fact;
    const bool isNewer
        = std::tie(fact.incarnation, fact.version) > std::tie(present.incarnation, present.version);
    if (isNewer) {
        m_digest ^= digestOf(present) ^ digestOf(fact);
        it->second = row;
    }
    return isNewer;
}

uint64_t FactTable::digestOf(const Fact &fact)
{
    if (!usesAntiEntropy(fact)) {
        return 0;
    }
    const FactKey key = keyOf(fact);
    const uint64_t keyHash = model::hash64(key.subject, model::hash64(key.origin.text(), key.kind));
    return keyHash ^ (fact.incarnation.value() * 0x9E3779B97F4A7C15ULL)
           ^ (fact.version * 0xC2B2AE3D27D4EB4FULL);
}

} // namespace citronpick::fleet
