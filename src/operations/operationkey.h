#ifndef CITRONPICK_OPERATIONS_OPERATIONKEY_H
#define CITRONPICK_OPERATIONS_OPERATIONKEY_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::operations
{

//! Key to run one operation at most once. It is bound to one incarnation of one daemon.
struct OperationKey {
    model::DaemonId daemon;
    model::Incarnation incarnation;
    uint64_t number = 0; //!< Sequence number among the keys issued by this incarnation.
    model::TimePoint expiresAt; //!< By the clock of the daemon that issued the key.

    friend auto operator<=>(const OperationKey &, const OperationKey &) = default;
};

//! Why the text of a key is invalid.
enum class KeyError {
    Malformed,
    WrongSignature,
};

std::string_view toString(KeyError error);

//! Encodes and decodes keys as text, signed with the secret that all daemons share.
class OperationKeyCodec
{
public:
    explicit OperationKeyCodec(std::string secret);

    std::string encode(const OperationKey &key) const;

    //! Returns InvalidArgument for malformed text and for a wrong signature.
    absl::StatusOr<OperationKey> decode(std::string_view text) const;

private:
    std::string sign(std::string_view text) const;

    std::string m_secret;
};

} // namespace citronpick::operations

#endif // CITRONPICK_OPERATIONS_OPERATIONKEY_H
