#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "net/eventloop.h"
#include "net/httpclient.h"

ABSL_FLAG(uint32_t, port, 0, "Port on 127.0.0.1.");
ABSL_FLAG(std::string, path, "/v1/run/call", "Path of each request.");
ABSL_FLAG(uint32_t, connections, 1, "Requests under way at a time.");
ABSL_FLAG(uint32_t, seconds, 3, "How long to send; ignored when requests is given.");
ABSL_FLAG(uint64_t, requests, 0, "Requests to send in all.");
ABSL_FLAG(uint32_t, body_bytes, 1024, "Size of each body.");

// Sends requests one after another on each connection and prints rate and latencies.
int main(int argc, char **argv)
{
    using namespace citronpick;
    absl::ParseCommandLine(argc, argv);
    net::EventLoop loop;
    net::HttpClient client(loop);
    net::HttpCall call;
    call.method = "POST";
    call.to = {.host = "127.0.0.1", .port = static_cast<uint16_t>(absl::GetFlag(FLAGS_port))};
    call.path = absl::GetFlag(FLAGS_path);
    call.headers = {{"x-citronpick-request", "bench"}, {"x-citronpick-account", "bench"}};
    call.body = model::makeBody(std::string(absl::GetFlag(FLAGS_body_bytes), 'x'));
    const uint64_t limit = absl::GetFlag(FLAGS_requests);
    const model::TimePoint begin = net::EventLoop::now();
    const model::TimePoint end = begin + model::seconds(absl::GetFlag(FLAGS_seconds));
    std::vector<int64_t> latencies;
    uint64_t started = 0;
    uint64_t failed = 0;
    uint32_t open = 0;
    const std::function<void()> sendNext = [&] {
        const bool isOver = limit > 0 ? started >= limit : net::EventLoop::now() >= end;
        if (isOver) {
            return;
        }
        ++started;
        ++open;
        const model::TimePoint sentAt = net::EventLoop::now();
        net::HttpCallbacks callbacks;
        callbacks.onAnswer = [&, sentAt](const net::HttpAnswer &answer) {
            --open;
            latencies.push_back((net::EventLoop::now() - sentAt).count());
            failed += answer.status == 200 ? 0 : 1;
            sendNext();
        };
        callbacks.onError = [&](net::HttpError) {
            --open;
            ++failed;
            sendNext();
        };
        client.start(call, std::move(callbacks));
    };
    for (uint32_t i = 0; i < absl::GetFlag(FLAGS_connections); ++i) {
        sendNext();
    }
    while (open > 0) {
        loop.runOnce(model::milliseconds(10));
        client.expire(net::EventLoop::now());
    }
    const double seconds = model::toSeconds(net::EventLoop::now() - begin);
    std::sort(latencies.begin(), latencies.end());
    const auto quantile = [&](double share) {
        const auto index = static_cast<size_t>(share * static_cast<double>(latencies.size()));
        return latencies.empty() ? 0 : latencies[std::min(index, latencies.size() - 1)];
    };
    std::printf("%.0f %lld %lld %llu\n", static_cast<double>(latencies.size()) / seconds,
                static_cast<long long>(quantile(0.5)), static_cast<long long>(quantile(0.99)),
                static_cast<unsigned long long>(failed));
    return 0;
}
