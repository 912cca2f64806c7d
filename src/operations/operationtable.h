#ifndef CITRONPICK_OPERATIONS_OPERATIONTABLE_H
#define CITRONPICK_OPERATIONS_OPERATIONTABLE_H

#include <cstdint>
#include <optional>
#include <queue>

#include <absl/container/flat_hash_map.h>

#include "model/body.h"
#include "model/ids.h"
#include "model/outcome.h"
#include "model/time.h"
#include "operations/operationkey.h"

namespace citronpick::operations
{

struct OperationOptions {
    model::Duration keyLifetime = model::seconds(300);
    size_t maxKeys = 50000;
    size_t maxAnswerBytes = 8U << 20U; //!< Total size of all stored answers.
    size_t maxBytesPerAnswer = 64U << 10U; //!< The body of a larger answer is not stored.
};

//! Outcome and answer of an operation, stored for resends of its request.
struct OperationResult {
    model::Outcome outcome = model::Outcome::Complete;
    model::Reason reason = model::Reason::None;
    uint16_t upstreamStatus = 0;
    model::BodyPtr body;
};

//! How to handle a request that carries a key.
struct OperationDecision {
    enum class Kind {
        Run, //!< First use: the request may be dispatched.
        Replay, //!< The operation has ended; \a result is its answer.
        Refuse, //!< Nothing is dispatched; \a result holds outcome and reason.
    };

    Kind kind = Kind::Refuse;
    OperationResult result;
};

//! Keys issued by this incarnation of the daemon and the state of their operations. A key is stored
//! until it expires. When the table is full, no new keys are issued and no stored key is removed.
class OperationTable
{
public:
    OperationTable(OperationOptions options, model::DaemonId daemon, model::Incarnation incarnation,
                   std::string secret);

    //! Opens an operation. Empty when the table is full.
    std::optional<std::string> open(model::TimePoint now);

    //! Decides whether a request may run with a key.
    OperationDecision begin(std::string_view keyText, model::Fingerprint fingerprint,
                            model::TimePoint now);

    //! Whether a request with this key may still be dispatched.
    bool isKeyValid(std::string_view keyText, model::TimePoint now) const;

    //! Stores the result of the operation. With the outcome "not run" the key stays usable.
    void finish(std::string_view keyText, const OperationResult &result);

    void removeExpired(model::TimePoint now);

    model::Duration keyLifetime() const
    {
        return m_options.keyLifetime;
    }
    size_t size() const
    {
        return m_rows.size();
    }

private:
    enum class Progress {
        Opened,
        Running,
        Ended,
    };

    struct Row {
        model::TimePoint expiresAt;
        Progress progress = Progress::Opened;
        model::Fingerprint fingerprint;
        OperationResult result;
    };

    static OperationDecision refusal(model::Outcome outcome, model::Reason reason);

    OperationOptions m_options;
    model::DaemonId m_daemon;
    model::Incarnation m_incarnation;
    OperationKeyCodec m_codec;
    absl::flat_hash_map<uint64_t, Row> m_rows;
    std::queue<uint64_t> m_order; //!< In order of expiry, because all keys have the same lifetime.
    uint64_t m_lastNumber = 0;
    size_t m_answerBytes = 0;
};

} // namespace citronpick::operations

#endif // CITRONPICK_OPERATIONS_OPERATIONTABLE_H
