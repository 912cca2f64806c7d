#include "net/messageauth.h"

#include <array>
#include <charconv>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "model/abslview.h"

namespace citronpick::net
{

namespace
{

//! Size of the replay window in sequence numbers. Messages may arrive out of order within it.
constexpr uint64_t replayWindowSize = 4096;
//! Maximum number of senders (daemon incarnations) whose sequence numbers are stored.
constexpr size_t maxSenders = 2000;

absl::Status denied(AuthError error)
{
    return absl::PermissionDeniedError(model::toAbsl(toString(error)));
}

bool isEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::string_view toString(AuthError error)
{
    switch (error) {
    case AuthError::Malformed:
        return "malformed signature";
    case AuthError::WrongSignature:
        return "wrong signature";
    case AuthError::Replayed:
        return "replayed message";
    }
    return "wrong signature";
}

MessageAuth::MessageAuth(std::string key, const model::DaemonId &self,
                         model::Incarnation incarnation)
    : m_key(std::move(key))
    , m_sender(absl::StrCat(self.text(), ":", incarnation.value()))
{
}

Signature MessageAuth::sign(std::string_view address, std::string_view body)
{
    Signature signature;
    signature.stamp = absl::StrCat(m_sender, ":", ++m_lastNumber);
    signature.code = computeCode("call", signature.stamp, address, body);
    return signature;
}

absl::Status MessageAuth::check(const Signature &signature, std::string_view address,
                                std::string_view body)
{
    const size_t colon = signature.stamp.rfind(':');
    if (colon == std::string::npos) {
        return denied(AuthError::Malformed);
    }
    uint64_t number = 0;
    const char *end = signature.stamp.data() + signature.stamp.size();
    const auto read = std::from_chars(signature.stamp.data() + colon + 1, end, number);
    if (read.ec != std::errc() || read.ptr != end) {
        return denied(AuthError::Malformed);
    }
    if (!isEqual(signature.code, computeCode("call", signature.stamp, address, body))) {
        return denied(AuthError::WrongSignature);
    }
    if (!recordNumber(signature.stamp.substr(0, colon), number)) {
        return denied(AuthError::Replayed);
    }
    return absl::OkStatus();
}

std::string MessageAuth::signResponse(std::string_view stamp, std::string_view body) const
{
    return computeCode("answer", stamp, {}, body);
}

bool MessageAuth::isResponseAuthentic(std::string_view stamp, std::string_view body,
                                      std::string_view code) const
{
    return isEqual(code, computeCode("answer", stamp, {}, body));
}

std::string MessageAuth::computeCode(std::string_view purpose, std::string_view stamp,
                                     std::string_view address, std::string_view body) const
{
    const std::string text = absl::StrCat(model::toAbsl(purpose), "\n", model::toAbsl(stamp), "\n",
                                          model::toAbsl(address), "\n", model::toAbsl(body));
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &length);
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char *>(digest.data()), length));
}

bool MessageAuth::recordNumber(const std::string &sender, uint64_t number)
{
    if (!m_senders.contains(sender)) {
        m_senderOrder.push_back(sender);
        if (m_senderOrder.size() > maxSenders) {
            m_senders.erase(m_senderOrder.front());
            m_senderOrder.pop_front();
        }
    }
    Sender &state = m_senders[sender];
    const bool isTooOld = number + replayWindowSize <= state.highestNumber;
    if (isTooOld || !state.recentNumbers.insert(number).second) {
        return false;
    }
    state.highestNumber = std::max(state.highestNumber, number);
    const uint64_t lowestNumber
        = state.highestNumber > replayWindowSize ? state.highestNumber - replayWindowSize : 0;
    state.recentNumbers.erase(state.recentNumbers.begin(),
                              state.recentNumbers.upper_bound(lowestNumber));
    return true;
}

} // namespace citronpick::net
