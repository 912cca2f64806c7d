#include "config/configuration.h"

#include <algorithm>

namespace citronpick::config
{

namespace
{

template<typename Id, typename Entry>
const Entry *find(const absl::flat_hash_map<Id, size_t> &index, const std::vector<Entry> &entries,
                  const Id &id)
{
    const auto it = index.find(id);
    return it == index.end() ? nullptr : &entries[it->second];
}

template<typename Id, typename Entry>
absl::flat_hash_map<Id, size_t> indexOf(const std::vector<Entry> &entries)
{
    absl::flat_hash_map<Id, size_t> index;
    index.reserve(entries.size());
    for (size_t position = 0; position < entries.size(); ++position) {
        index.emplace(entries[position].id, position);
    }
    return index;
}

} // namespace

Configuration::Configuration(Content content)
    : m_content(std::move(content))
    , m_poolIndex(indexOf<model::PoolId>(m_content.pools))
    , m_routeIndex(indexOf<model::RouteId>(m_content.routes))
    , m_accountIndex(indexOf<model::AccountId>(m_content.accounts))
{
}

const PoolConfig *Configuration::pool(const model::PoolId &id) const
{
    return find(m_poolIndex, m_content.pools, id);
}

const RouteConfig *Configuration::route(const model::RouteId &id) const
{
    return find(m_routeIndex, m_content.routes, id);
}

const AccountConfig *Configuration::account(const model::AccountId &id) const
{
    return find(m_accountIndex, m_content.accounts, id);
}

bool Configuration::hasIdempotentStage(const model::PoolId &id) const
{
    for (const RouteConfig &route : m_content.routes) {
        for (const StageConfig &stage : route.stages) {
            if (stage.pool == id && stage.isIdempotent) {
                return true;
            }
        }
    }
    return false;
}

uint32_t Configuration::priorityRank(std::string_view name) const
{
    uint32_t lastRank = 0;
    for (const PriorityConfig &priority : m_content.priorities) {
        if (priority.name == name) {
            return priority.rank;
        }
        lastRank = std::max(lastRank, priority.rank);
    }
    return lastRank;
}

} // namespace citronpick::config
