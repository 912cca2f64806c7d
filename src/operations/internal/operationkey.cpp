#include "operations/operationkey.h"

#include <array>
#include <charconv>
#include <vector>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "model/abslview.h"

namespace citronpick::operations
{

namespace
{

constexpr std::string_view keyVersion = "1";
constexpr size_t fieldCount = 6;

absl::Status keyError(KeyError error)
{
    return absl::InvalidArgumentError(model::toAbsl(toString(error)));
}

bool readNumber(std::string_view text, uint64_t &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

} // namespace

std::string_view toString(KeyError error)
{
    switch (error) {
    case KeyError::Malformed:
        return "malformed operation key";
    case KeyError::WrongSignature:
        return "operation key with a wrong signature";
    }
    return "malformed operation key";
}

OperationKeyCodec::OperationKeyCodec(std::string secret)
    : m_secret(std::move(secret))
{
}

std::string OperationKeyCodec::encode(const OperationKey &key) const
{
    const auto expiry = static_cast<uint64_t>(key.expiresAt.time_since_epoch().count());
    const std::string text = absl::StrCat(model::toAbsl(keyVersion), "~", key.daemon.text(), "~",
                                          absl::Hex(key.incarnation.value()), "~",
                                          absl::Hex(key.number), "~", absl::Hex(expiry));
    return absl::StrCat(text, "~", sign(text));
}

absl::StatusOr<OperationKey> OperationKeyCodec::decode(std::string_view text) const
{
    const std::vector<std::string> fields = absl::StrSplit(model::toAbsl(text), '~');
    if (fields.size() != fieldCount || fields[0] != keyVersion) {
        return keyError(KeyError::Malformed);
    }
    const std::string_view signedText = text.substr(0, text.rfind('~'));
    const std::string expected = sign(signedText);
    const std::string &given = fields.back();
    const bool isSigned = given.size() == expected.size()
                          && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
    if (!isSigned) {
        return keyError(KeyError::WrongSignature);
    }
    uint64_t incarnation = 0;
    uint64_t number = 0;
    uint64_t expiry = 0;
    const bool isReadable = readNumber(fields[2], incarnation) && readNumber(fields[3], number)
                            && readNumber(fields[4], expiry);
    if (!isReadable) {
        return keyError(KeyError::Malformed);
    }
    return OperationKey {
        .daemon = model::DaemonId(fields[1]),
        .incarnation = model::Incarnation(incarnation),
        .number = number,
        .expiresAt = model::TimePoint(model::Duration(static_cast<int64_t>(expiry))),
    };
}

std::string OperationKeyCodec::sign(std::string_view text) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &length);
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char *>(digest.data()), length));
}

} // namespace citronpick::operations
