#include "net/fleetcodec.h"

#include <algorithm>
#include <optional>

#include "model/overloaded.h"
#include "net/internal/jsonrpc.h"

namespace citronpick::net
{

namespace
{

constexpr const char *methodName = "exchange";
constexpr Json::ArrayIndex maxMembers = 5000;
constexpr Json::ArrayIndex maxFacts = 5000;
constexpr Json::ArrayIndex maxCrashParts = 64;
constexpr Json::ArrayIndex maxSketchWords = 128;
constexpr size_t maxNameLength = 128;

//! Reads typed values and records whether all of them were present and valid.
class FieldReader
{
public:
    std::string text(const Json::Value &value)
    {
        if (!value.isString() || value.asString().size() > maxNameLength) {
            m_isValid = false;
            return {};
        }
        return value.asString();
    }

    uint64_t number(const Json::Value &value)
    {
        if (!value.isUInt64()) {
            m_isValid = false;
            return 0;
        }
        return value.asUInt64();
    }

    uint32_t smallNumber(const Json::Value &value, uint32_t limit)
    {
        const uint64_t wide = number(value);
        if (wide > limit) {
            m_isValid = false;
            return 0;
        }
        return static_cast<uint32_t>(wide);
    }

    double real(const Json::Value &value)
    {
        if (!value.isNumeric()) {
            m_isValid = false;
            return 0.0;
        }
        return value.asDouble();
    }

    bool flag(const Json::Value &value)
    {
        m_isValid = m_isValid && value.isBool();
        return value.isBool() && value.asBool();
    }

    const Json::Value &list(const Json::Value &value, Json::ArrayIndex limit)
    {
        static const Json::Value empty(Json::arrayValue);
        if (!value.isArray() || value.size() > limit) {
            m_isValid = false;
            return empty;
        }
        return value;
    }

    //! Returns \a value if it is an array of exactly \a count elements, otherwise an empty array.
    //! A non-empty result can therefore be indexed safely.
    const Json::Value &fields(const Json::Value &value, Json::ArrayIndex count)
    {
        static const Json::Value empty(Json::arrayValue);
        if (!value.isArray() || value.size() != count) {
            m_isValid = false;
            return empty;
        }
        return value;
    }

    bool isValid() const
    {
        return m_isValid;
    }

    void fail()
    {
        m_isValid = false;
    }

private:
    bool m_isValid = true;
};

constexpr uint32_t maxPort = 65535;
constexpr uint32_t maxFactAgeMs = 3600000;
constexpr auto lastMemberState = static_cast<uint32_t>(fleet::MemberState::Dead);
constexpr auto lastHealthState = static_cast<uint32_t>(health::HealthState::Ramping);
constexpr auto lastKind = static_cast<uint32_t>(fleet::MessageKind::Reply);

Json::Value encode(const fleet::Member &member)
{
    Json::Value value(Json::arrayValue);
    value.append(member.id.text());
    value.append(Json::UInt64(member.incarnation.value()));
    value.append(member.version);
    value.append(static_cast<uint32_t>(member.state));
    value.append(member.zone.text());
    value.append(member.fleet.host);
    value.append(member.fleet.port);
    value.append(member.caller.host);
    value.append(member.caller.port);
    value.append(member.linkMbps);
    return value;
}

fleet::Member decodeMember(const Json::Value &input, FieldReader &reader)
{
    const Json::Value &value = reader.fields(input, 10);
    if (value.empty()) {
        return {};
    }
    return {
        .id = model::DaemonId(reader.text(value[0])),
        .incarnation = model::Incarnation(reader.number(value[1])),
        .version = reader.smallNumber(value[2], UINT32_MAX),
        .state = static_cast<fleet::MemberState>(reader.smallNumber(value[3], lastMemberState)),
        .zone = model::ZoneId(reader.text(value[4])),
        .fleet = {.host = reader.text(value[5]),
                  .port = static_cast<uint16_t>(reader.smallNumber(value[6], maxPort))},
        .caller = {.host = reader.text(value[7]),
                   .port = static_cast<uint16_t>(reader.smallNumber(value[8], maxPort))},
        .linkMbps = reader.smallNumber(value[9], UINT32_MAX),
    };
}

Json::Value encodeBody(const fleet::FactBody &body)
{
    Json::Value value(Json::arrayValue);
    std::visit(model::Overloaded {
                   [&](const fleet::CrashFact &crash) {
                       value.append(Json::UInt64(crash.fingerprint.value()));
                       value.append(crash.upstream.text());
                       Json::Value parts(Json::arrayValue);
                       for (const model::Fingerprint part : crash.parts) {
                           parts.append(Json::UInt64(part.value()));
                       }
                       value.append(std::move(parts));
                       // Left out of most reports, so that daemons of the version before read them.
                       if (!crash.partSketch.empty()) {
                           Json::Value sketch(Json::arrayValue);
                           for (const uint64_t word : crash.partSketch) {
                               sketch.append(Json::UInt64(word));
                           }
                           value.append(std::move(sketch));
                       }
                   },
                   [&](const fleet::ReturnFact &upstream) {
                       value.append(upstream.upstream.text());
                       value.append(static_cast<uint32_t>(upstream.state));
                       value.append(upstream.rampStep);
                       value.append(upstream.relapses);
                   },
                   [&](const fleet::DemandFact &demand) {
                       value.append(demand.account.text());
                       value.append(demand.requestsPerSecond);
                   },
                   [&](const fleet::LoadFact &load) { value.append(load.percent); },
                   [&](const fleet::LeavingFact &leaving) {
                       value.append(leaving.upstream.text());
                       value.append(Json::UInt64(leaving.incarnation));
                   },
                   [&](const fleet::QuarantinedPartFact &quarantined) {
                       value.append(Json::UInt64(quarantined.part.value()));
                   },
                   [&](const fleet::ClearedPartFact &cleared) {
                       value.append(Json::UInt64(cleared.part.value()));
                   },
                   [&](const fleet::UpstreamRateFact &rate) {
                       value.append(rate.upstream.text());
                       value.append(Json::UInt64(rate.incarnation));
                       value.append(rate.requestsPerSecond.has_value());
                       value.append(rate.requestsPerSecond.value_or(0.0));
                   },
                   [&](const fleet::SuspectedPartFact &suspected) {
                       value.append(Json::UInt64(suspected.part.value()));
                       value.append(Json::UInt64(
                           std::max<int64_t>(0, model::toMilliseconds(suspected.sinceFirstCrash))));
                   },
               },
               body);
    return value;
}

constexpr Json::ArrayIndex crashFieldsWithSketch = 4;

fleet::CrashFact decodeCrash(const Json::Value &value, FieldReader &reader)
{
    fleet::CrashFact crash {.fingerprint = model::Fingerprint(reader.number(value[0])),
                            .upstream = model::UpstreamId(reader.text(value[1]))};
    for (const Json::Value &part : reader.list(value[2], maxCrashParts)) {
        crash.parts.emplace_back(reader.number(part));
    }
    if (value.size() == crashFieldsWithSketch) {
        for (const Json::Value &word : reader.list(value[3], maxSketchWords)) {
            crash.partSketch.push_back(reader.number(word));
        }
    }
    return crash;
}

fleet::FactBody decodeBody(uint32_t kind, const Json::Value &input, FieldReader &reader)
{
    constexpr std::array<Json::ArrayIndex, 9> fieldCounts = {3, 4, 2, 1, 2, 1, 1, 2, 4};
    const bool hasSketch = kind == 0 && input.size() == crashFieldsWithSketch;
    const Json::Value &value
        = reader.fields(input, hasSketch ? crashFieldsWithSketch : fieldCounts[kind]);
    if (value.empty()) {
        return fleet::LoadFact {};
    }
    switch (kind) {
    case 0:
        return decodeCrash(value, reader);
    case 1:
        return fleet::ReturnFact {.upstream = model::UpstreamId(reader.text(value[0])),
                                  .state = static_cast<health::HealthState>(
                                      reader.smallNumber(value[1], lastHealthState)),
                                  .rampStep = reader.smallNumber(value[2], 64),
                                  .relapses = reader.smallNumber(value[3], 1000000)};
    case 2:
        return fleet::DemandFact {.account = model::AccountId(reader.text(value[0])),
                                  .requestsPerSecond = reader.real(value[1])};
    case 4:
        return fleet::LeavingFact {.upstream = model::UpstreamId(reader.text(value[0])),
                                   .incarnation = reader.number(value[1])};
    case 5:
        return fleet::QuarantinedPartFact {.part = model::Fingerprint(reader.number(value[0]))};
    case 6:
        return fleet::ClearedPartFact {.part = model::Fingerprint(reader.number(value[0]))};
    case 7:
        return fleet::SuspectedPartFact {
            .part = model::Fingerprint(reader.number(value[0])),
            .sinceFirstCrash = model::milliseconds(reader.smallNumber(value[1], maxFactAgeMs))};
    case 8: {
        const bool isLimited = reader.flag(value[2]);
        const double rate = reader.real(value[3]);
        return fleet::UpstreamRateFact {.upstream = model::UpstreamId(reader.text(value[0])),
                                        .incarnation = reader.number(value[1]),
                                        .requestsPerSecond
                                        = isLimited ? std::optional(rate) : std::nullopt};
    }
    default:
        return fleet::LoadFact {.percent = reader.smallNumber(value[0], 100)};
    }
}

Json::Value encode(const fleet::Fact &fact)
{
    Json::Value value(Json::arrayValue);
    value.append(fact.origin.text());
    value.append(Json::UInt64(fact.incarnation.value()));
    value.append(Json::UInt64(fact.version));
    value.append(Json::UInt64(std::max<int64_t>(0, model::toMilliseconds(fact.age))));
    value.append(static_cast<uint32_t>(fact.body.index()));
    value.append(encodeBody(fact.body));
    return value;
}

fleet::Fact decodeFact(const Json::Value &input, FieldReader &reader)
{
    const Json::Value &value = reader.fields(input, 6);
    if (value.empty()) {
        return {};
    }
    constexpr uint32_t lastFactKind = std::variant_size_v<fleet::FactBody> - 1;
    const uint32_t kind = reader.smallNumber(value[4], lastFactKind);
    return {.origin = model::DaemonId(reader.text(value[0])),
            .incarnation = model::Incarnation(reader.number(value[1])),
            .version = reader.number(value[2]),
            .age = model::milliseconds(reader.smallNumber(value[3], maxFactAgeMs)),
            .body = decodeBody(kind, value[5], reader)};
}

Json::Value encode(const fleet::FleetMessage &message)
{
    Json::Value value;
    value["v"] = message.version;
    value["kind"] = static_cast<uint32_t>(message.kind);
    value["from"] = encode(message.from);
    value["rev"] = Json::UInt64(message.revision.value());
    value["dig"] = Json::UInt64(message.digest);
    value["tab"] = Json::UInt64(message.tableDigest);
    value["all"] = message.requestsFullState;
    if (message.kind == fleet::MessageKind::IndirectProbe) {
        value["target"] = message.target.text();
        value["host"] = message.targetEndpoint.host;
        value["port"] = message.targetEndpoint.port;
    }
    value["reached"] = message.wasReached;
    value["members"] = Json::Value(Json::arrayValue);
    for (const fleet::Member &member : message.members) {
        value["members"].append(encode(member));
    }
    value["facts"] = Json::Value(Json::arrayValue);
    for (const fleet::Fact &fact : message.facts) {
        value["facts"].append(encode(fact));
    }
    return value;
}

absl::StatusOr<fleet::FleetMessage> decodeMessage(const Json::Value &value)
{
    FieldReader reader;
    fleet::FleetMessage message;
    message.version = reader.smallNumber(value["v"], UINT32_MAX);
    if (message.version != fleet::FleetMessage::currentVersion) {
        return absl::InvalidArgumentError("fleet message of an unsupported version");
    }
    message.kind = static_cast<fleet::MessageKind>(reader.smallNumber(value["kind"], lastKind));
    message.from = decodeMember(value["from"], reader);
    message.revision = model::Revision(reader.number(value["rev"]));
    message.digest = reader.number(value["dig"]);
    message.tableDigest = reader.number(value["tab"]);
    message.requestsFullState = reader.flag(value["all"]);
    if (message.kind == fleet::MessageKind::IndirectProbe) {
        message.target = model::DaemonId(reader.text(value["target"]));
        message.targetEndpoint
            = {.host = reader.text(value["host"]),
               .port = static_cast<uint16_t>(reader.smallNumber(value["port"], maxPort))};
    }
    message.wasReached = reader.flag(value["reached"]);
    for (const Json::Value &member : reader.list(value["members"], maxMembers)) {
        message.members.push_back(decodeMember(member, reader));
    }
    for (const Json::Value &fact : reader.list(value["facts"], maxFacts)) {
        message.facts.push_back(decodeFact(fact, reader));
    }
    if (!reader.isValid()) {
        return absl::InvalidArgumentError("fleet message with a missing or invalid field");
    }
    return message;
}

} // namespace

std::string encodeFleetCall(const fleet::FleetMessage &message)
{
    return internal::encodeJsonRpcCall(methodName, encode(message));
}

absl::StatusOr<fleet::FleetMessage> decodeFleetCall(const std::string &text)
{
    std::string method;
    Json::Value params;
    if (!internal::decodeJsonRpcCall(text, method, params) || method != methodName) {
        return absl::InvalidArgumentError("not a JSON-RPC call from a daemon");
    }
    return decodeMessage(params);
}

std::string encodeFleetResult(const fleet::FleetMessage &message)
{
    return internal::encodeJsonRpcResult(encode(message));
}

absl::StatusOr<fleet::FleetMessage> decodeFleetResult(const std::string &text)
{
    Json::Value result;
    if (!internal::decodeJsonRpcResult(text, result)) {
        return absl::InvalidArgumentError("not a JSON-RPC response from a daemon");
    }
    return decodeMessage(result);
}

} // namespace citronpick::net
