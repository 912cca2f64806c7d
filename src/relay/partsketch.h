#ifndef CITRONPICK_RELAY_PARTSKETCH_H
#define CITRONPICK_RELAY_PARTSKETCH_H

#include <compare>
#include <cstdint>
#include <vector>

#include "model/ids.h"

namespace citronpick::relay
{

/*!
 * The parts of a prompt in bounded space (a Bloom filter): tells which parts the prompt does not
 * hold, and with a known error rate which ones it does.
 */
class PartSketch
{
public:
    //! The sketch of no prompt.
    PartSketch() = default;
    explicit PartSketch(const std::vector<model::Fingerprint> &parts);
    //! The sketch with these words(), for example one that another daemon sent.
    explicit PartSketch(std::vector<uint64_t> words);

    bool isEmpty() const
    {
        return m_words.empty();
    }
    const std::vector<uint64_t> &words() const
    {
        return m_words;
    }
    bool mayContain(model::Fingerprint part) const;
    //! Probability that mayContain() is true for a part that the prompt does not hold.
    double errorRate() const
    {
        return m_errorRate;
    }

    friend bool operator==(const PartSketch &, const PartSketch &) = default;

private:
    void updateErrorRate();

    std::vector<uint64_t> m_words;
    double m_errorRate = 0.0;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_PARTSKETCH_H
