#include "fleet/fact.h"

#include "model/overloaded.h"

namespace citronpick::fleet
{

namespace
{

constexpr model::Duration crashReportLifetime = model::seconds(60);
constexpr model::Duration returnLifetime = model::seconds(30);
constexpr model::Duration leavingLifetime = model::seconds(60);
//! As long as a quarantine, so that daemons that start meanwhile know of it and of its end.
constexpr model::Duration quarantineLifetime = model::seconds(600);
constexpr model::Duration upstreamRateLifetime = model::seconds(60);
constexpr model::Duration demandAndLoadLifetime = model::seconds(15);

std::string subjectOf(const FactBody &body)
{
    return std::visit(
        model::Overloaded {
            [](const CrashFact &crash) {
                return std::to_string(crash.fingerprint.value()) + "/" + crash.upstream.text();
            },
            [](const ReturnFact &upstream) { return upstream.upstream.text(); },
            [](const DemandFact &demand) { return demand.account.text(); },
            [](const LoadFact &) { return std::string(); },
            [](const LeavingFact &leaving) { return leaving.upstream.text(); },
            [](const QuarantinedPartFact &quarantined) {
                return std::to_string(quarantined.part.value());
            },
            [](const ClearedPartFact &cleared) { return std::to_string(cleared.part.value()); },
            [](const SuspectedPartFact &suspected) {
                return std::to_string(suspected.part.value());
            },
            [](const UpstreamRateFact &rate) { return rate.upstream.text(); },
        },
        body);
}

} // namespace

FactKey keyOf(const Fact &fact)
{
    return {.origin = fact.origin, .kind = fact.body.index(), .subject = subjectOf(fact.body)};
}

// A refreshed crash report would count again after an answer had cleared it. A rate is published by
// whichever daemon has heard of it last.
bool isRefreshed(const Fact &fact)
{
    return !std::holds_alternative<CrashFact>(fact.body)
           && !std::holds_alternative<UpstreamRateFact>(fact.body) && !isVerdict(fact);
}

bool isVerdict(const Fact &fact)
{
    return std::holds_alternative<QuarantinedPartFact>(fact.body)
           || std::holds_alternative<ClearedPartFact>(fact.body)
           || std::holds_alternative<SuspectedPartFact>(fact.body);
}

model::Duration lifetimeOf(const Fact &fact)
{
    return std::visit(model::Overloaded {
                          [](const CrashFact &) { return crashReportLifetime; },
                          [](const ReturnFact &) { return returnLifetime; },
                          [](const DemandFact &) { return demandAndLoadLifetime; },
                          [](const LoadFact &) { return demandAndLoadLifetime; },
                          [](const LeavingFact &) { return leavingLifetime; },
                          [](const QuarantinedPartFact &) { return quarantineLifetime; },
                          [](const ClearedPartFact &) { return quarantineLifetime; },
                          [](const SuspectedPartFact &) { return crashReportLifetime; },
                          [](const UpstreamRateFact &) { return upstreamRateLifetime; },
                      },
                      fact.body);
}

bool usesAntiEntropy(const Fact &fact)
{
    return std::holds_alternative<CrashFact>(fact.body)
           || std::holds_alternative<ReturnFact>(fact.body)
           || std::holds_alternative<LeavingFact>(fact.body) || isVerdict(fact);
}

bool isUrgent(const Fact &fact)
{
    const bool isAlwaysUrgent = std::holds_alternative<CrashFact>(fact.body)
                                || std::holds_alternative<LeavingFact>(fact.body)
                                || std::holds_alternative<UpstreamRateFact>(fact.body)
                                || isVerdict(fact);
    if (isAlwaysUrgent) {
        return true;
    }
    const auto *returning = std::get_if<ReturnFact>(&fact.body);
    const bool isRelapse
        = returning && returning->relapses > 0 && returning->state == health::HealthState::Ejected;
    return isRelapse || (returning && returning->state == health::HealthState::Suspect);
}

} // namespace citronpick::fleet
