#include "relay/partquarantine.h"

#include <algorithm>
#include <numeric>

namespace citronpick::relay
{

namespace
{

//! Number of upstreams that have to crash under requests with a part.
constexpr size_t minUpstreams = 3;
//! Upstreams that fail together for another reason take requests of many parts with them. Parts
//! that are common enough to be hit on several upstreams are answered elsewhere within this time.
constexpr model::Duration minCrashSpan = model::seconds(1);
//! From the suspicion to the quarantine: time for the reports of other requests that were lost in
//! the same crashes, and for answers at other daemons that disprove the suspicion.
constexpr model::Duration objectionTime = model::milliseconds(1500);
//! Time for the finding of another daemon to arrive.
constexpr model::Duration announcementDelay = model::seconds(1);
constexpr model::Duration peerSuspicionLifetime = model::seconds(60);
//! A crash counts so often against a part that was never answered.
constexpr size_t neverAnsweredWeight = 2;
//! Parts that may be suspected because they were found in sketches by chance, on average.
constexpr double maxChanceFinds = 0.01;
constexpr model::Duration quarantineLifetime = model::seconds(600);
//! Time for answers that are under way to clear a part before requests with it are let through.
constexpr model::Duration firstTrialDelay = model::seconds(2);
//! Doubles with each trial that crashed an upstream.
constexpr model::Duration trialInterval = model::seconds(30);
constexpr uint32_t maxTrialDoublings = 5; //!< Then the interval exceeds a quarantine's lifetime.
//! A request is let through if it is without one of them, so a few of many will do.
constexpr size_t maxAlternatives = 8;
constexpr size_t maxAnsweredParts = 8192; //!< The oldest are removed beyond this.

} // namespace

void PartQuarantine::addCrash(const PartCrash &crash, model::TimePoint at, model::TimePoint now)
{
    if (crash.parts.empty() && crash.sketch.isEmpty()) {
        return;
    }
    m_crashes.add(crash, at);
    noteTrialCrash(crash, now);
    m_nextRun = now;
}

// A part that crashes each upstream is never answered, so one answer clears its parts, also those
// in quarantine.
PartFingerprints PartQuarantine::addAnswer(const PartFingerprints &parts, model::TimePoint now)
{
    PartFingerprints disproved;
    for (const model::Fingerprint part : parts) {
        noteAnswer(part, now);
        const bool wasQuarantined = m_quarantines.erase(part) > 0;
        m_announceAt.erase(part);
        const bool wasSuspected = m_suspicions.erase(part) + m_peerSuspectedAt.erase(part) > 0;
        if (wasQuarantined || wasSuspected) {
            disproved.push_back(part);
        }
        if (wasQuarantined) {
            m_nextRun = now;
        }
    }
    return disproved;
}

bool PartQuarantine::addPeerAnswer(model::Fingerprint part, model::TimePoint at,
                                   model::TimePoint now)
{
    noteAnswer(part, at);
    m_announceAt.erase(part);
    m_suspicions.erase(part);
    m_peerSuspectedAt.erase(part);
    const auto quarantined = m_quarantines.find(part);
    if (quarantined == m_quarantines.end() || at < quarantined->second.at) {
        return false;
    }
    m_quarantines.erase(quarantined);
    m_nextRun = now;
    return true;
}

bool PartQuarantine::addPeerSuspicion(model::Fingerprint part, model::TimePoint since,
                                      model::TimePoint now)
{
    if (answeredAt(part) >= since) {
        return true;
    }
    m_peerSuspectedAt[part] = now;
    return false;
}

PartQuarantine::FindingResult PartQuarantine::addFinding(model::Fingerprint part,
                                                         model::TimePoint at, model::TimePoint now)
{
    if (answeredAt(part) > at - objectionTime) {
        return FindingResult::Disproved;
    }
    const bool isKnown = isQuarantined(part, now);
    m_announceAt.erase(part);
    quarantine(part, at);
    return isKnown ? FindingResult::Known : FindingResult::Applied;
}

PartVerdicts PartQuarantine::run(model::TimePoint now)
{
    PartVerdicts verdicts;
    if (!m_nextRun || now < *m_nextRun) {
        return verdicts;
    }
    m_nextRun.reset();
    forgetExpired(now);
    judge(verdicts, now);
    verdicts.findings = takeFindings(now);
    return verdicts;
}

// The part that causes crashes is in all of them. So may be a part that many requests share; that
// one leads if reports of the other are late. Parts that were never answered are therefore more
// likely to be the cause. Of equal ones, refusing the more specific one does less harm.
std::tuple<size_t, bool, size_t, model::Fingerprint>
PartQuarantine::rankOf(const Candidate &candidate)
{
    const size_t weight = candidate.wasAnswered ? 1 : neverAnsweredWeight;
    return {candidate.crashes * weight, !candidate.wasAnswered, candidate.position, candidate.part};
}

void PartQuarantine::judge(PartVerdicts &verdicts, model::TimePoint now)
{
    dropSuspicions();
    for (std::vector<Candidate> rows = candidates(Counted::Unexplained); !rows.empty();
         rows = candidates(Counted::Unexplained)) {
        suspect(rows, verdicts, now);
        const auto best
            = std::max_element(rows.begin(), rows.end(), [](const auto &left, const auto &right) {
                  return rankOf(left) < rankOf(right);
              });
        const Suspicion suspicion = m_suspicions[best->part];
        const model::TimePoint due = suspicion.since + objectionTime;
        if (now < due) {
            m_nextRun = due;
            return;
        }
        quarantine(best->part, now);
        verdicts.quarantined.push_back(best->part);
        m_announceAt[best->part] = suspicion.isAnnounced ? now : now + announcementDelay;
    }
}

// A suspicion is kept while a quarantined part explains the crashes. If that one turns out to be
// sound, there has been enough time for objections already.
void PartQuarantine::dropSuspicions()
{
    const std::vector<Candidate> rows = candidates(Counted::All);
    absl::erase_if(m_suspicions, [&](const auto &entry) {
        return std::none_of(rows.begin(), rows.end(),
                            [&](const Candidate &row) { return row.part == entry.first; });
    });
}

// The daemons that announced the suspicion tell the others of the finding. The others do so only if
// they hear of none, as the daemon that had to may have stopped.
PartFingerprints PartQuarantine::takeFindings(model::TimePoint now)
{
    PartFingerprints findings;
    for (const auto &[part, at] : m_announceAt) {
        if (at <= now) {
            findings.push_back(part);
        } else {
            m_nextRun = m_nextRun ? std::min(*m_nextRun, at) : at;
        }
    }
    for (const model::Fingerprint part : findings) {
        m_announceAt.erase(part);
    }
    std::sort(findings.begin(), findings.end());
    return findings;
}

bool PartQuarantine::isExplained(const Crash &crash) const
{
    return std::any_of(m_quarantines.begin(), m_quarantines.end(),
                       [&](const auto &entry) { return crash.mayContain(entry.first); });
}

// Counts only crashes since which no request with the part was answered.
absl::flat_hash_map<model::Fingerprint, PartQuarantine::Candidate>
PartQuarantine::countCrashes(Counted counted) const
{
    absl::flat_hash_map<model::Fingerprint, Candidate> rows;
    for (const Crash &crash : m_crashes.crashes()) {
        if (counted == Counted::Unexplained && isExplained(crash)) {
            continue;
        }
        const double errorRate = crash.errorRate();
        for (const auto &[part, occurrence] : crash.parts) {
            if (answeredAt(part) >= crash.at) {
                continue;
            }
            const auto [it, isNew]
                = rows.try_emplace(part, Candidate {.part = part, .firstAt = crash.at});
            Candidate &row = it->second;
            row.position = std::max(row.position, occurrence.position);
            row.lastAt = crash.at;
            ++row.crashes;
            row.listedIn += occurrence.isListed ? 1 : 0;
            row.errorRate *= occurrence.isListed ? 1.0 : errorRate;
            if (std::find(row.upstreams.begin(), row.upstreams.end(), crash.upstream)
                == row.upstreams.end()) {
                row.upstreams.push_back(crash.upstream);
            }
        }
    }
    return rows;
}

std::vector<PartQuarantine::Candidate> PartQuarantine::candidates(Counted counted) const
{
    const auto rows = countCrashes(counted);
    // How many parts are listed in at least so many crashes.
    std::vector<size_t> listed(m_crashes.crashes().size() + 1);
    for (const auto &[part, row] : rows) {
        ++listed[row.listedIn];
    }
    std::partial_sum(listed.rbegin(), listed.rend(), listed.rbegin());
    std::vector<Candidate> enough;
    for (const auto &[part, row] : rows) {
        // The more parts are looked up in sketches, the more are found there by chance.
        const bool isFoundByChance
            = row.listedIn < row.crashes
              && row.errorRate * static_cast<double>(listed[row.listedIn]) > maxChanceFinds;
        if (isEnough(row) && !isFoundByChance) {
            enough.push_back(row);
            enough.back().wasAnswered = m_answeredAt.contains(part);
        }
    }
    return enough;
}

bool PartQuarantine::isEnough(const Candidate &candidate)
{
    return candidate.upstreams.size() >= minUpstreams
           && candidate.lastAt - candidate.firstAt >= minCrashSpan;
}

void PartQuarantine::suspect(const std::vector<Candidate> &candidates, PartVerdicts &verdicts,
                             model::TimePoint now)
{
    for (const Candidate &candidate : candidates) {
        const bool isAnnounced = !m_peerSuspectedAt.contains(candidate.part);
        const bool isNew
            = m_suspicions
                  .try_emplace(candidate.part, Suspicion {.since = now, .isAnnounced = isAnnounced})
                  .second;
        if (isNew && isAnnounced) {
            verdicts.suspicions.push_back(
                {.part = candidate.part, .sinceFirstCrash = now - candidate.firstAt});
        }
    }
    std::sort(verdicts.suspicions.begin(), verdicts.suspicions.end());
}

void PartQuarantine::quarantine(model::Fingerprint part, model::TimePoint at)
{
    m_suspicions.erase(part);
    if (isQuarantined(part, at)) {
        model::TimePoint &since = m_quarantines[part].at;
        since = std::max(since, at);
        return;
    }
    m_quarantines[part]
        = {.at = at, .alternatives = alternativesTo(part), .trialsFrom = at + firstTrialDelay};
}

bool PartQuarantine::countsAgainst(const Crash &crash, model::Fingerprint part) const
{
    return crash.parts.contains(part) && answeredAt(part) < crash.at;
}

// If only one of two parts was answered before the crashes, the other one is the likely cause. A
// daemon that knows few of the crashes, as it has just started, cannot tell what explains them all.
PartFingerprints PartQuarantine::alternativesTo(model::Fingerprint part) const
{
    const auto rows = countCrashes(Counted::All);
    const auto row = rows.find(part);
    if (row == rows.end() || !isEnough(row->second)) {
        return {};
    }
    std::vector<const Crash *> crashes;
    for (const Crash &crash : m_crashes.crashes()) {
        if (countsAgainst(crash, part)) {
            crashes.push_back(&crash);
        }
    }
    PartFingerprints alternatives;
    for (const auto &[other, position] : crashes.front()->parts) {
        const bool isLessLikely = m_answeredAt.contains(other) && !m_answeredAt.contains(part);
        const bool explainsAll
            = std::all_of(crashes.begin(), crashes.end(), [&, other = other](const Crash *crash) {
                  return countsAgainst(*crash, other);
              });
        if (other != part && !isLessLikely && explainsAll) {
            alternatives.push_back(other);
        }
    }
    std::sort(alternatives.begin(), alternatives.end());
    alternatives.resize(std::min(alternatives.size(), maxAlternatives));
    return alternatives;
}

bool PartQuarantine::containsAll(const PartFingerprints &parts, const PartFingerprints &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](model::Fingerprint part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    });
}

void PartQuarantine::noteTrialCrash(const PartCrash &crash, model::TimePoint now)
{
    const auto contains = [&](model::Fingerprint part) {
        return crash.sketch.mayContain(part)
               || std::find(crash.parts.begin(), crash.parts.end(), part) != crash.parts.end();
    };
    for (auto &[part, quarantine] : m_quarantines) {
        const bool isTrial = now >= quarantine.trialsFrom && contains(part)
                             && !std::all_of(quarantine.alternatives.begin(),
                                             quarantine.alternatives.end(), contains);
        if (isTrial) {
            quarantine.trialsFrom = now + trialInterval * (1U << quarantine.failedTrials);
            quarantine.failedTrials = std::min(quarantine.failedTrials + 1, maxTrialDoublings);
        }
    }
}

bool PartQuarantine::isQuarantined(model::Fingerprint part, model::TimePoint now) const
{
    const auto it = m_quarantines.find(part);
    return it != m_quarantines.end() && now - it->second.at < quarantineLifetime;
}

// A sound part that is refused always could never be cleared. Requests without one of the parts
// that may be the cause instead are let through, as their answers prove which it is.
bool PartQuarantine::isQuarantined(const PartFingerprints &parts, model::TimePoint now) const
{
    if (m_quarantines.empty()) {
        return false;
    }
    return std::any_of(parts.begin(), parts.end(), [&](model::Fingerprint part) {
        if (!isQuarantined(part, now)) {
            return false;
        }
        const Quarantine &quarantine = m_quarantines.at(part);
        return now < quarantine.trialsFrom || containsAll(parts, quarantine.alternatives);
    });
}

model::TimePoint PartQuarantine::answeredAt(model::Fingerprint part) const
{
    const auto it = m_answeredAt.find(part);
    return it == m_answeredAt.end() ? model::TimePoint::min() : it->second;
}

void PartQuarantine::noteAnswer(model::Fingerprint part, model::TimePoint at)
{
    const auto [it, isNew] = m_answeredAt.try_emplace(part, at);
    it->second = std::max(it->second, at);
    for (auto &[quarantined, quarantine] : m_quarantines) {
        std::erase(quarantine.alternatives, part);
    }
    if (!isNew) {
        return;
    }
    m_answerOrder.emplace_back(part, at);
    while (m_answerOrder.size() > maxAnsweredParts) {
        const auto [oldest, queuedAt] = m_answerOrder.front();
        m_answerOrder.pop_front();
        // A part that was answered again since then takes its place by its last answer.
        const auto row = m_answeredAt.find(oldest);
        if (row->second > queuedAt) {
            m_answerOrder.emplace_back(oldest, row->second);
        } else {
            m_answeredAt.erase(row);
        }
    }
}

void PartQuarantine::forgetExpired(model::TimePoint now)
{
    m_crashes.forgetExpired(now);
    absl::erase_if(m_quarantines,
                   [&](const auto &entry) { return now - entry.second.at >= quarantineLifetime; });
    absl::erase_if(m_peerSuspectedAt,
                   [&](const auto &entry) { return now - entry.second > peerSuspicionLifetime; });
}

} // namespace citronpick::relay
