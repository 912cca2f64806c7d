#include "relay/relayconfiguration.h"

#include <algorithm>

#include "model/abslview.h"

namespace citronpick::relay
{

RelayConfiguration::RelayConfiguration(ConfigurationContent content)
    : m_content(std::move(content))
{
    for (const RouteRule &route : m_content.routes) {
        m_routesByHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const RouteRule *left, const RouteRule *right) {
                             return left->prefix.size() > right->prefix.size();
                         });
    }
    for (const PoolRule &pool : m_content.pools) {
        m_pools.emplace(pool.id, &pool);
    }
    if (m_content.accounts) {
        for (const AccountRule &account : *m_content.accounts) {
            for (const std::string &key : account.keys) {
                m_accountsByKey.emplace(key, &account);
            }
        }
    }
}

const RouteRule *RelayConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(model::toAbsl(host));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    for (const RouteRule *route : routes->second) {
        if (path.starts_with(route->prefix)) {
            return route;
        }
    }
    return nullptr;
}

const PoolRule *RelayConfiguration::findPool(const model::PoolId &id) const
{
    const auto it = m_pools.find(id);
    return it == m_pools.end() ? nullptr : it->second;
}

const AccountRule *RelayConfiguration::findAccount(std::string_view key) const
{
    const auto it = m_accountsByKey.find(model::toAbsl(key));
    return it == m_accountsByKey.end() ? nullptr : it->second;
}

} // namespace citronpick::relay
