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

//! A daemon that has a newer configuration.
struct NewerConfiguration {
    config::Endpoint from;
    model::Revision revision;
    uint64_t digest = 0;

    friend auto operator<=>(const NewerConfiguration &, const NewerConfiguration &) = default;
};

//! What the fleet system learned since it was last asked.
struct FleetNews {
    std::vector<StrikeFact> strikes;
    std::vector<LeavingFact> leavings;
    std::vector<NewerConfiguration> newerConfigurations;
};

//! One daemon that the platform's instance list names.
struct ListedDaemon {
    model::DaemonId id;
    config::Endpoint fleet;
    bool isLeaving = false;

    friend auto operator<=>(const ListedDaemon &, const ListedDaemon &) = default;
};

//! Membership and the exchange of facts between daemons.
class FleetSystem
{
public:
    FleetSystem(FleetOptions options, Member self, uint64_t seed);

    void setRevision(model::Revision revision, uint64_t digest);
    void setListed(std::vector<ListedDaemon> listed);
    //! Tells the others that this daemon takes requests.
    void announceReady(model::TimePoint now);
    //! Tells the others that this daemon stops.
    void leave(model::TimePoint now);

    //! Tells a fact of this daemon to all others; a newer one of the same key replaces it.
    void publish(const FactBody &body, model::TimePoint now);
    //! As publish(), unless the others know a demand that is much the same.
    void publishIfChanged(const DemandFact &demand, model::TimePoint now);
    //! This fact is not told again; the others forget it after its lifetime.
    void withdraw(const FactBody &body);

    void onRequest(uint64_t exchange, const FleetMessage &message, model::TimePoint now);
    void onReply(uint64_t exchange, const FleetMessage &message, model::TimePoint now);
    void onExchangeFailed(uint64_t exchange, model::TimePoint now);
    void run(model::TimePoint now);

    std::vector<FleetCommand> takeCommands();
    FleetNews takeNews();

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
    bool isUsable(const model::DaemonId &daemon) const;
    //! The platform names the daemon as live.
    bool isListedLive(const model::DaemonId &daemon) const;

    uint64_t sentBytesEstimate() const
    {
        return m_sentBytes;
    }

private:
    //! Estimated length of one member in a message.
    static constexpr double memberBytes = 95.0;

    struct OpenExchange {
        model::DaemonId peer; //!< Empty while a seed has not said who it is.
        model::TimePoint startedAt;
        bool isIndirect = false; //!< Asks a helper about \a peer.
        uint64_t onBehalfOf = 0; //!< Exchange of another daemon that waits for the outcome.
    };

    void startExchange(const Member &peer, uint64_t onBehalfOf, bool countsAsTold,
                       model::TimePoint now);
    void contactSeeds(model::TimePoint now);
    void startIndirect(const model::DaemonId &suspect, model::TimePoint now);
    void spreadUrgently(model::TimePoint now);
    const Member *nextPeer();
    std::vector<Member> peersInZone(bool isOwnZone) const;
    std::vector<Member> randomPeers(size_t count, const model::DaemonId &except);

    FleetMessage message(MessageKind kind);
    void addDeltas(FleetMessage &message, bool countsAsTold);
    Fact agedFact(const FactTable::Row &row) const;
    uint64_t tableDigest() const;
    void addEverything(FleetMessage &message);
    double fullExchangeBytes() const;
    bool isFarBehind() const;
    void spend(double bytes);
    void absorb(const FleetMessage &message, model::TimePoint now);
    void applyMember(const Member &member, model::TimePoint now);
    void noteKnown(const Member &member);
    void refute(const Member &claim, model::TimePoint now);
    void applyFact(const Fact &fact, model::TimePoint now);
    void noteRevision(const FleetMessage &message);
    void suspect(const model::DaemonId &daemon, model::TimePoint now);
    void expireExchanges(model::TimePoint now);
    void expireSuspects(model::TimePoint now);
    void refreshOwnFacts(model::TimePoint now);
    void tellMember(const model::DaemonId &id);
    void tellFact(const FactKey &key);
    uint32_t sendsPerItem() const;
    void onHelperFailed(const model::DaemonId &peer, model::TimePoint now);
    void answerHelper(uint64_t exchange, bool wasReached);
    void record(observability::EventCode code, const model::DaemonId &subject, std::string detail);

    FleetOptions m_options;
    Member m_self;
    model::Random m_random;
    MemberTable m_members;
    FactTable m_facts;
    std::map<FactKey, model::TimePoint> m_ownFacts; //!< With the time of the last telling.
    uint64_t m_lastVersion = 0;
    model::Revision m_revision;
    uint64_t m_digest = 0;
    std::map<model::DaemonId, ListedDaemon> m_listed;
    bool m_hasList = false;
    std::map<model::DaemonId, uint32_t> m_pendingMembers; //!< How often each is still told.
    std::map<FactKey, uint32_t> m_pendingFacts;
    std::map<uint64_t, OpenExchange> m_open;
    uint64_t m_lastExchange = 0;
    uint32_t m_periods = 0;
    std::vector<model::DaemonId> m_nearRing;
    std::vector<model::DaemonId> m_farRing;
    model::TimePoint m_nextPeriod = model::TimePoint::min();
    model::TimePoint m_nextExpiry = model::TimePoint::min();
    model::TimePoint m_nextFullExchange = model::TimePoint::min();
    model::TimePoint m_lastRun = model::TimePoint::min();
    double m_byteTokens;
    double m_urgentTokens;
    bool m_hasUrgent = false;
    bool m_isAbsorbingMany = false; //!< Members of a full exchange.
    uint64_t m_sentBytes = 0;
    std::vector<FleetCommand> m_commands;
    FleetNews m_news;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETSYSTEM_H
