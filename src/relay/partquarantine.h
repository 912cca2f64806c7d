#ifndef CITRONPICK_RELAY_PARTQUARANTINE_H
#define CITRONPICK_RELAY_PARTQUARANTINE_H

#include <compare>
#include <deque>
#include <optional>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"
#include "relay/partcrashtable.h"

namespace citronpick::relay
{

//! A part that will be quarantined unless a request with it was answered since the first crash.
struct PartSuspicion {
    model::Fingerprint part;
    model::Duration sinceFirstCrash {};

    friend auto operator<=>(const PartSuspicion &, const PartSuspicion &) = default;
};

//! What PartQuarantine::run() concluded.
struct PartVerdicts {
    std::vector<PartSuspicion> suspicions; //!< New ones that no other daemon has announced.
    PartFingerprints quarantined;
    PartFingerprints findings; //!< Those of them that other daemons have to be told of.
};

/*!
 * Finds parts of prompts that crash each upstream that answers them, and keeps requests with such
 * parts from reaching further upstreams.
 *
 * The requests beside the one that crashes an upstream are lost as well. Their parts are told apart
 * by answers, which all daemons report for suspected parts, and by crashes that another part
 * explains.
 */
class PartQuarantine
{
public:
    //! A request was lost at \a at, here or at another daemon. Reports of one upstream within a
    //! short time belong to the same crash.
    void addCrash(const PartCrash &crash, model::TimePoint at, model::TimePoint now);

    //! A request with these parts was answered here, completely or for longer than a part that
    //! crashes upstreams lets them run. Returns the parts that are suspected or in quarantine; they
    //! no longer are.
    PartFingerprints addAnswer(const PartFingerprints &parts, model::TimePoint now);
    //! The same at another daemon at \a at. Returns whether that ends a quarantine.
    bool addPeerAnswer(model::Fingerprint part, model::TimePoint at, model::TimePoint now);

    //! Another daemon suspects the part. Returns true if an answer since \a since disproves that.
    bool addPeerSuspicion(model::Fingerprint part, model::TimePoint since, model::TimePoint now);

    enum class FindingResult {
        Applied,
        Known,
        Disproved, //!< A request with the part was answered since.
    };
    //! Another daemon put the part into quarantine at \a at.
    FindingResult addFinding(model::Fingerprint part, model::TimePoint at, model::TimePoint now);

    PartVerdicts run(model::TimePoint now);
    //! When run() has to be called next.
    std::optional<model::TimePoint> nextRun() const
    {
        return m_nextRun;
    }

    //! Whether requests with these parts must reach no upstream.
    bool isQuarantined(const PartFingerprints &parts, model::TimePoint now) const;

private:
    using Crash = PartCrashTable::Crash;

    struct Quarantine {
        model::TimePoint at;
        //! Parts that explain the same crashes as well as this one. A request without one of them
        //! can tell which it is.
        PartFingerprints alternatives;
        model::TimePoint trialsFrom; //!< When such requests are let through.
        uint32_t failedTrials = 0;
    };
    struct Suspicion {
        model::TimePoint since;
        bool isAnnounced = false; //!< By this daemon.
    };
    //! Crashes that count against a part.
    struct Candidate {
        model::Fingerprint part;
        size_t position = 0;
        size_t crashes = 0;
        size_t listedIn = 0; //!< Number of these crashes whose reports list the part.
        //! Probability that the sketches of the other crashes hold the part by chance.
        double errorRate = 1.0;
        bool wasAnswered = false; //!< Before the crashes.
        std::vector<model::UpstreamId> upstreams;
        model::TimePoint firstAt;
        model::TimePoint lastAt;
    };

    enum class Counted {
        Unexplained, //!< Crashes in which no part is in quarantine.
        All,
    };
    bool isExplained(const Crash &crash) const;
    absl::flat_hash_map<model::Fingerprint, Candidate> countCrashes(Counted counted) const;
    std::vector<Candidate> candidates(Counted counted) const;
    void dropSuspicions();
    static bool isEnough(const Candidate &candidate);
    //! The highest one is the most likely cause.
    static std::tuple<size_t, bool, size_t, model::Fingerprint> rankOf(const Candidate &candidate);
    void judge(PartVerdicts &verdicts, model::TimePoint now);
    void suspect(const std::vector<Candidate> &candidates, PartVerdicts &verdicts,
                 model::TimePoint now);
    void quarantine(model::Fingerprint part, model::TimePoint at);
    PartFingerprints alternativesTo(model::Fingerprint part) const;
    static bool containsAll(const PartFingerprints &parts, const PartFingerprints &wanted);
    //! Ends the trials of parts in quarantine that are in the crash.
    void noteTrialCrash(const PartCrash &crash, model::TimePoint now);
    PartFingerprints takeFindings(model::TimePoint now);
    bool isQuarantined(model::Fingerprint part, model::TimePoint now) const;
    bool countsAgainst(const Crash &crash, model::Fingerprint part) const;
    model::TimePoint answeredAt(model::Fingerprint part) const;
    void noteAnswer(model::Fingerprint part, model::TimePoint at);
    void forgetExpired(model::TimePoint now);

    PartCrashTable m_crashes;
    absl::flat_hash_map<model::Fingerprint, Quarantine> m_quarantines;
    absl::flat_hash_map<model::Fingerprint, Suspicion> m_suspicions;
    //! When another daemon announced its suspicion of the part.
    absl::flat_hash_map<model::Fingerprint, model::TimePoint> m_peerSuspectedAt;
    //! When a request with the part was last answered, here or at another daemon.
    absl::flat_hash_map<model::Fingerprint, model::TimePoint> m_answeredAt;
    //! When each of these parts was added to the queue, the oldest first.
    std::deque<std::pair<model::Fingerprint, model::TimePoint>> m_answerOrder;
    //! When other daemons are told of an own conclusion unless one of them does so before.
    absl::flat_hash_map<model::Fingerprint, model::TimePoint> m_announceAt;
    std::optional<model::TimePoint> m_nextRun;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_PARTQUARANTINE_H
