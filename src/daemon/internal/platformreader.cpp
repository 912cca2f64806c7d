#include "daemon/internal/platformreader.h"

#include <absl/strings/str_cat.h>

#include "documents/platformdocuments.h"

namespace citronpick::daemon
{

namespace
{

constexpr uint64_t maxDocumentBytes = 4U << 20U;
constexpr uint16_t success = 200;
constexpr uint16_t nothingNew = 204;
//! How long the service is asked to hold a watch, and how long this daemon waits for it.
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
    // The next watch follows at once: the service itself holds it until there is news.
    , m_watch({.afterSuccess = model::milliseconds(20)}, seed)
    , m_list({.afterSuccess = model::seconds(1)}, seed + 1)
{
}

void PlatformReader::run(model::TimePoint now, model::Revision revision)
{
    if (m_watch.isDue(now)) {
        startWatch(revision);
    }
    if (m_list.isDue(now)) {
        startList();
    }
}

void PlatformReader::startWatch(model::Revision revision)
{
    m_watch.onStarted();
    net::HttpCall call;
    call.to = m_settings.platform;
    // The first read does not wait: what is there is wanted, whatever its revision.
    const int64_t holdMs = m_hasRead ? watchHoldMs : 0;
    call.path = absl::StrCat("/v1/configuration/watch?after=", m_hasRead ? revision.value() : 0,
                             "&holdMs=", holdMs);
    call.timeout = watchTimeout;
    call.maxBodyBytes = maxDocumentBytes;
    net::HttpCallbacks callbacks;
    callbacks.onAnswer = [this](const net::HttpAnswer &answer) {
        onWatchAnswer(answer);
    };
    callbacks.onError = [this](net::HttpError) {
        m_watch.onFailed(net::EventLoop::now());
        setReachable(false);
    };
    m_client.start(call, std::move(callbacks));
}

void PlatformReader::onWatchAnswer(const net::HttpAnswer &answer)
{
    const model::TimePoint now = net::EventLoop::now();
    if (answer.status == nothingNew) {
        m_hasRead = true;
        m_watch.onSucceeded(now);
        setReachable(true);
        return;
    }
    auto file = documents::parseConfigurationAnswer(*answer.body);
    if (answer.status != success || !file.ok()) {
        m_watch.onFailed(now);
        setReachable(false);
        return;
    }
    m_hasRead = true;
    m_watch.onSucceeded(now);
    setReachable(true);
    m_sink.post(core::ConfigurationOffered {.file = *std::move(file)});
}

void PlatformReader::startList()
{
    m_list.onStarted();
    net::HttpCall call;
    call.to = m_settings.platform;
    call.path = "/v1/instances";
    call.timeout = listTimeout;
    call.maxBodyBytes = maxDocumentBytes;
    net::HttpCallbacks callbacks;
    callbacks.onAnswer = [this](const net::HttpAnswer &answer) {
        onListAnswer(answer);
    };
    callbacks.onError = [this](net::HttpError) {
        m_list.onFailed(net::EventLoop::now());
    };
    m_client.start(call, std::move(callbacks));
}

void PlatformReader::onListAnswer(const net::HttpAnswer &answer)
{
    auto list = documents::parseInstanceList(*answer.body);
    if (answer.status != success || !list.ok()) {
        m_list.onFailed(net::EventLoop::now());
        return;
    }
    // Large lists are read less often. Each daemon reads at its own time and tells the others at
    // once which upstream leaves, so a large fleet as a whole still notices soon.
    const double seconds = static_cast<double>(answer.body->size()) / listBytesPerSecond;
    m_list.onSucceeded(net::EventLoop::now(), model::scaled(model::seconds(1), seconds));
    m_sink.post(*std::move(list));
}

void PlatformReader::setReachable(bool isReachable)
{
    m_sink.post(core::PlatformReachable {.isReachable = isReachable});
}

} // namespace citronpick::daemon
