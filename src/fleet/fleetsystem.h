#ifndef CITRONPICK_FLEET_FLEETSYSTEM_H
#define CITRONPICK_FLEET_FLEETSYSTEM_H

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "fleet/facttable.h"
#include "fleet/fleetmessage.h"
#include "fleet/fleetoptions.h"
#include "fleet/membertable.h"
#include "model/random.h"
#include "observability/event.h"

namespace citronpick::fleet
{

using FleetCommand = std::variant<SendExchange, SendReply, observability::Event>;

//! A daemon that announced a newer configuration.
struct NewerConfiguration {
    config::Endpoint from;
    model::Revision revision;
    uint64_t digest = 0;

    friend auto operator<=>(const NewerConfiguration &, const NewerConfiguration &) = default;
};

//! A fact of another daemon.
template<typename Body>
struct Received {
    Body body;
    model::Duration age {}; //!< Time since its publication.

    friend auto operator<=>(const Received &, const Received &) = default;
};

//! Information received since the last call of FleetSystem::takeUpdates().
struct FleetUpdates {
    std::vector<Received<CrashFact>> crashes;
    std::vector<Received<QuarantinedPartFact>> quarantinedParts;
    std::vector<Received<ClearedPartFact>> clearedParts;
    std::vector<Received<SuspectedPartFact>> suspectedParts;
    std::vector<LeavingFact> leavingUpstreams;
    std::vector<Received<UpstreamRateFact>> upstreamRates;
    std::vector<NewerConfiguration> newerConfigurations;
};

//! A daemon in the platform's instance list.
struct ListedDaemon {
    model::DaemonId id;
    config::Endpoint fleet;
    bool isLeaving = false;

    friend auto operator<=>(const ListedDaemon &, const ListedDaemon &) = default;
};

/*! Membership protocol with failure detection by direct and indirect probes, and gossip of facts
 * between daemons. */
class FleetSystem
{
public:
    FleetSystem(FleetOptions options, Member self, uint64_t seed);

    //! Sets the revision and digest of this daemon's configuration.
    void setRevision(model::Revision revision, uint64_t digest);
    //! Sets the daemons in the platform's instance list.
    void setListed(std::vector<ListedDaemon> listed);
    //! Announces that this daemon accepts requests.
    void announceReady(model::TimePoint now);
    //! Announces that this daemon is shutting down.
    void leave(model::TimePoint now);

    //! Publishes a fact of this daemon to all others; replaces an earlier fact with the same key.
    void publish(const FactBody &body, model::TimePoint now);
    //! Like publish(), but does nothing if the published demand differs only slightly.
    void publishIfChanged(const DemandFact &demand, model::TimePoint now);
    //! Stops refreshing the fact; it expires on the other daemons at the end of its lifetime.
    void withdraw(const FactBody &body);

    void onRequest(uint64_t exchange, const FleetMessage &message, model::TimePoint now);
    void onReply(uint64_t exchange, const FleetMessage &message, model::TimePoint now);
    void onExchangeFailed(uint64_t exchange, model::TimePoint now);
    void run(model::TimePoint now);

    std::vector<FleetCommand> takeCommands();
    FleetUpdates takeUpdates();

    const MemberTable &members() const
    {
        return m_members;
    }
    const FactTable &facts() const
    {
        return m_facts;
    }
    const Member &self() const
    {
        return m_self;
    }
    //! Whether the daemon is a live member.
    bool isUsable(const model::DaemonId &daemon) const;
    //! Whether the platform lists the daemon and does not list it as leaving.
    bool isListedLive(const model::DaemonId &daemon) const;

    uint64_t sentBytesEstimate() const
    {
        return m_sentBytes;
    }

private:
    //! Estimated encoded size of one member in a message.
    static constexpr double memberBytes = 95.0;

    //! How often an update is yet to be sent, and has been sent.
    struct PendingSends {
        uint32_t remaining = 0; //!< Of periodic sends.
        uint32_t sent = 0; //!< Urgent sends as well.
    };
    using PendingFacts = std::map<FactKey, PendingSends>;

    struct OpenExchange {
        model::DaemonId peer; //!< Empty for a seed whose identity is not known yet.
        model::TimePoint startedAt;
        bool isIndirect = false; //!< Asks another member to probe \a peer.
        //! Incoming indirect probe that waits for the result; zero if none.
        uint64_t probeRequest = 0;
    };

    void startExchange(const Member &peer, uint64_t probeRequest, bool isPeriodic,
                       model::TimePoint now);
    void contactSeeds(model::TimePoint now);
    void startIndirectProbes(const model::DaemonId &suspected, model::TimePoint now);
    void sendUrgentUpdates(model::TimePoint now);
    const Member *nextPeer();
    std::vector<Member> peersInZone(bool isOwnZone) const;
    std::vector<Member> randomPeers(size_t count, const model::DaemonId &excluded);

    FleetMessage message(MessageKind kind);
    void addDeltas(FleetMessage &message, bool isPeriodic);
    void addDelta(FleetMessage &message, PendingFacts &pending, const FactKey &key,
                  bool isPeriodic);
    Fact agedFact(const FactTable::Row &row) const;
    uint64_t tableDigest() const;
    void addFullState(FleetMessage &message);
    double fullExchangeBytes() const;
    bool hasLargeBacklog() const;
    void chargeBudget(double bytes);
    void applyMessage(const FleetMessage &message, model::TimePoint now);
    void applyMember(const Member &member, model::TimePoint now);
    void reduceSends(const Member &member);
    void refute(const Member &claim, model::TimePoint now);
    void applyFact(const Fact &fact, model::TimePoint now);
    void checkRevision(const FleetMessage &message);
    void suspect(const model::DaemonId &daemon, model::TimePoint now);
    void expireExchanges(model::TimePoint now);
    void expireSuspects(model::TimePoint now);
    void refreshOwnFacts(model::TimePoint now);
    void queueMember(const model::DaemonId &id);
    void queueFact(const Fact &fact);
    uint32_t sendsPerItem() const;
    //! Whether an urgent update is sent to every member.
    bool isSmallFleet() const
    {
        return m_members.usableCount() <= m_options.directFanout + 1;
    }
    //! Whether a fact has been sent to all members by its origin.
    bool hasReachedAll(const Fact &fact) const;
    void onIndirectProbeFailed(const model::DaemonId &peer, model::TimePoint now);
    void replyToIndirectProbe(uint64_t exchange, bool wasReached);
    void record(observability::EventCode code, const model::DaemonId &subject, std::string detail);

    FleetOptions m_options;
    Member m_self;
    model::Random m_random;
    MemberTable m_members;
    FactTable m_facts;
    //! Facts published by this daemon, with the time of their last publication.
    std::map<FactKey, model::TimePoint> m_ownFacts;
    uint64_t m_lastVersion = 0;
    model::Revision m_revision;
    uint64_t m_digest = 0;
    std::map<model::DaemonId, ListedDaemon> m_listed;
    std::map<model::DaemonId, PendingSends> m_pendingMembers;
    PendingFacts m_pendingFacts;
    PendingFacts m_pendingVerdicts; //!< Those for which isVerdict() is true.
    std::map<uint64_t, OpenExchange> m_open;
    uint64_t m_lastExchange = 0;
    uint32_t m_periods = 0;
    //! Members left in the current round of periodic exchanges within the own zone.
    std::vector<model::DaemonId> m_ownZoneQueue;
    //! Members left in the current round of periodic exchanges with other zones.
    std::vector<model::DaemonId> m_otherZoneQueue;
    model::TimePoint m_nextPeriod = model::TimePoint::min();
    model::TimePoint m_nextExpiry = model::TimePoint::min();
    model::TimePoint m_nextFullExchange = model::TimePoint::min();
    model::TimePoint m_lastRun = model::TimePoint::min();
    double m_byteTokens;
    double m_urgentTokens;
    bool m_hasUrgentUpdates = false;
    bool m_isApplyingFullExchange = false; //!< The members of a full exchange are being applied.
    uint64_t m_sentBytes = 0;
    std::vector<FleetCommand> m_commands;
    FleetUpdates m_updates;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETSYSTEM_H
