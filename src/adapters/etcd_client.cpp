#include "bamboohead/detail/config/backoff.hpp"
#include "bamboohead/store_client.hpp"

#include "etcd_messages.hpp"

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

namespace bamboohead {

namespace {

using steady = std::chrono::steady_clock;

/// Size limit of a response; a value of 1 MB in base64 fits with room to spare.
constexpr std::size_t maxResponseBytes = std::size_t{4} << 20U;
/// Time without received bytes after which a watch is reopened, in case its connection is dead.
constexpr std::chrono::seconds watchIdleLimit{60};
/// Interval of the calls that interrupt a watch on a stop request.
constexpr std::chrono::milliseconds stopPollInterval{5};
constexpr int httpOk = 200;

constexpr std::array<std::string_view, store_counters::requestKinds> callNames{"read", "write",
                                                                               "watch"};
constexpr std::array<std::string_view, store_counters::results> resultNames{
        "ok", "conflict", "unavailable", "unknown"};

/// Outcome of one HTTP exchange.
enum class exchange_outcome : std::uint8_t {
    answered, ///< status 200
    rejected, ///< the status shows that the store did not process the request
    not_sent, ///< no connection could be made
    unknown,  ///< the request may have been sent; no usable response arrived
};

/// One HTTP request and its response.
struct exchange
{
    exchange_outcome outcome = exchange_outcome::not_sent;
    std::string body;
    std::string detail; ///< reason of a failure, for operators
};

/// Whether this HTTP status proves that the gateway did not process the request. After other
/// statuses, such as 503 when the servers that replicate the store did not agree on the write in
/// time, a write may still take effect.
bool provesNotProcessed(int status)
{
    constexpr std::array statuses{400, 401, 403, 404, 413, 429};
    return std::ranges::find(statuses, status) != statuses.end();
}

exchange classify(const httplib::Result &result, std::string body)
{
    exchange out;
    out.body = std::move(body);
    if (!result) {
        const bool unsent = result.error() == httplib::Error::Connection ||
                            result.error() == httplib::Error::ConnectionTimeout;
        out.outcome = unsent ? exchange_outcome::not_sent : exchange_outcome::unknown;
        out.detail = httplib::to_string(result.error());
    } else if (result->status == httpOk) {
        out.outcome = exchange_outcome::answered;
    } else {
        out.outcome = provesNotProcessed(result->status) ? exchange_outcome::rejected
                                                         : exchange_outcome::unknown;
        out.detail = "HTTP status " + std::to_string(result->status);
    }
    return out;
}

httplib::Request postRequest(std::string path, std::string body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers.emplace("Content-Type", "application/json");
    return request;
}

class etcd_client final : public store_client
{
public:
    explicit etcd_client(store_options options)
        : m_options{std::move(options)}
        , m_backoff{m_options.firstBackoff, m_options.maxBackoff, m_options.seed}
    {}

    store_result<store_value> read(std::string_view key) override
    {
        const auto body = detail::rangeRequest(key);
        const auto done = [](const exchange &response) {
            return response.outcome == exchange_outcome::answered &&
                   detail::parseRangeResponse(response.body);
        };
        const auto response = call(store_request_kind::read, "/v3/kv/range", body, done);
        auto value = response.outcome == exchange_outcome::answered
                             ? detail::parseRangeResponse(response.body)
                             : std::nullopt;
        if (!value) {
            return store_error{error_kind::store_unavailable, describe(response)};
        }
        return std::move(*value);
    }

    store_result<store_revision> compareAndSwap(std::string_view key, store_revision expected,
                                                std::string_view text) override
    {
        const auto body = detail::swapRequest(key, expected, text);
        // A write that may have been sent is not repeated: if it succeeded, the repetition would
        // report a conflict.
        const auto done = [](const exchange &response) {
            return response.outcome != exchange_outcome::not_sent;
        };
        const auto response = call(store_request_kind::write, "/v3/kv/txn", body, done);
        if (response.outcome == exchange_outcome::not_sent ||
            response.outcome == exchange_outcome::rejected) {
            return store_error{error_kind::store_unavailable, describe(response)};
        }
        const auto swap = response.outcome == exchange_outcome::answered
                                  ? detail::parseSwapResponse(response.body)
                                  : std::nullopt;
        if (!swap) {
            return store_error{error_kind::store_outcome_unknown, describe(response)};
        }
        if (!swap->succeeded) {
            return store_error{error_kind::manifest_conflict, "the key has another revision"};
        }
        return swap->revision;
    }

    store_error watch(std::string_view key, const watch_listener &listener,
                      std::stop_token stop) override
    {
        if (m_options.endpoints.empty()) {
            return noEndpoint();
        }
        const auto index = m_preferredEndpoint.load() % m_options.endpoints.size();
        httplib::Client client{"http://" + m_options.endpoints[index]};
        configure(client, m_options.attemptTimeout);
        client.set_read_timeout(watchIdleLimit);
        auto request = postRequest("/v3/watch", detail::watchRequest(key));
        std::string buffer;
        request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
            buffer.append(data, size);
            return !stop.stop_requested() && processLines(buffer, listener);
        };
        const auto ended = sendStoppable(client, request, stop);
        count(store_request_kind::watch, ended.outcome == exchange_outcome::answered
                                                 ? store_request_result::ok
                                                 : store_request_result::unavailable);
        if (!stop.stop_requested()) {
            m_preferredEndpoint.store(index + 1);
        }
        return store_error{error_kind::store_unavailable, describe(ended)};
    }

    [[nodiscard]] store_counters counters() const override
    {
        const std::lock_guard lock{m_mutex};
        return m_counters;
    }

private:
    /// Sends a request to the endpoints in turn until `done` accepts an exchange, or until the time
    /// or the number of rounds of the call is exhausted.
    /// @return The last exchange.
    template <typename Done>
    exchange call(store_request_kind kind, const std::string &path, const std::string &body,
                  const Done &done)
    {
        const auto deadline = steady::now() + m_options.callTimeout;
        exchange last;
        last.detail = "no endpoint is configured, or none responded in time";
        for (std::uint32_t round = 0; round < m_options.maxRounds; ++round) {
            if (round > 0) {
                pause(deadline);
            }
            for (std::size_t i = 0; i < m_options.endpoints.size(); ++i) {
                const auto index = m_preferredEndpoint.load() % m_options.endpoints.size();
                const auto left = std::chrono::duration_cast<duration>(deadline - steady::now());
                if (left <= duration::zero()) {
                    return last;
                }
                last = attempt(index, path, body, std::min(left, m_options.attemptTimeout));
                count(kind, resultOf(kind, last));
                if (done(last)) {
                    resetBackoff();
                    return last;
                }
                m_preferredEndpoint.store(index + 1);
            }
        }
        return last;
    }

    /// Performs one exchange, which ends after about `timeout` even when the store sends its
    /// response byte by byte.
    exchange attempt(std::size_t index, const std::string &path, const std::string &body,
                     duration timeout)
    {
        const auto deadline = steady::now() + timeout;
        httplib::Client client{"http://" + m_options.endpoints[index]};
        configure(client, timeout);
        auto request = postRequest(path, body);
        std::string response;
        request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
            response.append(data, size);
            return response.size() <= maxResponseBytes && steady::now() < deadline;
        };
        const auto result = client.send(request);
        return classify(result, std::move(response));
    }

    /// Sets the time-outs of connecting, of writing and of each read, which add up to `timeout` for
    /// a response that is read at once. attempt() also limits the sum of the reads, and watch()
    /// replaces the read time-out by watchIdleLimit.
    static void configure(httplib::Client &client, duration timeout)
    {
        client.set_connection_timeout(timeout / 4);
        client.set_write_timeout(timeout / 4);
        client.set_read_timeout(timeout / 2);
    }

    /// Performs an exchange that a stop request interrupts. Client::stop() has no effect before the
    /// request is in flight, so it is repeated until the exchange has ended.
    static exchange sendStoppable(httplib::Client &client, const httplib::Request &request,
                                  const std::stop_token &stop)
    {
        std::atomic<bool> ended = false;
        const std::stop_callback interrupt{stop, [&] {
                                               while (!ended) {
                                                   client.stop();
                                                   std::this_thread::sleep_for(stopPollInterval);
                                               }
                                           }};
        const auto result = client.send(request);
        ended = true;
        return classify(result, {});
    }

    /// Passes the complete lines of a watch stream to the listener and removes them from `buffer`.
    /// @return False when the watch has to end: a line is malformed or too long, or the store ended
    ///         the watch.
    static bool processLines(std::string &buffer, const watch_listener &listener)
    {
        for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n')) {
            const auto line = buffer.substr(0, end);
            buffer.erase(0, end + 1);
            const auto response = detail::parseWatchLine(line);
            if (!response) {
                return false;
            }
            for (const auto &value : response->values) {
                listener(value);
            }
            if (response->ended) {
                return false;
            }
        }
        return buffer.size() <= maxResponseBytes;
    }

    /// Waits for the next backoff delay, but not beyond the deadline.
    void pause(steady::time_point deadline)
    {
        duration delay{};
        {
            const std::lock_guard lock{m_mutex};
            delay = m_backoff.next();
        }
        std::this_thread::sleep_until(std::min(steady::now() + delay, deadline));
    }

    void resetBackoff()
    {
        const std::lock_guard lock{m_mutex};
        m_backoff.reset();
    }

    static store_request_result resultOf(store_request_kind kind, const exchange &response)
    {
        if (response.outcome == exchange_outcome::answered) {
            const auto swap = kind == store_request_kind::write
                                      ? detail::parseSwapResponse(response.body)
                                      : std::nullopt;
            return swap && !swap->succeeded ? store_request_result::conflict
                                            : store_request_result::ok;
        }
        const bool mayHaveWritten =
                kind == store_request_kind::write && response.outcome == exchange_outcome::unknown;
        return mayHaveWritten ? store_request_result::unknown : store_request_result::unavailable;
    }

    void count(store_request_kind kind, store_request_result result)
    {
        const std::lock_guard lock{m_mutex};
        ++m_counters.counts.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(result));
    }

    static std::string describe(const exchange &response)
    {
        return response.outcome == exchange_outcome::answered
                       ? "the response is malformed or the watch ended"
                       : response.detail;
    }

    static store_error noEndpoint()
    {
        return store_error{error_kind::store_unavailable, "no endpoint is configured"};
    }

    store_options m_options;
    std::atomic<std::size_t> m_preferredEndpoint = 0;
    mutable std::mutex m_mutex;
    detail::backoff m_backoff;
    store_counters m_counters;
};

} // namespace

std::string_view toText(store_request_kind call) noexcept
{
    return callNames.at(static_cast<std::size_t>(call));
}

std::string_view toText(store_request_result result) noexcept
{
    return resultNames.at(static_cast<std::size_t>(result));
}

std::unique_ptr<store_client> makeEtcdClient(store_options options)
{
    return std::make_unique<etcd_client>(std::move(options));
}

} // namespace bamboohead
