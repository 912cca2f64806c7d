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

//! What decides how a caller's request is served; its bytes stay with whoever read them.
struct ArrivedRequest {
    model::RequestId request; //!< Drawn by the daemon, never used twice.
    model::CallerRequestId callerId;
    std::string host; //!< Lower-case, without a port.
    std::string path; //!< Without the query.
    std::optional<std::string> accountKey;
    std::optional<model::Duration> timeLeft; //!< Until the caller stops waiting, at its start.
    model::TimePoint startedAt; //!< When its first byte came.
    std::vector<uint32_t> pieceCounts; //!< Pieces of each stage.
    std::string pieceKey; //!< What stages without inputs work on.
    model::Fingerprint fingerprint; //!< Of what is asked, by whom: equal when it is sent again.
    std::vector<PromptPart> promptParts;
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
};

//! What the head of an upstream's answer says.
struct AnswerFacts {
    uint16_t status = 0;
    bool isNotRun = false; //!< The upstream says that it has not run the request.
    bool isMisdirected = false; //!< Another upstream than the expected one has the address.
    bool hasProvenance = false; //!< It carries the upstream's proof that it made the answer.
    bool isEncoded = false; //!< The body is not what the upstream made.
    bool isOfRequest = false; //!< It names the request that it answers.

    bool isSuccess() const
    {
        return status >= 200 && status < 300 && hasProvenance && !isEncoded && isOfRequest;
    }
};

//! Why an attempt gave no complete answer.
enum class AttemptFailure {
    NotSent, //!< Proven: the upstream has not got a byte of it.
    Broken,
    Malformed,
    TimedOut,
};

std::string_view toString(AttemptFailure failure);

//! Another daemon that is alive, itself included.
struct PeerDaemon {
    model::DaemonId id;
    std::string address; //!< Of its listener for other daemons, as "host:port".
    uint32_t linkMbps = 0; //!< Zero when it is not known.

    friend auto operator<=>(const PeerDaemon &, const PeerDaemon &) = default;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RELAYEVENTS_H
