#ifndef REVIEW_SUPPORT_WORLD_H
#define REVIEW_SUPPORT_WORLD_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Small stand-ins for clients, replicas and the platform's store, which speak what the users' pages
// say. Each connection has its own thread.
namespace review
{

using Headers = std::vector<std::pair<std::string, std::string>>;

//! Value of the first header of that name; empty if there is none. Names are compared in lower
//! case.
std::string valueOf(const Headers &headers, const std::string &name);

struct Message {
    std::string method; //!< Requests only.
    std::string target; //!< Requests only.
    int status = 0; //!< Responses only.
    Headers headers; //!< Names in lower case.
    std::string body;
    bool isComplete = false;
};

//! A blocking connection with a buffer for what was read too far.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(const std::string &bytes) const;
    bool readRequest(Message &message);
    //! Reads a response; isComplete tells whether it came whole.
    bool readResponse(Message &message);
    void setTimeout(std::chrono::milliseconds timeout) const;
    //! Closes with a reset.
    void reset();
    //! Whether the peer has closed its side.
    bool isClosedByPeer() const;
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    bool fill();
    bool readLine(std::string &line);
    bool readBytes(std::string &out, size_t count);
    bool readHeaders(Headers &headers);
    bool readBody(Message &message, bool isResponse);

    int m_descriptor;
    std::string m_buffer;
    bool m_isReset = false;
};

std::unique_ptr<Connection> connectTo(const std::string &address);

std::string response(int status, const Headers &headers, const std::string &body);

//! Returns false if the connection is to be closed.
using Handler = std::function<bool(Connection &, const Message &)>;

class Server
{
public:
    //! Port 0 stands for any free port.
    Server(const std::string &host, Handler handler, int port = 0);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &address() const
    {
        return m_address;
    }
    //! From now on, connections are refused.
    void stopListening();

private:
    void accept();

    int m_listener = -1;
    std::string m_address;
    Handler m_handler;
    std::thread m_acceptor;
    std::atomic<bool> m_isEnding = false;
};

//! What was sent, answered and run, with times in ms since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);
    int64_t now() const;

private:
    std::mutex m_mutex;
    std::string m_path;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

//! The platform's store.
class Store
{
public:
    Store();
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    const std::string &address() const
    {
        return m_server->address();
    }

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t createdRevision = 0;
    };
    struct Change {
        std::string key;
        std::optional<std::string> value;
        uint64_t revision = 0;
        uint64_t createdRevision = 0;
    };

    bool answer(Connection &connection, const Message &request);
    std::string range(const std::string &prefix, const std::string &after);
    std::string watch(const std::string &prefix, uint64_t after, int waitMs);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    uint64_t m_revision = 100;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::unique_ptr<Server> m_server;
};

//! A replica: it registers itself and answers what the handler says. Requests that expect another
//! instance are answered with 421.
class Replica
{
public:
    Replica(Store &store, std::string id, std::string service, std::string zone, int slots,
            Handler handler, int port = 0);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    const std::string &id() const
    {
        return m_id;
    }
    const std::string &address() const
    {
        return m_server->address();
    }
    //! Refuses connections from now on, as the port of a process that has crashed.
    void stopListening()
    {
        m_server->stopListening();
    }
    //! While cut off from the store, the replica doesn't write its entry.
    void setCutOff(bool isCutOff);

private:
    void ping();

    Store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    int64_t m_born;
    int m_sequence = 0;
    std::mutex m_mutex;
    std::condition_variable m_ending;
    bool m_isEnding = false;
    bool m_isCutOff = false;
    std::unique_ptr<Server> m_server;
    std::thread m_pinger;
};

struct DaemonOptions {
    int memoryMb = 260;
    int maxDescriptors = 4100;
    std::string folder; //!< For settings and logs.
};

//! The program of the deploy file, started with its command and the settings template filled in.
class Daemons
{
public:
    Daemons(const std::string &store, size_t count, const DaemonOptions &options);
    ~Daemons();
    Daemons(const Daemons &) = delete;
    Daemons &operator=(const Daemons &) = delete;

    bool waitUntilReady(std::chrono::seconds timeout) const;
    //! Kills all processes.
    void end();
    std::string entry(size_t daemon) const;
    int process(size_t daemon) const;
    //! Whether the process still runs.
    bool runs(size_t daemon);
    void kill(size_t daemon, int signal) const;
    void start(size_t daemon);

private:
    std::string addressOf(size_t daemon, int offset) const;
    std::string settingsOf(size_t daemon) const;

    std::string m_store;
    DaemonOptions m_options;
    int m_basePort = 0;
    std::vector<int> m_processes;
};

//! Sends a request over a new connection and reads the answer.
Message call(const std::string &address, const std::string &method, const std::string &target,
             Headers headers, const std::string &body, std::chrono::milliseconds timeout);

//! Whether the disruption is to take place.
bool hasTrouble();
//! Folder of the record and, below TMPDIR, one for other files.
std::string temporaryFolder();

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace review

#endif // REVIEW_SUPPORT_WORLD_H
