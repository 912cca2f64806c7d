#ifndef CITRONPICK_TESTS_STANDINS_UPSTREAMSTANDIN_H
#define CITRONPICK_TESTS_STANDINS_UPSTREAMSTANDIN_H

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "net/httpserver.h"

namespace citronpick::standins
{

//! How an upstream stand-in behaves from now on.
struct UpstreamScript {
    model::Duration delay {}; //!< Before an answer.
    uint16_t status = 200;
    bool isSilent = false; //!< Takes requests and never answers.
    bool closesConnection = false; //!< Loses the connection instead of answering.
    bool sendsGarbage = false; //!< Answers for another attempt.
    bool failsProbes = false;
    bool isLeaving = false;
    uint32_t tokens = 0; //!< Answers by a stream of so many tokens.
    uint32_t breaksAfterTokens = 0; //!< Ends the stream after so many; zero never does.
    uint32_t answerBytes = 0; //!< Answers with so many bytes instead of the input.
    std::string crashWord; //!< A body with this word closes every connection.
};

//! An upstream that follows a script and counts how often each request ran.
class UpstreamStandIn : public net::IHttpHandler
{
public:
    UpstreamStandIn(net::EventLoop &loop, std::string name);

    //! Port zero takes any free one; the port in use comes back.
    uint16_t listen(uint16_t port = 0);

    void setScript(UpstreamScript script)
    {
        m_script = std::move(script);
    }

    //! Sends answers that are due; to be called with each turn of the loop.
    void run(model::TimePoint now);

    //! Runs by the caller's identifier of the request.
    const std::map<std::string, uint32_t> &runs() const
    {
        return m_runs;
    }
    uint32_t totalRuns() const;
    //! Bytes of streams that the daemon has not read yet.
    size_t unreadBytes() const;
    //! Requests under way.
    uint32_t open() const
    {
        return m_open;
    }
    uint32_t probes() const
    {
        return m_probes;
    }

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

private:
    struct Due {
        model::TimePoint at;
        uint64_t number = 0;
        net::Headers headers;
        std::string body;
        uint32_t resumeFrom = 0;
        UpstreamScript script;
    };

    net::Headers answerHeaders(const net::HttpServerRequest &request) const;
    void answer(const Due &due);
    void answerStream(const Due &due);

    std::string m_name;
    net::HttpServer m_server;
    UpstreamScript m_script;
    std::deque<Due> m_due;
    std::map<std::string, uint32_t> m_runs;
    uint32_t m_probes = 0;
    uint32_t m_open = 0;
    std::vector<uint64_t> m_streams;
};

} // namespace citronpick::standins

#endif // CITRONPICK_TESTS_STANDINS_UPSTREAMSTANDIN_H
