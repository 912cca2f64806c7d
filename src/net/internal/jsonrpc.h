#ifndef CITRONPICK_NET_INTERNAL_JSONRPC_H
#define CITRONPICK_NET_INTERNAL_JSONRPC_H

#include <string>

#include <json/value.h>

// Plain C++14: the library behind it does not build as anything later.
namespace citronpick
{
namespace net
{
namespace internal
{

//! A JSON-RPC 2.0 call as text.
std::string encodeJsonRpcCall(const std::string &method, const Json::Value &params);

//! False when the text is not exactly one call.
bool decodeJsonRpcCall(const std::string &text, std::string &method, Json::Value &params);

//! The answer to the call that encodeJsonRpcCall() wrote.
std::string encodeJsonRpcResult(const Json::Value &result);

//! False when the text is not a good answer to that call.
bool decodeJsonRpcResult(const std::string &text, Json::Value &result);

} // namespace internal
} // namespace net
} // namespace citronpick

#endif // CITRONPICK_NET_INTERNAL_JSONRPC_H
