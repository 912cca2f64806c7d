#ifndef CITRONPICK_ADMISSION_ATTEMPTBUDGET_H
#define CITRONPICK_ADMISSION_ATTEMPTBUDGET_H

namespace citronpick::admission
{

//! Extra attempts (retries and hedges) as a ratio of first attempts, for one pool.
class AttemptBudget
{
public:
    //! A ratio of 1.0 and more is the baseline without a budget.
    explicit AttemptBudget(double ratio);

    void onFirstAttempt();

    //! Takes one extra attempt; false when the budget does not hold one beyond \a reserve.
    bool take(double reserve);

private:
    double m_ratio;
    double m_tokens;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_ATTEMPTBUDGET_H
