#include <algorithm>

#include <absl/strings/str_cat.h>

#include "relay/relaysystem.h"

// The part of RelaySystem that follows an answer from its head until it ends.

namespace citronpick::relay
{

using observability::EventCode;

namespace
{

//! A resumable stream without progress is resumed on another upstream after this multiple of the
//! maximum pause between events. The margin allows for long prompts in the same engine, which delay
//! the stream.
constexpr int64_t resumeTimeoutInPauses = 3;
constexpr model::Duration minResumeTimeout = model::milliseconds(1000);
//! Interval of the checks whether another upstream can resume a silent stream by now.
constexpr model::Duration resumeCheckInterval = model::milliseconds(250);
//! Weight of the newest request in the moving average of a route's first event time.
constexpr double firstEventWeight = 0.1;

} // namespace

void RelaySystem::onAttemptHead(model::AttemptId id, const AnswerFacts &facts, model::TimePoint now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    it->second.facts = facts;
    it->second.beganAt = now;
    Exchange &exchange = *find(it->second.request);
    if (!facts.isSuccess() || !isStream(exchange.route->kind)) {
        return;
    }
    if (it->second.isResumption && !facts.isEventStream) {
        // A success of another kind, such as an error page, is no rest of the stream.
        abandonAttempt(id, AttemptFailure::Malformed,
                       absl::StrCat("why=no-stream status=", facts.status), now);
        return;
    }
    m_directory.noteSuccess(it->second.upstream, it->second.startedAt);
    it->second.lastProgressAt = now;
    m_timeouts.add(now + progressTimeout(exchange), exchange.arrived.request);
    if (exchange.isAnswerStarted) {
        cancelSilent(exchange);
        m_commands.emplace_back(ResumeStream {.request = exchange.arrived.request, .attempt = id});
        return;
    }
    exchange.isAnswerStarted = true;
    exchange.streamStartedAt = now;
    const model::Duration took = now - it->second.startedAt;
    const auto [measured, isNew] = m_firstEventTimes.emplace(exchange.route->id, took);
    measured->second += model::scaled(took - measured->second, firstEventWeight);
    if (it->second.isOnEngine) {
        m_chooser.noteFirstEvent(it->second.upstream, it->second.unreadTokens, took, now);
    }
    m_counters.firstEvents.add(now - exchange.arrived.startedAt);
    record(EventCode::AnswerBegan, exchange, it->second.upstream.text(),
           absl::StrCat("firstEventMs=", model::toMilliseconds(took),
                        " afterMs=", model::toMilliseconds(now - exchange.arrived.startedAt),
                        " targetMs=", model::toMilliseconds(exchange.route->latencyTarget)));
    m_commands.emplace_back(StartStream {.request = exchange.arrived.request, .attempt = id});
    if (releasesFinalResults(exchange)) {
        releaseResults(exchange.plan.takeAllResults());
    }
}

void RelaySystem::onAttemptProgress(model::AttemptId id, const std::string &lastEvent,
                                    model::TimePoint now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    it->second.lastProgressAt = now;
    Exchange &exchange = *find(it->second.request);
    if (exchange.silentAttempt == id) {
        returnToSilent(exchange);
    }
    if (!lastEvent.empty()) {
        exchange.lastEvent = lastEvent;
    }
    bindVersion(exchange, it->second, now);
    noteEvents(it->second, exchange, now);
}

// A stream that another upstream can resume times out early. For any other stream, an earlier
// timeout than the caller's own would gain nothing.
model::Duration RelaySystem::progressTimeout(const Exchange &exchange)
{
    const bool isResumable = exchange.route->kind == RequestKind::ResumableStream
                             && exchange.sentAttempts < exchange.route->maxAttempts;
    return isResumable
               ? std::max(minResumeTimeout, resumeTimeoutInPauses * exchange.route->pauseTarget)
               : callerTimeout(*exchange.route);
}

// A caller that reads slowly delays its stream; the upstream is not to blame for that.
void RelaySystem::onAttemptPaused(model::AttemptId id, bool isPaused, model::TimePoint now)
{
    const auto it = m_attempts.find(id);
    if (it != m_attempts.end()) {
        it->second.isPaused = isPaused;
        it->second.lastProgressAt = now;
    }
}

// Forwards a large answer while it arrives, so that it does not occupy memory.
void RelaySystem::onAnswerBufferFull(model::AttemptId id, model::TimePoint now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    Exchange &exchange = *find(it->second.request);
    if (it->second.facts && it->second.facts->isSuccess()) {
        exchange.isAnswerStarted = true;
        m_commands.emplace_back(StartStream {.request = exchange.arrived.request, .attempt = id});
        return;
    }
    abandonAttempt(id, AttemptFailure::Malformed, "why=oversized-failure", now);
}

// A silent upstream may still go on. In a shutdown, its stream is not given up for one whose stages
// have to run again first, because these may take longer than the shutdown.
bool RelaySystem::canResume(const Exchange &exchange, model::TimePoint now)
{
    const bool mayNotFinish
        = exchange.isLimitedByShutdown && exchange.plan.areFinalResultsReleased();
    return exchange.route->kind == RequestKind::ResumableStream && !mayNotFinish
           && !isQuarantined(exchange, now) && canRetry(exchange, now)
           && m_chooser.choose(criteriaOf(exchange), now);
}

// Counts as a failure of the upstream, once for each period of silence.
void RelaySystem::noteSilence(const Exchange &exchange, Attempt &attempt, model::TimePoint now)
{
    if (attempt.silenceNotedAt >= attempt.lastProgressAt) {
        return;
    }
    attempt.silenceNotedAt = now;
    m_directory.noteFailure(attempt.upstream, now);
    record(EventCode::AttemptSilent, exchange, attempt.upstream.text(),
           absl::StrCat("silentMs=", model::toMilliseconds(now - attempt.lastProgressAt)));
}

// Whether another upstream takes the rest is known only when it answers. Until then the silent one
// may still go on, so that giving it up could end an answer that would have been complete.
void RelaySystem::resumeBeside(Exchange &exchange, model::TimePoint now)
{
    Attempt &silent = m_attempts.at(exchange.attempt);
    noteSilence(exchange, silent, now);
    if (!acquireRetry(exchange, now)) {
        return;
    }
    ++m_counters.resumes;
    exchange.mayHaveRun = true;
    record(EventCode::AttemptRetried, exchange, silent.upstream.text(),
           absl::StrCat("why=silent lastEvent=", exchange.lastEvent));
    exchange.silentAttempt = std::exchange(exchange.attempt, {});
    startAttempt(exchange, now);
}

bool RelaySystem::returnToSilent(Exchange &exchange)
{
    const auto silent = m_attempts.find(exchange.silentAttempt);
    if (silent == m_attempts.end()) {
        return false;
    }
    const model::RequestId id = exchange.arrived.request;
    if (const model::AttemptId other = exchange.attempt; m_attempts.contains(other)) {
        closeAttempt(other);
        m_commands.emplace_back(CancelAttempt {.attempt = other});
    }
    cancelJobs(exchange);
    if (!exchange.plan.isDone() || releasesFinalResults(exchange)) {
        releaseResults(exchange.plan.takeAllResults());
    }
    exchange.attempt = std::exchange(exchange.silentAttempt, {});
    m_timeouts.add(silent->second.lastProgressAt + progressTimeout(exchange), id);
    record(EventCode::SilentKept, exchange, silent->second.upstream.text(),
           absl::StrCat("attempts=", exchange.sentAttempts, " lastEvent=", exchange.lastEvent));
    return true;
}

void RelaySystem::cancelSilent(Exchange &exchange)
{
    if (const model::AttemptId silent = exchange.silentAttempt; m_attempts.contains(silent)) {
        const Attempt attempt = closeAttempt(silent);
        m_commands.emplace_back(CancelAttempt {.attempt = silent});
        record(EventCode::AttemptLost, exchange, attempt.upstream.text(), "why=silent");
    }
}

void RelaySystem::checkProgress(Exchange &exchange, model::TimePoint now)
{
    const model::AttemptId id = exchange.attempt;
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    const model::TimePoint since = it->second.isPaused ? now : it->second.lastProgressAt;
    const model::TimePoint limit = since + progressTimeout(exchange);
    if (now < limit) {
        m_timeouts.add(limit, exchange.arrived.request);
        return;
    }
    // Without another upstream, cancelling the attempt would only end the caller's answer. The
    // silent upstream may still go on while the caller waits, and the caller knows best how long it
    // does.
    const model::TimePoint callerLimit = since + callerTimeout(*exchange.route);
    if (!canResume(exchange, now)) {
        if (now >= callerLimit) {
            noteSilence(exchange, it->second, now);
        }
        const model::TimePoint nextCheck = now + resumeCheckInterval;
        m_timeouts.add(now < callerLimit ? std::min(callerLimit, nextCheck) : nextCheck,
                       exchange.arrived.request);
        return;
    }
    if (it->second.beganAt) {
        resumeBeside(exchange, now);
        return;
    }
    abandonAttempt(id, AttemptFailure::TimedOut,
                   absl::StrCat("why=silent silentMs=",
                                model::toMilliseconds(now - it->second.lastProgressAt)),
                   now);
}

} // namespace citronpick::relay
