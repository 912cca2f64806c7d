#ifndef CITRONPICK_RELAY_RELAYEVENTS_H
#define CITRONPICK_RELAY_RELAYEVENTS_H

#include <optional>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

//! Part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    uint64_t tokens = 0;

    friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

//! Properties of a caller's request that determine how it is served. The request body is not part
//! of it.
struct ArrivedRequest {
    model::RequestId request; //!< Assigned by the daemon, never reused.
    model::CallerRequestId callerId;
    std::string host; //!< Lower-case, without a port.
    std::string path; //!< Without the query.
    std::optional<std::string> accountKey;
    std::optional<model::Duration> timeLeft; //!< The caller's timeout, counted from startedAt.
    model::TimePoint startedAt; //!< When the first byte of the request arrived.
    std::vector<uint32_t> pieceCounts; //!< Number of pieces of each stage.
    std::string pieceKey; //!< Identifies the data that stages without inputs process.
    //! The attempt of the caller that brought the first event of the stream that this request takes
    //! up; empty if the caller does not name it.
    model::CallerRequestId resumes;
    std::string lastEvent; //!< Id of the last event that the caller has; empty for a new stream.
    model::Fingerprint fingerprint; //!< Hash of caller and content; equal for a repeated request.
    std::vector<PromptPart> promptParts;
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
};

//! Facts read from the head of an upstream's answer.
struct AnswerFacts {
    uint16_t status = 0;
    bool wasNotRun = false; //!< The upstream states that it has not run the request.
    //! Callers take the status for a statement that the request has not run and never will.
    bool promisesNotRun = false;
    bool isMisdirected = false; //!< A different upstream than expected answers at the address.
    bool hasProvenance = false; //!< The answer carries proof that the upstream produced it.
    //! The body has a content encoding, so it is not the body that the upstream produced.
    bool isEncoded = false;
    bool matchesRequest = false; //!< The answer names the request to which it belongs.
    bool isEventStream = false; //!< According to its content type.

    bool isSuccess() const
    {
        return status >= 200 && status < 300 && hasProvenance && !isEncoded && matchesRequest;
    }
};

//! Why an attempt produced no complete answer.
enum class AttemptFailure {
    NotSent, //!< The upstream has certainly not received any byte of the request.
    Broken,
    Malformed,
    TimedOut,
    Unconfirmed, //!< The status promises that the request has not run; the upstream does not.
};

std::string_view toString(AttemptFailure failure);

//! A daemon of the fleet that is alive. The list of peers includes the local daemon.
struct PeerDaemon {
    model::DaemonId id;
    std::string address; //!< Address of the listener for other daemons, as "host:port".
    uint32_t linkMbps = 0; //!< Bandwidth of the daemon's network link; zero if unknown.

    friend auto operator<=>(const PeerDaemon &, const PeerDaemon &) = default;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RELAYEVENTS_H
