#include "adminclient.h"

#include <charconv>
#include <optional>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

namespace citronpick::ctl
{

absl::StatusOr<config::Endpoint> parseEndpoint(const std::string &text)
{
    const size_t colon = text.rfind(':');
    uint16_t port = 0;
    const char *end = text.data() + text.size();
    const bool hasPort = colon != std::string::npos && colon > 0
                         && std::from_chars(text.data() + colon + 1, end, port).ptr == end
                         && port != 0;
    if (!hasPort) {
        return absl::InvalidArgumentError(absl::StrCat("'", text, "' is not HOST:PORT"));
    }
    return config::Endpoint {.host = text.substr(0, colon), .port = port};
}

absl::StatusOr<net::HttpResponse> call(const net::HttpCall &call)
{
    net::EventLoop loop;
    net::HttpClient client(loop);
    std::optional<absl::StatusOr<net::HttpResponse>> result;
    net::HttpCallbacks callbacks;
    callbacks.onResponse = [&](net::HttpResponse answer) {
        result = std::move(answer);
    };
    callbacks.onError = [&](net::HttpError error) {
        result = absl::UnavailableError(absl::StrCat("no answer from ", call.to.host, ":",
                                                     call.to.port, ": ",
                                                     model::toAbsl(net::toString(error))));
    };
    client.start(call, std::move(callbacks));
    while (!result) {
        loop.runOnce(model::milliseconds(10));
        client.expire(net::EventLoop::now());
    }
    return *std::move(result);
}

absl::StatusOr<nlohmann::json> readAdminPage(const config::Endpoint &daemon,
                                             const std::string &token, const std::string &page)
{
    net::HttpCall request;
    request.to = daemon;
    request.path = "/admin/" + page;
    request.headers = {{.name = "authorization", .value = "Bearer " + token}};
    request.timeout = model::seconds(5);
    request.maxBodyBytes = 64U << 20U;
    const auto answer = call(request);
    if (!answer.ok()) {
        return answer.status();
    }
    constexpr uint16_t success = 200;
    constexpr uint16_t unauthorized = 401;
    if (answer->status == unauthorized) {
        return absl::PermissionDeniedError("the daemon rejected the token given with --token");
    }
    auto document = nlohmann::json::parse(*answer->body, nullptr, false);
    if (answer->status != success || !document.is_object()) {
        return absl::InternalError(absl::StrCat("unexpected answer with status ", answer->status));
    }
    return document;
}

} // namespace citronpick::ctl
