#include "registry/tests/registryfleet.h"

#include <algorithm>

#include "model/overloaded.h"

namespace citronpick::registry::testing
{

namespace
{

constexpr model::Duration stepTime = model::milliseconds(20);
//! Longest time in which an answer that has begun arrives behind the end of its watch.
constexpr model::Duration transferTimeout = model::seconds(3);
//! Time until the other daemons consider a silent one dead.
constexpr model::Duration detectionTime = model::seconds(5);
constexpr size_t itemsPerPage = 50;

} // namespace

RegistryFleet::RegistryFleet(const RegistryFleetOptions &options)
    : m_copyAge(options.copyAge)
    , m_answerBytes(options.answerBytes)
{
    for (size_t i = 0; i < options.keys; ++i) {
        put("u/" + std::to_string(i), "start");
    }
    for (size_t i = 0; i < options.daemons; ++i) {
        Daemon daemon {.identity
                       = {.id = model::DaemonId("d" + std::to_string(i)),
                          .zone = model::ZoneId("z" + std::to_string(i % options.zones)),
                          .linkMbps = i < 3 * options.zones ? 200U : options.narrowLinkMbps}};
        FollowerOptions follower = options.follower;
        follower.source.daemon = daemon.identity.id;
        follower.source.zone = daemon.identity.zone;
        daemon.follower = std::make_unique<RegistryFollower>(follower, i + 1);
        m_daemons.push_back(std::move(daemon));
    }
    refreshMembers();
}

void RegistryFleet::refreshMembers()
{
    std::vector<ReaderCandidate> candidates;
    for (const Daemon &daemon : m_daemons) {
        if (daemon.isAlive || m_now < daemon.diedAt + detectionTime) {
            candidates.push_back(daemon.identity);
        }
    }
    for (Daemon &daemon : m_daemons) {
        daemon.follower->setDaemons(candidates);
    }
}

void RegistryFleet::put(const std::string &key, const std::string &value)
{
    change({.key = key, .value = value, .revision = ++m_revision});
}

void RegistryFleet::remove(const std::string &key)
{
    change({.key = key, .revision = ++m_revision});
}

void RegistryFleet::change(RegistryItem item)
{
    if (item.value) {
        m_items[item.key] = item;
    } else {
        m_items.erase(item.key);
    }
    m_changes.push_back(item);
    m_allChanges.emplace_back(m_now, std::move(item));
}

std::pair<std::map<std::string, RegistryItem>, uint64_t>
RegistryFleet::contentAt(model::TimePoint at) const
{
    std::map<std::string, RegistryItem> items;
    uint64_t revision = 1;
    for (const auto &[changedAt, item] : m_allChanges) {
        if (changedAt > at) {
            break;
        }
        revision = item.revision;
        if (item.value) {
            items[item.key] = item;
        } else {
            items.erase(item.key);
        }
    }
    return {std::move(items), revision};
}

void RegistryFleet::dropHistory()
{
    m_historyStart = m_revision;
    m_changes.clear();
}

void RegistryFleet::cutFromRegistry(size_t daemon, bool isCut)
{
    m_daemons[daemon].isCutFromRegistry = isCut;
}

void RegistryFleet::setRegistryDown(bool isDown)
{
    m_isRegistryDown = isDown;
}

void RegistryFleet::kill(size_t daemon)
{
    m_daemons[daemon].isAlive = false;
    m_daemons[daemon].diedAt = m_now;
}

void RegistryFleet::cutBetween(size_t first, size_t second)
{
    m_daemons[first].cutPeers.insert(second);
    m_daemons[second].cutPeers.insert(first);
}

void RegistryFleet::setRegistrySilent(bool isSilent)
{
    m_isRegistrySilent = isSilent;
    loseConnections();
}

void RegistryFleet::setSilentFor(size_t daemon, bool isSilent)
{
    m_daemons[daemon].isUnanswered = isSilent;
    if (m_daemons[daemon].pending) {
        m_daemons[daemon].pending->isLost = true;
    }
}

void RegistryFleet::loseConnections()
{
    for (Daemon &daemon : m_daemons) {
        if (daemon.pending) {
            daemon.pending->isLost = true;
        }
    }
}

uint64_t RegistryFleet::takePeakRate()
{
    return std::exchange(m_peakRate, 0);
}

bool RegistryFleet::reachesRegistry(const Daemon &daemon)
{
    return !daemon.isCutFromRegistry && !daemon.pending->isLost;
}

void RegistryFleet::abandonOverdueCall(Daemon &daemon) const
{
    if (m_now >= daemon.follower->callDeadline()) {
        daemon.pending.reset();
        daemon.follower->onError(CallError::TimedOut, m_now);
    }
}

void RegistryFleet::answer(Daemon &daemon, const ReadPage &page)
{
    if (m_isRegistryDown && reachesRegistry(daemon)) {
        daemon.pending.reset();
        daemon.follower->onError(CallError::Refused, m_now);
        return;
    }
    if (!reachesRegistry(daemon)) {
        abandonOverdueCall(daemon);
        return;
    }
    const auto [items, revision]
        = page.allowsStale ? contentAt(m_now - m_copyAge) : std::pair(m_items, m_revision);
    RegistryPage result {.revision = revision};
    for (auto it = items.upper_bound(page.afterKey); it != items.end(); ++it) {
        if (result.items.size() == itemsPerPage) {
            result.hasMore = true;
            break;
        }
        result.items.push_back(it->second);
    }
    daemon.pending.reset();
    daemon.follower->onPage(result, m_now);
}

void RegistryFleet::answer(Daemon &daemon, const WatchChanges &watch)
{
    const PendingCall pending = *daemon.pending;
    if (m_isRegistryDown && reachesRegistry(daemon)) {
        daemon.pending.reset();
        daemon.follower->onError(CallError::Refused, m_now);
        return;
    }
    if (!reachesRegistry(daemon)) {
        abandonOverdueCall(daemon);
        return;
    }
    if (watch.afterRevision < m_historyStart) {
        daemon.pending.reset();
        daemon.follower->onError(CallError::Compacted, m_now);
        return;
    }
    RegistryChanges changes {.revision = m_revision};
    for (const RegistryItem &change : m_changes) {
        if (change.revision > watch.afterRevision) {
            changes.items.push_back(change);
        }
    }
    if (!changes.items.empty() || m_now >= pending.startedAt + watch.timeout) {
        daemon.pending.reset();
        daemon.follower->onChanges(changes, m_now);
    }
}

void RegistryFleet::answer(Daemon &daemon, const WatchPeer &watch)
{
    const model::TimePoint startedAt = daemon.pending->startedAt;
    const auto reader = std::find_if(m_daemons.begin(), m_daemons.end(), [&](const Daemon &other) {
        return other.identity.id == watch.reader;
    });
    const auto index = static_cast<size_t>(reader - m_daemons.begin());
    if (!reader->isAlive || daemon.cutPeers.contains(index)) {
        if (m_now >= startedAt + watch.timeout + watch.margin) {
            daemon.pending.reset();
            daemon.follower->onPeerError(PeerError::Unreachable, m_now);
        }
        return;
    }
    if (daemon.pending->transfer) {
        continueTransfer(daemon, watch);
        return;
    }
    const bool isExpired = m_now >= startedAt + watch.timeout;
    const bool isCurrent = reader->follower->isCurrentReader(m_now);
    if (isCurrent && !isExpired && reader->follower->revision() <= watch.afterRevision) {
        return;
    }
    const auto changes
        = isCurrent ? reader->follower->changesAfter(watch.afterRevision, m_now) : std::nullopt;
    if (!changes) {
        daemon.pending.reset();
        daemon.follower->onPeerError(PeerError::Outdated, m_now);
    } else if (!changes->changes.items.empty() || isExpired) {
        startTransfer(daemon, index, *changes);
    }
}

void RegistryFleet::startTransfer(Daemon &daemon, size_t reader, PeerChanges changes)
{
    if (!m_answerBytes) {
        daemon.pending.reset();
        daemon.follower->onPeerChanges(changes, m_now);
        return;
    }
    const auto index = static_cast<size_t>(&daemon - m_daemons.data());
    const auto bits = static_cast<double>(m_answerBytes(reader, index, changes)) * 8.0;
    const auto timeOn = [bits](uint32_t linkMbps) {
        return model::Duration(static_cast<int64_t>(bits / linkMbps));
    };
    Daemon &sender = m_daemons[reader];
    const model::TimePoint sentFrom = std::max(m_now, sender.sendsFrom);
    sender.sendsFrom = sentFrom + timeOn(sender.identity.linkMbps);
    const model::TimePoint arrivesAt
        = std::max(sender.sendsFrom, sentFrom + timeOn(daemon.identity.linkMbps));
    daemon.pending->transfer = Transfer {.changes = std::move(changes),
                                         .reader = reader,
                                         .sentFrom = sentFrom,
                                         .sentAt = sender.sendsFrom,
                                         .arrivesAt = arrivesAt};
}

void RegistryFleet::continueTransfer(Daemon &daemon, const WatchPeer &watch)
{
    const Transfer &transfer = *daemon.pending->transfer;
    if (m_now >= transfer.arrivesAt) {
        const PeerChanges changes = transfer.changes;
        daemon.pending.reset();
        daemon.follower->onPeerChanges(changes, m_now);
        return;
    }
    if (m_now >= daemon.pending->startedAt + watch.timeout + transferTimeout) {
        // The rest is not sent.
        const model::TimePoint unsentFrom = std::max(m_now, transfer.sentFrom);
        if (unsentFrom < transfer.sentAt) {
            m_daemons[transfer.reader].sendsFrom -= transfer.sentAt - unsentFrom;
        }
        daemon.pending.reset();
        daemon.follower->onPeerError(PeerError::Unreachable, m_now);
    }
}

void RegistryFleet::countCall()
{
    ++m_registryCalls;
    m_recentCalls.push_back(m_now);
    while (m_recentCalls.front() <= m_now - model::seconds(1)) {
        m_recentCalls.pop_front();
    }
    m_peakRate = std::max<uint64_t>(m_peakRate, m_recentCalls.size());
}

void RegistryFleet::answer(size_t index)
{
    Daemon &daemon = m_daemons[index];
    if (!daemon.pending) {
        const std::optional<FollowerCall> call = daemon.follower->takeCall(m_now);
        if (!call) {
            return;
        }
        const auto *page = std::get_if<ReadPage>(&*call);
        const bool isCopyRead = page && page->allowsStale;
        if (!std::holds_alternative<WatchPeer>(*call) && !isCopyRead) {
            countCall();
        }
        daemon.pending = PendingCall {
            .call = *call, .startedAt = m_now, .isLost = m_isRegistrySilent || daemon.isUnanswered};
        return;
    }
    const FollowerCall call = daemon.pending->call;
    std::visit([&](const auto &content) { answer(daemon, content); }, call);
}

void RegistryFleet::collect(Daemon &daemon)
{
    for (const FollowerUpdate &update : daemon.follower->takeUpdates(m_now)) {
        const auto *changed = std::get_if<KeyChanged>(&update);
        if (!changed) {
            continue;
        }
        if (changed->value) {
            daemon.known[changed->key] = *changed->value;
        } else {
            daemon.known.erase(changed->key);
            ++m_removalsReported;
        }
    }
}

void RegistryFleet::step()
{
    m_now += stepTime;
    const bool detectsDeath
        = std::any_of(m_daemons.begin(), m_daemons.end(), [this](const Daemon &daemon) {
              return !daemon.isAlive && m_now >= daemon.diedAt + detectionTime
                     && m_now < daemon.diedAt + detectionTime + stepTime;
          });
    if (detectsDeath) {
        refreshMembers();
    }
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].isAlive) {
            answer(i);
            collect(m_daemons[i]);
        }
    }
}

void RegistryFleet::run(model::Duration time)
{
    runUntil([] { return false; }, time);
}

model::Duration RegistryFleet::runUntil(const std::function<bool()> &condition,
                                        model::Duration limit)
{
    const model::TimePoint start = m_now;
    while (m_now < start + limit && !condition()) {
        step();
    }
    return m_now - start;
}

std::vector<size_t> RegistryFleet::readers() const
{
    std::vector<size_t> readers;
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].isAlive && m_daemons[i].follower->isCurrentReader(m_now)) {
            readers.push_back(i);
        }
    }
    return readers;
}

bool RegistryFleet::has(size_t daemon, const std::string &key,
                        const std::optional<std::string> &value) const
{
    const std::map<std::string, std::string> &known = m_daemons[daemon].known;
    const auto it = known.find(key);
    return value ? it != known.end() && it->second == *value : it == known.end();
}

bool RegistryFleet::allMatch(const std::string &key,
                             const std::function<bool(const std::string &)> &condition) const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const Daemon &daemon) {
        const auto it = daemon.known.find(key);
        return !daemon.isAlive || (it != daemon.known.end() && condition(it->second));
    });
}

bool RegistryFleet::allHave(const std::string &key, const std::optional<std::string> &value) const
{
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].isAlive && !has(i, key, value)) {
            return false;
        }
    }
    return true;
}

} // namespace citronpick::registry::testing
