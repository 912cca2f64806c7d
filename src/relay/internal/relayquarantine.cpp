#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "model/abslview.h"
#include "relay/relaysystem.h"

// The part of RelaySystem that keeps requests that crash upstreams from reaching further ones.

namespace citronpick::relay
{

using observability::EventCode;

namespace
{

//! An upstream that a request crashes ends shortly after it has begun to answer. A request whose
//! answer began earlier than this before the crash is not its cause.
constexpr model::Duration crashDelay = model::seconds(1);

//! Parts beyond this are left out of log lines.
constexpr size_t maxLoggedParts = 32;

template<typename Part, typename Format>
std::string joinParts(const std::vector<Part> &parts, Format format)
{
    const size_t count = std::min(parts.size(), maxLoggedParts);
    std::string text = absl::StrJoin(
        parts.begin(), parts.begin() + static_cast<ptrdiff_t>(count), ",",
        [&](std::string *joined, const Part &part) { absl::StrAppend(joined, format(part)); });
    if (count < parts.size()) {
        absl::StrAppend(&text, ",+", parts.size() - count);
    }
    return text;
}

std::string partNames(const std::vector<PromptPart> &parts)
{
    return joinParts(parts, [](const PromptPart &part) { return part.id; });
}

std::string hexNames(const PartFingerprints &parts)
{
    return joinParts(parts, [](model::Fingerprint part) { return absl::Hex(part.value()); });
}

} // namespace

bool RelaySystem::isQuarantined(const Exchange &exchange, model::TimePoint now) const
{
    return m_quarantine.remaining(exchange.arrived.fingerprint, now)
           || m_partQuarantine.isQuarantined(exchange.sharedParts, now);
}

// A connection can break because the request crashed the upstream. Crash reports are counted for
// identical requests and for each part of the prompt, as different requests may share the part that
// crashes upstreams.
bool RelaySystem::addCrashReport(const Exchange &exchange, const Attempt &attempt,
                                 model::TimePoint now)
{
    if (exchange.arrived.fingerprint.value() == 0) {
        return false;
    }
    const model::UpstreamId crashed = startName(attempt.upstream, attempt.incarnation);
    const pipeline::CrashReport report {.fingerprint = exchange.arrived.fingerprint,
                                        .upstream = crashed};
    const bool mayBeCause = !attempt.beganAt || now - *attempt.beganAt <= crashDelay;
    const PartCrash partCrash {.parts = mayBeCause ? exchange.sharedParts : PartFingerprints(),
                               .sketch = {},
                               .upstream = crashed};
    record(EventCode::RequestStruck, exchange, attempt.upstream.text(),
           absl::StrCat("fingerprint=", absl::Hex(report.fingerprint.value()),
                        " parts=", partNames(exchange.arrived.promptParts),
                        " hashes=", hexNames(partCrash.parts), " beganMs=",
                        attempt.beganAt ? model::toMilliseconds(now - *attempt.beganAt) : -1,
                        " incarnation=", attempt.incarnation));
    const PartCrash published = crashReportOf(partCrash.parts, crashed);
    m_commands.emplace_back(PublishCrashReport {
        .report = report, .parts = published.parts, .partSketch = published.sketch});
    const bool isRequestQuarantined = m_quarantine.addCrashReport(report, now);
    if (isRequestQuarantined) {
        record(EventCode::RequestQuarantined, exchange, attempt.upstream.text(),
               absl::StrCat("fingerprint=", absl::Hex(report.fingerprint.value())));
    }
    m_partQuarantine.addCrash(partCrash, now, now);
    return isRequestQuarantined;
}

void RelaySystem::addAnswer(const Exchange &exchange, model::TimePoint now)
{
    m_quarantine.clear(exchange.arrived.fingerprint);
    clearParts(exchange, now);
}

// Streams take seconds to their end, and no sound one may get that far while upstreams crash. A
// part that crashes its upstream does so with the first event, so a later event proves the parts
// sound.
void RelaySystem::noteEvents(Attempt &attempt, const Exchange &exchange, model::TimePoint now)
{
    if (!attempt.firstEventAt) {
        attempt.firstEventAt = now;
        return;
    }
    if (!attempt.hasOutlivedCrashes && now - *attempt.firstEventAt > crashDelay) {
        attempt.hasOutlivedCrashes = true;
        clearParts(exchange, now);
    }
}

void RelaySystem::clearParts(const Exchange &exchange, model::TimePoint now)
{
    for (const model::Fingerprint part : m_partQuarantine.addAnswer(exchange.sharedParts, now)) {
        publishCleared(part);
    }
}

void RelaySystem::publishCleared(model::Fingerprint part)
{
    ++m_counters.releasedParts;
    recordPart(EventCode::QuarantineEnded, part, "source=own");
    m_commands.emplace_back(PublishClearedPart {.part = part});
}

void RelaySystem::runQuarantine(model::TimePoint now)
{
    const PartVerdicts verdicts = m_partQuarantine.run(now);
    for (const PartSuspicion &suspicion : verdicts.suspicions) {
        recordPart(EventCode::PartSuspected, suspicion.part,
                   absl::StrCat("firstCrashMs=", model::toMilliseconds(suspicion.sinceFirstCrash)));
        m_commands.emplace_back(PublishSuspectedPart {.suspicion = suspicion});
    }
    for (const model::Fingerprint part : verdicts.quarantined) {
        ++m_counters.quarantinedParts;
        recordPart(EventCode::RequestQuarantined, part, "source=reports");
    }
    for (const model::Fingerprint part : verdicts.findings) {
        m_commands.emplace_back(PublishQuarantinedPart {.part = part});
    }
    if (!verdicts.quarantined.empty()) {
        refuseQuarantined(now);
    }
}

void RelaySystem::recordPart(EventCode code, model::Fingerprint part, std::string detail)
{
    m_commands.emplace_back(
        observability::Event {.code = code,
                              .request = {},
                              .subject = absl::StrCat("part-", absl::Hex(part.value())),
                              .detail = std::move(detail)});
}

void RelaySystem::onPeerCrashReport(const pipeline::CrashReport &report, model::TimePoint now)
{
    if (m_quarantine.addCrashReport(report, now)) {
        refuseQuarantined(now);
    }
}

void RelaySystem::onPeerPartCrash(const PartCrash &crash, model::Duration age, model::TimePoint now)
{
    m_partQuarantine.addCrash(crash, now - age, now);
}

void RelaySystem::onPeerSuspectedPart(const PartSuspicion &suspicion, model::TimePoint now)
{
    if (m_partQuarantine.addPeerSuspicion(suspicion.part, now - suspicion.sinceFirstCrash, now)) {
        publishCleared(suspicion.part);
    }
}

void RelaySystem::onPeerQuarantinedPart(model::Fingerprint part, model::Duration age,
                                        model::TimePoint now)
{
    switch (m_partQuarantine.addFinding(part, now - age, now)) {
    case PartQuarantine::FindingResult::Applied:
        ++m_counters.quarantinedParts;
        recordPart(EventCode::RequestQuarantined, part,
                   absl::StrCat("source=finding ageMs=", model::toMilliseconds(age)));
        refuseQuarantined(now);
        return;
    case PartQuarantine::FindingResult::Disproved:
        publishCleared(part);
        return;
    case PartQuarantine::FindingResult::Known:
        return;
    }
}

void RelaySystem::onPeerClearedPart(model::Fingerprint part, model::Duration age,
                                    model::TimePoint now)
{
    if (m_partQuarantine.addPeerAnswer(part, now - age, now)) {
        ++m_counters.releasedParts;
        recordPart(EventCode::QuarantineEnded, part,
                   absl::StrCat("source=peer ageMs=", model::toMilliseconds(age)));
    }
}

// Ends requests that entered the daemon before the quarantine. An attempt that has not begun to
// answer is cancelled, so that it does not crash its upstream too.
void RelaySystem::refuseQuarantined(model::TimePoint now)
{
    std::vector<model::RequestId> affected;
    for (const auto &[id, exchange] : m_exchanges) {
        if (!exchange->isAnswerStarted && isQuarantined(*exchange, now)) {
            affected.push_back(id);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (const model::RequestId id : affected) {
        refuseAfterCrash(*find(id));
    }
}

void RelaySystem::refuseAfterCrash(Exchange &exchange)
{
    const model::RequestId id = exchange.arrived.request;
    if (exchange.isAnswerStarted) {
        if (!returnToSilent(exchange)) {
            abortAnswer(exchange, "why=quarantined");
        }
        return;
    }
    exchange.mayHaveRun = exchange.mayHaveRun || exchange.attempt.value() != 0;
    refuse(id, Refusal::Quarantined, model::Duration::zero());
}

} // namespace citronpick::relay
