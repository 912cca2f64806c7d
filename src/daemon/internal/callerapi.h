#ifndef CITRONPICK_DAEMON_INTERNAL_CALLERAPI_H
#define CITRONPICK_DAEMON_INTERNAL_CALLERAPI_H

#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "config/settings.h"
#include "core/commands.h"
#include "core/core.h"
#include "daemon/ieventsink.h"
#include "daemon/internal/attemptrunner.h"
#include "net/httpserver.h"

namespace citronpick::daemon
{

//! HTTP API for callers: requests, operation keys, entry addresses, metrics and readiness.
class CallerApi : public net::IHttpHandler
{
public:
    CallerApi(net::EventLoop &loop, const config::Settings &settings, const core::Core &core,
              AttemptRunner &attempts, net::HttpMemoryLimit &memory, IEventSink &sink);

    void listen(net::ListenSocket socket)
    {
        m_server.listen(std::move(socket));
    }
    void stopListening()
    {
        m_server.stopListening();
    }

    //! Ends the requests of callers that have closed their connection.
    void closeAbandonedExchanges()
    {
        m_server.closeAbandonedExchanges();
    }

    void respond(const pipeline::Respond &command);
    void stream(const pipeline::StreamToCaller &command);
    void sendOperationKey(const core::OperationOpened &command);

    //! Number of requests whose answer has not been sent completely.
    size_t openRequests() const
    {
        return m_openRequests.size();
    }

    //! Number of requests that were refused because their bodies had no room.
    uint64_t refusedForRoom() const
    {
        return m_refusedForRoom;
    }

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;
    void onDrained(uint64_t number) override;

private:
    struct OpenRequest {
        std::string callerId;
        bool wantsStream = false;
        bool hasStreamBegun = false;
        bool isPaused = false;
        bool isAnswered = false;
    };

    void onRun(const net::HttpServerRequest &request);
    void onEntry(const net::HttpServerRequest &request);
    void onMetrics(const net::HttpServerRequest &request);
    std::optional<pipeline::RequestArrived> parseRequest(const net::HttpServerRequest &request,
                                                         std::string &error) const;
    void refuseForRoom(const net::HttpServerRequest &request);
    void respondBadRequest(uint64_t number, const std::string &callerId, const std::string &error);
    void sendText(uint64_t number, uint16_t status, const std::string &type, std::string text);
    void beginStream(uint64_t number, OpenRequest &open);
    static net::Headers outcomeHeaders(const std::string &callerId,
                                       const pipeline::Respond &command);

    const config::Settings &m_settings;
    const core::Core &m_core;
    AttemptRunner &m_attempts;
    net::HttpMemoryLimit &m_memory;
    IEventSink &m_sink;
    net::HttpServer m_server;
    //! Keyed by exchange number, which is also the request number.
    absl::flat_hash_map<uint64_t, OpenRequest> m_openRequests;
    uint64_t m_badRequests = 0;
    uint64_t m_refusedForRoom = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_CALLERAPI_H
