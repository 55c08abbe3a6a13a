#include "bamboohead/commands.hpp"
#include "bamboohead/detail/load/summary.hpp"
#include "load_client.hpp"
#include "load_monitor.hpp"
#include "manifest_change.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <stop_token>
#include <thread>

namespace bamboohead {

namespace json = boost::json;

using detail::load_run;
using detail::zone_event;
using steady = std::chrono::steady_clock;

namespace {

/// Interval at which the counters of the processes are read.
constexpr std::chrono::seconds sampleInterval{1};
/// Delay between the last answer and the last sample, which also counts the messages that processes
/// exchange after an answer.
constexpr std::chrono::milliseconds settleTime{600};
constexpr std::chrono::milliseconds startDelay{200};

/// Parsed arguments of the command.
struct load_request
{
    std::vector<std::string> entries;
    std::vector<std::string> agents;
    std::string mixFile;
    std::string reportFile;
    detail::load_plan plan;
    /// Set when --store is given; required for zone changes.
    std::optional<change_options> changeOptions;
    std::vector<zone_event> events;
    json::object notes;               ///< copied into the report
    std::vector<std::string> reports; ///< files to summarise; when not empty, nothing is run
};

/// Declares the arguments of the command.
class load_arguments
{
public:
    explicit load_arguments(TCLAP::CmdLine &line)
        : m_line{line}
    {}

    /// @throw TCLAP::CmdLineParseException when a value is malformed.
    [[nodiscard]] load_request request() const;

private:
    using text_argument = TCLAP::ValueArg<std::string>;

    static void addEvents(load_request &request, const std::vector<std::string> &texts, bool out);

    TCLAP::CmdLine &m_line;
    text_argument m_entries{"",    "entries", "HTTP addresses of entries, used in turn.",
                            false, "",        "HOST:PORT[,HOST:PORT]",
                            m_line};
    text_argument m_agents{"",    "agents", "HTTP addresses of agents, to read their counters.",
                           false, "",       "HOST:PORT[,HOST:PORT]",
                           m_line};
    text_argument m_mix{"",     "mix", "JSON file with the classes of jobs.", false, "",
                        "FILE", m_line};
    text_argument m_report{"", "report", "File for the report as JSON.", false, "", "FILE", m_line};
    text_argument m_store{"",    "store", "Addresses of the store, for zone changes.",
                          false, "",      "HOST:PORT[,HOST:PORT]",
                          m_line};
    TCLAP::ValueArg<double> m_load{
            "",    "load", "Offered load as a fraction of each service's capacity, above 0.",
            false, 0.8,    "NUMBER",
            m_line};
    TCLAP::ValueArg<int> m_seconds{
            "", "duration-s", "Duration of the arrivals in seconds.", false, 20, "S", m_line};
    TCLAP::ValueArg<std::uint64_t> m_seed{"",       "seed", "Seed of the arrivals.", false, 1,
                                          "NUMBER", m_line};
    TCLAP::MultiArg<std::string> m_zoneOut{
            "",    "zone-out",    "Take a zone out of service at this second.",
            false, "NAME@SECOND", m_line};
    TCLAP::MultiArg<std::string> m_zoneIn{
            "",    "zone-in",     "Bring a zone back into service at this second.",
            false, "NAME@SECOND", m_line};
    TCLAP::MultiArg<std::string> m_notes{
            "",    "note",      "Text to copy into the report, for example scenario=NAME.",
            false, "KEY=VALUE", m_line};
    TCLAP::MultiArg<std::string> m_summarise{
            "",    "summarise", "Do not run; print a summary of this report in Markdown.",
            false, "FILE",      m_line};
};

void load_arguments::addEvents(load_request &request, const std::vector<std::string> &texts,
                               bool out)
{
    for (const auto &text : texts) {
        const auto at = text.find('@');
        int second = -1;
        if (at != std::string::npos) {
            std::from_chars(text.data() + at + 1, text.data() + text.size(), second);
        }
        if (second < 0) {
            throw TCLAP::CmdLineParseException{text + " is not NAME@SECOND"};
        }
        request.events.push_back({std::chrono::seconds{second}, {}, text.substr(0, at), out});
    }
}

load_request load_arguments::request() const
{
    load_request request;
    request.reports = m_summarise.getValue();
    if (!request.reports.empty()) {
        return request;
    }
    if (!m_entries.isSet() || !m_mix.isSet()) {
        throw TCLAP::CmdLineParseException{"a run requires --entries and --mix"};
    }
    // A note without "=" is accepted: all but its last character becomes the key, with an empty
    // value.
    for (const auto &note : m_notes.getValue()) {
        const auto equals = std::min(note.find('='), note.size() - 1);
        request.notes[note.substr(0, equals)] = note.substr(equals + 1);
    }
    request.entries = parseAddresses(m_entries.getValue());
    if (m_agents.isSet()) {
        request.agents = parseAddresses(m_agents.getValue());
    }
    request.mixFile = m_mix.getValue();
    request.reportFile = m_report.getValue();
    request.plan = {m_load.getValue(), std::chrono::seconds{m_seconds.getValue()},
                    m_seed.getValue()};
    if (request.plan.load <= 0 || m_seconds.getValue() <= 0) {
        throw TCLAP::CmdLineParseException{"--load and --duration-s must be above 0"};
    }
    addEvents(request, m_zoneOut.getValue(), true);
    addEvents(request, m_zoneIn.getValue(), false);
    std::ranges::stable_sort(request.events, {}, &zone_event::at);
    if (m_store.isSet()) {
        request.changeOptions.emplace();
        request.changeOptions->store = parseAddresses(m_store.getValue());
        request.changeOptions->entries = request.entries;
    } else if (!request.events.empty()) {
        throw TCLAP::CmdLineParseException{"zone changes require --store"};
    }
    return request;
}

void sampleUntil(load_monitor &monitor, steady::time_point start, const std::stop_token &stop)
{
    for (auto next = start + sampleInterval; !stop.stop_requested(); next += sampleInterval) {
        std::this_thread::sleep_until(next);
        monitor.sample(start);
    }
}

void changeZones(const load_request &request, std::vector<zone_event> &events,
                 steady::time_point start)
{
    for (auto &event : events) {
        std::this_thread::sleep_until(start + event.at);
        changeZone(*request.changeOptions, event.zone,
                   event.out ? zone_state::out : zone_state::in);
        // The time at which the change ended: it is in force everywhere, timed out or failed. The
        // exit code is not evaluated.
        event.changeEnded = std::chrono::duration_cast<duration>(steady::now() - start);
    }
}

load_run measure(const load_request &request)
{
    load_run run;
    run.mix = detail::parseMix(readFile(request.mixFile));
    run.plan = request.plan;
    run.slots = readSlots(request.entries);
    run.jobs = detail::planArrivals(run.mix, detail::totalSlots(run.slots), run.plan);
    run.events = request.events;
    load_client client{request.entries};
    load_monitor monitor{request.entries, request.agents};
    const auto start = steady::now() + startDelay;
    monitor.sample(start);
    {
        const std::jthread sampling{
                [&](const std::stop_token &stop) { sampleUntil(monitor, start, stop); }};
        const std::jthread changing{[&] { changeZones(request, run.events, start); }};
        run.outcomes = client.run(run.mix, run.jobs, start);
    }
    std::this_thread::sleep_for(settleTime);
    monitor.sample(start);
    run.samples = monitor.takeSamples();
    return run;
}

/// Load average of the machine over the last minute; empty except on Linux.
std::string loadAverage()
{
    std::ifstream file{"/proc/loadavg"};
    std::string minute;
    file >> minute;
    return minute;
}

int runLoad(const load_request &request)
{
    const auto loadBefore = loadAverage();
    const auto run = measure(request);
    auto report = detail::makeReport(run);
    report["mix"] = request.mixFile;
    report["notes"] = request.notes;
    report["machine"] = json::object{{"processors", std::thread::hardware_concurrency()},
                                     {"load_average_before", loadBefore},
                                     {"load_average_after", loadAverage()}};
    std::cout << detail::reportTable(report);
    if (!request.reportFile.empty()) {
        std::ofstream file{request.reportFile};
        file << json::serialize(report) << "\n";
        if (!file.flush()) {
            throw std::runtime_error{request.reportFile + ": cannot be written"};
        }
    }
    return exit_ok;
}

int summarise(const std::vector<std::string> &files)
{
    std::vector<json::object> reports;
    for (const auto &file : files) {
        reports.push_back(json::parse(readFile(file)).as_object());
    }
    std::cout << detail::summaryPage(reports);
    return exit_ok;
}

} // namespace

int loadCommand(int argc, char **argv)
{
    return runCommand(
            argc, argv,
            "Measures response times for a mix of jobs that arrive independently of answers.",
            [](TCLAP::CmdLine &line, int count, char **values) {
                const load_arguments arguments{line};
                line.parse(count, values);
                const auto request = arguments.request();
                return request.reports.empty() ? runLoad(request) : summarise(request.reports);
            });
}

} // namespace bamboohead
