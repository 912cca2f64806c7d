#include "relay/partsketch.h"

#include <algorithm>
#include <array>
#include <bit>

namespace citronpick::relay
{

namespace
{

constexpr size_t bitsPerWord = 64;
//! Keeps the error rate at about 0.4 % as long as the maximum size allows it.
constexpr size_t bitsPerPart = 32;
//! Bounds what one crash report adds to fleet messages.
constexpr size_t maxWords = 128;

// Fingerprints are hashes already, so their two halves serve as independent hashes.
std::array<size_t, 2> bitsOf(model::Fingerprint part, size_t words)
{
    constexpr int halfWidth = 32;
    const size_t bits = words * bitsPerWord;
    return {static_cast<uint32_t>(part.value()) % bits, (part.value() >> halfWidth) % bits};
}

} // namespace

PartSketch::PartSketch(const std::vector<model::Fingerprint> &parts)
    : m_words(
        std::clamp<size_t>(std::bit_ceil(parts.size() * bitsPerPart / bitsPerWord), 1, maxWords))
{
    for (const model::Fingerprint part : parts) {
        for (const size_t bit : bitsOf(part, m_words.size())) {
            m_words[bit / bitsPerWord] |= uint64_t {1} << (bit % bitsPerWord);
        }
    }
    updateErrorRate();
}

PartSketch::PartSketch(std::vector<uint64_t> words)
    : m_words(std::move(words))
{
    updateErrorRate();
}

bool PartSketch::mayContain(model::Fingerprint part) const
{
    if (isEmpty()) {
        return false;
    }
    const auto bits = bitsOf(part, m_words.size());
    return std::all_of(bits.begin(), bits.end(), [&](size_t bit) {
        return (m_words[bit / bitsPerWord] >> (bit % bitsPerWord) & 1) != 0;
    });
}

void PartSketch::updateErrorRate()
{
    if (isEmpty()) {
        return;
    }
    size_t bits = 0;
    for (const uint64_t word : m_words) {
        bits += static_cast<size_t>(std::popcount(word));
    }
    const double share
        = static_cast<double>(bits) / static_cast<double>(m_words.size() * bitsPerWord);
    m_errorRate = share * share;
}

} // namespace citronpick::relay
