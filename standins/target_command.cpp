#include "commands.hpp"
#include "journal.hpp"
#include "signals.hpp"
#include "target_server.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <sstream>

namespace standins {

namespace {

namespace json = boost::json;

constexpr int badRequest = 400;
constexpr int usageError = 2;
constexpr const char *jsonType = "application/json";

using target_list = std::vector<std::unique_ptr<target_server>>;

/// Parses `port,service,slots,agenthost:agentport`.
/// @return Nothing when a part is missing or a number is malformed.
std::optional<target_options> parseTarget(const std::string &text)
{
    std::istringstream stream{text};
    std::array<std::string, 4> parts;
    for (auto &part : parts) {
        if (!std::getline(stream, part, ',')) {
            return std::nullopt;
        }
    }
    try {
        target_options options;
        options.port = std::stoi(parts[0]);
        options.service = parts[1];
        options.slots = static_cast<unsigned>(std::stoul(parts[2]));
        options.agent = parts[3];
        return options;
    } catch (const std::logic_error &) { // not a number, or out of range
        return std::nullopt;
    }
}

void readMember(const json::object &object, const char *key, bool &out)
{
    const auto *value = object.if_contains(key);
    out = value != nullptr && value->is_bool() ? value->get_bool() : out;
}

void readMember(const json::object &object, const char *key, double &out)
{
    const auto *value = object.if_contains(key);
    out = value != nullptr && value->is_number() ? value->to_number<double>() : out;
}

void readMember(const json::object &object, const char *key, std::chrono::milliseconds &out)
{
    const auto *value = object.if_contains(key);
    out = value != nullptr && value->is_int64() ? std::chrono::milliseconds{value->get_int64()}
                                                : out;
}

/// Applies the keys of a change to a behaviour; keys that are missing or malformed change nothing.
target_behaviour withChanges(target_behaviour behaviour, const json::object &change)
{
    readMember(change, "run_ms_min", behaviour.shortestRun);
    readMember(change, "run_ms_max", behaviour.longestRun);
    readMember(change, "straggler_factor", behaviour.stragglerFactor);
    readMember(change, "straggler_probability", behaviour.stragglerProbability);
    readMember(change, "fail_all", behaviour.failAll);
    readMember(change, "refuse_all", behaviour.refuseAll);
    readMember(change, "echo", behaviour.echo);
    behaviour.longestRun = std::max(behaviour.shortestRun, behaviour.longestRun);
    behaviour.stragglerProbability = std::clamp(behaviour.stragglerProbability, 0.0, 1.0);
    return behaviour;
}

/// Handles PUT /admin/behaviour. The body has the keys of withChanges(), and "port" to select one
/// target; without it, the change applies to all targets.
void serveBehaviour(const target_list &targets, const httplib::Request &request,
                    httplib::Response &response)
{
    json::error_code error;
    const auto body = json::parse(request.body, error);
    if (error || !body.is_object()) {
        response.status = badRequest;
        return;
    }
    const auto &change = body.get_object();
    const auto *port = change.if_contains("port");
    for (const auto &target : targets) {
        if (port == nullptr || *port == target->port()) {
            target->setBehaviour(withChanges(target->behaviour(), change));
        }
    }
}

/// Handles GET /admin/journal; `?entries=false` omits the list of starts.
void serveJournal(journal &starts, const target_list &targets, const httplib::Request &request,
                  httplib::Response &response)
{
    auto result = starts.dump(request.get_param_value("entries") != "false");
    json::array list;
    for (const auto &target : targets) {
        list.push_back(json::object{{"port", target->port()},
                                    {"slots", target->slots()},
                                    {"most_running", target->mostRunning()}});
    }
    result["targets"] = std::move(list);
    response.set_content(json::serialize(result), jsonType);
}

/// The targets of one process, and the server through which tests control them.
class target_process
{
public:
    target_process(const std::string &label, const std::string &file)
        : m_journal{label, file}
    {
        m_admin.Put("/admin/behaviour", [this](const auto &request, auto &response) {
            serveBehaviour(m_targets, request, response);
        });
        m_admin.Get("/admin/journal", [this](const auto &request, auto &response) {
            serveJournal(m_journal, m_targets, request, response);
        });
    }

    bool start(const std::vector<target_options> &targets, const target_behaviour &behaviour,
               int adminPort)
    {
        for (const auto &options : targets) {
            m_targets.push_back(std::make_unique<target_server>(options, behaviour, m_journal));
            if (m_targets.back()->start() == 0) {
                std::fprintf(stderr, "standins target: cannot bind port %d\n", options.port);
                return false;
            }
        }
        if (!m_admin.bind_to_port("127.0.0.1", adminPort)) {
            std::fprintf(stderr, "standins target: cannot bind port %d\n", adminPort);
            return false;
        }
        m_adminThread = std::thread{[this] { m_admin.listen_after_bind(); }};
        return true;
    }

    /// Stops all targets in parallel, since each one may wait for its running tasks.
    void stop()
    {
        std::vector<std::thread> stopping;
        for (const auto &target : m_targets) {
            stopping.emplace_back([&target] { target->stop(); });
        }
        for (auto &thread : stopping) {
            thread.join();
        }
        m_admin.stop();
        m_adminThread.join();
    }

private:
    journal m_journal;
    target_list m_targets;
    httplib::Server m_admin;
    std::thread m_adminThread;
};

} // namespace

int targetCommand(int argc, char **argv)
{
    TCLAP::CmdLine line{"Stand-in of targets, which runs tasks by sleeping", ' ', "1"};
    const TCLAP::MultiArg<std::string> targetArg{"",
                                                 "target",
                                                 "a target to serve; may be repeated",
                                                 true,
                                                 "port,service,slots,agenthost:agentport",
                                                 line};
    const TCLAP::ValueArg<int> adminPort{"",     "admin-port", "port of the admin server", true, 0,
                                         "port", line};
    const TCLAP::ValueArg<std::string> label{
            "", "label", "label of this process in the journal", false, "-", "text", line};
    const TCLAP::ValueArg<std::string> file{
            "",     "journal", "file to which each task start is appended as a line", false, "",
            "file", line};
    const TCLAP::ValueArg<std::string> behaviourArg{
            "", "behaviour", "JSON as for PUT /admin/behaviour", false, "{}", "json", line};
    const TCLAP::ValueArg<std::uint64_t> seed{
            "", "seed", "seed of the random run times", false, 1, "number", line};
    line.parse(argc, argv);
    std::vector<target_options> targets;
    for (const auto &text : targetArg.getValue()) {
        auto options = parseTarget(text);
        if (!options) {
            std::fprintf(stderr, "standins target: malformed --target %s\n", text.c_str());
            return usageError;
        }
        options->seed = seed.getValue() + targets.size();
        targets.push_back(*options);
    }
    json::error_code error;
    const auto change = json::parse(behaviourArg.getValue(), error);
    if (error || !change.is_object()) {
        std::fprintf(stderr, "standins target: --behaviour is not a JSON object\n");
        return usageError;
    }
    const auto signals = blockStopSignals();
    target_process process{label.getValue(), file.getValue()};
    if (!process.start(targets, withChanges({}, change.get_object()), adminPort.getValue())) {
        return 1;
    }
    waitForStopSignal(signals);
    process.stop();
    return 0;
}

} // namespace standins
