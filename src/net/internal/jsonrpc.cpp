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

//! Identifier of the only call in a batch.
constexpr int callId = 1;

//! Maximum nesting depth of JSON texts. Messages between daemons are nested less deeply; the parser
//! rejects deeper texts by an exception.
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

//! Connector that returns a response received before, so that the library does no I/O.
class FixedResponseConnector : public jsonrpc::IClientConnector
{
public:
    explicit FixedResponseConnector(const std::string &responseText)
        : m_response(responseText)
    {
    }

    void SendRPCMessage(const std::string &,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result = m_response;
    }

private:
    const std::string &m_response;
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
    Json::Value response;
    response["jsonrpc"] = "2.0";
    response["id"] = callId;
    response["result"] = result;
    Json::Value batch(Json::arrayValue);
    batch.append(response);
    Json::FastWriter writer;
    return writer.write(batch);
}

bool decodeJsonRpcResult(const std::string &text, Json::Value &result)
{
    // Parsed first, because the library does not catch its parser's exceptions, which would
    // terminate the process.
    Json::Value batch;
    if (!parseText(text, batch)) {
        return false;
    }
    FixedResponseConnector connector(text);
    jsonrpc::Client client(connector);
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
