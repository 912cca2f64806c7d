#include "../support/engines.h"

using namespace citronpick::review;

namespace
{

constexpr const char *host = "reply.example";
constexpr const char *key = "9dnn2ctnfzs989anu6ws";
constexpr size_t engineCount = 9;
constexpr int64_t loadMs = 85000;
constexpr int64_t deadlyFromMs = 25000;
constexpr double soundGapMs = 700.0;
constexpr double deadlyGapMs = 500.0;
constexpr int64_t contactMs = 3000;
constexpr const char *soundPart = "5c1e07a2";
constexpr const char *deadlyPart = "dead07a2";

std::string configuration()
{
    const Json route {{"name", "reply"},     {"host", host},         {"prefix", "/reply/"},
                      {"kind", "streaming"}, {"timeoutMs", 6000},    {"targetLatencyMs", 2000},
                      {"priority", 0},       {"service", "engines"}, {"maxAttempts", 2},
                      {"public", false},     {"sticky", true},       {"resumable", true},
                      {"gapAimMs", 400}};
    const Json service {{"name", "engines"},
                        {"healthPath", "/health"},
                        {"maxConns", 360},
                        {"engine", {{"slots", 64}, {"kvCapacityTokens", 357587}}}};
    const Json limits {{"maxHeaderBytes", 16384},
                       {"maxBodyBytes", 4194304},
                       {"headerTimeoutMs", 3000},
                       {"idleTimeoutMs", 15000}};
    const Json tenants = Json::array(
        {Json {{"name", "bozi300"}, {"apiKeys", Json::array({key})}, {"priority", 1}}});
    return Json {{"version", 7},
                 {"routes", Json::array({route})},
                 {"services", Json::array({service})},
                 {"limits", limits},
                 {"tenants", tenants}}
        .dump();
}

struct Sent {
    int64_t at = 0;
    std::string id;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2 || !Record::instance().open(argv[1])) {
        return 2;
    }
    Deployment deployment(3);
    Runs runs;
    const EngineSpec spec {.events = 30, .deadlyPart = isCalm() ? "" : deadlyPart};
    std::vector<std::unique_ptr<Engine>> engines;
    for (size_t i = 0; i < engineCount; ++i) {
        engines.push_back(std::make_unique<Engine>("engine" + std::to_string(i), spec,
                                                   deployment.registry, runs));
    }
    deployment.registry.put("op/config", configuration());
    deployment.startAll();
    if (!deployment.waitUntilReady(3000)) {
        return 2;
    }
    std::mt19937 random(std::random_device {}());
    std::vector<Sent> sound;
    std::atomic<int> open = 0;
    std::atomic<int> served = 0;
    const auto send = [&](const char *firstPart) {
        const std::string id = randomId();
        const std::string daemonHost
            = deployment.daemons[random() % deployment.daemons.size()]->host();
        const bool isSound = firstPart == std::string(soundPart);
        if (isSound) {
            sound.push_back({.at = nowMs(), .id = id});
        }
        ++open;
        std::thread([&, id, daemonHost, firstPart, isSound] {
            const std::string body = "question " + id;
            const std::string text
                = "POST /reply/2f HTTP/1.1\r\nHost: " + std::string(host) + "\r\nX-Request-Id: "
                  + id + "\r\nX-Model: m\r\nX-Token-Usage: 1800,40\r\nX-Prefix-Hash: " + firstPart
                  + ":800,91bd3f06:600," + id
                  + ":400\r\nX-Deadline-Ms: 6000\r\nAuthorization: " + "Token " + key
                  + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            const auto connection = Connection::open(daemonHost, deployment.callerPort(), 1000);
            Message answer;
            const bool isWhole = connection && connection->send(text)
                                 && connection->readMessage(answer, true, nowMs() + 6500);
            RECORD("client: %s request %s at %s ended with %d%s", isSound ? "sound" : "deadly",
                   id.c_str(), daemonHost.c_str(), answer.status, isWhole ? "" : ", broken off");
            served += isSound && isWhole && answer.status == 200 ? 1 : 0;
            --open;
        }).detach();
    };
    std::exponential_distribution<> soundGap(1.0 / soundGapMs);
    std::exponential_distribution<> deadlyGap(1.0 / deadlyGapMs);
    const int64_t start = nowMs();
    int64_t nextSound = start;
    int64_t nextDeadly = start + deadlyFromMs;
    while (nowMs() < start + loadMs) {
        if (nowMs() >= nextSound) {
            send(soundPart);
            nextSound += 1 + static_cast<int64_t>(soundGap(random));
        }
        if (nowMs() >= nextDeadly) {
            send(deadlyPart);
            nextDeadly += 1 + static_cast<int64_t>(deadlyGap(random));
        }
        sleepMs(2);
    }
    while (open > 0 && nowMs() < start + loadMs + 8000) {
        sleepMs(20);
    }
    deployment.stop();

    std::vector<int64_t> crashes;
    for (const auto &engine : engines) {
        const std::vector<int64_t> own = engine->crashes();
        crashes.insert(crashes.end(), own.begin(), own.end());
    }
    std::sort(crashes.begin(), crashes.end());
    // The rule counts from twice contactMs after the fifth crash, or the last if there are fewer.
    const int64_t counted
        = crashes.empty() ? start + deadlyFromMs : crashes[std::min<size_t>(4, crashes.size() - 1)];
    int before = 0;
    int begunBefore = 0;
    int after = 0;
    int begunAfter = 0;
    for (const Sent &request : sound) {
        const int isBegun = runs.of(request.id) > 0 ? 1 : 0;
        if (request.at < start + deadlyFromMs) {
            ++before;
            begunBefore += isBegun;
        } else if (request.at > counted + 2 * contactMs && request.at < start + loadMs) {
            ++after;
            begunAfter += isBegun;
        }
    }
    const bool isBroken = begunAfter * before * 2 < begunBefore * after;
    RECORD("summary: %zu crashes, sound requests begun: %d of %d before the first deadly one, %d "
           "of %d from %lld ms on",
           crashes.size(), begunBefore, before, begunAfter, after,
           static_cast<long long>(counted + 2 * contactMs));
    std::printf("%zu crashes, sound requests begun: %d of %d before, %d of %d after\n",
                crashes.size(), begunBefore, before, begunAfter, after);
    std::fflush(stdout);
    if (before < 20 || after < 20 || served == 0) {
        std::_Exit(2);
    }
    std::_Exit(isBroken ? 1 : 0);
}
