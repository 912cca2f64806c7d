#ifndef CITRONPICK_NET_MESSAGEAUTH_H
#define CITRONPICK_NET_MESSAGEAUTH_H

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include "model/ids.h"

namespace citronpick::net
{

//! Reason why a message between daemons is rejected.
enum class AuthError {
    Malformed,
    WrongSignature,
    Replayed,
};

std::string_view toString(AuthError error);

//! Header values that authenticate a message between daemons.
struct Signature {
    std::string stamp; //!< "sender:incarnation:number"; the number is used only once.
    std::string code; //!< HMAC-SHA-256 in hexadecimal.
};

/*!
 * Signs messages between daemons and rejects forged and replayed ones.
 *
 * Replays are detected by sequence numbers instead of timestamps, so that the daemons need no
 * synchronized clocks.
 */
class MessageAuth
{
public:
    MessageAuth(std::string key, const model::DaemonId &self, model::Incarnation incarnation);

    //! \a address is the receiver's; it is signed too, so that the message cannot be replayed to
    //! another daemon.
    Signature sign(std::string_view address, std::string_view body);

    //! Returns PermissionDenied if the message must be rejected.
    absl::Status check(const Signature &signature, std::string_view address, std::string_view body);

    //! Signs a response to the message that was sent with \a stamp.
    std::string signResponse(std::string_view stamp, std::string_view body) const;
    //! True if \a code is the signature of a response to the message that was sent with \a stamp.
    bool isResponseAuthentic(std::string_view stamp, std::string_view body,
                             std::string_view code) const;

private:
    struct Sender {
        uint64_t highestNumber = 0;
        std::set<uint64_t> recentNumbers; //!< Numbers received within the replay window.
    };

    std::string computeCode(std::string_view purpose, std::string_view stamp,
                            std::string_view address, std::string_view body) const;
    //! Records a sequence number; false if it was received before or is below the replay window.
    bool recordNumber(const std::string &sender, uint64_t number);

    std::string m_key;
    std::string m_sender;
    uint64_t m_lastNumber = 0;
    absl::flat_hash_map<std::string, Sender> m_senders;
    std::deque<std::string> m_senderOrder;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_MESSAGEAUTH_H
