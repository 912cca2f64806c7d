#include "health/healthtable.h"

#include <algorithm>

namespace citronpick::health
{

std::string_view toString(HealthState state)
{
    switch (state) {
    case HealthState::Active:
        return "active";
    case HealthState::Suspect:
        return "suspect";
    case HealthState::Ejected:
        return "ejected";
    case HealthState::Probing:
        return "probing";
    case HealthState::Trial:
        return "trial";
    case HealthState::Ramping:
        return "ramping";
    }
    return "active";
}

std::string_view toString(EjectCause cause)
{
    switch (cause) {
    case EjectCause::None:
        return "none";
    case EjectCause::Failures:
        return "failures";
    case EjectCause::Slowness:
        return "slowness";
    case EjectCause::Relapse:
        return "relapse";
    case EjectCause::PeerRelapse:
        return "peer-relapse";
    }
    return "none";
}

void RatioWindow::add(double ratio)
{
    m_ratios[m_next] = static_cast<float>(ratio);
    m_next = static_cast<uint8_t>((m_next + 1) % capacity);
    m_size = static_cast<uint8_t>(std::min<size_t>(m_size + 1U, capacity));
}

void RatioWindow::clear()
{
    m_size = 0;
    m_next = 0;
}

size_t RatioWindow::size() const
{
    return m_size;
}

double RatioWindow::median() const
{
    if (m_size == 0) {
        return 0.0;
    }
    std::array<float, capacity> copy = m_ratios;
    const auto middle = copy.begin() + m_size / 2;
    std::nth_element(copy.begin(), middle, copy.begin() + m_size);
    return *middle;
}

bool RatioWindow::areLastAbove(size_t count, double limit) const
{
    if (count > m_size) {
        return false;
    }
    for (size_t back = 1; back <= count; ++back) {
        if (m_ratios[(m_next + capacity - back) % capacity] <= limit) {
            return false;
        }
    }
    return true;
}

void FailureWindow::add(bool isFailure, size_t windowSize)
{
    const size_t size = std::clamp<size_t>(windowSize, 1, capacity);
    m_next = static_cast<uint8_t>(m_next % size);
    m_failures.set(m_next, isFailure);
    m_next = static_cast<uint8_t>((m_next + 1) % size);
    m_size = static_cast<uint8_t>(std::min<size_t>(m_size + 1U, size));
}

void FailureWindow::clear()
{
    m_failures.reset();
    m_size = 0;
    m_next = 0;
}

size_t FailureWindow::size() const
{
    return m_size;
}

size_t FailureWindow::failures() const
{
    return m_failures.count();
}

HealthRow &HealthTable::at(model::UpstreamRow row)
{
    return m_rows[row.value];
}

const HealthRow &HealthTable::at(model::UpstreamRow row) const
{
    return m_rows[row.value];
}

void HealthTable::resize(size_t size)
{
    if (m_rows.size() < size) {
        m_rows.resize(size);
    }
}

} // namespace citronpick::health
