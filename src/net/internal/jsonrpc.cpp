#include "net/internal/jsonrpc.h"

#include <memory>

#include <json/reader.h>
#include <jsonrpccpp/client/batchcall.h>
#include <jsonrpccpp/client/batchresponse.h>
#include <jsonrpccpp/client/client.h>

namespace citronpick
{
namespace net
{
namespace internal
{

namespace
{

//! Identifier of the only call of a batch.
constexpr int callId = 1;

//! Deeper texts are none of this system's; the parser would refuse them by an exception.
constexpr int maxDepth = 32;

bool parseText(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = maxDepth;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    } catch (const std::exception &) {
        return false;
    }
}

//! Hands out an answer that has already come, so that the library does no input or output.
class AnswerHolder : public jsonrpc::IClientConnector
{
public:
    explicit AnswerHolder(const std::string &answer)
        : m_answer(answer)
    {
    }

    void SendRPCMessage(const std::string &,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result = m_answer;
    }

private:
    const std::string &m_answer;
};

} // namespace

std::string encodeJsonRpcCall(const std::string &method, const Json::Value &params)
{
    jsonrpc::BatchCall call;
    call.addCall(method, params);
    return call.toString();
}

bool decodeJsonRpcCall(const std::string &text, std::string &method, Json::Value &params)
{
    Json::Value batch;
    if (!parseText(text, batch) || !batch.isArray() || batch.size() != 1 || !batch[0].isObject()) {
        return false;
    }
    const Json::Value &call = batch[0];
    const bool isCall = call["jsonrpc"].isString() && call["jsonrpc"].asString() == "2.0"
                        && call["method"].isString() && call["params"].isObject()
                        && call["id"].isInt();
    if (!isCall) {
        return false;
    }
    method = call["method"].asString();
    params = call["params"];
    return true;
}

std::string encodeJsonRpcResult(const Json::Value &result)
{
    Json::Value answer;
    answer["jsonrpc"] = "2.0";
    answer["id"] = callId;
    answer["result"] = result;
    Json::Value batch(Json::arrayValue);
    batch.append(answer);
    Json::FastWriter writer;
    return writer.write(batch);
}

bool decodeJsonRpcResult(const std::string &text, Json::Value &result)
{
    // The library ends the process on texts that its parser throws at.
    Json::Value batch;
    if (!parseText(text, batch)) {
        return false;
    }
    AnswerHolder holder(text);
    jsonrpc::Client client(holder);
    jsonrpc::BatchCall call;
    const int id = call.addCall("exchange", Json::Value(Json::objectValue));
    try {
        jsonrpc::BatchResponse response = client.CallProcedures(call);
        if (response.hasErrors()) {
            return false;
        }
        result = response.getResult(id);
        return result.isObject();
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace internal
} // namespace net
} // namespace citronpick
