#ifndef CITRONPICK_NET_INTERNAL_JSONRPC_H
#define CITRONPICK_NET_INTERNAL_JSONRPC_H

#include <string>

#include <json/value.h>

// This header must compile as C++14, because the JSON-RPC library does not build as C++17 or later.
namespace citronpick
{
namespace net
{
namespace internal
{

//! Encodes a JSON-RPC 2.0 call.
std::string encodeJsonRpcCall(const std::string &method, const Json::Value &params);

//! Decodes a call. Returns false if \a text is not exactly one call.
bool decodeJsonRpcCall(const std::string &text, std::string &method, Json::Value &params);

//! Encodes a successful response to a call from encodeJsonRpcCall().
std::string encodeJsonRpcResult(const Json::Value &result);

//! Decodes such a response. Returns false if \a text is not a successful response to such a call.
bool decodeJsonRpcResult(const std::string &text, Json::Value &result);

} // namespace internal
} // namespace net
} // namespace citronpick

#endif // CITRONPICK_NET_INTERNAL_JSONRPC_H
