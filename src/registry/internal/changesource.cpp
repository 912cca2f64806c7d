#include "registry/changesource.h"

#include <algorithm>

#include "model/hash.h"

namespace citronpick::registry
{

namespace
{

//! Consecutive failures of readers after which a daemon watches the registry itself. A single one
//! may only mean that a reader has just been replaced.
constexpr uint32_t maxPeerFailures = 2;

} // namespace

void ChangeSource::setDaemons(const std::vector<ReaderCandidate> &daemons)
{
    m_readers = chooseReaders(daemons, m_options.readers);
    m_isReader
        = std::any_of(m_readers.begin(), m_readers.end(), [this](const ReaderCandidate &reader) {
              return reader.id == m_options.daemon;
          });
    // Readers of the own zone come first; the hash spreads the daemons over the others.
    const uint64_t seed = model::hash64(m_options.daemon.text());
    const auto rank = [this, seed](const ReaderCandidate &reader) {
        return std::pair(reader.zone != m_options.zone, model::hash64(reader.id.text(), seed));
    };
    std::sort(m_readers.begin(), m_readers.end(),
              [&rank](const ReaderCandidate &left, const ReaderCandidate &right) {
                  return rank(left) < rank(right);
              });
    std::erase_if(m_avoidedUntil, [this](const auto &entry) {
        return std::none_of(
            m_readers.begin(), m_readers.end(),
            [&entry](const ReaderCandidate &reader) { return reader.id == entry.first; });
    });
}

std::optional<ReaderCandidate> ChangeSource::choose(model::TimePoint now, bool isRegistryDue) const
{
    if (m_isReader || (isRegistryDue && m_peerFailures >= maxPeerFailures)) {
        return std::nullopt;
    }
    for (const ReaderCandidate &reader : m_readers) {
        const auto avoided = m_avoidedUntil.find(reader.id);
        if (avoided == m_avoidedUntil.end() || now >= avoided->second) {
            return reader;
        }
    }
    return std::nullopt;
}

void ChangeSource::onPeerAnswered()
{
    m_peerFailures = 0;
}

void ChangeSource::onPeerFailed(const model::DaemonId &reader, PeerError error,
                                model::TimePoint now)
{
    ++m_peerFailures;
    m_avoidedUntil[reader] = now
                             + (error == PeerError::Unreachable ? m_options.unreachableAvoidance
                                                                : m_options.outdatedAvoidance);
}

void ChangeSource::onRegistryCallEnded()
{
    m_peerFailures = 0;
}

} // namespace citronpick::registry
