#include "admission/accountlimits.h"

#include <algorithm>
#include <cmath>

namespace citronpick::admission
{

namespace
{

//! Size of the token bucket, as the time in which the account's rate fills it.
constexpr double burstSeconds = 0.5;
constexpr double demandSmoothingFactor = 0.5; //!< Weight of the newest measurement.
//! An account counts as idle below this rate, in requests per second.
constexpr double idleDemand = 0.05;

} // namespace

AccountLimits::AccountLimits(const IAccountShare &share)
    : m_share(share)
{
}

std::optional<model::Duration> AccountLimits::admit(const config::AccountConfig &account,
                                                    model::TimePoint now)
{
    const bool isNew = !m_rows.contains(account.id);
    Row &row = m_rows[account.id];
    ++row.arrivals;
    const double share = m_share.share(account.id);
    if (isNew) {
        row.tokens = std::max(1.0, account.requestsPerSecond * share * burstSeconds);
        row.refilledAt = now;
    }
    if (account.requestsPerSecond > 0.0) {
        refill(row, account, share, now);
        if (row.tokens < 1.0) {
            const double rate = account.requestsPerSecond * share;
            const double seconds = (1.0 - row.tokens) / std::max(rate, idleDemand);
            return model::Duration(std::llround(seconds * 1e6));
        }
    }
    if (account.concurrency > 0) {
        const auto slots = static_cast<uint32_t>(account.concurrency * share);
        if (row.running >= std::max(1U, slots)) {
            return model::milliseconds(100);
        }
    }
    if (account.requestsPerSecond > 0.0) {
        row.tokens -= 1.0;
    }
    ++row.running;
    return std::nullopt;
}

void AccountLimits::release(const model::AccountId &account)
{
    const auto it = m_rows.find(account);
    if (it != m_rows.end() && it->second.running > 0) {
        --it->second.running;
    }
}

std::vector<AccountDemand> AccountLimits::demands(model::TimePoint now)
{
    const double elapsed = model::toSeconds(now - m_demandsAt);
    m_demandsAt = now;
    std::vector<AccountDemand> result;
    if (elapsed <= 0.0) {
        return result;
    }
    for (auto &[account, row] : m_rows) {
        const double rate = row.arrivals / elapsed;
        row.arrivals = 0;
        row.demand += demandSmoothingFactor * (rate - row.demand);
        if (row.demand >= idleDemand) {
            result.push_back({.account = account, .requestsPerSecond = row.demand});
        }
    }
    absl::erase_if(m_rows, [](const auto &entry) {
        return entry.second.demand < idleDemand && entry.second.running == 0;
    });
    std::sort(result.begin(), result.end());
    return result;
}

void AccountLimits::refill(Row &row, const config::AccountConfig &account, double share,
                           model::TimePoint now) const
{
    const double rate = account.requestsPerSecond * share;
    const double capacity = std::max(1.0, rate * burstSeconds);
    const double elapsed = model::toSeconds(now - row.refilledAt);
    row.tokens = std::min(capacity, row.tokens + elapsed * rate);
    row.refilledAt = now;
}

} // namespace citronpick::admission
