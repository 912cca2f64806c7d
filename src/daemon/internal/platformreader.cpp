#include "daemon/internal/platformreader.h"

#include <absl/strings/str_cat.h>

#include "documents/platformdocuments.h"

namespace citronpick::daemon
{

namespace
{

constexpr uint64_t maxDocumentBytes = 4U << 20U;
constexpr uint16_t success = 200;
constexpr uint16_t noContent = 204;
//! Long-poll duration requested from the service; the client timeout adds 5 s to it.
constexpr int64_t watchHoldMs = 25000;
constexpr model::Duration watchTimeout = model::milliseconds(watchHoldMs + 5000);
constexpr double listBytesPerSecond = 4000.0;
constexpr model::Duration listTimeout = model::seconds(2);

} // namespace

PlatformReader::PlatformReader(net::HttpClient &client, const config::Settings &settings,
                               IEventSink &sink, uint64_t seed)
    : m_client(client)
    , m_settings(settings)
    , m_sink(sink)
    // The next watch starts almost immediately, since the service holds it until something changes.
    , m_watchSchedule({.readInterval = model::milliseconds(20)}, seed)
    , m_listSchedule({.readInterval = model::seconds(1)}, seed + 1)
{
}

void PlatformReader::run(model::TimePoint now, model::Revision revision)
{
    if (m_watchSchedule.isDue(now)) {
        startWatch(revision);
    }
    if (m_listSchedule.isDue(now)) {
        startList();
    }
}

void PlatformReader::startWatch(model::Revision revision)
{
    m_watchSchedule.onStarted();
    net::HttpCall call;
    call.to = m_settings.platform;
    // The first read must return the current configuration at once, whatever its revision.
    const int64_t holdMs = m_hasReadConfiguration ? watchHoldMs : 0;
    call.path = absl::StrCat("/v1/configuration/watch?after=",
                             m_hasReadConfiguration ? revision.value() : 0, "&holdMs=", holdMs);
    call.timeout = watchTimeout;
    call.maxBodyBytes = maxDocumentBytes;
    net::HttpCallbacks callbacks;
    callbacks.onResponse = [this](const net::HttpResponse &answer) {
        onWatchAnswer(answer);
    };
    callbacks.onError = [this](net::HttpError) {
        m_watchSchedule.onFailed(net::EventLoop::now());
        setReachable(false);
    };
    m_client.start(call, std::move(callbacks));
}

void PlatformReader::onWatchAnswer(const net::HttpResponse &answer)
{
    const model::TimePoint now = net::EventLoop::now();
    if (answer.status == noContent) {
        m_hasReadConfiguration = true;
        m_watchSchedule.onSucceeded(now);
        setReachable(true);
        return;
    }
    auto file = documents::parseConfigurationAnswer(*answer.body);
    if (answer.status != success || !file.ok()) {
        m_watchSchedule.onFailed(now);
        setReachable(false);
        return;
    }
    m_hasReadConfiguration = true;
    m_watchSchedule.onSucceeded(now);
    setReachable(true);
    m_sink.post(core::ConfigurationOffered {.file = *std::move(file)});
}

void PlatformReader::startList()
{
    m_listSchedule.onStarted();
    net::HttpCall call;
    call.to = m_settings.platform;
    call.path = "/v1/instances";
    call.timeout = listTimeout;
    call.maxBodyBytes = maxDocumentBytes;
    net::HttpCallbacks callbacks;
    callbacks.onResponse = [this](const net::HttpResponse &answer) {
        onListAnswer(answer);
    };
    callbacks.onError = [this](net::HttpError) {
        m_listSchedule.onFailed(net::EventLoop::now());
    };
    m_client.start(call, std::move(callbacks));
}

void PlatformReader::onListAnswer(const net::HttpResponse &answer)
{
    auto list = documents::parseInstanceList(*answer.body);
    if (answer.status != success || !list.ok()) {
        m_listSchedule.onFailed(net::EventLoop::now());
        return;
    }
    // Large lists are polled less often to limit the load on the service. The daemons poll at
    // different times and report a leaving upstream to each other at once, so a large fleet still
    // detects it early.
    const double seconds = static_cast<double>(answer.body->size()) / listBytesPerSecond;
    m_listSchedule.onSucceeded(net::EventLoop::now(), model::scaled(model::seconds(1), seconds));
    m_sink.post(*std::move(list));
}

void PlatformReader::setReachable(bool isReachable)
{
    m_sink.post(core::PlatformReachable {.isReachable = isReachable});
}

} // namespace citronpick::daemon
