#include "daemon/internal/callerapi.h"

#include <algorithm>
#include <charconv>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "daemon/internal/metricspage.h"
#include "daemon/internal/outcomestatus.h"
#include "model/abslview.h"

namespace citronpick::daemon
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view runPrefix = "/v1/run/";
constexpr size_t maxIdLength = 128;
constexpr uint32_t maxExpectedTokens = 1000000;
constexpr const char *streamType = "application/x-ndjson";
//! Until then, what takes the room has usually been closed.
constexpr model::Duration roomRetryAfter = model::seconds(1);

//! With a known number of descriptors, half are left for upstreams, peers, administration and
//! files.
uint32_t maxConnectionsOf(const config::Settings &settings)
{
    const uint32_t most = settings.limits.maxConnections;
    const size_t descriptors = settings.maxDescriptors / 2;
    return settings.maxDescriptors == 0
               ? most
               : static_cast<uint32_t>(std::min<size_t>(most, descriptors));
}

//! Accepts visible ASCII of limited length only, since identifiers are written to headers, logs and
//! the timeline.
bool isValidId(std::string_view text)
{
    if (text.empty() || text.size() > maxIdLength) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character <= '~'; });
}

//! Returns false if the text is neither empty nor a number up to the limit. Leaves \a value unset
//! if the text is empty.
bool parseNumber(std::string_view text, uint64_t limit, std::optional<uint64_t> &value)
{
    if (text.empty()) {
        return true;
    }
    uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!isNumber || number > limit) {
        return false;
    }
    value = number;
    return true;
}

//! Replaces invalid UTF-8 in strings, which dump() would otherwise reject with an exception.
std::string dumpJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

CallerApi::CallerApi(net::EventLoop &loop, const config::Settings &settings, const core::Core &core,
                     AttemptRunner &attempts, net::HttpMemoryLimit &memory, IEventSink &sink)
    : m_settings(settings)
    , m_core(core)
    , m_attempts(attempts)
    , m_memory(memory)
    , m_sink(sink)
    , m_server(loop, *this,
               {.maxBodyBytes = settings.limits.maxBodyBytes,
                .maxConnections = maxConnectionsOf(settings),
                .requestTimeout = settings.limits.requestTimeout,
                .memory = &memory})
{
}

void CallerApi::onRequest(const net::HttpServerRequest &request)
{
    const std::string_view path = request.path();
    const std::string_view method = request.method();
    if (path.starts_with(runPrefix)) {
        if (method != "POST") {
            respondBadRequest(request.number(), "", "use POST");
            return;
        }
        onRun(request);
        return;
    }
    if (path == "/v1/operations" && method == "POST") {
        m_openRequests.emplace(request.number(), OpenRequest {});
        m_sink.post(core::OperationRequested {.request = model::RequestId(request.number())});
        return;
    }
    if (path == "/v1/entry") {
        onEntry(request);
        return;
    }
    if (path == "/live") {
        sendText(request.number(), 200, "text/plain", "live\n");
        return;
    }
    if (path == "/ready") {
        const bool isReady = m_core.isReady(net::EventLoop::now());
        sendText(request.number(), isReady ? 200 : 503, "text/plain",
                 isReady ? "ready\n" : "not ready\n");
        return;
    }
    if (path == "/metrics") {
        onMetrics(request);
        return;
    }
    sendText(request.number(), 404, net::jsonType, R"({"reason":"unknown-path"})");
}

void CallerApi::refuseForRoom(const net::HttpServerRequest &request)
{
    ++m_refusedForRoom;
    const std::string_view callerId = request.header("x-citronpick-request");
    m_openRequests.emplace(
        request.number(),
        OpenRequest {.callerId = isValidId(callerId) ? std::string(callerId) : std::string()});
    respond({.request = model::RequestId(request.number()),
             .outcome = model::Outcome::NotRun,
             .reason = model::Reason::Overloaded,
             .retryAfter = roomRetryAfter});
}

void CallerApi::onRun(const net::HttpServerRequest &request)
{
    if (!m_memory.hasRoomFor(request.body().size())) {
        refuseForRoom(request);
        return;
    }
    std::string error;
    auto event = parseRequest(request, error);
    if (!event) {
        ++m_badRequests;
        respondBadRequest(request.number(), "", error);
        return;
    }
    m_openRequests.emplace(request.number(), OpenRequest {.callerId = event->callerId.text(),
                                                          .wantsStream = event->wantsStream});
    m_sink.post(*std::move(event));
}

std::optional<pipeline::RequestArrived>
CallerApi::parseRequest(const net::HttpServerRequest &request, std::string &error) const
{
    const std::string_view callerId = request.header("x-citronpick-request");
    const std::string_view account = request.header("x-citronpick-account");
    const std::string_view route = request.path().substr(runPrefix.size());
    if (!isValidId(callerId)) {
        error = "x-citronpick-request must be 1 to 128 visible characters";
        return std::nullopt;
    }
    if (!isValidId(account)) {
        error = "x-citronpick-account must be 1 to 128 visible characters";
        return std::nullopt;
    }
    if (!isValidId(route)) {
        error = "the path must name a route";
        return std::nullopt;
    }
    const auto maxDeadline
        = static_cast<uint64_t>(model::toMilliseconds(m_settings.limits.maxDeadline));
    std::optional<uint64_t> deadline;
    if (!parseNumber(request.header("x-citronpick-deadline-ms"), maxDeadline, deadline)) {
        error = absl::StrCat("x-citronpick-deadline-ms must be 0 to ", maxDeadline);
        return std::nullopt;
    }
    std::optional<uint64_t> tokens;
    if (!parseNumber(request.header("x-citronpick-expected-tokens"), maxExpectedTokens, tokens)) {
        error = absl::StrCat("x-citronpick-expected-tokens must be 0 to ", maxExpectedTokens);
        return std::nullopt;
    }
    pipeline::RequestArrived event;
    event.request = model::RequestId(request.number());
    event.callerId = model::CallerRequestId(std::string(callerId));
    event.account = model::AccountId(std::string(account));
    event.route = model::RouteId(std::string(route));
    event.priority = std::string(request.header("x-citronpick-priority"));
    if (deadline) {
        event.budget = model::milliseconds(static_cast<int64_t>(*deadline));
    }
    event.expectedTokens = static_cast<uint32_t>(tokens.value_or(0));
    event.wantsStream = request.header("x-citronpick-stream") == "1";
    event.operationKey = std::string(request.header("x-citronpick-operation"));
    event.body = model::makeBody(std::string(request.body()));
    return event;
}

void CallerApi::respondBadRequest(uint64_t number, const std::string &callerId,
                                  const std::string &error)
{
    const pipeline::Respond command {.request = model::RequestId(number),
                                     .outcome = model::Outcome::NotRun,
                                     .reason = model::Reason::BadRequest,
                                     .detail = error};
    m_openRequests.emplace(number, OpenRequest {.callerId = callerId});
    respond(command);
}

net::Headers CallerApi::outcomeHeaders(const std::string &callerId,
                                       const pipeline::Respond &command)
{
    net::Headers headers {
        {.name = "x-citronpick-outcome", .value = std::string(model::toString(command.outcome))},
        {.name = "x-citronpick-reason", .value = std::string(model::toString(command.reason))}};
    if (!callerId.empty()) {
        headers.push_back({.name = "x-citronpick-request", .value = callerId});
    }
    if (command.upstreamStatus != 0) {
        headers.push_back({.name = "x-citronpick-upstream-status",
                           .value = absl::StrCat(command.upstreamStatus)});
    }
    if (command.retryAfter > model::Duration::zero()) {
        const int64_t milliseconds = model::toMilliseconds(command.retryAfter) + 1;
        constexpr int64_t perSecond = 1000;
        headers.push_back(
            {.name = "x-citronpick-retry-after-ms", .value = absl::StrCat(milliseconds)});
        headers.push_back({.name = "retry-after",
                           .value = absl::StrCat((milliseconds + perSecond - 1) / perSecond)});
    }
    return headers;
}

void CallerApi::respond(const pipeline::Respond &command)
{
    const uint64_t number = command.request.value();
    const auto it = m_openRequests.find(number);
    if (it == m_openRequests.end()) {
        return;
    }
    OpenRequest &open = it->second;
    open.isAnswered = true;
    const bool isComplete = command.outcome == model::Outcome::Complete;
    const bool isStreamComplete = open.wantsStream && isComplete && !command.body;
    if (isStreamComplete && !open.hasStreamBegun) {
        beginStream(number, open);
    }
    const Json summary {{"outcome", model::toString(command.outcome)},
                        {"reason", model::toString(command.reason)}};
    if (open.hasStreamBegun) {
        m_server.write(number, dumpJson(summary) + "\n");
        m_server.endStream(number);
        return;
    }
    net::Headers headers = outcomeHeaders(open.callerId, command);
    model::BodyPtr body = command.body;
    if (!body || (body->empty() && !isComplete)) {
        Json errorDocument = summary;
        if (!command.detail.empty()) {
            errorDocument["detail"] = command.detail;
        }
        body = model::makeBody(isComplete ? std::string() : dumpJson(errorDocument) + "\n");
    }
    headers.push_back(
        {.name = "content-type", .value = isComplete ? "application/octet-stream" : net::jsonType});
    m_server.respond(number, httpStatusOf(command), headers, std::move(body));
}

void CallerApi::beginStream(uint64_t number, OpenRequest &open)
{
    open.hasStreamBegun = true;
    m_server.beginStream(number, 200,
                         {{.name = "content-type", .value = streamType},
                          {.name = "x-citronpick-request", .value = open.callerId},
                          {.name = "x-citronpick-outcome", .value = "streaming"}});
}

void CallerApi::stream(const pipeline::StreamToCaller &command)
{
    const uint64_t number = command.request.value();
    const auto it = m_openRequests.find(number);
    if (it == m_openRequests.end()) {
        return;
    }
    OpenRequest &open = it->second;
    if (!open.hasStreamBegun) {
        beginStream(number, open);
    }
    m_server.write(number, dumpJson(Json {{"text", command.text}}) + "\n");
    const bool isBufferFull = m_server.buffered(number) > m_settings.limits.maxStreamBufferBytes;
    if (!isBufferFull) {
        return;
    }
    // An attempt that started after the pause is not paused yet.
    m_attempts.setPaused(command.request, true);
    if (!open.isPaused) {
        open.isPaused = true;
        m_sink.post(pipeline::CallerBlocked {.request = command.request});
    }
}

void CallerApi::onDrained(uint64_t number)
{
    const auto it = m_openRequests.find(number);
    if (it != m_openRequests.end() && it->second.isPaused) {
        it->second.isPaused = false;
        m_attempts.setPaused(model::RequestId(number), false);
        m_sink.post(pipeline::CallerUnblocked {.request = model::RequestId(number)});
    }
}

void CallerApi::sendOperationKey(const core::OperationOpened &command)
{
    const uint64_t number = command.request.value();
    if (!command.key) {
        respond({.request = command.request,
                 .outcome = model::Outcome::NotRun,
                 .reason = model::Reason::KeyTableFull,
                 .retryAfter = model::seconds(10)});
        return;
    }
    const auto it = m_openRequests.find(number);
    if (it == m_openRequests.end()) {
        return;
    }
    it->second.isAnswered = true;
    const Json answer {{"key", *command.key},
                       {"daemon", m_settings.daemon.text()},
                       {"host", m_settings.caller.host},
                       {"port", m_settings.caller.port},
                       {"lifetimeMs", model::toMilliseconds(command.lifetime)}};
    sendText(number, 201, net::jsonType, dumpJson(answer) + "\n");
}

void CallerApi::onEntry(const net::HttpServerRequest &request)
{
    Json list = Json::array();
    for (const entry::EntryAddress &address :
         m_core.entries({.zone = model::ZoneId(request.query("zone")),
         .account = model::AccountId(request.query("account"))})) {
        list.push_back({{"daemon", address.daemon.text()},
                        {"host", address.endpoint.host},
                        {"port", address.endpoint.port},
                        {"zone", address.zone.text()}});
    }
    const Json answer {{"lifetimeMs", model::toMilliseconds(m_settings.entryLifetime)},
                       {"entries", list}};
    sendText(request.number(), 200, net::jsonType, dumpJson(answer) + "\n");
}

void CallerApi::onMetrics(const net::HttpServerRequest &request)
{
    size_t buffered = 0;
    for (const auto &[number, open] : m_openRequests) {
        buffered += open.hasStreamBegun ? m_server.buffered(number) : 0;
    }
    sendText(request.number(), 200, "text/plain; version=0.0.4",
             metricsPage(m_core, {.openConnections = m_server.openConnections(),
                                  .openAttempts = m_attempts.openAttempts(),
                                  .streamBufferBytes = buffered,
                                  .badRequests = m_badRequests,
                                  .residentBytes = m_memory.residentBytes(),
                                  .maxResidentBytes = m_memory.maxResidentBytes(),
                                  .refusedForRoom = m_refusedForRoom,
                                  .closedForRoom = m_memory.closedConnections()}));
}

void CallerApi::sendText(uint64_t number, uint16_t status, const std::string &type,
                         std::string text)
{
    m_server.respond(number, status, {{.name = "content-type", .value = type}},
                     model::makeBody(std::move(text)));
}

void CallerApi::onClosed(uint64_t number, bool wasAnswered)
{
    const auto it = m_openRequests.find(number);
    if (it == m_openRequests.end()) {
        return;
    }
    const bool isAbandoned = !wasAnswered && !it->second.isAnswered;
    m_openRequests.erase(it);
    if (isAbandoned) {
        m_sink.post(pipeline::CallerDisconnected {.request = model::RequestId(number)});
    }
}

} // namespace citronpick::daemon
