#include "observability/event.h"

#include <algorithm>
#include <array>

namespace citronpick::observability
{

namespace
{

using enum EventCode;
using enum EventLevel;

constexpr std::array catalogue = {
    EventDescription {DaemonStarted, Info, "daemon-started"},
    EventDescription {DaemonReady, Info, "daemon-ready"},
    EventDescription {DrainStarted, Info, "drain-started"},
    EventDescription {DrainComplete, Info, "drain-complete"},
    EventDescription {DrainCut, Error, "drain-cut"},
    EventDescription {SignalIgnored, Info, "signal-ignored"},
    EventDescription {ProcessWasPaused, Warning, "process-was-paused"},
    EventDescription {SettingsReloaded, Info, "settings-reloaded"},
    EventDescription {SettingsRejected, Warning, "settings-rejected"},
    EventDescription {StopRepeated, Info, "stop-repeated"},
    EventDescription {ConfigurationAccepted, Info, "configuration-accepted"},
    EventDescription {ConfigurationRejected, Error, "configuration-rejected"},
    EventDescription {ConfigurationOlder, Warning, "configuration-older"},
    EventDescription {ConfigurationConflict, Error, "configuration-conflict"},
    EventDescription {ConfigurationFetched, Info, "configuration-fetched"},
    EventDescription {DocumentReceived, Info, "document-received"},
    EventDescription {UpstreamSuspected, Warning, "upstream-suspected"},
    EventDescription {UpstreamEjected, Warning, "upstream-ejected"},
    EventDescription {UpstreamProbing, Info, "upstream-probing"},
    EventDescription {UpstreamTrial, Info, "upstream-trial"},
    EventDescription {UpstreamRamping, Info, "upstream-ramping"},
    EventDescription {UpstreamActive, Info, "upstream-active"},
    EventDescription {UpstreamLeaving, Info, "upstream-leaving"},
    EventDescription {UpstreamListed, Info, "upstream-listed"},
    EventDescription {UpstreamRestarted, Info, "upstream-restarted"},
    EventDescription {UpstreamRemoved, Info, "upstream-removed"},
    EventDescription {ListingRejected, Warning, "listing-rejected"},
    EventDescription {UpstreamMissing, Info, "upstream-missing"},
    EventDescription {UpstreamSaidLeaving, Info, "upstream-said-leaving"},
    EventDescription {UpstreamAskedRest, Info, "upstream-asked-rest"},
    EventDescription {UpstreamCold, Info, "upstream-cold"},
    EventDescription {ZoneEvacuated, Warning, "zone-evacuated"},
    EventDescription {ZoneRestored, Info, "zone-restored"},
    EventDescription {UpstreamLimited, Info, "upstream-limited"},
    EventDescription {UpstreamUnlimited, Info, "upstream-unlimited"},
    EventDescription {RequestRefused, Debug, "request-refused"},
    EventDescription {RequestFailed, Warning, "request-failed"},
    EventDescription {RequestUnknown, Error, "request-unknown"},
    EventDescription {AttemptRetried, Info, "attempt-retried"},
    EventDescription {AttemptHedged, Debug, "attempt-hedged"},
    EventDescription {AnswerDropped, Debug, "answer-dropped"},
    EventDescription {RequestStruck, Warning, "request-struck"},
    EventDescription {RequestQuarantined, Error, "request-quarantined"},
    EventDescription {StreamResumed, Info, "stream-resumed"},
    EventDescription {CallerLeft, Debug, "caller-left"},
    EventDescription {QuarantineEnded, Info, "quarantine-ended"},
    EventDescription {PartSuspected, Warning, "part-suspected"},
    EventDescription {MemberJoined, Info, "member-joined"},
    EventDescription {MemberSuspected, Warning, "member-suspected"},
    EventDescription {MemberDead, Warning, "member-dead"},
    EventDescription {MemberLeaving, Info, "member-leaving"},
    EventDescription {MemberReturned, Info, "member-returned"},
    EventDescription {FleetMessageRejected, Warning, "fleet-message-rejected"},
    EventDescription {OperationRepeated, Info, "operation-repeated"},
    EventDescription {OperationTableFull, Error, "operation-table-full"},
    EventDescription {PlatformUnavailable, Warning, "platform-unavailable"},
    EventDescription {PlatformAvailable, Info, "platform-available"},
    EventDescription {RegistrySourceChanged, Info, "registry-source-changed"},
    EventDescription {ReaderFailed, Info, "reader-failed"},
    EventDescription {RegistryContentMismatch, Error, "registry-content-mismatch"},
    EventDescription {RegistryCallFailed, Info, "registry-call-failed"},
    EventDescription {RegistryAnswersAgain, Info, "registry-answers-again"},
    EventDescription {RegistryRestored, Warning, "registry-restored"},
    EventDescription {ExchangeAdmitted, Info, "exchange-admitted"},
    EventDescription {StageFinished, Info, "stage-finished"},
    EventDescription {StagesRestarted, Warning, "stages-restarted"},
    EventDescription {ExchangeSent, Info, "exchange-sent"},
    EventDescription {AttemptRefused, Info, "attempt-refused"},
    EventDescription {AttemptLost, Warning, "attempt-lost"},
    EventDescription {AnswerPassed, Info, "answer-passed"},
    EventDescription {AnswerBroken, Warning, "answer-broken"},
    EventDescription {ExchangeRefused, Info, "exchange-refused"},
    EventDescription {ExchangeAbandoned, Info, "exchange-abandoned"},
    EventDescription {BatchEnded, Info, "batch-ended"},
    EventDescription {CoordinatorAvoided, Warning, "coordinator-avoided"},
    EventDescription {AnswerBegan, Info, "answer-began"},
    EventDescription {ReleaseHeld, Info, "release-held"},
    EventDescription {RoomMade, Warning, "room-made"},
    EventDescription {StageMoved, Info, "stage-moved"},
    EventDescription {ConnectionCut, Warning, "connection-cut"},
    EventDescription {AttemptSilent, Warning, "attempt-silent"},
    EventDescription {PipelinedDiscarded, Info, "pipelined-discarded"},
    EventDescription {RequestDropped, Info, "request-dropped"},
    EventDescription {AttemptWithdrawn, Info, "attempt-withdrawn"},
    EventDescription {SilentKept, Info, "silent-kept"},
    EventDescription {PastListingsRead, Info, "past-listings-read"},
    EventDescription {LinesSuppressed, Warning, "lines-suppressed"},
};

} // namespace

std::string_view toString(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return "debug";
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "info";
}

std::span<const EventDescription> eventCatalogue()
{
    return catalogue;
}

const EventDescription &describe(EventCode code)
{
    const auto it = std::lower_bound(
        catalogue.begin(), catalogue.end(), code,
        [](const EventDescription &entry, EventCode wanted) { return entry.code < wanted; });
    return it == catalogue.end() ? catalogue.front() : *it;
}

} // namespace citronpick::observability
