#include "relay/relaycommands.h"

namespace citronpick::relay
{

std::string_view toString(Refusal refusal)
{
    switch (refusal) {
    case Refusal::NoConfiguration:
        return "no-configuration";
    case Refusal::UnknownRoute:
        return "unknown-route";
    case Refusal::UnknownKey:
        return "unknown-key";
    case Refusal::BadRequest:
        return "bad-request";
    case Refusal::Stopping:
        return "stopping";
    case Refusal::NoUpstream:
        return "no-upstream";
    case Refusal::UpstreamsFull:
        return "upstreams-full";
    case Refusal::TooLate:
        return "too-late";
    case Refusal::Quarantined:
        return "quarantined";
    case Refusal::StagesFailed:
        return "stages-failed";
    case Refusal::VersionGone:
        return "version-gone";
    case Refusal::OriginUnknown:
        return "origin-unknown";
    case Refusal::UpstreamFailed:
        return "upstream-failed";
    case Refusal::TimedOut:
        return "timed-out";
    }
    return "upstream-failed";
}

bool guaranteesNotRun(Refusal refusal)
{
    return refusal != Refusal::UpstreamFailed && refusal != Refusal::TimedOut;
}

} // namespace citronpick::relay
