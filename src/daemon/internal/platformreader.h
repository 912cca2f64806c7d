#ifndef CITRONPICK_DAEMON_INTERNAL_PLATFORMREADER_H
#define CITRONPICK_DAEMON_INTERNAL_PLATFORMREADER_H

#include "config/settings.h"
#include "daemon/ieventsink.h"
#include "documents/readschedule.h"
#include "net/httpclient.h"

namespace citronpick::daemon
{

//! Reads the platform's configuration by long polling and its instance list by periodic polling.
class PlatformReader
{
public:
    PlatformReader(net::HttpClient &client, const config::Settings &settings, IEventSink &sink,
                   uint64_t seed);

    //! Starts the reads that are due.
    void run(model::TimePoint now, model::Revision revision);

private:
    void startWatch(model::Revision revision);
    void startList();
    void onWatchAnswer(const net::HttpResponse &answer);
    void onListAnswer(const net::HttpResponse &answer);
    void setReachable(bool isReachable);

    net::HttpClient &m_client;
    const config::Settings &m_settings;
    IEventSink &m_sink;
    documents::ReadSchedule m_watchSchedule;
    documents::ReadSchedule m_listSchedule;
    bool m_hasReadConfiguration = false;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_PLATFORMREADER_H
