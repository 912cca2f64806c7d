#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "config/configuration.h"
#include "standins/platformstandin.h"
#include "standins/upstreamstandin.h"

ABSL_FLAG(std::string, pipelines, "",
          "Pipeline file; a stand-in is started for every upstream in it.");
ABSL_FLAG(uint32_t, platform_port, 7000, "Port of the platform stand-in.");
ABSL_FLAG(uint32_t, tokens, 5, "Number of tokens in a streamed answer.");
ABSL_FLAG(uint32_t, delay_us, 0, "Service time of every upstream in microseconds.");

namespace
{

volatile std::sig_atomic_t isStopped = 0;

void onSignal(int)
{
    isStopped = 1;
}

} // namespace

// Runs stand-ins for the platform and all upstreams of a pipeline file until SIGTERM or SIGINT.
int main(int argc, char **argv)
{
    using namespace citronpick;
    absl::ParseCommandLine(argc, argv);
    std::ifstream file(absl::GetFlag(FLAGS_pipelines));
    std::stringstream text;
    text << file.rdbuf();
    const auto configuration = config::parseConfiguration(text.str());
    if (!configuration.ok()) {
        std::cerr << configuration.status().message() << '\n';
        return 2;
    }
    static_cast<void>(std::signal(SIGTERM, &onSignal));
    static_cast<void>(std::signal(SIGINT, &onSignal));
    net::EventLoop loop;
    standins::PlatformStandIn platform(loop);
    platform.publish(1, text.str());
    if (platform.listen(static_cast<uint16_t>(absl::GetFlag(FLAGS_platform_port))) == 0) {
        std::cerr << "cannot listen on the port of the platform stand-in\n";
        return 1;
    }
    std::vector<std::unique_ptr<standins::UpstreamStandIn>> upstreams;
    for (const config::PoolConfig &pool : (*configuration)->pools()) {
        for (const config::UpstreamConfig &upstream : pool.upstreams) {
            auto standIn = std::make_unique<standins::UpstreamStandIn>(loop, upstream.id.text());
            standIn->setScript({.delay = model::Duration(absl::GetFlag(FLAGS_delay_us)),
                                .tokens = pool.isStreaming ? absl::GetFlag(FLAGS_tokens) : 0U});
            if (standIn->listen(upstream.port) == 0) {
                std::cerr << "cannot listen on the port of " << upstream.id.text() << "\n";
                return 1;
            }
            upstreams.push_back(std::move(standIn));
        }
    }
    while (isStopped == 0) {
        loop.runOnce(model::milliseconds(1));
        const model::TimePoint now = net::EventLoop::now();
        platform.run(now);
        for (const auto &upstream : upstreams) {
            upstream->run(now);
        }
    }
    return 0;
}
