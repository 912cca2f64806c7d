#include "world.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review
{

namespace
{

using Json = nlohmann::json;

std::string toBase64(const std::string &bytes)
{
    constexpr const char *digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j) {
            group = group << 8U
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

std::string unescape(const std::string &text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> fields;
    const size_t mark = target.find('?');
    std::stringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string field; std::getline(query, field, '&');) {
        const size_t equals = field.find('=');
        fields[field.substr(0, equals)]
            = equals == std::string::npos ? "" : unescape(field.substr(equals + 1));
    }
    return fields;
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
        text.replace(at, from.size(), to);
        at += to.size();
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

bool isFree(const std::string &host, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &at.sin_addr);
    const bool result = bind(descriptor, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0;
    close(descriptor);
    return result;
}

//! Ports of each daemon, from the base on.
constexpr int portCount = 6;

} // namespace

Record::Record(const std::string &path)
    : m_path(path)
{
    std::ofstream(m_path, std::ios::trunc);
}

int64_t Record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - m_start)
        .count();
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    std::ofstream(m_path, std::ios::app) << now() << " ms  " << line << '\n';
}

Store::Store()
{
    m_server = std::make_unique<Server>("127.0.0.1",
                                        [this](Connection &connection, const Message &request) {
                                            return answer(connection, request);
                                        });
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    Item &item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    item.createdRevision = item.createdRevision == 0 ? m_revision : item.createdRevision;
    m_changes.push_back({.key = key,
                         .value = value,
                         .revision = item.revision,
                         .createdRevision = item.createdRevision});
    m_changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.erase(key) > 0) {
        m_changes.push_back({.key = key, .value = std::nullopt, .revision = ++m_revision});
        m_changed.notify_all();
    }
}

std::string Store::range(const std::string &prefix, const std::string &after)
{
    constexpr size_t pageSize = 500;
    const std::lock_guard lock(m_mutex);
    Json items = Json::array();
    bool hasMore = false;
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (items.size() >= pageSize) {
            hasMore = true;
            break;
        }
        items.push_back({{"key", key},
                         {"value", toBase64(item.value)},
                         {"revision", item.revision},
                         {"createdRev", item.createdRevision},
                         {"lease", 0}});
    }
    return Json {{"items", items}, {"morePages", hasMore}, {"storeRevision", m_revision}}.dump();
}

std::string Store::watch(const std::string &prefix, uint64_t after, int waitMs)
{
    std::unique_lock lock(m_mutex);
    Json events = Json::array();
    const auto collect = [&] {
        for (const Change &change : m_changes) {
            if (change.revision <= after || !change.key.starts_with(prefix)) {
                continue;
            }
            if (change.value) {
                events.push_back({{"key", change.key},
                                  {"value", toBase64(*change.value)},
                                  {"revision", change.revision},
                                  {"createdRev", change.createdRevision},
                                  {"lease", 0}});
            } else {
                events.push_back(
                    {{"key", change.key}, {"revision", change.revision}, {"deleted", true}});
            }
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    return Json {{"events", events}, {"storeRevision", m_revision}}.dump();
}

bool Store::answer(Connection &connection, const Message &request)
{
    const auto query = queryOf(request.target);
    const auto field = [&query](const std::string &name) {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    };
    const Headers headers {{"Content-Type", "application/json"}, {"Store-Era", "1"}};
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/citronpick/kv-range") {
        return connection.send(response(200, headers, range(field("prefix"), field("after"))));
    }
    if (path == "/citronpick/kv-watch") {
        return connection.send(response(
            200, headers,
            watch(field("prefix"), std::stoull(field("after")), std::stoi(field("waitMs")))));
    }
    return connection.send(response(404, headers, "{}"));
}

Replica::Replica(Store &store, std::string id, std::string service, std::string zone, int slots,
                 Handler handler, int port)
    : m_store(store)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_slots(slots)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    m_server = std::make_unique<Server>(
        "127.0.0.2",
        [id = m_id, handler = std::move(handler)](Connection &connection, const Message &request) {
            const std::string expected = valueOf(request.headers, "x-expect-instance");
            if (!expected.empty() && expected != id) {
                return connection.send(
                    response(421,
                             {{"X-Request-Id", valueOf(request.headers, "x-request-id")},
                              {"X-Instance-Id", id}},
                             ""));
            }
            return handler(connection, request);
        },
        port);
    m_pinger = std::thread([this] { ping(); });
}

Replica::~Replica()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isEnding = true;
        m_ending.notify_all();
    }
    m_pinger.join();
}

void Replica::setCutOff(bool isCutOff)
{
    const std::lock_guard lock(m_mutex);
    m_isCutOff = isCutOff;
    m_ending.notify_all();
}

// Writes the entry at each ping, as replicas do.
void Replica::ping()
{
    constexpr std::chrono::milliseconds pingInterval {1200};
    std::unique_lock lock(m_mutex);
    while (!m_isEnding) {
        if (m_isCutOff) {
            m_ending.wait_for(lock, pingInterval, [this] { return m_isEnding || !m_isCutOff; });
            continue;
        }
        m_store.put("servers/" + m_id, Json {{"service", m_service},
                                             {"address", m_server->address()},
                                             {"zone", m_zone},
                                             {"version", "v1"},
                                             {"slots", m_slots},
                                             {"state", "ready"},
                                             {"coldRemainingMs", 0},
                                             {"seq", ++m_sequence},
                                             {"born", m_born}}
                                           .dump());
        m_ending.wait_for(lock, pingInterval, [this] { return m_isEnding; });
    }
}

Daemons::Daemons(const std::string &store, size_t count, const DaemonOptions &options)
    : m_store(store)
    , m_options(options)
    , m_processes(count, -1)
{
    std::random_device device;
    const auto areFree = [&](int base) {
        for (size_t i = 0; i < count; ++i) {
            for (int offset = 0; offset < portCount; ++offset) {
                if (!isFree("127.0.0." + std::to_string(11 + i), base + offset)) {
                    return false;
                }
            }
        }
        return true;
    };
    do {
        m_basePort = 20000 + static_cast<int>(device() % 1000) * 10;
    } while (!areFree(m_basePort));
    for (size_t i = 0; i < count; ++i) {
        start(i);
    }
}

Daemons::~Daemons()
{
    end();
}

void Daemons::end()
{
    for (int &process : m_processes) {
        if (process > 0) {
            ::kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
        process = -1;
    }
}

std::string Daemons::addressOf(size_t daemon, int offset) const
{
    return "127.0.0." + std::to_string(11 + daemon) + ":" + std::to_string(m_basePort + offset);
}

std::string Daemons::entry(size_t daemon) const
{
    return addressOf(daemon, 0);
}

int Daemons::process(size_t daemon) const
{
    return m_processes[daemon];
}

std::string Daemons::settingsOf(size_t daemon) const
{
    std::string text = readFile("platform/settings.json.template");
    const std::string section = "{{#bounds.coldOvershoot}}";
    const std::string sectionEnd = "{{/bounds.coldOvershoot}}";
    if (const size_t at = text.find(section); at != std::string::npos) {
        text.erase(at, text.find(sectionEnd) + sectionEnd.size() - at);
    }
    Json seeds = Json::array();
    for (size_t i = 0; i < m_processes.size() && i < 3; ++i) {
        seeds.push_back(addressOf(i, 3));
    }
    const std::map<std::string, std::string> values {
        {"{{nodeName|json}}", Json("front-" + std::to_string(daemon + 1)).dump()},
        {"{{zone|json}}", Json("z1").dump()},
        {"{{listen.front|json}}", Json(addressOf(daemon, 0)).dump()},
        {"{{listen.ready|json}}", Json(addressOf(daemon, 1)).dump()},
        {"{{listen.directory|json}}", Json(addressOf(daemon, 2)).dump()},
        {"{{listen.control|json}}", Json(addressOf(daemon, 3)).dump()},
        {"{{platform.address}}", m_store},
        {"{{portRange|json}}", Json {m_basePort + 4, m_basePort + 5}.dump()},
        {"{{seeds|json}}", seeds.dump()},
        {"{{platform.address|json}}", Json(m_store).dump()},
        {"{{bounds.contactMs|json}}", "3000"},
        {"{{bounds.retryBudgetRatio|json}}", "0.2"},
        {"{{bounds.retryBudgetSlack|json}}", "52"},
        {"{{bounds.budgetWindowS}}", "10"},
        {"{{limits.memoryMb|json}}", std::to_string(m_options.memoryMb)},
        {"{{limits.maxFds|json}}", std::to_string(m_options.maxDescriptors)},
        {"{{limits.linkMbps|json}}", "1000.0"}};
    for (const auto &[placeholder, value] : values) {
        replaceAll(text, placeholder, value);
    }
    return text;
}

void Daemons::start(size_t daemon)
{
    const std::string base = m_options.folder + "/daemon-" + std::to_string(daemon + 1);
    std::ofstream(base + ".json") << settingsOf(daemon);
    const int process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("CITRONPICK_SETTINGS", (base + ".json").c_str(), 1);
        execl("target/src/apps/citronpickd", "target/src/apps/citronpickd", nullptr);
        _exit(127);
    }
    m_processes[daemon] = process;
}

bool Daemons::runs(size_t daemon)
{
    if (m_processes[daemon] > 0 && waitpid(m_processes[daemon], nullptr, WNOHANG) != 0) {
        m_processes[daemon] = -1;
    }
    return m_processes[daemon] > 0;
}

void Daemons::kill(size_t daemon, int signal) const
{
    ::kill(m_processes[daemon], signal);
}

// Ready, and known to the others, so that the deployment is in its steady state.
bool Daemons::waitUntilReady(std::chrono::seconds timeout) const
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (size_t i = 0; i < m_processes.size(); ++i) {
        bool isReady = false;
        while (!isReady && std::chrono::steady_clock::now() < end) {
            const Message readiness = call(addressOf(i, 1), "GET", "/citronpick/readiness",
                                           {{"Host", "ready"}}, "", std::chrono::seconds(1));
            const Message entries = call(addressOf(i, 2), "GET",
                                         "/citronpick/resolve?name=pule25.example&region=r&zone=z1",
                                         {{"Host", "directory"}}, "", std::chrono::seconds(1));
            const Json document = Json::parse(entries.body, nullptr, false);
            isReady = readiness.status == 200 && document.is_object()
                      && document.value("addresses", Json::array()).size() == m_processes.size();
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        if (!isReady) {
            return false;
        }
    }
    return true;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string temporaryFolder()
{
    const char *base = std::getenv("TMPDIR");
    std::string path = std::string(base ? base : "/tmp") + "/citronpick-review.XXXXXX";
    if (!mkdtemp(path.data())) {
        std::_Exit(exitNotRun);
    }
    return path;
}

} // namespace review
