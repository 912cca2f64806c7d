#include "standins/upstreamstandin.h"

#include <algorithm>
#include <cstdlib>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"

namespace citronpick::standins
{

namespace
{

//! A stream with more unread bytes is left open: its end would hide how much of it was read.
constexpr size_t maxUnendedBytes = 8U << 20U;

} // namespace

UpstreamStandIn::UpstreamStandIn(net::EventLoop &loop, std::string name)
    : m_name(std::move(name))
    , m_server(loop, *this, {.maxBodyBytes = 8U << 20U, .maxConnections = 10000})
{
}

uint16_t UpstreamStandIn::listen(uint16_t port)
{
    auto socket = net::ListenSocket::bind({.host = "127.0.0.1", .port = port});
    if (!socket.ok()) {
        return 0;
    }
    m_server.listen(*std::move(socket));
    return m_server.port();
}

uint32_t UpstreamStandIn::totalRuns() const
{
    uint32_t total = 0;
    for (const auto &[request, runs] : m_runs) {
        total += runs;
    }
    return total;
}

net::Headers UpstreamStandIn::answerHeaders(const net::HttpServerRequest &request) const
{
    std::string attempt(request.header("x-citronpick-attempt"));
    if (m_script.sendsWrongAttempt) {
        attempt = "0-0";
    }
    net::Headers headers {
        {.name = "x-citronpick-attempt", .value = attempt},
        {.name = "x-citronpick-upstream", .value = m_name},
        {.name = "x-citronpick-in-flight", .value = absl::StrCat(m_openRequests)}};
    if (m_script.isLeaving) {
        headers.push_back({.name = "x-citronpick-leaving", .value = "1"});
    }
    return headers;
}

void UpstreamStandIn::onRequest(const net::HttpServerRequest &request)
{
    if (request.path() == "/health") {
        ++m_probes;
        m_server.respond(request.number(), m_script.failsProbes ? 503 : 200, answerHeaders(request),
                         nullptr);
        return;
    }
    ++m_openRequests;
    ++m_runs[std::string(request.header("x-citronpick-request"))];
    const bool isCrash = !m_script.crashWord.empty()
                         && request.body().find(m_script.crashWord) != std::string_view::npos;
    if (isCrash || m_script.closesConnection) {
        // An answer shorter than its content-length looks like a lost connection to the daemon.
        m_server.beginStream(request.number(), 200, {{.name = "content-length", .value = "9"}});
        m_server.endStream(request.number());
        return;
    }
    if (m_script.neverAnswers) {
        return;
    }
    const std::string resume(request.header("x-citronpick-resume-from"));
    const PendingAnswer pending {.at = net::EventLoop::now() + m_script.delay,
                                 .number = request.number(),
                                 .headers = answerHeaders(request),
                                 .body = std::string(request.body()),
                                 .resumeFrom
                                 = static_cast<uint32_t>(std::strtoul(resume.c_str(), nullptr, 10)),
                                 .script = m_script};
    if (m_script.delay == model::Duration::zero()) {
        answer(pending);
        return;
    }
    m_pendingAnswers.push_back(pending);
}

void UpstreamStandIn::run(model::TimePoint now)
{
    m_server.closeAbandonedExchanges();
    for (size_t i = 0; i < m_pendingAnswers.size();) {
        if (m_pendingAnswers[i].at > now) {
            ++i;
            continue;
        }
        const PendingAnswer pending = std::move(m_pendingAnswers[i]);
        m_pendingAnswers.erase(m_pendingAnswers.begin() + static_cast<ptrdiff_t>(i));
        answer(pending);
    }
}

void UpstreamStandIn::answer(const PendingAnswer &pending)
{
    if (pending.script.tokens > 0 && pending.script.status == 200) {
        answerStream(pending);
        return;
    }
    std::string body = absl::StrCat(m_name, "(", pending.body, ")");
    if (pending.script.answerBytes > 0) {
        body.assign(pending.script.answerBytes, 'x');
    }
    m_server.respond(pending.number, pending.script.status, pending.headers,
                     model::makeBody(std::move(body)));
}

size_t UpstreamStandIn::unreadBytes() const
{
    size_t bytes = 0;
    for (const uint64_t stream : m_streams) {
        bytes += m_server.buffered(stream);
    }
    return bytes;
}

void UpstreamStandIn::answerStream(const PendingAnswer &pending)
{
    m_streams.push_back(pending.number);
    m_server.beginStream(pending.number, 200, pending.headers);
    const uint32_t last = pending.script.breaksAfterTokens > 0
                              ? std::min(pending.script.tokens, pending.script.breaksAfterTokens)
                              : pending.script.tokens;
    std::string records;
    for (uint32_t token = pending.resumeFrom; token < last; ++token) {
        absl::StrAppend(&records, R"({"seq":)", token, R"(,"text":"t)", token, R"( "})", "\n");
    }
    if (last == pending.script.tokens) {
        records += "{\"done\":true}\n";
    }
    m_server.write(pending.number, records);
    if (m_server.buffered(pending.number) < maxUnendedBytes) {
        m_server.endStream(pending.number);
    }
}

void UpstreamStandIn::onClosed(uint64_t number, bool)
{
    std::erase(m_streams, number);
    std::erase_if(m_pendingAnswers,
                  [number](const PendingAnswer &pending) { return pending.number == number; });
    m_openRequests -= m_openRequests > 0 ? 1 : 0;
}

} // namespace citronpick::standins
