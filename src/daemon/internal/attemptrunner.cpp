#include "daemon/internal/attemptrunner.h"

#include <charconv>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace citronpick::daemon
{

namespace
{

constexpr size_t maxRecordBytes = 64U << 10U;
//! The core cancels an attempt that exceeds its budget; the call timeout is longer than the budget
//! by this period and acts only if the core has not cancelled the attempt.
constexpr model::Duration gracePeriod = model::seconds(5);
constexpr uint64_t maxProbeBytes = 64U << 10U;

pipeline::AttemptError toAttemptError(net::HttpError error)
{
    switch (error) {
    case net::HttpError::ConnectFailed:
        return pipeline::AttemptError::ConnectFailed;
    case net::HttpError::ConnectionLost:
        return pipeline::AttemptError::ConnectionLost;
    case net::HttpError::TimedOut:
        return pipeline::AttemptError::IoTimeout;
    case net::HttpError::TooLarge:
        return pipeline::AttemptError::TooLarge;
    case net::HttpError::MalformedResponse:
        return pipeline::AttemptError::MalformedAnswer;
    }
    return pipeline::AttemptError::ConnectionLost;
}

std::optional<pipeline::ReportedLoad> parseReportedLoad(const net::Headers &headers)
{
    const std::string inFlight = net::headerValue(headers, "x-citronpick-in-flight");
    const bool isLeaving = net::headerValue(headers, "x-citronpick-leaving") == "1";
    if (inFlight.empty() && !isLeaving) {
        return std::nullopt;
    }
    uint32_t count = 0;
    std::from_chars(inFlight.data(), inFlight.data() + inFlight.size(), count);
    return pipeline::ReportedLoad {.inFlight = count, .isLeaving = isLeaving};
}

} // namespace

AttemptRunner::AttemptRunner(net::HttpClient &client, IEventSink &sink,
                             model::Incarnation incarnation)
    : m_client(client)
    , m_sink(sink)
    , m_incarnation(absl::StrCat(absl::Hex(incarnation.value())))
{
}

void AttemptRunner::start(const pipeline::StartAttempt &command)
{
    OpenAttempt &open = m_attempts[command.attempt];
    open.request = command.request;
    open.checksEcho = command.checksEcho;
    // Attempt numbers are unique only within one daemon process; the incarnation makes them unique
    // across all daemons.
    open.echo = absl::StrCat(m_incarnation, "-", command.attempt.value());
    if (command.isStreaming) {
        m_streamedAttempts[command.request].push_back(command.attempt);
    }
    const uint64_t call = m_client.start(buildCall(command, open.echo),
                                         buildCallbacks(command.attempt, command.isStreaming));
    m_attempts[command.attempt].call = call;
}

net::HttpCall AttemptRunner::buildCall(const pipeline::StartAttempt &command,
                                       const std::string &echo) const
{
    net::HttpCall call;
    call.method = "POST";
    call.to = {.host = command.host, .port = command.port};
    call.path = command.path;
    call.body = command.body;
    call.needsFreshConnection = command.needsFreshConnection;
    call.isStreamed = command.isStreaming;
    call.timeout = command.budget + gracePeriod;
    call.maxBodyBytes = command.maxAnswerBytes;
    call.headers = {
        {.name = "x-citronpick-request", .value = command.callerId.text()},
        {.name = "x-citronpick-attempt", .value = echo},
        {.name = "x-citronpick-budget-ms",
         .value = absl::StrCat(model::toMilliseconds(command.budget))},
        {.name = "x-citronpick-priority", .value = absl::StrCat(command.priorityRank)},
    };
    if (command.expectedTokens > 0) {
        call.headers.push_back({.name = "x-citronpick-expected-tokens",
                                .value = absl::StrCat(command.expectedTokens)});
    }
    if (command.resumeFrom > 0) {
        call.headers.push_back(
            {.name = "x-citronpick-resume-from", .value = absl::StrCat(command.resumeFrom)});
    }
    if (command.prefix != 0) {
        call.headers.push_back(
            {.name = "x-citronpick-prefix", .value = absl::StrCat(absl::Hex(command.prefix))});
    }
    return call;
}

net::HttpCallbacks AttemptRunner::buildCallbacks(model::AttemptId attempt, bool isStreaming)
{
    net::HttpCallbacks callbacks;
    callbacks.onResponse = [this, attempt, isStreaming](net::HttpResponse answer) {
        onAnswer(attempt, std::move(answer), isStreaming);
    };
    callbacks.onError = [this, attempt](net::HttpError error) {
        onError(attempt, error);
    };
    if (isStreaming) {
        callbacks.onHead = [this, attempt](const net::HttpResponse &answer) {
            onHead(attempt, answer);
        };
        callbacks.onData = [this, attempt](std::string_view bytes) {
            onData(attempt, bytes);
        };
    }
    return callbacks;
}

void AttemptRunner::cancel(model::AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    const uint64_t call = it->second.call;
    removeAttempt(attempt);
    m_client.cancel(call);
}

void AttemptRunner::removeAttempt(model::AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    const auto streams = m_streamedAttempts.find(it->second.request);
    if (streams != m_streamedAttempts.end()) {
        std::erase(streams->second, attempt);
        if (streams->second.empty()) {
            m_streamedAttempts.erase(streams);
        }
    }
    m_attempts.erase(it);
}

void AttemptRunner::setPaused(model::RequestId request, bool isPaused)
{
    const auto streams = m_streamedAttempts.find(request);
    if (streams == m_streamedAttempts.end()) {
        return;
    }
    for (const model::AttemptId attempt : streams->second) {
        m_client.setPaused(m_attempts.at(attempt).call, isPaused);
    }
}

bool AttemptRunner::isEchoValid(const OpenAttempt &open, const net::Headers &headers) const
{
    return !open.checksEcho || net::headerValue(headers, "x-citronpick-attempt") == open.echo;
}

void AttemptRunner::onHead(model::AttemptId attempt, const net::HttpResponse &answer)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    it->second.status = answer.status;
    it->second.load = parseReportedLoad(answer.headers);
    if (!isEchoValid(it->second, answer.headers)) {
        fail(attempt, pipeline::AttemptError::MalformedAnswer);
    }
}

void AttemptRunner::onData(model::AttemptId attempt, std::string_view bytes)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    OpenAttempt &open = it->second;
    constexpr uint16_t success = 200;
    if (open.status != success) {
        open.errorBody.append(bytes);
        return;
    }
    std::vector<pipeline::StreamToken> tokens;
    open.partialLine.append(bytes);
    size_t start = 0;
    for (size_t end = open.partialLine.find('\n'); end != std::string::npos;
         end = open.partialLine.find('\n', start)) {
        const std::string_view line = std::string_view(open.partialLine).substr(start, end - start);
        start = end + 1;
        if (!parseRecord(open, line, tokens)) {
            fail(attempt, pipeline::AttemptError::MalformedAnswer);
            return;
        }
    }
    open.partialLine.erase(0, start);
    if (open.partialLine.size() > maxRecordBytes) {
        fail(attempt, pipeline::AttemptError::MalformedAnswer);
        return;
    }
    if (!tokens.empty()) {
        m_sink.post(pipeline::AttemptStreamed {.attempt = attempt, .tokens = std::move(tokens)});
    }
}

bool AttemptRunner::parseRecord(OpenAttempt &open, std::string_view line,
                                std::vector<pipeline::StreamToken> &tokens)
{
    if (line.empty()) {
        return true;
    }
    const auto record = nlohmann::json::parse(line, nullptr, false);
    if (!record.is_object() || open.hasFinalRecord) {
        return false;
    }
    const auto done = record.find("done");
    if (done != record.end() && !done->is_boolean()) {
        return false;
    }
    if (done != record.end() && done->get<bool>()) {
        open.hasFinalRecord = true;
        return true;
    }
    const auto sequence = record.find("seq");
    const auto text = record.find("text");
    const bool isToken = sequence != record.end() && sequence->is_number_unsigned()
                         && text != record.end() && text->is_string();
    if (isToken) {
        tokens.push_back({.sequence = sequence->get<uint32_t>(), .text = text->get<std::string>()});
    }
    return isToken;
}

void AttemptRunner::onAnswer(model::AttemptId attempt, net::HttpResponse answer, bool isStreaming)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    OpenAttempt &open = it->second;
    if (!isEchoValid(open, answer.headers)) {
        fail(attempt, pipeline::AttemptError::MalformedAnswer);
        return;
    }
    const bool isSuccess = answer.status >= 200 && answer.status < 300;
    if (isStreaming && isSuccess && !open.hasFinalRecord) {
        // The connection was closed cleanly, but the stream has no final record. ConnectionLost
        // lets the core request the missing part from another upstream.
        fail(attempt, pipeline::AttemptError::ConnectionLost);
        return;
    }
    pipeline::AttemptAnswered event {
        .attempt = attempt,
        .status = answer.status,
        .body = isStreaming ? model::makeBody(std::move(open.errorBody)) : std::move(answer.body),
        .load = parseReportedLoad(answer.headers)};
    removeAttempt(attempt);
    m_sink.post(std::move(event));
}

void AttemptRunner::onError(model::AttemptId attempt, net::HttpError error)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    removeAttempt(attempt);
    m_sink.post(pipeline::AttemptFailed {.attempt = attempt, .error = toAttemptError(error)});
}

void AttemptRunner::fail(model::AttemptId attempt, pipeline::AttemptError error)
{
    cancel(attempt);
    m_sink.post(pipeline::AttemptFailed {.attempt = attempt, .error = error});
}

void AttemptRunner::probe(const core::SendProbe &command)
{
    net::HttpCall call;
    call.to = {.host = command.host, .port = command.port};
    call.path = command.path;
    call.connectTimeout = command.timeout;
    call.timeout = command.timeout;
    call.maxBodyBytes = maxProbeBytes;
    net::HttpCallbacks callbacks;
    callbacks.onResponse = [this, command](const net::HttpResponse &answer) {
        const bool isGood = answer.status >= 200 && answer.status < 300;
        const bool isLeaving = net::headerValue(answer.headers, "x-citronpick-leaving") == "1";
        m_sink.post(core::ProbeEnded {.upstream = command.upstream,
                                      .number = command.number,
                                      .isGood = isGood,
                                      .isLeaving = isLeaving});
    };
    callbacks.onError = [this, command](net::HttpError) {
        m_sink.post(core::ProbeEnded {
            .upstream = command.upstream, .number = command.number, .isGood = false});
    };
    m_client.start(call, std::move(callbacks));
}

} // namespace citronpick::daemon
