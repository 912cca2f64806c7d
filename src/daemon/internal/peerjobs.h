#ifndef CITRONPICK_DAEMON_INTERNAL_PEERJOBS_H
#define CITRONPICK_DAEMON_INTERNAL_PEERJOBS_H

#include <string>

#include <absl/container/flat_hash_map.h>

#include "daemon/internal/irelayhost.h"
#include "net/exchangeserver.h"
#include "net/messageauth.h"
#include "net/upstreamclient.h"
#include "relay/relaysystem.h"

namespace citronpick::daemon
{

//! Forwards stage jobs to the daemon that schedules their pool, and receives the stage jobs of
//! other daemons. Each job is one HTTP exchange: if the forwarding daemon closes the connection,
//! the job is cancelled; if the scheduling daemon goes down, the job fails.
class PeerJobs : public net::IExchangeHandler, public net::IUpstreamHandler
{
public:
    PeerJobs(net::EventLoop &loop, net::UpstreamClient &client, net::MessageAuth &auth,
             relay::RelaySystem &system, IRelayHost &host, uint16_t port,
             const net::ListenerLimits &limits);

    void listen(net::ListenSocket socket)
    {
        m_server.listen(std::move(socket));
    }
    //! Drops the jobs of peers that have closed their connections.
    void endDeparted()
    {
        m_server.endDeparted();
    }
    void sweep(model::TimePoint now)
    {
        m_server.sweep(now);
    }
    size_t openExchanges() const
    {
        return m_server.exchangeCount();
    }

    void forward(const relay::ForwardJob &command);
    void cancel(const relay::CancelForwardedJob &command);
    void answer(const relay::AnswerPeer &command);

    void onRequest(uint64_t exchange, net::IncomingRequest request) override;
    void onCallerDisconnected(uint64_t exchange) override;

    void onHead(uint64_t call, const net::MessageHead &head) override;
    void onBody(uint64_t call, std::string_view bytes) override;
    void onEnd(uint64_t call) override;
    void onFailure(uint64_t call, net::CallFailure failure) override;

private:
    struct Call {
        relay::JobId job;
        std::string stamp;
        std::string code;
        uint16_t status = 0;
        std::string body;
    };

    net::ExchangeServer m_server;
    net::UpstreamClient &m_client;
    net::MessageAuth &m_auth;
    relay::RelaySystem &m_system;
    IRelayHost &m_host;
    uint16_t m_port;
    absl::flat_hash_map<uint64_t, Call> m_calls;
    absl::flat_hash_map<relay::JobId, uint64_t> m_callsByJob;
    //! Stamps of unanswered jobs, by exchange number.
    absl::flat_hash_map<uint64_t, std::string> m_stamps;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_PEERJOBS_H
