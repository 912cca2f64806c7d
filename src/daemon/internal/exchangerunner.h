#ifndef CITRONPICK_DAEMON_INTERNAL_EXCHANGERUNNER_H
#define CITRONPICK_DAEMON_INTERNAL_EXCHANGERUNNER_H

#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "daemon/internal/eventdetector.h"
#include "daemon/internal/eventsplitter.h"
#include "daemon/internal/irelayhost.h"
#include "daemon/iwireformat.h"
#include "net/exchangeserver.h"
#include "net/upstreamclient.h"
#include "relay/relaysystem.h"

namespace citronpick::daemon
{

//! Holds requests and answers, and sends, relays or drops them as the relay system commands.
class ExchangeRunner : public net::IExchangeHandler, public net::IUpstreamHandler
{
public:
    ExchangeRunner(net::EventLoop &loop, net::UpstreamClient &client, const IWireFormat &format,
                   relay::RelaySystem &system, IRelayHost &host, net::ExchangeLimits limits,
                   const net::ListenerLimits &shared);

    net::ExchangeServer &server()
    {
        return m_server;
    }

    // Commands of the relay system
    void start(const relay::StartAttempt &command);
    void cancel(const relay::CancelAttempt &command);
    void recall(const relay::RecallCalls &command);
    void startStream(const relay::StartStream &command);
    void resumeStream(const relay::ResumeStream &command);
    void finishStream(const relay::FinishStream &command);
    void forwardAnswer(const relay::ForwardAnswer &command);
    void abortAnswer(const relay::AbortAnswer &command);
    void refuse(const relay::RefuseRequest &command);

    void onRequest(uint64_t exchange, net::IncomingRequest request) override;
    void onCallerDisconnected(uint64_t exchange) override;
    void onRequestDropped(const net::MessageHead &head) override;
    void onDrained(uint64_t exchange) override;
    void onPipelinedDiscarded(uint64_t exchange, size_t bytes) override;
    void onConnectionCut(const net::CutConnection &cut) override;

    void onConnected(uint64_t call) override;
    void onHead(uint64_t call, const net::MessageHead &head) override;
    void onBody(uint64_t call, std::string_view bytes) override;
    void onEnd(uint64_t call) override;
    void onFailure(uint64_t call, net::CallFailure failure) override;

private:
    struct PendingRequest {
        net::IncomingRequest request;
        model::CallerRequestId callerId;
    };
    struct Attempt {
        model::RequestId request;
        model::UpstreamId upstream;
        uint64_t incarnation = 0;
        config::Endpoint address;
        uint64_t call = 0;
        model::TimePoint startedAt;
        net::MessageHead head;
        size_t headBytes = 0; //!< Memory of \a head.
        net::HeldBytes held {}; //!< Reported for the head, unsentBody and an event without its end.
        std::string unsentBody; //!< Answer body that has not been relayed to the caller yet.
        bool isRelaying = false;
        bool forwardsWholeEvents = false;
        EventSplitter splitter;
        EventDetector events;
    };

    Attempt *find(model::AttemptId attempt);
    Attempt *attemptOf(uint64_t call, model::AttemptId &id);
    //! True for a stream of events that ended with its connection, but not behind an event.
    static bool wasCutOff(const Attempt &attempt);
    //! Must be called after each change of the bytes that the attempt holds.
    void account(Attempt &attempt);
    //! Bytes buffered for one caller above which reading from its upstream is paused.
    size_t maxBufferedBytes();
    //! Bytes of an event whose end has not arrived.
    size_t maxEventBytes();
    //! Bytes of an answer that may be held back for a repeat.
    size_t maxHeldBackBytes();
    void write(Attempt &attempt, std::string_view bytes);
    void setPaused(model::AttemptId id, const Attempt &attempt, bool isPaused);
    void failMalformed(model::AttemptId id, const Attempt &attempt);
    void removeAttempt(model::AttemptId attempt);
    void removeRequest(model::RequestId request);

    net::ExchangeServer m_server;
    net::UpstreamClient &m_client;
    const IWireFormat &m_format;
    relay::RelaySystem &m_system;
    IRelayHost &m_host;
    //! Requests kept for further attempts until their answer is complete.
    absl::flat_hash_map<model::RequestId, PendingRequest> m_pendingRequests;
    absl::flat_hash_map<model::AttemptId, Attempt> m_attempts;
    absl::flat_hash_map<uint64_t, model::AttemptId> m_calls;
    //! The attempt whose answer is being relayed to the caller, by request.
    absl::flat_hash_map<model::RequestId, model::AttemptId> m_relayedAttempts;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_EXCHANGERUNNER_H
