#include "../support/engines.h"

using namespace citronpick::review;

namespace
{

constexpr const char *host = "reply.example";
constexpr const char *key = "9dnn2ctnfzs989anu6ws";
constexpr size_t engineCount = 9;
constexpr int64_t loadMs = 60000;
constexpr int64_t deadlyFromMs = 10000;
constexpr double soundGapMs = 700.0;
constexpr double deadlyGapMs = 500.0;
constexpr int64_t contactMs = 3000;
constexpr const char *soundPart = "5c1e07a2";
constexpr const char *deadlyPart = "dead07a2";
//! Passages that a request quotes after its first part, out of those that all requests quote from.
constexpr size_t passagesPerRequest = 40;
constexpr uint32_t passageCount = 200000;

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

//! The parts of a prompt: the first one, passages, and the request's own.
std::string promptParts(const char *firstPart, const std::string &id, std::mt19937 &random)
{
    std::string parts = std::string(firstPart) + ":400";
    std::set<uint32_t> passages;
    while (passages.size() < passagesPerRequest) {
        passages.insert(static_cast<uint32_t>(random()) % passageCount);
    }
    for (const uint32_t passage : passages) {
        char text[32];
        std::snprintf(text, sizeof(text), ",a5%06x:30", passage);
        parts += text;
    }
    return parts + "," + id + ":200";
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
    std::vector<std::string> deadly;
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
        if (!isSound) {
            deadly.push_back(id);
        }
        const std::string parts = promptParts(firstPart, id, random);
        ++open;
        std::thread([&, id, daemonHost, parts, isSound] {
            const std::string body = "question " + id;
            const std::string text
                = "POST /reply/2f HTTP/1.1\r\nHost: " + std::string(host) + "\r\nX-Request-Id: "
                  + id + "\r\nX-Model: m\r\nX-Token-Usage: 1800,40\r\nX-Prefix-Hash: " + parts
                  + "\r\nX-Deadline-Ms: 6000\r\nAuthorization: Token " + key
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
    // The rule counts what reaches replicas later than contactMs after the fifth crash.
    constexpr size_t fifth = 4;
    int reached = 0;
    for (const std::string &id : deadly) {
        for (const int64_t at : runs.timesOf(id)) {
            const bool isLate = crashes.size() > fifth && at > crashes[fifth] + contactMs;
            reached += isLate ? 1 : 0;
            if (isLate) {
                RECORD(
                    "VIOLATION BUDGET: request %s with the deadly part reached a replica %lld ms "
                    "after the fifth crash",
                    id.c_str(), static_cast<long long>(at - crashes[fifth]));
            }
        }
    }
    constexpr int allowed = 3;
    RECORD("summary: %zu crashes, %d requests with the deadly part reached replicas too late, %d "
           "of %zu sound requests served",
           crashes.size(), reached, served.load(), sound.size());
    std::printf("%zu crashes, %d deadly requests reached replicas too late, %d of %zu sound "
                "requests served\n",
                crashes.size(), reached, served.load(), sound.size());
    std::fflush(stdout);
    if (served == 0 || deadly.size() < 20) {
        std::_Exit(2);
    }
    std::_Exit(reached > allowed ? 1 : 0);
}
