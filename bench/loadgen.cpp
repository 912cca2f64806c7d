#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "net/eventloop.h"
#include "net/httpclient.h"

ABSL_FLAG(uint32_t, port, 0, "Port on 127.0.0.1 to send to.");
ABSL_FLAG(std::string, path, "/v1/run/call", "Request path.");
ABSL_FLAG(uint32_t, connections, 1, "Number of requests in flight at once.");
ABSL_FLAG(uint32_t, seconds, 3, "Duration of the run in seconds; ignored if --requests is set.");
ABSL_FLAG(uint64_t, requests, 0, "Total number of requests; with 0, sends for --seconds.");
ABSL_FLAG(uint32_t, body_bytes, 1024, "Size of each request body in bytes.");

// Closed-loop load generator: keeps --connections requests in flight and replaces each one as soon
// as it has ended. Prints on one line: answers per second, p50 and p99 latency in microseconds, and
// the number of failed requests (no answer, or a status other than 200).
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
    const uint64_t requestLimit = absl::GetFlag(FLAGS_requests);
    const model::TimePoint beginTime = net::EventLoop::now();
    const model::TimePoint endTime = beginTime + model::seconds(absl::GetFlag(FLAGS_seconds));
    std::vector<int64_t> latencies;
    uint64_t started = 0;
    uint64_t failed = 0;
    uint32_t inFlight = 0;
    const std::function<void()> sendNext = [&] {
        const bool isDone
            = requestLimit > 0 ? started >= requestLimit : net::EventLoop::now() >= endTime;
        if (isDone) {
            return;
        }
        ++started;
        ++inFlight;
        const model::TimePoint sentAt = net::EventLoop::now();
        net::HttpCallbacks callbacks;
        callbacks.onResponse = [&, sentAt](const net::HttpResponse &answer) {
            --inFlight;
            latencies.push_back((net::EventLoop::now() - sentAt).count());
            failed += answer.status == 200 ? 0 : 1;
            sendNext();
        };
        callbacks.onError = [&](net::HttpError) {
            --inFlight;
            ++failed;
            sendNext();
        };
        client.start(call, std::move(callbacks));
    };
    for (uint32_t i = 0; i < absl::GetFlag(FLAGS_connections); ++i) {
        sendNext();
    }
    while (inFlight > 0) {
        loop.runOnce(model::milliseconds(10));
        client.expire(net::EventLoop::now());
    }
    const double elapsedSeconds = model::toSeconds(net::EventLoop::now() - beginTime);
    std::sort(latencies.begin(), latencies.end());
    const auto quantile = [&](double fraction) {
        const auto index = static_cast<size_t>(fraction * static_cast<double>(latencies.size()));
        return latencies.empty() ? 0 : latencies[std::min(index, latencies.size() - 1)];
    };
    std::printf("%.0f %lld %lld %llu\n", static_cast<double>(latencies.size()) / elapsedSeconds,
                static_cast<long long>(quantile(0.5)), static_cast<long long>(quantile(0.99)),
                static_cast<unsigned long long>(failed));
    return 0;
}
