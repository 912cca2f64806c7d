#include "soak/deadlypartpromise.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace citronpick::soak
{

namespace
{

//! Crashes after which the part must be known everywhere.
constexpr size_t crashLimit = 5;
//! Time in which daemons tell each other what they know.
constexpr model::Duration contactTime = model::seconds(3);
//! Requests with the part that may reach upstreams after that.
constexpr size_t maxLateArrivals = 3;
//! Fewer requests are not compared.
constexpr size_t minCompared = 20;
constexpr double minServedRatio = 0.5;

struct Share {
    size_t served = 0;
    size_t all = 0;

    double value() const
    {
        return all == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(all);
    }
};

Share soundShare(const std::vector<platform::standin::FirstAttempt> &attempts,
                 const std::string &route, model::TimePoint from, model::TimePoint until)
{
    Share share;
    for (const auto &attempt : attempts) {
        if (attempt.route == route && attempt.sentAt >= from && attempt.sentAt < until) {
            ++share.all;
            share.served += attempt.isServed ? 1 : 0;
        }
    }
    return share;
}

} // namespace

std::vector<std::string> checkDeadlyPart(const DeadlyPart &part,
                                         const platform::standin::Ledger &ledger,
                                         model::TimePoint trafficStart)
{
    const std::vector<model::TimePoint> &crashes = ledger.crashes();
    if (crashes.empty()) {
        return {"no request with a deadly part was run"};
    }
    std::vector<std::string> broken;
    const model::TimePoint known = crashes[std::min(crashes.size(), crashLimit) - 1];
    const auto late
        = std::count_if(ledger.deadlyArrivals().begin(), ledger.deadlyArrivals().end(),
                        [known](model::TimePoint at) { return at > known + contactTime; });
    if (crashes.size() >= crashLimit && static_cast<size_t>(late) > maxLateArrivals) {
        broken.push_back(absl::StrCat(late,
                                      " requests with a deadly part reached upstreams later "
                                      "than 3 s after the fifth crash, ",
                                      crashes.size(), " crashes in all"));
    }
    const std::vector<platform::standin::FirstAttempt> &attempts = ledger.firstAttempts();
    const Share before = soundShare(attempts, part.route, trafficStart, part.from);
    const Share after = soundShare(attempts, part.route, known + 2 * contactTime, part.until);
    if (before.all >= minCompared && after.all >= minCompared
        && after.value() < minServedRatio * before.value()) {
        broken.push_back(absl::StrCat("sound requests of a route with a deadly part were served ",
                                      after.served, " of ", after.all, " times, before ",
                                      before.served, " of ", before.all));
    }
    return broken;
}

} // namespace citronpick::soak
