#ifndef CITRONPICK_TESTS_STANDINS_UPSTREAMSTANDIN_H
#define CITRONPICK_TESTS_STANDINS_UPSTREAMSTANDIN_H

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "net/httpserver.h"

namespace citronpick::standins
{

//! Behaviour of an upstream stand-in.
struct UpstreamScript {
    model::Duration delay {}; //!< Time from a request to its answer.
    uint16_t status = 200;
    bool neverAnswers = false; //!< Accepts requests without ever answering.
    bool closesConnection = false; //!< Closes the connection instead of answering.
    bool sendsWrongAttempt = false; //!< Answers with the attempt identifier "0-0".
    bool failsProbes = false;
    bool isLeaving = false;
    uint32_t tokens = 0; //!< Number of tokens in a streamed answer; zero answers without a stream.
    uint32_t breaksAfterTokens = 0; //!< Ends the stream after this many tokens; zero: never.
    uint32_t answerBytes = 0; //!< Size of the answer; zero answers with the input.
    std::string crashWord; //!< A request whose body contains this word closes the connection.
};

//! HTTP upstream with scripted behaviour that counts how often each request was executed.
class UpstreamStandIn : public net::IHttpHandler
{
public:
    UpstreamStandIn(net::EventLoop &loop, std::string name);

    //! Listens on a port, on any free one if it is zero. Returns the port in use, zero on failure.
    uint16_t listen(uint16_t port = 0);

    void setScript(UpstreamScript script)
    {
        m_script = std::move(script);
    }

    //! Sends answers that are due; to be called in each iteration of the event loop.
    void run(model::TimePoint now);

    //! Number of executions by the caller's request identifier.
    const std::map<std::string, uint32_t> &runs() const
    {
        return m_runs;
    }
    uint32_t totalRuns() const;
    //! Bytes of open streams that are buffered because the daemon has not read them yet.
    size_t unreadBytes() const;
    //! Number of requests in progress.
    uint32_t openRequests() const
    {
        return m_openRequests;
    }
    uint32_t probes() const
    {
        return m_probes;
    }

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

private:
    struct PendingAnswer {
        model::TimePoint at;
        uint64_t number = 0;
        net::Headers headers;
        std::string body;
        uint32_t resumeFrom = 0;
        UpstreamScript script;
    };

    net::Headers answerHeaders(const net::HttpServerRequest &request) const;
    void answer(const PendingAnswer &pending);
    void answerStream(const PendingAnswer &pending);

    std::string m_name;
    net::HttpServer m_server;
    UpstreamScript m_script;
    std::deque<PendingAnswer> m_pendingAnswers;
    std::map<std::string, uint32_t> m_runs;
    uint32_t m_probes = 0;
    uint32_t m_openRequests = 0;
    std::vector<uint64_t> m_streams;
};

} // namespace citronpick::standins

#endif // CITRONPICK_TESTS_STANDINS_UPSTREAMSTANDIN_H
