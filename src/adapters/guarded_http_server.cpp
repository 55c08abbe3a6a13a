#include "bamboohead/guarded_http_server.hpp"

#include "bamboohead/clock.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <string_view>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t readBufferBytes = 4'096;
/// Multiple of the largest content that a request may have on the wire. A chunk of one byte takes
/// six bytes.
constexpr std::size_t wireFactor = 8;
/// The library's strings may have twice the capacity of their content.
constexpr std::size_t memoryFactor = 2;
constexpr auto stopCheckInterval = 100ms; ///< between checks for a stop while no request arrives

/// Set while the thread handles a connection that is to be closed at once.
thread_local bool refusesConnection = false;

bool waitFor(socket_t socket, short events, std::chrono::milliseconds timeout)
{
    pollfd watched{socket, events, 0};
    const auto limit = std::chrono::steady_clock::now() + timeout;
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
                limit - std::chrono::steady_clock::now());
        const auto ready = poll(&watched, 1, static_cast<int>(std::max(0ms, left).count()));
        if (ready >= 0 || errno != EINTR) {
            return ready > 0;
        }
    }
}

std::chrono::milliseconds toTimeout(time_t seconds, time_t microseconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::seconds{seconds} + std::chrono::microseconds{microseconds});
}

} // namespace

/// Stream of a connection that ends when a request exceeds a limit. The library reads lines byte by
/// byte and content in larger parts.
class guarded_http_server::guarded_stream final : public httplib::Stream
{
public:
    guarded_stream(guarded_http_server &server, socket_t socket)
        : m_server{server}
        , m_socket{socket}
    {}
    ~guarded_stream() override { m_server.release(m_socket); }
    guarded_stream(const guarded_stream &) = delete;
    guarded_stream &operator=(const guarded_stream &) = delete;

    /// Waits for the first byte of the next request.
    /// @return False when none has arrived within the timeout or the server stops.
    bool awaitRequest()
    {
        const auto limit = std::chrono::steady_clock::now() +
                           std::chrono::seconds{m_server.keep_alive_timeout_sec_};
        while (m_begin == m_end && std::chrono::steady_clock::now() < limit) {
            if (m_server.svr_sock_ == INVALID_SOCKET) {
                return false;
            }
            if (waitFor(m_socket, POLLIN, stopCheckInterval)) {
                break;
            }
        }
        m_lineBytes = m_wireBytes = m_contentBytes = 0;
        m_readsHeader = true;
        m_requestLimit = std::chrono::steady_clock::now() + m_server.m_limits.receiveTimeout;
        return m_begin != m_end || waitFor(m_socket, POLLIN, 0ms);
    }

    /// The request was answered or has failed.
    void endRequest() { m_server.release(m_socket); }

    bool is_readable() const override
    {
        return m_begin != m_end ||
               waitFor(m_socket, POLLIN,
                       toTimeout(m_server.read_timeout_sec_, m_server.read_timeout_usec_));
    }

    bool is_writable() const override
    {
        return waitFor(m_socket, POLLOUT,
                       toTimeout(m_server.write_timeout_sec_, m_server.write_timeout_usec_));
    }

    ssize_t read(char *out, std::size_t size) override
    {
        if (m_begin == m_end && !fill()) {
            return -1;
        }
        const auto count = std::min(size, m_end - m_begin);
        std::copy_n(m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin), count, out);
        m_begin += count;
        return countBytes({out, count}, size == 1) ? static_cast<ssize_t>(count) : -1;
    }

    ssize_t write(const char *data, std::size_t size) override
    {
        if (!is_writable()) {
            return -1;
        }
        ssize_t sent = 0;
        do {
            sent = send(m_socket, data, size, MSG_NOSIGNAL);
        } while (sent < 0 && errno == EINTR);
        return sent;
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        ip.clear(); // no handler uses it
        port = 0;
    }

    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        ip.clear();
        port = 0;
    }

    socket_t socket() const override { return m_socket; }

private:
    /// Reads what has arrived.
    bool fill()
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
                m_requestLimit - std::chrono::steady_clock::now());
        const auto timeout =
                std::min(toTimeout(m_server.read_timeout_sec_, m_server.read_timeout_usec_), left);
        // Only a request that is being received may have to end. One that is being handled is
        // complete.
        m_server.hold(m_socket, memory(), /*removable=*/true);
        const bool ready = left > 0ms && waitFor(m_socket, POLLIN, timeout);
        m_server.hold(m_socket, memory(), /*removable=*/false);
        if (!ready) {
            return false;
        }
        ssize_t count = 0;
        do {
            count = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        } while (count < 0 && errno == EINTR);
        m_begin = 0;
        m_end = static_cast<std::size_t>(std::max<ssize_t>(0, count));
        return count > 0;
    }

    /// Memory that the request takes after the next read.
    std::size_t memory() const { return (m_wireBytes + readBufferBytes) * memoryFactor; }

    /// Counts bytes that the library has read against the limits.
    /// @param ofLine Whether they were read as a part of a line.
    /// @return False when a limit is exceeded.
    bool countBytes(std::string_view bytes, bool ofLine)
    {
        const auto &limits = m_server.m_limits;
        m_wireBytes += bytes.size();
        if (!ofLine) {
            m_contentBytes += bytes.size();
        } else if (bytes.front() == '\n') {
            // An empty line ends the header.
            m_readsHeader = m_readsHeader && m_lineBytes > 1;
            m_lineBytes = 0;
        } else {
            ++m_lineBytes;
        }
        if (m_lineBytes > limits.maxHeaderBytes || m_contentBytes > limits.maxBodyBytes ||
            m_wireBytes > (m_readsHeader
                                   ? limits.maxHeaderBytes
                                   : limits.maxHeaderBytes + wireFactor * limits.maxBodyBytes)) {
            return false;
        }
        return true;
    }

    guarded_http_server &m_server;
    socket_t m_socket;
    std::array<char, readBufferBytes> m_buffer{};
    std::size_t m_begin = 0; ///< first byte of the buffer that the library has not read
    std::size_t m_end = 0;   ///< end of the bytes in the buffer
    bool m_readsHeader = true;
    std::size_t m_lineBytes = 0;    ///< of the line that is being read
    std::size_t m_wireBytes = 0;    ///< of the request
    std::size_t m_contentBytes = 0; ///< of the request
    std::chrono::steady_clock::time_point m_requestLimit;
};

/// Thread pool that closes the connections for which too many others wait already.
class guarded_http_server::bounded_queue final : public httplib::ThreadPool
{
public:
    bounded_queue(std::size_t threads, std::size_t maxWaiting)
        : ThreadPool{threads}
        , m_maxWaiting{maxWaiting}
    {}

    void enqueue(std::function<void()> handleConnection) override
    {
        if (m_waiting >= m_maxWaiting) {
            refusesConnection = true;
            handleConnection();
            refusesConnection = false;
            return;
        }
        ++m_waiting;
        ThreadPool::enqueue([this, handle = std::move(handleConnection)] {
            --m_waiting;
            handle();
        });
    }

private:
    std::size_t m_maxWaiting;
    std::atomic<std::size_t> m_waiting{0};
};

guarded_http_server::guarded_http_server(guarded_http_limits limits)
    : m_limits{limits}
    , m_budget{limits.maxUnfinishedBytes}
{
    set_payload_max_length(limits.maxBodyBytes);
    // The library takes ownership of the queue and deletes it.
    new_task_queue = [limits] {
        return new bounded_queue{limits.threads, limits.maxWaitingConnections};
    };
}

bool guarded_http_server::process_and_close_socket(socket_t socket)
{
    bool answered = true;
    if (!refusesConnection) {
        guarded_stream stream{*this, socket};
        bool closed = false;
        for (auto left = keep_alive_max_count_;
             left > 0 && answered && !closed && stream.awaitRequest(); --left) {
            answered = process_request(stream, left == 1, closed, nullptr);
            stream.endRequest();
        }
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return answered;
}

void guarded_http_server::hold(socket_t socket, std::size_t bytes, bool removable)
{
    const auto now = steady_clock_source{}.now();
    const std::lock_guard lock{m_mutex};
    m_budget.hold(static_cast<std::uint64_t>(socket), bytes, removable, now);
    for (const auto chosen : m_budget.chooseExcess(0, now)) {
        shutdown(static_cast<socket_t>(chosen), SHUT_RDWR);
        m_budget.release(chosen);
    }
}

void guarded_http_server::release(socket_t socket)
{
    const std::lock_guard lock{m_mutex};
    m_budget.release(static_cast<std::uint64_t>(socket));
}

} // namespace bamboohead
