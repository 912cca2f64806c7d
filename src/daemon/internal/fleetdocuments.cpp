#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "daemon/internal/fleetapi.h"
#include "daemon/internal/fleetnames.h"
#include "documents/platformdocuments.h"
#include "model/abslview.h"

// The part of FleetApi that requests documents and changes of the registry from other daemons.

namespace citronpick::daemon
{

namespace
{

//! Longest time in which a document arrives once it has been asked for, or a watch has ended.
constexpr model::Duration documentTimeout = model::seconds(3);
//! A peer that has not begun to answer a fetch by then is considered lost.
constexpr model::Duration documentHeadTimeout = model::seconds(1);
//! A peer whose answer has begun but stands still for this long is considered lost.
constexpr model::Duration stallTimeout = model::milliseconds(500);
constexpr model::Duration watchConnectTimeout = model::milliseconds(400);
//! Smaller answers to watches are not logged.
constexpr uint64_t largeAnswerBytes = 64U << 10U;
constexpr const char *completeOutcome = "complete";

} // namespace

void FleetApi::fetch(const core::FetchConfiguration &command, const std::function<void()> &onEnded)
{
    fetchDocument(command.from, configurationPath, absl::StrCat(command.revision.value()),
                  [this, onEnded](const absl::StatusOr<std::string> &text) {
                      auto file = text.ok()
                                      ? parseConfiguration(*text)
                                      : absl::StatusOr<config::ConfigurationFile>(text.status());
                      if (file.ok()) {
                          m_sink.post(core::ConfigurationOffered {.file = *std::move(file),
                                                                  .isFromPeer = true});
                      }
                      if (onEnded) {
                          onEnded();
                      }
                  });
}

absl::StatusOr<config::ConfigurationFile>
FleetApi::parseConfiguration(const std::string &text) const
{
    return m_documents.texts ? documents::parseConfigurationAnswer(text, *m_documents.texts)
                             : documents::parseConfigurationAnswer(text);
}

void FleetApi::addKnownTexts(net::HttpCall &call) const
{
    if (!m_documents.texts) {
        return;
    }
    const std::string digests = absl::StrJoin(m_documents.texts->digests(), " ");
    call.headers.push_back({.name = textsHeader, .value = digests.empty() ? "none" : digests});
}

void FleetApi::fetchListing(const config::Endpoint &from, uint64_t afterRevision,
                            const DocumentHandler &handler)
{
    fetchDocument(from, listingPath, absl::StrCat(afterRevision), handler);
}

void FleetApi::count(Transfer &transfer, size_t bytes)
{
    transfer.answeredAt = transfer.answeredAt.value_or(net::EventLoop::now());
    transfer.bytes += bytes;
}

void FleetApi::recordTransfer(const config::Endpoint &from, std::string_view path,
                              const Transfer &transfer, std::string_view outcome)
{
    const model::TimePoint now = net::EventLoop::now();
    const model::Duration receiving = now - transfer.answeredAt.value_or(now);
    ++(outcome == completeOutcome ? m_documentCounters.received : m_documentCounters.failed);
    m_documentCounters.bytes += transfer.bytes;
    m_sink.record(
        {.code = observability::EventCode::DocumentReceived,
         .request = {},
         .subject = config::toText(from),
         .detail = absl::StrCat("document=", model::toAbsl(path),
                                " outcome=", model::toAbsl(outcome), " bytes=", transfer.bytes,
                                " age_ms=", model::toMilliseconds(now - transfer.startedAt),
                                " receiving_ms=", model::toMilliseconds(receiving))});
}

void FleetApi::fetchDocument(const config::Endpoint &from, const std::string &path,
                             std::string body, const DocumentHandler &handler)
{
    std::string stamp;
    net::HttpCall call = signedCall(from, path, std::move(body), stamp);
    addKnownTexts(call);
    call.headTimeout = documentHeadTimeout;
    call.stallTimeout = stallTimeout;
    call.timeout = documentTimeout;
    const auto transfer = std::make_shared<Transfer>(Transfer {.startedAt = net::EventLoop::now()});
    net::HttpCallbacks callbacks;
    callbacks.onProgress = [transfer](size_t bytes) {
        count(*transfer, bytes);
    };
    callbacks.onResponse
        = [this, stamp, handler, from, path, transfer](const net::HttpResponse &answer) {
              const std::string code = net::headerValue(answer.headers, codeHeader);
              if (answer.status != 200 || !m_auth.isResponseAuthentic(stamp, *answer.body, code)) {
                  ++m_rejectedCount;
                  recordTransfer(from, path, *transfer, "refused");
                  handler(absl::UnavailableError("refused"));
                  return;
              }
              recordTransfer(from, path, *transfer, completeOutcome);
              handler(*answer.body);
          };
    callbacks.onError = [this, handler, from, path, transfer](net::HttpError error) {
        recordTransfer(from, path, *transfer, net::toString(error));
        handler(absl::UnavailableError(model::toAbsl(net::toString(error))));
    };
    m_client.start(call, std::move(callbacks));
}

void FleetApi::watchPeer(const config::Endpoint &peer, const registry::WatchPeer &watch,
                         const WatchHandler &handler)
{
    std::string stamp;
    net::HttpCall call = signedCall(
        peer, changesPath,
        absl::StrCat(watch.afterRevision, " ", model::toMilliseconds(watch.timeout)), stamp);
    addKnownTexts(call);
    call.connectTimeout = watchConnectTimeout;
    // The size of an answer does not say that its sender is lost.
    call.headTimeout = watch.timeout + watch.margin;
    call.stallTimeout = stallTimeout;
    call.timeout = watch.timeout + documentTimeout;
    const auto transfer = std::make_shared<Transfer>(Transfer {.startedAt = net::EventLoop::now()});
    m_watchTransfer = transfer;
    net::HttpCallbacks callbacks;
    callbacks.onProgress = [transfer](size_t bytes) {
        count(*transfer, bytes);
    };
    callbacks.onResponse = [this, stamp, handler, peer, transfer](const net::HttpResponse &answer) {
        m_watchTransfer.reset();
        const std::string code = net::headerValue(answer.headers, codeHeader);
        if (answer.status != 200 || !m_auth.isResponseAuthentic(stamp, *answer.body, code)) {
            handler(absl::UnavailableError("no current content"), registry::PeerError::Outdated);
            return;
        }
        if (transfer->bytes >= largeAnswerBytes) {
            recordTransfer(peer, changesPath, *transfer, completeOutcome);
        }
        handler(*answer.body, registry::PeerError::Outdated);
    };
    callbacks.onError = [this, handler, peer, transfer](net::HttpError error) {
        m_watchTransfer.reset();
        if (transfer->bytes > 0) {
            recordTransfer(peer, changesPath, *transfer, net::toString(error));
        }
        handler(absl::UnavailableError(model::toAbsl(net::toString(error))),
                registry::PeerError::Unreachable);
    };
    m_client.start(call, std::move(callbacks));
}

} // namespace citronpick::daemon
