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

//! Sends attempts and probes to upstreams and reports what comes of them.
class AttemptRunner
{
public:
    AttemptRunner(net::HttpClient &client, IEventSink &sink, model::Incarnation incarnation);

    void start(const pipeline::StartAttempt &command);
    void cancel(model::AttemptId attempt);
    void probe(const core::SendProbe &command);

    //! Stops or resumes reading streamed answers for a request whose caller reads slowly.
    void setPaused(model::RequestId request, bool isPaused);

    size_t openAttempts() const
    {
        return m_attempts.size();
    }

private:
    struct Open {
        uint64_t call = 0;
        model::RequestId request;
        std::string echo; //!< What the answer's attempt header has to say.
        bool checksEcho = true;
        uint16_t status = 0;
        std::string partialLine; //!< Of a streamed answer.
        std::string collected; //!< Of an error answer to a streamed attempt.
        bool isDone = false; //!< The stream's last record has come.
        std::optional<pipeline::ReportedLoad> load;
    };

    void forget(model::AttemptId attempt);
    net::HttpCall callFor(const pipeline::StartAttempt &command, const std::string &echo) const;
    net::HttpCallbacks callbacksFor(model::AttemptId attempt, bool isStreaming);
    void onHead(model::AttemptId attempt, const net::HttpAnswer &answer);
    void onData(model::AttemptId attempt, std::string_view bytes);
    void onAnswer(model::AttemptId attempt, net::HttpAnswer answer, bool isStreaming);
    void onError(model::AttemptId attempt, net::HttpError error);
    void fail(model::AttemptId attempt, pipeline::AttemptError error);
    bool isEchoGood(const Open &open, const net::Headers &headers) const;
    bool takeRecord(Open &open, std::string_view line, std::vector<pipeline::StreamToken> &tokens);

    net::HttpClient &m_client;
    IEventSink &m_sink;
    std::string m_incarnation;
    absl::flat_hash_map<model::AttemptId, Open> m_attempts;
    //! Streamed attempts of each request; two while one hedges the other.
    absl::flat_hash_map<model::RequestId, std::vector<model::AttemptId>> m_streams;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_ATTEMPTRUNNER_H
