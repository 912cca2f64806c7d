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

//! Request rate of one account at this daemon over the last seconds.
struct AccountDemand {
    model::AccountId account;
    double requestsPerSecond = 0.0; //!< Admitted and refused requests.

    friend auto operator<=>(const AccountDemand &, const AccountDemand &) = default;
};

//! Enforces this daemon's share of the rate and concurrency limits of client accounts.
class AccountLimits
{
public:
    explicit AccountLimits(const IAccountShare &share);

    //! Admits one request. Empty when it is admitted, otherwise the time after which to retry.
    std::optional<model::Duration> admit(const config::AccountConfig &account,
                                         model::TimePoint now);

    //! Releases the concurrency slot of an admitted request that has ended.
    void release(const model::AccountId &account);

    //! Demand of every account that sent requests in the last seconds.
    std::vector<AccountDemand> demands(model::TimePoint now);

    size_t size() const
    {
        return m_rows.size();
    }

private:
    struct Row {
        double tokens = 0.0; //!< Fill level of the token bucket, in requests.
        model::TimePoint refilledAt;
        uint32_t running = 0; //!< Admitted requests that have not ended.
        double demand = 0.0; //!< Requests a second, smoothed.
        uint32_t arrivals = 0; //!< Requests since the demand was last computed.
    };

    void refill(Row &row, const config::AccountConfig &account, double share,
                model::TimePoint now) const;

    const IAccountShare &m_share;
    absl::flat_hash_map<model::AccountId, Row> m_rows;
    model::TimePoint m_demandsAt;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_ACCOUNTLIMITS_H
