#include "admission/attemptbudget.h"

#include <algorithm>

namespace citronpick::admission
{

namespace
{

//! Extra attempts that are available at the start and at most.
constexpr double initialTokens = 5.0;
constexpr double maxTokens = 20.0;

} // namespace

AttemptBudget::AttemptBudget(double ratio)
    : m_ratio(ratio)
    , m_tokens(initialTokens)
{
}

void AttemptBudget::onFirstAttempt()
{
    m_tokens = std::min(maxTokens, m_tokens + m_ratio);
}

bool AttemptBudget::take(double reserve)
{
    if (m_ratio >= 1.0) {
        return true;
    }
    if (m_tokens < 1.0 + reserve) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace citronpick::admission
