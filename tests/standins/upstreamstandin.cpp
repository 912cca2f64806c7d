#include "standins/upstreamstandin.h"

#include <algorithm>
#include <cstdlib>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"

namespace citronpick::standins
{

namespace
{

//! A longer stream is left open: its end would hide how much of it was read.
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
    if (m_script.sendsGarbage) {
        attempt = "0-0";
    }
    net::Headers headers {{.name = "x-citronpick-attempt", .value = attempt},
                          {.name = "x-citronpick-upstream", .value = m_name},
                          {.name = "x-citronpick-in-flight", .value = absl::StrCat(m_open)}};
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
    ++m_open;
    ++m_runs[std::string(request.header("x-citronpick-request"))];
    const bool isCrash = !m_script.crashWord.empty()
                         && request.body().find(m_script.crashWord) != std::string_view::npos;
    if (isCrash || m_script.closesConnection) {
        // A stream that ends without its last record is what a lost connection looks like.
        m_server.beginStream(request.number(), 200, {{.name = "content-length", .value = "9"}});
        m_server.endStream(request.number());
        return;
    }
    if (m_script.isSilent) {
        return;
    }
    const std::string resume(request.header("x-citronpick-resume-from"));
    const Due due {.at = net::EventLoop::now() + m_script.delay,
                   .number = request.number(),
                   .headers = answerHeaders(request),
                   .body = std::string(request.body()),
                   .resumeFrom = static_cast<uint32_t>(std::strtoul(resume.c_str(), nullptr, 10)),
                   .script = m_script};
    if (m_script.delay == model::Duration::zero()) {
        answer(due);
        return;
    }
    m_due.push_back(due);
}

void UpstreamStandIn::run(model::TimePoint now)
{
    m_server.dropAbandoned();
    for (size_t i = 0; i < m_due.size();) {
        if (m_due[i].at > now) {
            ++i;
            continue;
        }
        const Due due = std::move(m_due[i]);
        m_due.erase(m_due.begin() + static_cast<ptrdiff_t>(i));
        answer(due);
    }
}

void UpstreamStandIn::answer(const Due &due)
{
    if (due.script.tokens > 0 && due.script.status == 200) {
        answerStream(due);
        return;
    }
    std::string body = absl::StrCat(m_name, "(", due.body, ")");
    if (due.script.answerBytes > 0) {
        body.assign(due.script.answerBytes, 'x');
    }
    m_server.respond(due.number, due.script.status, due.headers, model::makeBody(std::move(body)));
}

size_t UpstreamStandIn::unreadBytes() const
{
    size_t bytes = 0;
    for (const uint64_t stream : m_streams) {
        bytes += m_server.buffered(stream);
    }
    return bytes;
}

void UpstreamStandIn::answerStream(const Due &due)
{
    m_streams.push_back(due.number);
    m_server.beginStream(due.number, 200, due.headers);
    const uint32_t last = due.script.breaksAfterTokens > 0
                              ? std::min(due.script.tokens, due.script.breaksAfterTokens)
                              : due.script.tokens;
    std::string records;
    for (uint32_t token = due.resumeFrom; token < last; ++token) {
        absl::StrAppend(&records, R"({"seq":)", token, R"(,"text":"t)", token, R"( "})", "\n");
    }
    if (last == due.script.tokens) {
        records += "{\"done\":true}\n";
    }
    m_server.write(due.number, records);
    if (m_server.buffered(due.number) < maxUnendedBytes) {
        m_server.endStream(due.number);
    }
}

void UpstreamStandIn::onClosed(uint64_t number, bool)
{
    std::erase(m_streams, number);
    std::erase_if(m_due, [number](const Due &due) { return due.number == number; });
    m_open -= m_open > 0 ? 1 : 0;
}

} // namespace citronpick::standins
