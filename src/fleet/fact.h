#ifndef CITRONPICK_FLEET_FACT_H
#define CITRONPICK_FLEET_FACT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "health/healthstate.h"
#include "model/ids.h"
#include "model/time.h"

namespace citronpick::fleet
{

//! An upstream's connection was lost while it ran a request with this fingerprint.
struct CrashFact {
    model::Fingerprint fingerprint;
    model::UpstreamId upstream;
    //! Fingerprints of the prompt parts that may have caused it; empty if none is suspected.
    std::vector<model::Fingerprint> parts;
    //! Bloom filter of the parts of a long prompt, which are not listed then.
    std::vector<uint64_t> partSketch;

    friend auto operator<=>(const CrashFact &, const CrashFact &) = default;
};

//! Health state of an upstream that is suspect, out of service or just returned at the origin.
struct ReturnFact {
    model::UpstreamId upstream;
    health::HealthState state = health::HealthState::Ejected;
    uint32_t rampStep = 0;
    uint32_t relapses = 0;

    friend auto operator<=>(const ReturnFact &, const ReturnFact &) = default;
};

//! Rate of requests that the origin receives for an account.
struct DemandFact {
    model::AccountId account;
    double requestsPerSecond = 0.0;

    friend auto operator<=>(const DemandFact &, const DemandFact &) = default;
};

//! Load of the origin.
struct LoadFact {
    uint32_t percent = 0;

    friend auto operator<=>(const LoadFact &, const LoadFact &) = default;
};

//! An upstream's instance, identified by its incarnation in the platform's list, is leaving.
struct LeavingFact {
    model::UpstreamId upstream;
    uint64_t incarnation = 0;

    friend auto operator<=>(const LeavingFact &, const LeavingFact &) = default;
};

//! Requests with this part of a prompt crash upstreams.
struct QuarantinedPartFact {
    model::Fingerprint part;

    friend auto operator<=>(const QuarantinedPartFact &, const QuarantinedPartFact &) = default;
};

//! A request with this part of a prompt, which had been suspected, was answered completely.
struct ClearedPartFact {
    model::Fingerprint part;

    friend auto operator<=>(const ClearedPartFact &, const ClearedPartFact &) = default;
};

//! Requests with this part of a prompt may crash upstreams; the first one did so \a sinceFirstCrash
//! before the publication.
struct SuspectedPartFact {
    model::Fingerprint part;
    model::Duration sinceFirstCrash {};

    friend auto operator<=>(const SuspectedPartFact &, const SuspectedPartFact &) = default;
};

//! What an upstream's instance states about the rate that it takes from all daemons together.
struct UpstreamRateFact {
    model::UpstreamId upstream;
    uint64_t incarnation = 0;
    std::optional<double> requestsPerSecond; //!< nullopt if the rate is not limited.

    friend auto operator<=>(const UpstreamRateFact &, const UpstreamRateFact &) = default;
};

using FactBody
    = std::variant<CrashFact, ReturnFact, DemandFact, LoadFact, LeavingFact, QuarantinedPartFact,
                   ClearedPartFact, SuspectedPartFact, UpstreamRateFact>;

//! Identifies the subject of a fact; a newer fact replaces an older one with the same key.
struct FactKey {
    model::DaemonId origin;
    size_t kind = 0; //!< Index of the alternative in FactBody.
    std::string subject; //!< Upstream, account or fingerprint, depending on the kind.

    friend auto operator<=>(const FactKey &, const FactKey &) = default;
};

//! A record that one daemon, the origin, publishes to all others.
struct Fact {
    model::DaemonId origin;
    model::Incarnation incarnation; //!< Incarnation of the origin.
    uint64_t version = 0; //!< Increases with each fact that the incarnation publishes.
    model::Duration age {}; //!< Time since the origin published it; forwarding does not reset it.
    FactBody body;

    friend bool operator==(const Fact &, const Fact &) = default;
};

FactKey keyOf(const Fact &fact);

//! Whether the origin publishes the fact again before it expires, as long as it holds. Other facts
//! describe a single event.
bool isRefreshed(const Fact &fact);

//! Whether the fact is about a suspected part of prompts. Such facts are few.
bool isVerdict(const Fact &fact);

//! Time after which a fact expires unless its origin publishes it again.
model::Duration lifetimeOf(const Fact &fact);

/*! Whether the fact counts in the digests that daemons compare to detect differing tables
 * (anti-entropy). A fact that some daemon missed then reaches it by a full exchange. */
bool usesAntiEntropy(const Fact &fact);

//! Whether the fact is forwarded immediately instead of with the next periodic exchange.
bool isUrgent(const Fact &fact);

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FACT_H
