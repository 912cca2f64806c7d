#include "documents/texthistory.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include <absl/strings/str_cat.h>

#include "model/hash.h"

namespace citronpick::documents
{

namespace
{

template<auto release>
struct Releaser {
    template<typename Context>
    void operator()(Context *context) const
    {
        release(context);
    }
};

using Compressor = std::unique_ptr<ZSTD_CCtx, Releaser<ZSTD_freeCCtx>>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, Releaser<ZSTD_freeDCtx>>;

// The window has to reach from the end of the text back to the start of its base. Long-distance
// matching finds the parts in common however far apart they are.
std::string compress(std::string_view text, std::string_view base)
{
    const Compressor context(ZSTD_createCCtx());
    const auto set = [&context](ZSTD_cParameter parameter, int value) {
        ZSTD_CCtx_setParameter(context.get(), parameter, value);
    };
    set(ZSTD_c_windowLog, std::max(ZSTD_cParam_getBounds(ZSTD_c_windowLog).lowerBound,
                                   static_cast<int>(std::bit_width(text.size() + base.size()))));
    set(ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string result(ZSTD_compressBound(text.size()), '\0');
    const size_t size
        = ZSTD_compress2(context.get(), result.data(), result.size(), text.data(), text.size());
    result.resize(ZSTD_isError(size) ? 0 : size);
    return result;
}

} // namespace

const TextHistory::Text *TextHistory::find(uint64_t digest) const
{
    const auto it = std::find_if(m_texts.begin(), m_texts.end(),
                                 [digest](const Text &text) { return text.digest == digest; });
    return it == m_texts.end() ? nullptr : &*it;
}

void TextHistory::add(std::string_view text)
{
    const uint64_t digest = model::hash64(text);
    if (!isLarge(text) || find(digest)) {
        return;
    }
    m_texts.push_front({.digest = digest, .text = std::string(text)});
    if (m_texts.size() > m_options.maxTexts) {
        m_texts.pop_back();
    }
}

std::vector<uint64_t> TextHistory::digests() const
{
    std::vector<uint64_t> result;
    for (const Text &text : m_texts) {
        result.push_back(text.digest);
    }
    return result;
}

const TextDifference &TextHistory::difference(std::string_view text,
                                              const std::vector<uint64_t> &known)
{
    const uint64_t digest = model::hash64(text);
    const auto base = std::find_if(m_texts.begin(), m_texts.end(), [&known](const Text &kept) {
        return std::find(known.begin(), known.end(), kept.digest) != known.end();
    });
    const uint64_t baseDigest = base == m_texts.end() ? 0 : base->digest;
    const auto calculated = std::find_if(
        m_differences.begin(), m_differences.end(), [&](const TextDifference &difference) {
            return difference.digest == digest && difference.base == baseDigest;
        });
    if (calculated != m_differences.end()) {
        return *calculated;
    }
    m_differences.push_front(
        {.base = baseDigest,
         .digest = digest,
         .bytes = compress(text, base == m_texts.end() ? std::string_view() : base->text)});
    if (m_differences.size() > m_options.maxTexts) {
        m_differences.pop_back();
    }
    return m_differences.front();
}

absl::StatusOr<std::string> TextHistory::restore(const TextDifference &difference) const
{
    const Text *base = find(difference.base);
    if (difference.base != 0 && !base) {
        return absl::NotFoundError(absl::StrCat("text ", difference.base, " is not kept"));
    }
    const unsigned long long size
        = ZSTD_getFrameContentSize(difference.bytes.data(), difference.bytes.size());
    // The values that stand for an unknown size and for an error are larger than any limit.
    if (size > m_options.maxTextBytes) {
        return absl::InvalidArgumentError("compressed text has no valid size");
    }
    const Decompressor context(ZSTD_createDCtx());
    if (base) {
        ZSTD_DCtx_refPrefix(context.get(), base->text.data(), base->text.size());
    }
    std::string text(size, '\0');
    const size_t restored = ZSTD_decompressDCtx(context.get(), text.data(), text.size(),
                                                difference.bytes.data(), difference.bytes.size());
    if (ZSTD_isError(restored) || restored != size || model::hash64(text) != difference.digest) {
        return absl::InvalidArgumentError("compressed text is malformed");
    }
    return text;
}

} // namespace citronpick::documents
