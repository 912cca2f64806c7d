#include "daemon/internal/adminapi.h"

#include <cstdlib>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace citronpick::daemon
{

namespace
{

using Json = nlohmann::json;

constexpr size_t maxEvents = 5000;
//! Administrative requests have no body.
constexpr uint64_t maxBodyBytes = 4U << 10U;
constexpr uint32_t maxConnections = 64;

//! Replaces invalid UTF-8 in strings, which dump() would otherwise reject with an exception.
std::string dumpJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace

AdminApi::AdminApi(net::EventLoop &loop, const config::Settings &settings, const core::Core &core,
                   const observability::Timeline &timeline, net::HttpMemoryLimit &memory)
    : m_settings(settings)
    , m_core(core)
    , m_timeline(timeline)
    , m_server(loop, *this,
               {.maxBodyBytes = maxBodyBytes, .maxConnections = maxConnections, .memory = &memory})
{
}

bool AdminApi::isAuthorized(const net::HttpServerRequest &request) const
{
    const std::string expected = "Bearer " + m_settings.adminToken;
    const std::string_view received = request.header("authorization");
    return received.size() == expected.size()
           && CRYPTO_memcmp(received.data(), expected.data(), expected.size()) == 0;
}

void AdminApi::onRequest(const net::HttpServerRequest &request)
{
    if (!isAuthorized(request)) {
        send(request.number(), 401, dumpJson({{"reason", "unauthorized"}}));
        return;
    }
    const std::string_view path = request.path();
    if (request.method() != "GET") {
        send(request.number(), 405, dumpJson({{"reason", "read-only"}}));
    } else if (path == "/admin/status") {
        send(request.number(), 200, statusPage());
    } else if (path == "/admin/upstreams") {
        send(request.number(), 200, upstreamsPage());
    } else if (path == "/admin/config") {
        send(request.number(), 200, configurationPage());
    } else if (path == "/admin/members") {
        send(request.number(), 200, membersPage());
    } else if (path == "/admin/events") {
        send(request.number(), 200, eventsPage(request));
    } else {
        send(request.number(), 404, dumpJson({{"reason", "unknown-path"}}));
    }
}

std::string AdminApi::statusPage() const
{
    const core::CoreOptions &options = m_core.options();
    return dumpJson({{"daemon", options.daemon.text()},
                     {"incarnation", options.incarnation.value()},
                     {"zone", options.zone.text()},
                     {"version", CITRONPICK_VERSION},
                     {"ready", m_core.isReady(net::EventLoop::now())},
                     {"draining", m_core.isDraining()},
                     {"revision", m_core.revisions().revision().value()},
                     {"requests", m_core.requests().requestCount()},
                     {"members", m_core.fleet().members().usableCount()},
                     {"operationKeys", m_core.operations().size()}});
}

std::string AdminApi::upstreamsPage() const
{
    Json list = Json::array();
    const auto &upstreams = m_core.upstreams().upstreams();
    for (uint32_t i = 0; i < upstreams.size(); ++i) {
        const upstreams::Upstream &upstream = upstreams[i];
        if (upstream.isRetired) {
            continue;
        }
        const health::HealthRow &row = m_core.health().row(model::UpstreamRow {i});
        list.push_back({{"pool", m_core.upstreams().at(upstream.pool).config.id.text()},
                        {"upstream", upstream.config.id.text()},
                        {"zone", upstream.config.zone.text()},
                        {"state", health::toString(row.state)},
                        {"cause", health::toString(row.cause)},
                        {"relapses", row.relapses},
                        {"leaving", upstream.leavingSince.has_value()},
                        {"inFlight", upstream.inFlight},
                        {"limit", upstream.limit.value()},
                        {"slowness", upstream.slowness}});
    }
    return dumpJson({{"upstreams", list}});
}

std::string AdminApi::configurationPage() const
{
    const config::RevisionStore &revisions = m_core.revisions();
    Json routes = Json::array();
    if (const config::ConfigurationPtr configuration = revisions.configuration()) {
        for (const config::RouteConfig &route : configuration->routes()) {
            Json stages = Json::array();
            for (const config::StageConfig &stage : route.stages) {
                stages.push_back(stage.name + "@" + stage.pool.text());
            }
            routes.push_back({{"route", route.id.text()},
                              {"idempotent", route.isIdempotent},
                              {"deadlineMs", model::toMilliseconds(route.defaultDeadline)},
                              {"stages", stages}});
        }
    }
    return dumpJson({{"revision", revisions.revision().value()},
                     {"digest", revisions.digest()},
                     {"highestRejected", revisions.highestRejected().value()},
                     {"routes", routes}});
}

std::string AdminApi::membersPage() const
{
    Json list = Json::array();
    for (const auto &[id, row] : m_core.fleet().members().rows()) {
        list.push_back({{"daemon", id.text()},
                        {"state", fleet::toString(row.member.state)},
                        {"zone", row.member.zone.text()},
                        {"incarnation", row.member.incarnation.value()},
                        {"host", row.member.caller.host},
                        {"port", row.member.caller.port}});
    }
    return dumpJson({{"members", list}});
}

std::string AdminApi::eventsPage(const net::HttpServerRequest &request) const
{
    const uint64_t after = std::strtoull(request.query("after").c_str(), nullptr, 10);
    Json list = Json::array();
    for (const observability::TimelineEntry &entry : m_timeline.entriesAfter(after, maxEvents)) {
        const observability::EventDescription &description
            = observability::describe(entry.event.code);
        list.push_back({{"sequence", entry.sequence},
                        {"wallUs", entry.wallMicroseconds},
                        {"monotonicUs", entry.at.time_since_epoch().count()},
                        {"code", static_cast<int>(entry.event.code)},
                        {"level", observability::toString(description.level)},
                        {"name", description.name},
                        {"request", entry.event.request.text()},
                        {"subject", entry.event.subject},
                        {"detail", entry.event.detail}});
    }
    return dumpJson({{"daemon", m_settings.daemon.text()},
                     {"incarnation", m_core.options().incarnation.value()},
                     {"last", m_timeline.lastSequence()},
                     {"events", list}});
}

void AdminApi::send(uint64_t number, uint16_t status, std::string text)
{
    m_server.respond(number, status, {{.name = "content-type", .value = net::jsonType}},
                     model::makeBody(std::move(text)));
}

void AdminApi::onClosed(uint64_t, bool)
{
}

} // namespace citronpick::daemon
