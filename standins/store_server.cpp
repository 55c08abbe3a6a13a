#include "store_server.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace standins {

namespace {

namespace json = boost::json;

constexpr std::size_t serverThreads = 128; ///< each open watch occupies one thread
constexpr int badRequest = 400;
constexpr int unavailable = 503;
/// Interval at which an idle watch checks for a changed fault and for a disconnected client.
constexpr std::chrono::milliseconds watchPollInterval{50};
/// Interval at which start() checks whether the server is running.
constexpr std::chrono::milliseconds startPollInterval{1};
constexpr const char *jsonType = "application/json";
/// Names of the store_fault values, in their order.
constexpr std::array<std::string_view, 4> faultNames{"ok", "down", "slow", "lost_answer"};

std::optional<json::object> parseBody(const httplib::Request &request)
{
    json::error_code error;
    auto value = json::parse(request.body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return value.get_object();
}

std::string text(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : "";
}

/// Sends status 200 and the headers and closes the connection before the body, so that the client
/// doesn't learn the outcome.
void dropResponse(httplib::Response &response)
{
    response.set_content_provider(
            1, jsonType, [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

void respondUnavailable(httplib::Response &response)
{
    response.status = unavailable;
    response.set_content(R"({"error":"store stand-in is down","code":14})", jsonType);
}

} // namespace

store_server::store_server()
{
    m_server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    registerHandlers();
}

store_server::~store_server()
{
    stop();
}

int store_server::start(int port)
{
    const bool any = port == 0;
    const int bound = any ? m_server.bind_to_any_port("127.0.0.1") : port;
    if (bound <= 0 || (!any && !m_server.bind_to_port("127.0.0.1", port))) {
        return 0;
    }
    m_serverThread = std::thread{[this] { m_server.listen_after_bind(); }};
    // Server::stop() has no effect until the server is running.
    while (!m_server.is_running()) {
        std::this_thread::sleep_for(startPollInterval);
    }
    return bound;
}

void store_server::stop()
{
    {
        const std::lock_guard lock{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
    if (m_serverThread.joinable()) {
        m_serverThread.join();
    }
}

void store_server::setFault(store_fault mode, std::chrono::milliseconds delay, std::uint64_t count)
{
    const std::lock_guard lock{m_mutex};
    m_fault = mode;
    m_delay = delay;
    m_remainingFaults = count;
    m_changed.notify_all();
}

std::uint64_t store_server::calls(const std::string &kind)
{
    const std::lock_guard lock{m_mutex};
    return m_counters[kind];
}

void store_server::registerHandlers()
{
    m_server.Post("/v3/kv/range", [this](const auto &request, auto &response) {
        serve(request, response, &store_server::range);
    });
    m_server.Post("/v3/kv/txn", [this](const auto &request, auto &response) {
        serve(request, response, &store_server::txn);
    });
    m_server.Post("/v3/watch",
                  [this](const auto &request, auto &response) { serveWatch(request, response); });
    m_server.Put("/admin/fault",
                 [this](const auto &request, auto &response) { serveFault(request, response); });
    m_server.Get("/admin/counters", [this](const auto &, auto &response) {
        const std::lock_guard lock{m_mutex};
        response.set_content(json::serialize(json::value_from(m_counters)), jsonType);
    });
}

template <typename Handler>
void store_server::serve(const httplib::Request &request, httplib::Response &response,
                         Handler handler)
{
    const auto body = parseBody(request);
    if (!body) {
        response.status = badRequest;
        return;
    }
    const auto fault = consumeFault();
    if (fault == store_fault::slow) {
        std::this_thread::sleep_for(m_delay);
    }
    const std::lock_guard lock{m_mutex};
    ++m_counters[request.path.substr(request.path.rfind('/') + 1)];
    if (fault == store_fault::down) {
        respondUnavailable(response);
        return;
    }
    const auto answer = (this->*handler)(*body);
    if (fault == store_fault::lost_answer) {
        dropResponse(response);
    } else {
        response.set_content(answer, jsonType);
    }
}

store_fault store_server::consumeFault()
{
    const std::lock_guard lock{m_mutex};
    const auto fault = m_fault;
    if (m_remainingFaults > 0 && --m_remainingFaults == 0) {
        m_fault = store_fault::ok;
    }
    return fault;
}

void store_server::serveWatch(const httplib::Request &request, httplib::Response &response)
{
    const auto body = parseBody(request);
    const auto *create = body ? body->if_contains("create_request") : nullptr;
    if (create == nullptr || !create->is_object()) {
        response.status = badRequest;
        return;
    }
    const std::lock_guard lock{m_mutex};
    ++m_counters["watch"];
    if (m_fault == store_fault::down) {
        respondUnavailable(response);
        return;
    }
    const auto created =
            json::object{{"result", json::object{{"header", header()}, {"created", true}}}};
    auto pending = json::serialize(created) + "\n";
    response.set_chunked_content_provider(
            jsonType, [this, key = text(create->get_object(), "key"), position = m_changes.size(),
                       pending](std::size_t, httplib::DataSink &sink) mutable {
                std::unique_lock providerLock{m_mutex};
                if (pending.empty()) {
                    m_changed.wait_for(providerLock, watchPollInterval);
                    pending = changesSince(position, key);
                }
                if (m_stopping || m_fault == store_fault::down || !sink.is_writable()) {
                    return false;
                }
                providerLock.unlock();
                const auto lines = std::exchange(pending, {});
                return lines.empty() || sink.write(lines.data(), lines.size());
            });
}

void store_server::serveFault(const httplib::Request &request, httplib::Response &response)
{
    const auto body = parseBody(request);
    const auto name = body ? text(*body, "mode") : "";
    const auto found = std::find(faultNames.begin(), faultNames.end(), name);
    if (found == faultNames.end()) {
        response.status = badRequest;
        return;
    }
    const auto number = [&body](const char *key) {
        const auto *value = body->if_contains(key);
        return value != nullptr && value->is_int64() ? value->get_int64() : 0;
    };
    setFault(static_cast<store_fault>(found - faultNames.begin()),
             std::chrono::milliseconds{number("delay_ms")},
             static_cast<std::uint64_t>(number("count")));
}

std::string store_server::range(const json::object &request)
{
    const auto key = text(request, "key");
    json::object answer{{"header", header()}};
    const auto found = m_values.find(key);
    if (found != m_values.end()) {
        answer["kvs"] = json::array{encodeKeyValue(key, found->second)};
        answer["count"] = "1";
    }
    return json::serialize(answer);
}

std::string store_server::txn(const json::object &request)
{
    bool succeeded = true;
    for (const auto &compare : request.at("compare").as_array()) {
        succeeded = succeeded && compareSucceeds(compare.as_object());
    }
    if (!succeeded) {
        return json::serialize(json::object{{"header", header()}});
    }
    for (const auto &operation : request.at("success").as_array()) {
        put(operation.as_object().at("request_put").as_object());
    }
    const json::object putResponse{{"response_put", json::object{{"header", header()}}}};
    return json::serialize(json::object{
            {"header", header()}, {"succeeded", true}, {"responses", json::array{putResponse}}});
}

bool store_server::compareSucceeds(const json::object &compare) const
{
    const auto found = m_values.find(text(compare, "key"));
    const auto value = found == m_values.end() ? stored_value{} : found->second;
    if (text(compare, "target") == "CREATE") {
        return text(compare, "create_revision") == std::to_string(value.created);
    }
    return text(compare, "target") == "MOD" &&
           text(compare, "mod_revision") == std::to_string(value.modified);
}

void store_server::put(const json::object &request)
{
    const auto key = text(request, "key");
    auto &value = m_values[key];
    value.modified = ++m_revision;
    value.created = value.created == 0 ? m_revision : value.created;
    ++value.version;
    value.text = text(request, "value");
    m_changes.push_back(change{key, value});
    m_changed.notify_all();
}

json::object store_server::header() const
{
    return json::object{{"cluster_id", "1"},
                        {"member_id", "1"},
                        {"revision", std::to_string(m_revision)},
                        {"raft_term", "1"}};
}

json::object store_server::encodeKeyValue(const std::string &key, const stored_value &value)
{
    return json::object{{"key", key},
                        {"create_revision", std::to_string(value.created)},
                        {"mod_revision", std::to_string(value.modified)},
                        {"version", std::to_string(value.version)},
                        {"value", value.text}};
}

std::string store_server::changesSince(std::size_t &position, const std::string &key) const
{
    std::string lines;
    for (; position < m_changes.size(); ++position) {
        const auto &changed = m_changes[position];
        if (changed.key == key) {
            const json::object event{{"kv", encodeKeyValue(changed.key, changed.value)}};
            const json::object result{{"header", header()}, {"events", json::array{event}}};
            lines += json::serialize(json::object{{"result", result}}) + "\n";
        }
    }
    return lines;
}

} // namespace standins
