#include "upstreams/upstreamtable.h"

#include <algorithm>

namespace citronpick::upstreams
{

namespace
{

// Rows of removed upstreams are not reused earlier, as requests that started under an older
// configuration revision may still refer to them.
constexpr model::Duration retiredRowLifetime = model::seconds(600);

} // namespace

void UpstreamTable::apply(const config::Configuration &configuration, uint32_t daemonCount,
                          model::TimePoint now)
{
    for (Pool &pool : m_pools) {
        pool.isRetired = true;
    }
    for (Upstream &upstream : m_upstreams) {
        if (!upstream.isRetired) {
            upstream.retiredAt = now;
        }
        upstream.isRetired = true;
    }
    // Unchanged upstreams keep their rows; after this pass, rows that are still marked as retired
    // may be reused.
    for (const config::PoolConfig &poolConfig : configuration.pools()) {
        const model::PoolRow pool = applyPool(poolConfig);
        at(pool).hasIdempotentStage = configuration.hasIdempotentStage(poolConfig.id);
        for (const config::UpstreamConfig &upstreamConfig : poolConfig.upstreams) {
            reactivateUnchanged(upstreamConfig, pool);
        }
    }
    for (const config::PoolConfig &poolConfig : configuration.pools()) {
        const model::PoolRow pool = *find(poolConfig.id);
        at(pool).upstreams.clear();
        for (const config::UpstreamConfig &upstreamConfig : poolConfig.upstreams) {
            at(pool).upstreams.push_back(rowFor(upstreamConfig, pool, daemonCount, now));
        }
    }
}

std::optional<model::UpstreamRow> UpstreamTable::find(const model::UpstreamId &id) const
{
    const auto it = m_upstreamIndex.find(id);
    return it == m_upstreamIndex.end() ? std::nullopt : std::optional(it->second);
}

std::optional<model::PoolRow> UpstreamTable::find(const model::PoolId &id) const
{
    const auto it = m_poolIndex.find(id);
    return it == m_poolIndex.end() ? std::nullopt : std::optional(it->second);
}

model::PoolRow UpstreamTable::applyPool(const config::PoolConfig &config)
{
    const auto known = find(config.id);
    // Pools are few, and requests started under an older configuration revision refer to them by
    // row, so pool rows are never removed.
    const model::PoolRow row
        = known.value_or(model::PoolRow {static_cast<uint32_t>(m_pools.size())});
    if (!known) {
        m_pools.emplace_back();
        m_poolIndex.emplace(config.id, row);
    }
    Pool &pool = at(row);
    pool.config = config;
    pool.isRetired = false;
    return row;
}

void UpstreamTable::reactivateUnchanged(const config::UpstreamConfig &config, model::PoolRow pool)
{
    const auto known = find(config.id);
    if (!known || at(*known).config != config || at(*known).pool != pool) {
        return;
    }
    Upstream &upstream = at(*known);
    upstream.isRetired = false;
    upstream.limit.setCeiling(at(pool).config.concurrency);
}

model::UpstreamRow UpstreamTable::rowFor(const config::UpstreamConfig &config, model::PoolRow pool,
                                         uint32_t daemonCount, model::TimePoint now)
{
    const auto known = find(config.id);
    if (known && !at(*known).isRetired) {
        return *known;
    }
    // An upstream with changed settings is treated as a new one: its limit and statistics restart.
    m_upstreamIndex.erase(config.id);
    const uint32_t ceiling = at(pool).config.concurrency;
    const uint32_t daemons = std::max(1U, daemonCount);
    const uint32_t fairShare = (ceiling + daemons - 1) / daemons;
    const model::UpstreamRow row = freeUpstreamRow(now);
    m_upstreams[row.value] = Upstream {.config = config,
                                       .pool = pool,
                                       .generation = ++m_lastGeneration,
                                       .limit = ConcurrencyLimit(fairShare, ceiling)};
    m_upstreamIndex[config.id] = row;
    return row;
}

model::UpstreamRow UpstreamTable::freeUpstreamRow(model::TimePoint now)
{
    for (uint32_t i = 0; i < m_upstreams.size(); ++i) {
        const Upstream &upstream = m_upstreams[i];
        const bool isExpired = upstream.isRetired && now - upstream.retiredAt > retiredRowLifetime;
        if (isExpired && upstream.inFlight == 0) {
            const model::UpstreamRow row {i};
            const auto indexed = m_upstreamIndex.find(upstream.config.id);
            if (indexed != m_upstreamIndex.end() && indexed->second == row) {
                m_upstreamIndex.erase(indexed);
            }
            return row;
        }
    }
    m_upstreams.emplace_back();
    return model::UpstreamRow {static_cast<uint32_t>(m_upstreams.size() - 1)};
}

} // namespace citronpick::upstreams
