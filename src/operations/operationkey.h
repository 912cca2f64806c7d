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

//! Permission to run one operation once, bound to one run of one daemon.
struct OperationKey {
    model::DaemonId daemon;
    model::Incarnation incarnation;
    uint64_t number = 0; //!< Counts the keys that this run has given out.
    model::TimePoint expiresAt; //!< On the clock of the daemon that gave it out.

    friend auto operator<=>(const OperationKey &, const OperationKey &) = default;
};

//! What can be wrong with the text of a key.
enum class KeyError {
    Malformed,
    WrongSignature,
};

std::string_view toString(KeyError error);

//! Writes and reads keys as text, signed with the secret that all daemons share.
class OperationKeyCodec
{
public:
    explicit OperationKeyCodec(std::string secret);

    std::string encode(const OperationKey &key) const;

    //! InvalidArgument for text that no daemon of this system has signed.
    absl::StatusOr<OperationKey> decode(std::string_view text) const;

private:
    std::string sign(std::string_view text) const;

    std::string m_secret;
};

} // namespace citronpick::operations

#endif // CITRONPICK_OPERATIONS_OPERATIONKEY_H
