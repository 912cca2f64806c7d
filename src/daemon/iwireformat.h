#ifndef CITRONPICK_DAEMON_IWIREFORMAT_H
#define CITRONPICK_DAEMON_IWIREFORMAT_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "net/messageparser.h"
#include "net/upstreamclient.h"
#include "registry/registryfollower.h"
#include "relay/relaycommands.h"
#include "relay/relayevents.h"
#include "relay/upstreamnotice.h"

namespace citronpick::daemon
{

//! Control calls that a caller can make in addition to its requests.
enum class ControlCall {
    None,
    Readiness,
    Entries, //!< Lists the daemons that callers may use.
};

//! Kind of the value that a registry key holds.
enum class RegistryKeyKind {
    Other,
    Configuration,
    Upstream,
    Evacuation, //!< Exists while the operator orders that a zone's upstreams get no work.
};

/*!
 * Encodes and decodes the messages that are specific to a deployment: header names, body formats
 * and calls of callers, upstreams and registry. Contains no routing or retry decisions.
 */
class IWireFormat
{
public:
    virtual ~IWireFormat() = default;

    // Callers
    virtual ControlCall controlCallOf(const net::MessageHead &head) const = 0;
    virtual std::string encodeEntries(const std::vector<config::Endpoint> &entries,
                                      model::Duration lifetime) const = 0;
    //! Decodes all fields except the request number, start time and fingerprint, which the daemon
    //! sets.
    virtual relay::ArrivedRequest decodeRequest(const net::MessageHead &head) const = 0;

    // Upstreams
    virtual net::UpstreamCall encodeAttempt(const net::MessageHead &head, const std::string &body,
                                            const relay::StartAttempt &attempt) const = 0;
    virtual relay::AnswerFacts decodeAnswer(const net::MessageHead &head,
                                            const model::CallerRequestId &request) const = 0;
    //! What the upstream that was addressed states about itself in any of its answers. Empty if
    //! another upstream has answered at its address.
    virtual relay::UpstreamNotice decodeNotice(const net::MessageHead &head,
                                               model::WallTime receivedAt) const = 0;
    virtual net::UpstreamCall encodeBatch(const relay::RunBatch &batch) const = 0;
    virtual absl::StatusOr<std::vector<relay::ItemOutcome>>
    decodeBatch(std::string_view body) const = 0;
    //! Address of the upstream that produced the result; empty if the handle contains no address.
    virtual std::optional<config::Endpoint> producerOf(const relay::ResultHandle &handle) const = 0;
    //! \a upstream is empty if it is not known which one listens at the producer's address.
    virtual net::UpstreamCall
    encodeRelease(const config::Endpoint &producer, const model::UpstreamId &upstream,
                  const std::vector<relay::ResultHandle> &handles) const = 0;

    // Registry
    //! Common prefix of all registry keys that the daemon watches.
    virtual std::string registryPrefix() const = 0;
    virtual RegistryKeyKind kindOf(std::string_view key) const = 0;
    virtual net::UpstreamCall encodeRead(const config::Endpoint &to, const std::string &prefix,
                                         const registry::ReadPage &page) const = 0;
    virtual net::UpstreamCall encodeWatch(const config::Endpoint &to, const std::string &prefix,
                                          uint64_t afterRevision, model::Duration wait) const = 0;
    //! Era of the registry that an answer names; zero if it names none.
    virtual uint64_t decodeEra(const net::MessageHead &head) const = 0;
    virtual absl::StatusOr<registry::RegistryPage> decodePage(std::string_view body) const = 0;
    virtual absl::StatusOr<registry::RegistryChanges>
    decodeChanges(std::string_view body) const = 0;
    virtual absl::StatusOr<relay::ConfigurationContent>
    decodeConfiguration(std::string_view value) const = 0;
    virtual absl::StatusOr<relay::UpstreamListing> decodeUpstream(std::string_view key,
                                                                  std::string_view value) const = 0;
    virtual model::UpstreamId upstreamOf(std::string_view key) const = 0;
    virtual model::ZoneId evacuatedZoneOf(std::string_view key) const = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_IWIREFORMAT_H
