#ifndef CITRONPICK_REVIEW_STAGES_H
#define CITRONPICK_REVIEW_STAGES_H

#include "harness.h"

// Stand-ins of replicas: stages that make results of pieces, and engines that take them.

namespace citronpick::review
{

//! The results of all stage replicas, by handle.
class Results
{
public:
    struct Result {
        std::string request;
        int stage = 0;
        int piece = 0;
    };

    void add(const std::string &handle, const Result &result)
    {
        const std::lock_guard lock(m_mutex);
        m_results[handle] = result;
    }
    std::optional<Result> find(const std::string &handle)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_results.find(handle);
        return it == m_results.end() ? std::nullopt : std::optional(it->second);
    }

private:
    std::mutex m_mutex;
    std::map<std::string, Result> m_results;
};

struct StageSpec {
    int callMs = 200;
    int itemMs = 20;
    size_t queue = 2;
};

//! A replica of a stage's service with one slot.
class StageReplica
{
public:
    //! Bytes to send on the connection before the answer to the request.
    using Extra = std::function<std::string(Connection &, const Message &)>;
    //! Called with each answer that was sent.
    using Sent = std::function<void(Connection &, const Message &, const std::string &)>;

    StageReplica(std::string id, const std::string &host, StageSpec spec, Results &results)
        : m_id(std::move(id))
        , m_spec(spec)
        , m_results(results)
        , m_server(host, 0, [this](Connection &connection) { serve(connection); })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }
    const std::string &id() const
    {
        return m_id;
    }

    Extra extra;
    Sent sent;

private:
    void serve(Connection &connection)
    {
        for (;;) {
            Message request;
            if (!connection.readMessage(request, false, nowMs() + 15000)) {
                return;
            }
            const std::string bytes = extra ? extra(connection, request) : std::string();
            if (!bytes.empty() && !connection.send(bytes)) {
                return;
            }
            const std::string answer = answerTo(connection, request);
            if (answer.empty() || !connection.send(answer)) {
                return;
            }
            if (sent) {
                sent(connection, request, answer);
            }
        }
    }

    std::string answerTo(Connection &connection, const Message &request)
    {
        const std::string load = "X-Server-Load: 0,0,1\r\n";
        const std::string expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != m_id) {
            return responseText(421, "X-Instance-Id: " + m_id + "\r\n", {});
        }
        if (request.path() != "/citronpick/stage-run") {
            RECORD("%s frees %s", m_id.c_str(), request.body.c_str());
            return responseText(200, load, {});
        }
        std::unique_lock lock(m_mutex);
        if (m_waiting > m_spec.queue) {
            RECORD("%s is full", m_id.c_str());
            return responseText(503, load + "X-Not-Executed: 1\r\n", {});
        }
        ++m_waiting;
        const uint64_t turn = m_lastTurn++;
        m_turnChanged.wait(lock, [&] { return turn == m_turn; });
        --m_waiting;
        const bool isDropped = connection.isClosedByPeer();
        Json items = Json::array();
        if (!isDropped) {
            const Json document = Json::parse(request.body);
            std::string made;
            for (const Json &item : document.at("items")) {
                const Results::Result result {
                    .request = item.at("id"), .stage = item.at("stage"), .piece = item.at("piece")};
                const std::string handle = address() + "/" + randomId();
                m_results.add(handle, result);
                items.push_back({{"handle", handle}});
                made += " " + result.request + ":" + std::to_string(result.piece) + "=" + handle;
            }
            RECORD("%s runs%s", m_id.c_str(), made.c_str());
            lock.unlock();
            sleepMs(m_spec.callMs + m_spec.itemMs * static_cast<int64_t>(items.size()));
            lock.lock();
        }
        ++m_turn;
        m_turnChanged.notify_all();
        return isDropped ? std::string()
                         : responseText(200, load + "Content-Type: application/json\r\n",
                                        Json {{"items", items}}.dump());
    }

    std::string m_id;
    StageSpec m_spec;
    Results &m_results;
    std::mutex m_mutex;
    std::condition_variable m_turnChanged;
    size_t m_waiting = 0;
    uint64_t m_lastTurn = 0;
    uint64_t m_turn = 0;
    Server m_server;
};

//! A model replica that notes requests whose inputs are not exactly their own.
class EngineReplica
{
public:
    EngineReplica(std::string id, const std::string &host, Results &results)
        : m_id(std::move(id))
        , m_results(results)
        , m_server(host, 0, [this](Connection &connection) { serve(connection); })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }
    const std::string &id() const
    {
        return m_id;
    }

    std::atomic<int> runs = 0;
    std::atomic<int> foreignInputs = 0; //!< Requests with a result of another request.
    std::atomic<int> wrongInputs = 0; //!< Requests with a result twice, or not with all.

private:
    void checkInputs(const Message &request)
    {
        const std::string id = request.header("x-request-id");
        std::set<std::string> handles;
        std::stringstream list(request.header("x-input-count"));
        std::string handle;
        bool isForeign = false;
        bool isWrong = false;
        std::set<int> pieces;
        while (std::getline(list, handle, ',')) {
            isWrong = isWrong || !handles.insert(handle).second;
            const auto result = m_results.find(handle);
            if (!result || result->request != id) {
                isForeign = true;
                RECORD("VIOLATION MIXED: %s runs request %s with %s, a result of request %s",
                       m_id.c_str(), id.c_str(), handle.c_str(),
                       result ? result->request.c_str() : "(none)");
            } else {
                pieces.insert(result->piece);
            }
        }
        const size_t expected = std::stoul(request.header("x-piece-count"));
        isWrong = isWrong || (!isForeign && pieces.size() != expected);
        if (isWrong) {
            RECORD("VIOLATION MIXED: %s runs request %s with inputs %s", m_id.c_str(), id.c_str(),
                   request.header("x-input-count").c_str());
        }
        foreignInputs += isForeign ? 1 : 0;
        wrongInputs += isWrong ? 1 : 0;
    }

    void serve(Connection &connection)
    {
        for (;;) {
            Message request;
            if (!connection.readMessage(request, false, nowMs() + 15000)) {
                return;
            }
            if (request.header("x-expect-instance") != m_id) {
                if (!connection.send(responseText(421, "X-Instance-Id: " + m_id + "\r\n", {}))) {
                    return;
                }
                continue;
            }
            ++runs;
            RECORD("%s runs request %s with inputs %s", m_id.c_str(),
                   request.header("x-request-id").c_str(), request.header("x-input-count").c_str());
            checkInputs(request);
            std::string events;
            for (int event = 1; event <= 5; ++event) {
                events += "id: " + std::to_string(event) + "\ndata: token\n\n";
            }
            sleepMs(60);
            const std::string id = request.header("x-request-id");
            if (!connection.send(
                    responseText(200,
                                 "Content-Type: text/event-stream\r\nX-Request-Id: " + id
                                     + "\r\nX-Response-Signature: proof-" + id + "\r\n",
                                 events))) {
                return;
            }
        }
    }

    std::string m_id;
    Results &m_results;
    Server m_server;
};

} // namespace citronpick::review

#endif // CITRONPICK_REVIEW_STAGES_H
