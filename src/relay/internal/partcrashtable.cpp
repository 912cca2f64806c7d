#include "relay/partcrashtable.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/hash.h"

namespace citronpick::relay
{

namespace
{

//! Reports about an upstream within this time belong to the same crash; a restart takes longer.
constexpr model::Duration crashWindow = model::seconds(2);
constexpr model::Duration crashLifetime = model::seconds(60);
constexpr size_t maxCrashes = 256; //!< The oldest are removed beyond this.
constexpr size_t maxParts = 200000; //!< Of all crashes together; the oldest crashes are removed.
//! Longer prompts are reported as a sketch, which is no larger.
constexpr size_t maxReportedParts = 32;
//! Keeps fingerprints of parts apart from other hashes of the same text.
constexpr uint64_t partSeed = 0x70617274;

struct Start {
    std::string_view upstream;
    uint64_t incarnation = 0;
};

Start startOf(const model::UpstreamId &name)
{
    const std::string_view text = name.text();
    const size_t separator = text.rfind('/');
    Start start {.upstream = text.substr(0, separator)};
    if (separator != std::string_view::npos
        && !absl::SimpleAtoi(model::toAbsl(text.substr(separator + 1)), &start.incarnation)) {
        start.incarnation = 0;
    }
    return start;
}

} // namespace

model::UpstreamId startName(const model::UpstreamId &upstream, uint64_t incarnation)
{
    return model::UpstreamId(absl::StrCat(upstream.text(), "/", incarnation));
}

PartFingerprints sharedParts(const std::vector<PromptPart> &parts)
{
    PartFingerprints fingerprints;
    for (size_t i = 0; i + 1 < parts.size(); ++i) {
        fingerprints.emplace_back(model::hash64(parts[i].id, partSeed));
    }
    return fingerprints;
}

PartCrash crashReportOf(const PartFingerprints &parts, const model::UpstreamId &upstream)
{
    if (parts.size() <= maxReportedParts) {
        return {.parts = parts, .sketch = {}, .upstream = upstream};
    }
    return {.parts = {}, .sketch = PartSketch(parts), .upstream = upstream};
}

bool PartCrashTable::Crash::mayContain(model::Fingerprint part) const
{
    return parts.contains(part)
           || std::any_of(sketches.begin(), sketches.end(),
                          [&](const PartSketch &sketch) { return sketch.mayContain(part); });
}

double PartCrashTable::Crash::errorRate() const
{
    double allCorrect = 1.0;
    for (const PartSketch &sketch : sketches) {
        allCorrect *= 1.0 - sketch.errorRate();
    }
    return 1.0 - allCorrect;
}

// An upstream that has returned takes requests before every daemon has read its new start, so
// reports of one crash may name different starts.
PartCrashTable::Crash &PartCrashTable::crashOf(const model::UpstreamId &upstream,
                                               model::TimePoint at)
{
    const Start start = startOf(upstream);
    const auto known
        = std::find_if(m_crashes.rbegin(), m_crashes.rend(), [&](const Crash &earlier) {
              return std::chrono::abs(at - earlier.at) <= crashWindow
                     && startOf(earlier.upstream).upstream == start.upstream;
          });
    if (known != m_crashes.rend()) {
        if (startOf(known->upstream).incarnation < start.incarnation) {
            known->upstream = upstream;
        }
        return *known;
    }
    if (m_crashes.size() >= maxCrashes) {
        m_crashes.pop_front();
    }
    // Reports of other daemons may arrive in another order.
    const auto later = std::find_if(m_crashes.begin(), m_crashes.end(),
                                    [&](const Crash &other) { return other.at > at; });
    return *m_crashes.insert(later,
                             Crash {.upstream = upstream, .at = at, .parts = {}, .sketches = {}});
}

void PartCrashTable::add(const PartCrash &report, model::TimePoint at)
{
    Crash &crash = crashOf(report.upstream, at);
    addListed(crash, report.parts);
    if (!report.sketch.isEmpty()) {
        addSketch(crash, report.sketch);
    }
    limitSize();
}

void PartCrashTable::addListed(Crash &crash, const PartFingerprints &parts)
{
    for (size_t position = 0; position < parts.size(); ++position) {
        Occurrence &own = crash.parts[parts[position]];
        own.position = std::max(own.position, position);
        own.isListed = true;
        for (Crash &other : m_crashes) {
            if (!other.sketches.empty() && other.mayContain(parts[position])) {
                other.parts.try_emplace(parts[position], Occurrence {.position = position});
            }
        }
    }
}

void PartCrashTable::addSketch(Crash &crash, const PartSketch &sketch)
{
    crash.sketches.push_back(sketch);
    for (const Crash &other : m_crashes) {
        if (&other == &crash) {
            continue;
        }
        for (const auto &[part, occurrence] : other.parts) {
            if (occurrence.isListed && sketch.mayContain(part)) {
                crash.parts.try_emplace(part, Occurrence {.position = occurrence.position});
            }
        }
    }
}

void PartCrashTable::limitSize()
{
    size_t parts = 0;
    for (const Crash &crash : m_crashes) {
        parts += crash.parts.size();
    }
    while (parts > maxParts && m_crashes.size() > 1) {
        parts -= m_crashes.front().parts.size();
        m_crashes.pop_front();
    }
}

void PartCrashTable::forgetExpired(model::TimePoint now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > crashLifetime) {
        m_crashes.pop_front();
    }
}

} // namespace citronpick::relay
