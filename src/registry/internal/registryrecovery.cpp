#include "registry/registryfollower.h"

#include <algorithm>

// The part of RegistryFollower that goes on after failed calls, a lost history and a restore.

namespace citronpick::registry
{

namespace
{

constexpr uint32_t maxBackoffDoublings = 3;

} // namespace

void RegistryFollower::scheduleRetry(CallError error, model::TimePoint now)
{
    const bool hasReaders = m_source.hasReaders();
    if (error == CallError::TimedOut && m_failures == 1 && !hasReaders) {
        // The lost call has lasted longer than any backoff.
        m_registryDueAt = now;
        return;
    }
    const model::Duration initial
        = hasReaders ? m_options.initialSharedBackoff : m_options.initialBackoff;
    const model::Duration backoff = std::min(
        longestBackoff(), initial * (1U << std::min(m_failures - 1, maxBackoffDoublings)));
    // Jitter, so that daemons that lost the registry at the same time do not reconnect at once.
    m_registryDueAt = now + model::scaled(backoff, 0.5 + 0.5 * m_random.uniformDouble());
}

model::Duration RegistryFollower::longestBackoff() const
{
    if (!m_source.hasReaders()) {
        return m_options.maxBackoff;
    }
    const model::Duration lostCalls
        = m_options.readTimeout + m_options.readerMargin + m_options.answerMargin;
    return std::clamp(m_options.maxSilence - lostCalls, m_options.maxBackoff,
                      m_options.maxSharedBackoff);
}

// A registry that drops its history answers the watches of all daemons at once, and each listing
// takes several calls. A registry that keeps dropping it is asked no more often than a failing one.
void RegistryFollower::restartListing(model::TimePoint now)
{
    m_isListing = true;
    m_isListingStale = false;
    m_isConfirming = false;
    m_afterKey.clear();
    ++m_compactions;
    const double share = m_random.uniformDouble();
    // There are few readers, and the other daemons wait for them.
    const model::Duration spread
        = m_source.isReader() ? m_options.initialBackoff : m_options.relistSpread;
    m_registryDueAt
        = now
          + (m_compactions == 1 ? model::scaled(spread, share)
                                : model::scaled(m_options.maxBackoff, 0.5 + 0.5 * share));
}

RegistryFollower::EraOrder RegistryFollower::compareEra(uint64_t era) const
{
    if (era == 0 || m_era == 0 || era == m_era) {
        return EraOrder::Same;
    }
    return era < m_era ? EraOrder::Earlier : EraOrder::Later;
}

// What was written after the copy is gone and is written again, so missing keys are kept for as
// long as after an outage.
void RegistryFollower::beginEra(uint64_t era, model::TimePoint now)
{
    m_notifications.emplace_back(RegistryRestored {.era = era, .revisionBefore = m_revision});
    m_era = era;
    m_isRestored = true;
    m_revision = 0;
    for (auto &[key, item] : m_items) {
        item.revision = 0;
    }
    m_pendingRemovals.clear();
    m_graceEndsAt = std::max(m_graceEndsAt, now + m_options.recoveryGracePeriod);
}

} // namespace citronpick::registry
