#include "daemon/internal/controlapi.h"

namespace citronpick::daemon
{

namespace
{

constexpr uint16_t success = 200;
constexpr uint16_t notFound = 404;
constexpr uint16_t unavailable = 503;
//! Requests for readiness, addresses and metrics have no body.
constexpr size_t maxBodyBytes = 4U << 10U;
constexpr size_t maxHeldBytes = 8U << 20U;
constexpr const char *metricsPath = "/metrics";

} // namespace

ControlApi::Listener::Listener(net::EventLoop &loop, ControlApi &api, net::ProcessLimits &limits)
    : server(loop, *this, {.maxBodyBytes = maxBodyBytes, .maxHeldBytes = maxHeldBytes},
             limits.forControl())
    , m_api(api)
{
}

void ControlApi::Listener::onRequest(uint64_t exchange, net::IncomingRequest request)
{
    m_api.answer(server, exchange, request.head);
}

void ControlApi::Listener::onCallerDisconnected(uint64_t exchange)
{
    // Nothing to cancel: every request is answered as soon as it arrives.
    static_cast<void>(exchange);
}

ControlApi::ControlApi(net::EventLoop &loop, const RelayDaemon &daemon, const IWireFormat &format,
                       net::ProcessLimits &limits)
    : m_daemon(daemon)
    , m_format(format)
    , m_readiness(loop, *this, limits)
    , m_directory(loop, *this, limits)
    , m_metrics(loop, *this, limits)
{
}

void ControlApi::listen(net::ListenSocket readiness, net::ListenSocket directory,
                        net::ListenSocket metrics)
{
    m_readiness.server.listen(std::move(readiness));
    m_directory.server.listen(std::move(directory));
    m_metrics.server.listen(std::move(metrics));
}

void ControlApi::sweep(model::TimePoint now)
{
    for (Listener *listener : {&m_readiness, &m_directory, &m_metrics}) {
        listener->server.sweep(now);
    }
}

void ControlApi::answer(net::ExchangeServer &server, uint64_t exchange,
                        const net::MessageHead &head)
{
    switch (m_format.controlCallOf(head)) {
    case ControlCall::Readiness:
        server.respond(exchange, m_daemon.isReady() ? success : unavailable, {}, {});
        return;
    case ControlCall::Entries:
        answerEntries(server, exchange);
        return;
    case ControlCall::None:
        break;
    }
    if (head.target == metricsPath) {
        server.respond(exchange, success,
                       {{.name = "content-type", .value = "text/plain; version=0.0.4"}},
                       m_daemon.metricsPage());
        return;
    }
    server.respond(exchange, notFound, {}, {});
}

void ControlApi::answerEntries(net::ExchangeServer &server, uint64_t exchange)
{
    const std::vector<config::Endpoint> entries = m_daemon.entries();
    if (entries.empty()) {
        server.respond(exchange, unavailable, {}, {});
        return;
    }
    server.respond(exchange, success, {{.name = "content-type", .value = net::jsonType}},
                   m_format.encodeEntries(entries, m_daemon.entryLifetime()));
}

} // namespace citronpick::daemon
