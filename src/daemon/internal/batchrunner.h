#ifndef CITRONPICK_DAEMON_INTERNAL_BATCHRUNNER_H
#define CITRONPICK_DAEMON_INTERNAL_BATCHRUNNER_H

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "daemon/internal/irelayhost.h"
#include "daemon/iwireformat.h"
#include "relay/relaysystem.h"

namespace citronpick::daemon
{

//! Sends batches to the upstreams of stages and releases results that are no longer needed.
class BatchRunner : public net::IUpstreamHandler
{
public:
    BatchRunner(net::UpstreamClient &client, const IWireFormat &format, relay::RelaySystem &system,
                IRelayHost &host);

    void run(const relay::RunBatch &command);
    void cancel(const relay::CancelBatch &command);
    void recall(const relay::RecallCalls &command);
    void release(const relay::ReleaseResults &command, model::TimePoint now);

    //! Sends the collected releases if nextFlush() has been reached.
    void flush(model::TimePoint now);
    //! Next time at which flush() has to run; TimePoint::max() if no release is pending.
    model::TimePoint nextFlush() const
    {
        return m_nextFlush;
    }

    void onHead(uint64_t call, const net::MessageHead &head) override;
    void onBody(uint64_t call, std::string_view bytes) override;
    void onEnd(uint64_t call) override;
    void onFailure(uint64_t call, net::CallFailure failure) override;

private:
    struct Call {
        relay::BatchId batch; //!< Zero if the call is a release.
        model::UpstreamId upstream;
        uint64_t incarnation = 0;
        config::Endpoint address;
        size_t items = 0;
        size_t inputs = 0; //!< Of all items.
        model::TimePoint startedAt;
        relay::AnswerFacts facts;
        bool hasAskedRest = false;
        std::string body;
    };

    //! The last answers of a start of an upstream that named results, by hashes.
    struct KnownAnswers {
        uint64_t incarnation = 0;
        std::deque<uint64_t> digests;
    };

    //! Returns false if this start of the upstream has given the same answer before.
    bool rememberAnswer(const Call &call);
    //! Keeps a release until its upstream takes calls again, or drops it; \a upstream is null if
    //! none is listed at the address.
    void postpone(const relay::Upstream *upstream, const config::Endpoint &producer,
                  std::vector<relay::ResultHandle> handles, model::TimePoint now);
    void record(const Call &call, std::string_view outcome);

    net::UpstreamClient &m_client;
    const IWireFormat &m_format;
    relay::RelaySystem &m_system;
    IRelayHost &m_host;
    absl::flat_hash_map<uint64_t, Call> m_calls;
    absl::flat_hash_map<relay::BatchId, uint64_t> m_callsByBatch;
    absl::flat_hash_map<model::UpstreamId, KnownAnswers> m_answers;
    std::map<config::Endpoint, std::vector<relay::ResultHandle>> m_releases;
    model::TimePoint m_nextFlush = model::TimePoint::max();
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_BATCHRUNNER_H
