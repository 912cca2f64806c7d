#ifndef CITRONPICK_DAEMON_INTERNAL_CONTROLAPI_H
#define CITRONPICK_DAEMON_INTERNAL_CONTROLAPI_H

#include "daemon/relaydaemon.h"
#include "net/exchangeserver.h"

namespace citronpick::daemon
{

//! HTTP endpoints for readiness, the list of daemons that callers may use, and metrics.
class ControlApi
{
public:
    ControlApi(net::EventLoop &loop, const RelayDaemon &daemon, const IWireFormat &format,
               net::ProcessLimits &limits);

    void listen(net::ListenSocket readiness, net::ListenSocket directory,
                net::ListenSocket metrics);
    void sweep(model::TimePoint now);

private:
    //! Exchange numbers are unique per listener only, so each listener has its own handler.
    class Listener : public net::IExchangeHandler
    {
    public:
        Listener(net::EventLoop &loop, ControlApi &api, net::ProcessLimits &limits);

        void onRequest(uint64_t exchange, net::IncomingRequest request) override;
        void onCallerDisconnected(uint64_t exchange) override;

        net::ExchangeServer server;

    private:
        ControlApi &m_api;
    };

    void answer(net::ExchangeServer &server, uint64_t exchange, const net::MessageHead &head);
    void answerEntries(net::ExchangeServer &server, uint64_t exchange);

    const RelayDaemon &m_daemon;
    const IWireFormat &m_format;
    Listener m_readiness;
    Listener m_directory;
    Listener m_metrics;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_CONTROLAPI_H
