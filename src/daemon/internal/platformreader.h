#ifndef CITRONPICK_DAEMON_INTERNAL_PLATFORMREADER_H
#define CITRONPICK_DAEMON_INTERNAL_PLATFORMREADER_H

#include "config/settings.h"
#include "daemon/ieventsink.h"
#include "documents/readschedule.h"
#include "net/httpclient.h"

namespace citronpick::daemon
{

//! Reads the platform's configuration service (by watch) and its instance list (by polling).
class PlatformReader
{
public:
    PlatformReader(net::HttpClient &client, const config::Settings &settings, IEventSink &sink,
                   uint64_t seed);

    //! Starts whatever reads are due.
    void run(model::TimePoint now, model::Revision revision);

private:
    void startWatch(model::Revision revision);
    void startList();
    void onWatchAnswer(const net::HttpAnswer &answer);
    void onListAnswer(const net::HttpAnswer &answer);
    void setReachable(bool isReachable);

    net::HttpClient &m_client;
    const config::Settings &m_settings;
    IEventSink &m_sink;
    documents::ReadSchedule m_watch;
    documents::ReadSchedule m_list;
    bool m_hasRead = false;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_PLATFORMREADER_H
