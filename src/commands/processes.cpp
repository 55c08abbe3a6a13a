#include "bamboohead/commands.hpp"
#include "bamboohead/process.hpp"
#include "bamboohead/settings.hpp"
#include "command_line.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace bamboohead {

namespace {

using process_function = void (*)(const process_settings &, const std::string &);

int runWith(const std::string &file, bool checkOnly, process_function run)
{
    // SIGHUP announces changed settings and may arrive while the process starts. Its default action
    // would end the process.
    (void)std::signal(SIGHUP, SIG_IGN);
    const auto result = loadSettings(file);
    if (const auto *const faults = std::get_if<std::vector<config_error>>(&result)) {
        for (const auto &fault : *faults) {
            std::cerr << describeFault(file, fault) << "\n";
        }
        return exit_usage;
    }
    if (checkOnly) {
        std::cout << file << ": valid\n";
        return exit_ok;
    }
    run(std::get<process_settings>(result), file);
    return exit_ok;
}

int processCommand(int argc, char **argv, const std::string &help, process_function run)
{
    return runCommand(argc, argv, help, [run](TCLAP::CmdLine &line, int count, char **values) {
        TCLAP::ValueArg<std::string> file{"", "settings", "Settings file.", true, "", "FILE", line};
        TCLAP::SwitchArg check{"", "check", "Validate the settings and exit.", line};
        line.parse(count, values);
        return runWith(file.getValue(), check.getValue(), run);
    });
}

int dispatchCommand(int argc, char **argv, const std::string &help, process_function run)
{
    const int status = processCommand(argc, argv, help, run);
    // Skips the destructors of static objects: they join the threads of the log library, and were
    // observed to hang on the users' platform (the system in which the users' callers and targets
    // run). The log has been written at this point.
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(status);
}

} // namespace

int entryCommand(int argc, char **argv)
{
    return processCommand(argc, argv, "Runs an entry, which accepts and places jobs.", runEntry);
}

int agentCommand(int argc, char **argv)
{
    return processCommand(argc, argv, "Runs an agent beside a target.", runAgent);
}

int dispatchEntryCommand(int argc, char **argv)
{
    return dispatchCommand(
            argc, argv,
            "Runs an entry for the users' platform, the system in which the users' callers and "
            "targets run, with the platform's interface for callers in place of this project's, "
            "and the platform's store in place of etcd (settings /dispatch).",
            runDispatchEntry);
}

int dispatchAgentCommand(int argc, char **argv)
{
    return dispatchCommand(
            argc, argv,
            "Runs an agent for the users' platform, the system in which the users' callers and "
            "targets run, with the platform's interface for targets in place of this project's, "
            "and the platform's store (settings /dispatch).",
            runDispatchAgent);
}

int settingsCommand(int argc, char **argv)
{
    return runCommand(argc, argv, "Prints information about settings.",
                      [](TCLAP::CmdLine &line, int count, char **values) {
                          TCLAP::SwitchArg reference{
                                  "", "reference", "Print all settings as a Markdown table.", line};
                          line.parse(count, values);
                          if (!reference.getValue()) {
                              throw TCLAP::CmdLineParseException{"no action given; see --help"};
                          }
                          std::cout << settingsReference();
                          return static_cast<int>(exit_ok);
                      });
}

} // namespace bamboohead
