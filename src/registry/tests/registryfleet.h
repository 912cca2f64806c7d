#ifndef CITRONPICK_REGISTRY_TESTS_REGISTRYFLEET_H
#define CITRONPICK_REGISTRY_TESTS_REGISTRYFLEET_H

#include <deque>
#include <functional>
#include <memory>
#include <set>

#include "registry/registryfollower.h"

namespace citronpick::registry::testing
{

struct RegistryFleetOptions {
    size_t daemons = 300;
    size_t zones = 5;
    size_t keys = 425; //!< Keys in the registry at the start.
    FollowerOptions follower {.maxSilence = model::seconds(4)};
    //! Age of the copies that answer reads that allow outdated content.
    model::Duration copyAge {};
    uint32_t narrowLinkMbps = 20; //!< Of all daemons but three in each zone, which have 200.
    //! Size of a reader's answer to another daemon. If it is empty, answers take no time on the
    //! links.
    std::function<size_t(size_t reader, size_t daemon, const PeerChanges &changes)> answerBytes;
};

//! Simulates daemons that follow a registry, over simulated time and without a network.
class RegistryFleet
{
public:
    explicit RegistryFleet(const RegistryFleetOptions &options = {});

    // The registry
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void dropHistory();

    // Faults. Calls over a cut connection get no answer; a registry that is down refuses them.
    void cutFromRegistry(size_t daemon, bool isCut);
    void setRegistryDown(bool isDown);
    //! The registry answers none of the calls that are pending or made while it is silent, nor
    //! later.
    void setRegistrySilent(bool isSilent);
    //! The same for one daemon only.
    void setSilentFor(size_t daemon, bool isSilent);
    //! All connections to the registry go silent; new ones work.
    void loseConnections();
    void kill(size_t daemon);
    void cutBetween(size_t first, size_t second);

    void run(model::Duration time);
    //! Runs until \a condition holds; returns how long that took, at most \a limit.
    model::Duration runUntil(const std::function<bool()> &condition, model::Duration limit);

    size_t size() const
    {
        return m_daemons.size();
    }
    //! Without reads that were answered by copies.
    uint64_t registryCalls() const
    {
        return m_registryCalls;
    }
    //! The most calls that began within one second since the last call of this function.
    uint64_t takePeakRate();
    std::vector<size_t> readers() const;
    //! Whether all running daemons have the key with this value; an empty one means none.
    bool allHave(const std::string &key, const std::optional<std::string> &value) const;
    bool has(size_t daemon, const std::string &key, const std::optional<std::string> &value) const;
    //! Whether all running daemons have the key with a value for which \a condition holds.
    bool allMatch(const std::string &key,
                  const std::function<bool(const std::string &)> &condition) const;
    //! How often a daemon reported a key as removed.
    uint64_t removalsReported() const
    {
        return m_removalsReported;
    }

private:
    //! A reader's answer on its way over both links.
    struct Transfer {
        PeerChanges changes;
        size_t reader = 0;
        model::TimePoint sentFrom;
        model::TimePoint sentAt; //!< The reader's link is free again.
        model::TimePoint arrivesAt;
    };
    struct PendingCall {
        FollowerCall call;
        model::TimePoint startedAt;
        bool isLost = false; //!< It never gets an answer.
        std::optional<Transfer> transfer;
    };
    struct Daemon {
        ReaderCandidate identity;
        std::unique_ptr<RegistryFollower> follower;
        std::optional<PendingCall> pending;
        std::map<std::string, std::string> known;
        bool isAlive = true;
        bool isCutFromRegistry = false;
        bool isUnanswered = false; //!< The registry is silent for this daemon.
        std::set<size_t> cutPeers;
        model::TimePoint diedAt;
        model::TimePoint sendsFrom; //!< When its link has sent all answers.
    };

    void step();
    void collect(Daemon &daemon);
    void countCall();
    void abandonOverdueCall(Daemon &daemon) const;
    void answer(size_t index);
    void answer(Daemon &daemon, const ReadPage &page);
    void answer(Daemon &daemon, const WatchChanges &watch);
    void answer(Daemon &daemon, const WatchPeer &watch);
    void startTransfer(Daemon &daemon, size_t reader, PeerChanges changes);
    void continueTransfer(Daemon &daemon, const WatchPeer &watch);
    static bool reachesRegistry(const Daemon &daemon);
    void change(RegistryItem item);
    //! The registry's keys and revision at an earlier time.
    std::pair<std::map<std::string, RegistryItem>, uint64_t> contentAt(model::TimePoint at) const;
    void refreshMembers();

    std::vector<Daemon> m_daemons;
    std::map<std::string, RegistryItem> m_items;
    std::vector<RegistryItem> m_changes;
    std::vector<std::pair<model::TimePoint, RegistryItem>> m_allChanges;
    model::Duration m_copyAge;
    std::function<size_t(size_t, size_t, const PeerChanges &)> m_answerBytes;
    uint64_t m_revision = 1;
    uint64_t m_historyStart = 0;
    bool m_isRegistryDown = false;
    bool m_isRegistrySilent = false;
    uint64_t m_registryCalls = 0;
    std::deque<model::TimePoint> m_recentCalls; //!< Starts of the calls of the last second.
    uint64_t m_peakRate = 0;
    uint64_t m_removalsReported = 0;
    model::TimePoint m_now {model::seconds(100)};
};

} // namespace citronpick::registry::testing

#endif // CITRONPICK_REGISTRY_TESTS_REGISTRYFLEET_H
