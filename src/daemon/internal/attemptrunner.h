#ifndef CITRONPICK_DAEMON_INTERNAL_ATTEMPTRUNNER_H
#define CITRONPICK_DAEMON_INTERNAL_ATTEMPTRUNNER_H

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "core/commands.h"
#include "daemon/ieventsink.h"
#include "model/ids.h"
#include "net/httpclient.h"

namespace citronpick::daemon
{

//! Sends attempts and health probes to upstreams and reports their results to the core.
class AttemptRunner
{
public:
    AttemptRunner(net::HttpClient &client, IEventSink &sink, model::Incarnation incarnation);

    void start(const pipeline::StartAttempt &command);
    void cancel(model::AttemptId attempt);
    void probe(const core::SendProbe &command);

    //! Pauses or resumes reading the streamed answers of a request whose caller reads slowly.
    void setPaused(model::RequestId request, bool isPaused);

    size_t openAttempts() const
    {
        return m_attempts.size();
    }

private:
    struct OpenAttempt {
        uint64_t call = 0;
        model::RequestId request;
        std::string echo; //!< Expected value of the answer's x-citronpick-attempt header.
        bool checksEcho = true;
        uint16_t status = 0;
        std::string partialLine; //!< Incomplete last line of a streamed answer.
        std::string errorBody; //!< Body of an error answer to a streamed attempt.
        bool hasFinalRecord = false; //!< The final record of the stream was received.
        std::optional<pipeline::ReportedLoad> load;
    };

    void removeAttempt(model::AttemptId attempt);
    net::HttpCall buildCall(const pipeline::StartAttempt &command, const std::string &echo) const;
    net::HttpCallbacks buildCallbacks(model::AttemptId attempt, bool isStreaming);
    void onHead(model::AttemptId attempt, const net::HttpResponse &answer);
    void onData(model::AttemptId attempt, std::string_view bytes);
    void onAnswer(model::AttemptId attempt, net::HttpResponse answer, bool isStreaming);
    void onError(model::AttemptId attempt, net::HttpError error);
    void fail(model::AttemptId attempt, pipeline::AttemptError error);
    bool isEchoValid(const OpenAttempt &open, const net::Headers &headers) const;
    bool parseRecord(OpenAttempt &open, std::string_view line,
                     std::vector<pipeline::StreamToken> &tokens);

    net::HttpClient &m_client;
    IEventSink &m_sink;
    std::string m_incarnation;
    absl::flat_hash_map<model::AttemptId, OpenAttempt> m_attempts;
    //! Open streamed attempts by request; two while a hedge is open.
    absl::flat_hash_map<model::RequestId, std::vector<model::AttemptId>> m_streamedAttempts;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_ATTEMPTRUNNER_H
