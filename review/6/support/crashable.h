#ifndef REVIEW_SUPPORT_CRASHABLE_H
#define REVIEW_SUPPORT_CRASHABLE_H

#include "world.h"

namespace review
{

//! A replica that can crash: it resets its connections, refuses new ones, and registers a new start
//! under its id and address some seconds later.
class Crashable
{
public:
    using CrashableHandler = std::function<bool(Crashable &, Connection &, const Message &)>;

    Crashable(Store &store, Record &record, std::string id, std::string service, int slots,
              CrashableHandler handler);

    //! Returns false if it has crashed already. What arrives after that does not run.
    bool crash(const std::string &cause,
               std::chrono::milliseconds downTime = std::chrono::seconds(3));
    bool hasCrashed() const
    {
        return m_hasCrashed;
    }
    //! Waits; returns false if the replica crashes meanwhile, in which case the handler has to end.
    bool work(std::chrono::milliseconds time) const;
    //! Takes down what has crashed and starts it again; to be called every few milliseconds.
    void run();
    //! Times of the crashes.
    std::vector<int64_t> crashes();
    const std::string &id() const
    {
        return m_id;
    }

    //! Number of starts so far.
    int starts() const
    {
        return m_starts;
    }
    //! Address of all its starts.
    std::string address() const
    {
        return "127.0.0.2:" + std::to_string(m_port);
    }

private:
    void start();

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    int m_slots;
    int m_port = 0;
    CrashableHandler m_handler;
    std::mutex m_mutex;
    std::vector<int64_t> m_crashes;
    std::unique_ptr<Replica> m_replica;
    std::atomic<bool> m_hasCrashed = false;
    std::atomic<int> m_starts = 0;
    std::atomic<int64_t> m_downMs = 0;
    int64_t m_backAt = 0;
};

//! Runs crashable replicas until it is destroyed.
class Runner
{
public:
    explicit Runner(std::vector<std::unique_ptr<Crashable>> &replicas);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

private:
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread;
};

//! Times of the crashes of all replicas, sorted.
std::vector<int64_t> crashesOf(const std::vector<std::unique_ptr<Crashable>> &replicas);

} // namespace review

#endif // REVIEW_SUPPORT_CRASHABLE_H
