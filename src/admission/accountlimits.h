#ifndef CITRONPICK_ADMISSION_ACCOUNTLIMITS_H
#define CITRONPICK_ADMISSION_ACCOUNTLIMITS_H

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "admission/iaccountshare.h"
#include "config/configuration.h"
#include "model/ids.h"
#include "model/time.h"

namespace citronpick::admission
{

//! Requests that one account has sent to this daemon of late.
struct AccountDemand {
    model::AccountId account;
    double requestsPerSecond = 0.0; //!< Offered, whether admitted or not.

    friend auto operator<=>(const AccountDemand &, const AccountDemand &) = default;
};

//! Holds client accounts to this daemon's share of their limits.
class AccountLimits
{
public:
    explicit AccountLimits(const IAccountShare &share);

    //! Takes one request in. Empty when it may run, else how long the caller should wait.
    std::optional<model::Duration> admit(const config::AccountConfig &account,
                                         model::TimePoint now);

    //! A request that was taken in has its answer.
    void release(const model::AccountId &account);

    //! Demand of every account that sent anything in the last seconds.
    std::vector<AccountDemand> demands(model::TimePoint now);

    size_t size() const
    {
        return m_rows.size();
    }

private:
    struct Row {
        double tokens = 0.0; //!< Of the token bucket, in requests.
        model::TimePoint refilledAt;
        uint32_t running = 0;
        double demand = 0.0; //!< Requests a second, smoothed.
        uint32_t arrivals = 0; //!< Since the demand was last taken.
    };

    void refill(Row &row, const config::AccountConfig &account, double share,
                model::TimePoint now) const;

    const IAccountShare &m_share;
    absl::flat_hash_map<model::AccountId, Row> m_rows;
    model::TimePoint m_demandsAt;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_ACCOUNTLIMITS_H
