#include "relay/partquarantine.h"

#include <algorithm>

#include "model/hash.h"

namespace citronpick::relay
{

namespace
{

constexpr uint32_t crashesToQuarantine = 3;
//! Upstreams that fail together for another reason take requests of many parts with them. Parts
//! that are common enough to be hit on several upstreams are answered elsewhere within this time.
constexpr model::Duration minCrashSpan = model::seconds(1);
//! An answer that ends the suspicion of a part is reported to the other daemons if they need only
//! one more crash report for a quarantine.
constexpr size_t crashesToReport = crashesToQuarantine - 1;
constexpr model::Duration crashReportLifetime = model::seconds(60);
constexpr model::Duration quarantineLifetime = model::seconds(600);
//! The last parts are the most specific ones. Bounds what one request adds to fleet messages.
constexpr size_t maxParts = 32;
//! Keeps fingerprints of parts apart from other hashes of the same text.
constexpr uint64_t partSeed = 0x70617274;

} // namespace

PartFingerprints sharedParts(const std::vector<PromptPart> &parts)
{
    PartFingerprints fingerprints;
    const size_t shared = parts.empty() ? 0 : parts.size() - 1;
    for (size_t i = shared - std::min(shared, maxParts); i < shared; ++i) {
        fingerprints.emplace_back(model::hash64(parts[i].id, partSeed));
    }
    return fingerprints;
}

PartQuarantine::PartQuarantine()
    : m_table({.crashesToQuarantine = crashesToQuarantine,
               .minCrashSpan = minCrashSpan,
               .crashReportLifetime = crashReportLifetime,
               .quarantineLifetime = quarantineLifetime})
{
}

PartFingerprints PartQuarantine::addCrash(const PartCrash &crash, model::TimePoint now)
{
    // A part that is known to crash upstreams explains the crash.
    if (isQuarantined(crash.parts, now)) {
        return {};
    }
    PartFingerprints quarantined;
    for (const model::Fingerprint part : crash.parts) {
        if (m_table.addCrashReport({.fingerprint = part, .upstream = crash.upstream}, now)) {
            quarantined.push_back(part);
        }
    }
    return quarantined;
}

// A part that crashes each upstream is never answered completely, so one answer clears its parts,
// also those in quarantine.
PartFingerprints PartQuarantine::addAnswer(const PartFingerprints &parts, model::TimePoint now)
{
    PartFingerprints suspected;
    for (const model::Fingerprint part : parts) {
        const pipeline::QuarantineState before = m_table.release(part, now);
        if (before.isQuarantined || before.crashes >= crashesToReport) {
            suspected.push_back(part);
        }
    }
    return suspected;
}

bool PartQuarantine::addFinding(model::Fingerprint part, model::TimePoint at)
{
    return m_table.quarantine(part, at);
}

bool PartQuarantine::addPeerAnswer(model::Fingerprint part, model::TimePoint at)
{
    return m_table.release(part, at).isQuarantined;
}

bool PartQuarantine::isQuarantined(const PartFingerprints &parts, model::TimePoint now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](model::Fingerprint part) {
        return m_table.remaining(part, now).has_value();
    });
}

} // namespace citronpick::relay
