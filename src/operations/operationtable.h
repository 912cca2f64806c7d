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
    size_t maxAnswerBytes = 8U << 20U; //!< Of all kept answers together.
    size_t maxBytesPerAnswer = 64U << 10U;
};

//! How an operation ended, kept for resends.
struct KeptAnswer {
    model::Outcome outcome = model::Outcome::Complete;
    model::Reason reason = model::Reason::None;
    uint16_t upstreamStatus = 0;
    model::BodyPtr body;
};

//! What is to be done with a request that carries a key.
struct OperationDecision {
    enum class Kind {
        Run, //!< First use: the request may be dispatched.
        Repeat, //!< Ended before: \a kept is the answer.
        Refuse, //!< \a kept gives outcome and reason; nothing is dispatched.
    };

    Kind kind = Kind::Refuse;
    KeptAnswer kept;
};

//! Keys that this run of the daemon has given out and what became of them. A key is kept until
//! it expires; when the table is full, new keys are refused and none is forgotten.
class OperationTable
{
public:
    OperationTable(OperationOptions options, model::DaemonId daemon, model::Incarnation incarnation,
                   std::string secret);

    //! Opens an operation. Empty when the table is full.
    std::optional<std::string> open(model::TimePoint now);

    //! Asks whether a request may run under a key.
    OperationDecision begin(std::string_view keyText, model::Fingerprint fingerprint,
                            model::TimePoint now);

    //! Whether the key may still be dispatched at this moment.
    bool isLive(std::string_view keyText, model::TimePoint now) const;

    //! Notes how the operation ended; "not run" makes the key usable again.
    void finish(std::string_view keyText, const KeptAnswer &answer);

    void forgetExpired(model::TimePoint now);

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
        KeptAnswer answer;
    };

    static OperationDecision refusal(model::Outcome outcome, model::Reason reason);

    OperationOptions m_options;
    model::DaemonId m_daemon;
    model::Incarnation m_incarnation;
    OperationKeyCodec m_codec;
    absl::flat_hash_map<uint64_t, Row> m_rows;
    std::queue<uint64_t> m_order; //!< Keys all live equally long, so the oldest expires first.
    uint64_t m_lastNumber = 0;
    size_t m_answerBytes = 0;
};

} // namespace citronpick::operations

#endif // CITRONPICK_OPERATIONS_OPERATIONTABLE_H
