#ifndef CITRONPICK_MODEL_RANDOM_H
#define CITRONPICK_MODEL_RANDOM_H

#include <cstdint>

#include <pcg_random.hpp>

namespace citronpick::model
{

//! Seeded pseudo-random generator; a seed gives the same sequence on every platform.
class Random
{
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    //! Uniform in [0, bound); zero when the bound is zero.
    uint32_t below(uint32_t bound)
    {
        return bound == 0 ? 0 : m_engine(bound);
    }

    //! Uniform in [0, 1).
    double uniformDouble()
    {
        return static_cast<double>(m_engine()) / 4294967296.0;
    }

    uint64_t next64()
    {
        const uint64_t high = m_engine();
        return (high << 32U) | m_engine();
    }

private:
    pcg32 m_engine;
};

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_RANDOM_H
