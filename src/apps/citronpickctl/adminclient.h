#ifndef CITRONPICK_APPS_CITRONPICKCTL_ADMINCLIENT_H
#define CITRONPICK_APPS_CITRONPICKCTL_ADMINCLIENT_H

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "config/settings.h"
#include "net/http.h"

namespace citronpick::ctl
{

//! Parses an endpoint written as "HOST:PORT". InvalidArgument for any other text.
absl::StatusOr<config::Endpoint> parseEndpoint(const std::string &text);

//! Makes one HTTP call and blocks until it ends. Unavailable if no answer is received.
absl::StatusOr<net::HttpResponse> call(const net::HttpCall &call);

//! Reads one page of a daemon's administration API.
absl::StatusOr<nlohmann::json> readAdminPage(const config::Endpoint &daemon,
                                             const std::string &token, const std::string &page);

} // namespace citronpick::ctl

#endif // CITRONPICK_APPS_CITRONPICKCTL_ADMINCLIENT_H
