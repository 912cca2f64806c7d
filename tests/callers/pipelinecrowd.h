#ifndef CITRONPICK_TESTS_CALLERS_PIPELINECROWD_H
#define CITRONPICK_TESTS_CALLERS_PIPELINECROWD_H

#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

#include "net/tests/rawpeer.h"
#include "standins/platformstandin.h"
#include "standins/upstreamstandin.h"

namespace citronpick::testing
{

using net::testing::RawPeer;

//! A daemon process for own pipelines with its platform, one upstream and a crowd of callers.
class PipelineCrowd
{
public:
    //! Bound on resident memory and on the memory that the daemon is told to have.
    static constexpr size_t memoryMb = 64;
    static constexpr size_t maxConnections = 200;
    static constexpr size_t maxDescriptors = 512;
    //! Answers to requests for "/v1/run/long" are this long.
    static constexpr uint32_t answerBytes = 1U << 20U;

    PipelineCrowd();
    ~PipelineCrowd();
    PipelineCrowd(const PipelineCrowd &) = delete;
    PipelineCrowd &operator=(const PipelineCrowd &) = delete;

    //! Opens \a callers connections to each of \a ports that send \a texts in turn, as far as the
    //! daemon takes them, and stay open. None of them reads.
    void send(const std::vector<uint16_t> &ports, size_t callers,
              const std::vector<std::string> &texts);
    //! Opens connections without end, so that \a callers of them are always open, and sends
    //! nothing.
    void stayConnected(size_t callers);

    //! The upstream of "/v1/run/silent" answers no request; until then it answers at once.
    void silenceUpstream()
    {
        m_silent.setScript({.neverAnswers = true});
    }
    //! Sends an ordinary request, again after each refusal, until one is answered.
    bool answersOrdinaryRequest(const std::string &body = "x");
    bool isAlive() const;
    size_t peakBytes() const;
    size_t openDescriptors() const;
    uint16_t callerPort() const
    {
        return m_ports[0];
    }
    //! Ports of all listeners of the daemon.
    std::vector<uint16_t> addresses() const
    {
        return m_ports;
    }

private:
    void startDaemon();
    void runOnce();

    net::EventLoop m_loop;
    standins::PlatformStandIn m_platform;
    standins::UpstreamStandIn m_plain;
    standins::UpstreamStandIn m_long;
    standins::UpstreamStandIn m_silent;
    std::vector<uint16_t> m_ports;
    uint16_t m_platformPort = 0;
    std::vector<RawPeer> m_callers;
    size_t m_stayingCallers = 0;
    std::string m_folder;
    pid_t m_daemon = 0;
};

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_CALLERS_PIPELINECROWD_H
