#ifndef CITRONPICK_OBSERVABILITY_EVENT_H
#define CITRONPICK_OBSERVABILITY_EVENT_H

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "model/ids.h"

namespace citronpick::observability
{

//! Event codes in logs and timelines. The number of an event is stable across versions.
enum class EventCode : uint16_t {
    DaemonStarted = 101,
    DaemonReady = 102,
    DrainStarted = 103,
    DrainComplete = 104,
    DrainCut = 105,
    SignalIgnored = 106,
    ProcessWasPaused = 107,
    SettingsReloaded = 108,
    SettingsRejected = 109,
    StopRepeated = 110,
    ConfigurationAccepted = 201,
    ConfigurationRejected = 202,
    ConfigurationOlder = 203,
    ConfigurationConflict = 204,
    ConfigurationFetched = 205,
    DocumentReceived = 206,
    UpstreamSuspected = 301,
    UpstreamEjected = 302,
    UpstreamProbing = 303,
    UpstreamTrial = 304,
    UpstreamRamping = 305,
    UpstreamActive = 306,
    UpstreamLeaving = 307,
    UpstreamListed = 308,
    UpstreamRestarted = 309,
    UpstreamRemoved = 310,
    ListingRejected = 311,
    UpstreamMissing = 312,
    UpstreamSaidLeaving = 313,
    UpstreamAskedRest = 314,
    UpstreamCold = 315,
    ZoneEvacuated = 316,
    ZoneRestored = 317,
    UpstreamLimited = 318,
    UpstreamUnlimited = 319,
    RequestRefused = 401,
    RequestFailed = 402,
    RequestUnknown = 403,
    AttemptRetried = 404,
    AttemptHedged = 405,
    AnswerDropped = 406,
    RequestStruck = 407,
    RequestQuarantined = 408,
    StreamResumed = 409,
    CallerLeft = 410,
    QuarantineEnded = 411,
    PartSuspected = 412,
    MemberJoined = 501,
    MemberSuspected = 502,
    MemberDead = 503,
    MemberLeaving = 504,
    MemberReturned = 505,
    FleetMessageRejected = 506,
    OperationRepeated = 601,
    OperationTableFull = 602,
    PlatformUnavailable = 701,
    PlatformAvailable = 702,
    RegistrySourceChanged = 703,
    ReaderFailed = 704,
    RegistryContentMismatch = 705,
    RegistryCallFailed = 706,
    RegistryAnswersAgain = 707,
    RegistryRestored = 708,
    ExchangeAdmitted = 801,
    StageFinished = 802,
    StagesRestarted = 803,
    ExchangeSent = 804,
    AttemptRefused = 805,
    AttemptLost = 806,
    AnswerPassed = 807,
    AnswerBroken = 808,
    ExchangeRefused = 809,
    ExchangeAbandoned = 810,
    BatchEnded = 812,
    CoordinatorAvoided = 813,
    AnswerBegan = 814,
    ReleaseHeld = 815,
    RoomMade = 816,
    StageMoved = 817,
    ConnectionCut = 818,
    AttemptSilent = 819,
    PipelinedDiscarded = 820,
    RequestDropped = 821,
    AttemptWithdrawn = 822,
    SilentKept = 823,
    PastListingsRead = 824,
    LinesSuppressed = 901,
};

enum class EventLevel {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view toString(EventLevel level);

//! Level and name of an event code.
struct EventDescription {
    EventCode code = EventCode::DaemonStarted;
    EventLevel level = EventLevel::Info;
    std::string_view name;
};

//! Descriptions of all events, sorted by code.
std::span<const EventDescription> eventCatalogue();

const EventDescription &describe(EventCode code);

//! An occurrence that is recorded in the log and in the timeline.
struct Event {
    EventCode code = EventCode::DaemonStarted;
    model::CallerRequestId request; //!< Empty when the event is not about a request.
    std::string subject; //!< Name of the upstream, daemon, account or file.
    std::string detail; //!< Space-separated key=value pairs.

    friend auto operator<=>(const Event &, const Event &) = default;
};

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_EVENT_H
