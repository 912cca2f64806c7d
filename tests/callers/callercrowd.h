#ifndef CITRONPICK_TESTS_CALLERS_CALLERCROWD_H
#define CITRONPICK_TESTS_CALLERS_CALLERCROWD_H

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

#include "config/relaysettings.h"
#include "net/tests/rawpeer.h"
#include "platform/standin/registrystandin.h"

namespace citronpick::testing
{

using net::testing::RawListener;
using net::testing::RawPeer;

//! Answer of the upstream to all requests whose target contains "crowd".
enum class CrowdAnswer {
    None,
    Plain, //!< Less than what the daemon holds back for a repeat.
    Stream, //!< Events in chunks.
    Lengthless,
    HeadWithoutEnd, //!< Many small fields, which take a multiple of their bytes in memory.
    InterimHeads, //!< One after the other, and never the final one.
    HeadOnly, //!< A whole head of many small fields, and nothing of its body.
    TrailerWithoutEnd,
    EventWithoutEnd,
    NoHttp, //!< Bytes that begin no answer.
    BodyWithoutEnd,
    BodyInSmallChunks, //!< Without an end.
    FailureWithoutEnd, //!< An error status whose body does not end.
    ChunkExtensionWithoutEnd,
    BytesAfterAnswer, //!< A whole answer, and bytes without an end behind it.
};

//! A daemon process in relay mode with its registry, one upstream and a crowd of callers.
class CallerCrowd
{
public:
    //! Bound on resident memory and on the memory that the daemon is told to have.
    static constexpr size_t memoryMb = 64;
    static constexpr size_t maxConnections = 200;
    static constexpr size_t maxDescriptors = 512;

    explicit CallerCrowd(CrowdAnswer answer = CrowdAnswer::None);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    //! Opens \a callers connections that each send \a bytes, as far as the daemon takes them, and
    //! stay open. None of them reads.
    void send(size_t callers, std::string_view bytes);
    //! The same to another port of the daemon.
    void sendTo(uint16_t port, size_t callers, std::string_view bytes);
    //! The same to each of \a ports, with all connections open at once and \a texts in turn.
    void sendToEach(const std::vector<uint16_t> &ports, size_t callers,
                    const std::vector<std::string> &texts);
    //! Ports of all listeners of the daemon.
    std::vector<uint16_t> addresses() const;
    //! Opens connections without end, so that \a callers of them are always open, and sends
    //! nothing.
    void stayConnected(size_t callers);

    //! Runs registry and upstream until neither has work.
    void settle();
    //! Sends an ordinary request, again after each refusal, until one is answered.
    bool answersOrdinaryRequest(std::string_view body = "x");
    bool isAlive() const;
    const config::RelaySettings &settings() const
    {
        return m_settings;
    }
    //! Largest resident memory, or in sanitizer builds, where it has no meaning, the largest number
    //! of accounted bytes.
    size_t peakBytes();
    size_t openDescriptors() const;

private:
    //! A connection of the daemon to the upstream.
    struct UpstreamConnection {
        RawPeer peer;
        std::string unsent;
    };

    void runOnce();
    void runUpstream();
    void answer(UpstreamConnection &connection);
    void replaceEnded();
    size_t accountedPeak();

    net::EventLoop m_loop;
    platform::standin::RegistryStandIn m_registry;
    //! Listens before the ports of m_settings are chosen. These are free until the daemon has
    //! started, and a listener of the test could take one of them.
    RawListener m_upstream;
    config::RelaySettings m_settings;
    std::vector<std::unique_ptr<UpstreamConnection>> m_upstreamConnections;
    std::vector<RawPeer> m_callers;
    size_t m_stayingCallers = 0;
    CrowdAnswer m_answer;
    std::string m_folder;
    pid_t m_daemon = 0;
};

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_CALLERS_CALLERCROWD_H
