#include "manifest_change.hpp"

#include "bamboohead/commands.hpp"
#include "bamboohead/manifest_publish.hpp"
#include "bamboohead/rollout.hpp"
#include "bamboohead/settings.hpp"

#include <httplib.h>

#include <iostream>
#include <random>
#include <set>
#include <thread>

namespace bamboohead {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollInterval{100};
constexpr std::chrono::milliseconds entryTimeout{1000};
/// Attempts at each store endpoint in one store call of an operators' command.
constexpr std::uint32_t operatorRounds = 3;
constexpr int statusOk = 200;
constexpr int maxTimeout = 600'000; ///< milliseconds

httplib::Client entryClient(const std::string &address)
{
    httplib::Client client{"http://" + address};
    client.set_connection_timeout(entryTimeout);
    client.set_read_timeout(entryTimeout);
    client.set_write_timeout(entryTimeout);
    return client;
}

bool pushTo(const std::string &address, const std::string &text, config_version version)
{
    const httplib::Headers headers{
            {"X-Config-Version", std::to_string(static_cast<std::uint64_t>(version))}};
    const auto response =
            entryClient(address).Put("/v1/manifest", headers, text, "application/json");
    return response && response->status == statusOk;
}

rollout readStates(const std::vector<std::string> &entries, config_version version)
{
    rollout progress{version};
    for (const auto &address : entries) {
        const auto response = entryClient(address).Get("/v1/state");
        if (!response || response->status != statusOk ||
            !progress.addState(address, response->body)) {
            progress.addUnreachable(address);
        }
    }
    return progress;
}

void printRollout(const rollout &progress, std::uint64_t version, steady::time_point begin)
{
    const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - begin).count();
    std::cout << "version=" << version << " processes_in_force=" << progress.countInForce()
              << " complete=" << (progress.complete() ? "true" : "false") << " after_ms=" << elapsed
              << "\n";
    for (const auto &line : progress.withoutVersion()) {
        std::cout << "lagging: " << line << "\n";
    }
    for (const auto &line : progress.notAlive()) {
        std::cout
                << "not alive (none of the queried entries receives its messages; an agent starts "
                   "no tasks once it has received nothing from an entry for 4 s, an entry may "
                   "send orders while its configuration is current): "
                << line << "\n";
    }
}

} // namespace

change_arguments::change_arguments(TCLAP::CmdLine &line)
    : m_store{"",   "store", "Addresses of the store's HTTP gateway.",
              true, "",      "HOST:PORT[,HOST:PORT]",
              line}
    , m_entries{"",    "entries", "HTTP addresses of entries to send the manifest to.",
                false, "",        "HOST:PORT[,HOST:PORT]",
                line}
    , m_timeout{"",    "timeout-ms", "Time limit of the write and of the roll-out, each in ms.",
                false, 10'000,       "MS",
                line}
{}

change_options change_arguments::options() const
{
    change_options result;
    result.store = parseAddresses(m_store.getValue());
    if (m_entries.isSet()) {
        result.entries = parseAddresses(m_entries.getValue());
    }
    if (m_timeout.getValue() < 1 || m_timeout.getValue() > maxTimeout) {
        throw TCLAP::CmdLineParseException{"--timeout-ms must be from 1 to 600000"};
    }
    result.timeout = std::chrono::milliseconds{m_timeout.getValue()};
    return result;
}

std::unique_ptr<store_client> makeOperatorClient(const change_options &options)
{
    store_options result;
    result.endpoints = options.store;
    result.maxRounds = operatorRounds;
    result.callTimeout = std::min<duration>(result.callTimeout, options.timeout);
    result.seed = std::random_device{}();
    return makeEtcdClient(result);
}

int changeManifest(store_client &store, const change_options &options, const std::string &text,
                   store_revision expected)
{
    publish_options limits;
    limits.timeout = options.timeout;
    limits.now = [] { return std::chrono::time_point_cast<duration>(steady::now()); };
    limits.pause = [](duration delay) { std::this_thread::sleep_for(delay); };
    const auto result = publishManifest(store, text, expected, limits);
    if (result.error != error_kind::none) {
        return reportStoreError(result.error, result.detail);
    }
    std::cout << "accepted version=" << static_cast<std::uint64_t>(result.version) << std::endl;
    return pushManifest(options, text, result.version);
}

std::variant<store_value, int> readStoredManifest(store_client &store)
{
    auto result = store.read(manifestKey);
    if (const auto *error = std::get_if<store_error>(&result)) {
        return reportStoreError(error->kind, error->detail);
    }
    auto &stored = std::get<store_value>(result);
    if (stored.modified == store_revision::none) {
        std::cerr << "bamboohead: the store holds no manifest\n";
        return exit_failed;
    }
    return std::move(stored);
}

int pushManifest(const change_options &options, const std::string &text, config_version version)
{
    if (options.entries.empty()) {
        return exit_ok;
    }
    const auto begin = steady::now();
    std::set<std::string> pending{options.entries.begin(), options.entries.end()};
    while (true) {
        std::erase_if(pending, [&](const auto &address) { return pushTo(address, text, version); });
        const auto progress = readStates(options.entries, version);
        if (progress.complete() || steady::now() - begin >= options.timeout) {
            printRollout(progress, static_cast<std::uint64_t>(version), begin);
            return progress.complete() ? exit_ok : exit_failed;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

void printFaults(const std::string &source, const std::vector<config_error> &faults)
{
    for (const auto &fault : faults) {
        std::cerr << describeFault(source, fault) << "\n";
    }
}

int reportStoreError(error_kind kind, const std::string &detail)
{
    const auto &row = errorInfo(kind);
    std::cerr << "bamboohead: " << row.name << ": " << row.message << " (" << detail << ")\n";
    if (kind == error_kind::manifest_conflict) {
        std::cerr << "bamboohead: read the manifest again, repeat the change and apply it\n";
        return exit_conflict;
    }
    return kind == error_kind::store_outcome_unknown ? exit_unknown : exit_refused;
}

} // namespace bamboohead
