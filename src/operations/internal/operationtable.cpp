#include "operations/operationtable.h"

namespace citronpick::operations
{

OperationTable::OperationTable(OperationOptions options, model::DaemonId daemon,
                               model::Incarnation incarnation, std::string secret)
    : m_options(options)
    , m_daemon(std::move(daemon))
    , m_incarnation(incarnation)
    , m_codec(std::move(secret))
{
}

std::optional<std::string> OperationTable::open(model::TimePoint now)
{
    removeExpired(now);
    if (m_rows.size() >= m_options.maxKeys || m_answerBytes >= m_options.maxAnswerBytes) {
        return std::nullopt;
    }
    const OperationKey key {.daemon = m_daemon,
                            .incarnation = m_incarnation,
                            .number = ++m_lastNumber,
                            .expiresAt = now + m_options.keyLifetime};
    m_rows.emplace(key.number, Row {.expiresAt = key.expiresAt});
    m_order.push(key.number);
    return m_codec.encode(key);
}

OperationDecision OperationTable::begin(std::string_view keyText, model::Fingerprint fingerprint,
                                        model::TimePoint now)
{
    const absl::StatusOr<OperationKey> key = m_codec.decode(keyText);
    if (!key.ok()) {
        return refusal(model::Outcome::NotRun, model::Reason::KeyInvalid);
    }
    // The key was issued by another daemon or an earlier incarnation of this one. Only the issuer
    // knows whether the operation has run.
    if (key->daemon != m_daemon || key->incarnation != m_incarnation) {
        return refusal(model::Outcome::Unknown, model::Reason::KeyOfOtherInstance);
    }
    const auto it = m_rows.find(key->number);
    if (it == m_rows.end()) {
        return refusal(model::Outcome::Unknown, model::Reason::KeyExpired);
    }
    Row &row = it->second;
    if (row.progress == Progress::Opened && row.expiresAt <= now) {
        return refusal(model::Outcome::NotRun, model::Reason::KeyExpired);
    }
    if (row.progress != Progress::Opened && row.fingerprint != fingerprint) {
        return refusal(model::Outcome::NotRun, model::Reason::KeyInvalid);
    }
    if (row.progress == Progress::Running) {
        return refusal(model::Outcome::Unknown, model::Reason::KeyInProgress);
    }
    if (row.progress == Progress::Ended) {
        return {.kind = OperationDecision::Kind::Replay, .result = row.result};
    }
    row.progress = Progress::Running;
    row.fingerprint = fingerprint;
    return {.kind = OperationDecision::Kind::Run, .result = {}};
}

bool OperationTable::isKeyValid(std::string_view keyText, model::TimePoint now) const
{
    const absl::StatusOr<OperationKey> key = m_codec.decode(keyText);
    if (!key.ok()) {
        return false;
    }
    const auto it = m_rows.find(key->number);
    return it != m_rows.end() && it->second.expiresAt > now;
}

void OperationTable::finish(std::string_view keyText, const OperationResult &result)
{
    const absl::StatusOr<OperationKey> key = m_codec.decode(keyText);
    if (!key.ok()) {
        return;
    }
    const auto it = m_rows.find(key->number);
    if (it == m_rows.end()) {
        return;
    }
    Row &row = it->second;
    if (result.outcome == model::Outcome::NotRun) {
        row.progress = Progress::Opened;
        return;
    }
    row.progress = Progress::Ended;
    row.result = result;
    const bool isTooLarge = result.body && result.body->size() > m_options.maxBytesPerAnswer;
    if (isTooLarge) {
        // The operation has run, but a resend cannot be answered with the complete answer.
        row.result = {.outcome = model::Outcome::Failed, .reason = model::Reason::AnswerTooLarge};
    }
    m_answerBytes += row.result.body ? row.result.body->size() : 0;
}

void OperationTable::removeExpired(model::TimePoint now)
{
    while (!m_order.empty()) {
        const auto it = m_rows.find(m_order.front());
        if (it == m_rows.end()) {
            m_order.pop();
            continue;
        }
        // A running operation is kept until its result is stored, so that it cannot start twice.
        const bool isKept = it->second.expiresAt > now || it->second.progress == Progress::Running;
        if (isKept) {
            return;
        }
        m_answerBytes -= it->second.result.body ? it->second.result.body->size() : 0;
        m_rows.erase(it);
        m_order.pop();
    }
}

OperationDecision OperationTable::refusal(model::Outcome outcome, model::Reason reason)
{
    return {.kind = OperationDecision::Kind::Refuse,
            .result = {.outcome = outcome, .reason = reason}};
}

} // namespace citronpick::operations
