#include "crashable.h"

#include <algorithm>

namespace review
{

namespace
{

constexpr std::chrono::milliseconds step {5};

} // namespace

Crashable::Crashable(Store &store, Record &record, std::string id, std::string service, int slots,
                     CrashableHandler handler)
    : m_store(store)
    , m_record(record)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_slots(slots)
    , m_handler(std::move(handler))
{
    start();
}

void Crashable::start()
{
    m_hasCrashed = false;
    ++m_starts;
    const auto handler = [this](Connection &connection, const Message &request) {
        if (m_hasCrashed || !m_handler(*this, connection, request)) {
            connection.reset();
            return false;
        }
        return true;
    };
    m_replica = std::make_unique<Replica>(m_store, m_id, m_service, "z1", m_slots, handler, m_port);
    const std::string &address = m_replica->address();
    m_port = std::stoi(address.substr(address.rfind(':') + 1));
}

bool Crashable::crash(const std::string &cause, std::chrono::milliseconds downTime)
{
    const std::lock_guard lock(m_mutex);
    if (m_hasCrashed) {
        return false;
    }
    m_downMs = downTime.count();
    m_hasCrashed = true;
    m_replica->stopListening();
    m_crashes.push_back(m_record.now());
    m_record.add(m_id + " crashes: " + cause);
    return true;
}

bool Crashable::work(std::chrono::milliseconds time) const
{
    for (auto done = step; done <= time && !m_hasCrashed; done += step) {
        std::this_thread::sleep_for(step);
    }
    return !m_hasCrashed;
}

void Crashable::run()
{
    if (m_hasCrashed && m_replica) {
        m_replica.reset();
        m_backAt = m_record.now() + m_downMs;
    }
    if (!m_replica && m_record.now() >= m_backAt) {
        start();
    }
}

std::vector<int64_t> Crashable::crashes()
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

Runner::Runner(std::vector<std::unique_ptr<Crashable>> &replicas)
    : m_thread([this, &replicas] {
        while (!m_isEnding) {
            for (const auto &replica : replicas) {
                replica->run();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    })
{
}

Runner::~Runner()
{
    m_isEnding = true;
    m_thread.join();
}

std::vector<int64_t> crashesOf(const std::vector<std::unique_ptr<Crashable>> &replicas)
{
    std::vector<int64_t> all;
    for (const auto &replica : replicas) {
        const std::vector<int64_t> own = replica->crashes();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end());
    return all;
}

} // namespace review
