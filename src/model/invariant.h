#ifndef CITRONPICK_MODEL_INVARIANT_H
#define CITRONPICK_MODEL_INVARIANT_H

#include <stdexcept>
#include <string>

namespace citronpick::model
{

//! Thrown when an invariant does not hold; the program must not continue.
class InvariantViolation : public std::logic_error
{
public:
    explicit InvariantViolation(const std::string &name)
        : std::logic_error("invariant violated: " + name)
    {
    }
};

#ifdef CITRONPICK_INVARIANTS
inline constexpr bool areInvariantsChecked = true;
#else
inline constexpr bool areInvariantsChecked = false;
#endif

//! Throws InvariantViolation when \a holds is false and CITRONPICK_INVARIANTS is defined.
inline void checkInvariant(const char *name, bool holds)
{
    if constexpr (areInvariantsChecked) {
        if (!holds) {
            throw InvariantViolation(name);
        }
    }
}

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_INVARIANT_H
