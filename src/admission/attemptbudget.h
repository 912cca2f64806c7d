#ifndef CITRONPICK_ADMISSION_ATTEMPTBUDGET_H
#define CITRONPICK_ADMISSION_ATTEMPTBUDGET_H

namespace citronpick::admission
{

//! Limits extra attempts (retries and hedges) to a ratio of first attempts, for one pool.
class AttemptBudget
{
public:
    //! A ratio of 1.0 or more disables the limit; this is the baseline.
    explicit AttemptBudget(double ratio);

    void onFirstAttempt();

    //! Takes the budget for one extra attempt. Returns false when less than \a reserve attempts
    //! would be left.
    bool take(double reserve);

private:
    double m_ratio;
    double m_tokens;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_ATTEMPTBUDGET_H
