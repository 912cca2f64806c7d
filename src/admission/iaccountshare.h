#ifndef CITRONPICK_ADMISSION_IACCOUNTSHARE_H
#define CITRONPICK_ADMISSION_IACCOUNTSHARE_H

#include "model/ids.h"

namespace citronpick::admission
{

//! This daemon's part of an account's limits over all daemons.
class IAccountShare
{
public:
    virtual ~IAccountShare() = default;

    //! Between 0 and 1; one when this daemon is alone.
    virtual double share(const model::AccountId &account) const = 0;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_IACCOUNTSHARE_H
