#ifndef CITRONPICK_ADMISSION_IACCOUNTSHARE_H
#define CITRONPICK_ADMISSION_IACCOUNTSHARE_H

#include "model/ids.h"

namespace citronpick::admission
{

//! Provides this daemon's share of account limits that apply to all daemons together.
class IAccountShare
{
public:
    virtual ~IAccountShare() = default;

    //! Share between 0 and 1; 1 when no other daemon has to be considered.
    virtual double share(const model::AccountId &account) const = 0;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_IACCOUNTSHARE_H
