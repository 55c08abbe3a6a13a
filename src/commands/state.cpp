#include "bamboohead/commands.hpp"
#include "command_line.hpp"

#include <httplib.h>

#include <iostream>
#include <stdexcept>

namespace bamboohead {

namespace {

constexpr time_t requestSeconds = 5;
constexpr int statusOk = 200;

int printState(const std::string &address)
{
    httplib::Client client{"http://" + address};
    client.set_connection_timeout(requestSeconds);
    client.set_read_timeout(requestSeconds);
    const auto response = client.Get("/v1/state");
    if (!response) {
        throw std::runtime_error{address + ": " + httplib::to_string(response.error())};
    }
    if (response->status != statusOk) {
        throw std::runtime_error{address + ": status " + std::to_string(response->status)};
    }
    std::cout << response->body << "\n";
    return exit_ok;
}

} // namespace

int stateCommand(int argc, char **argv)
{
    return runCommand(argc, argv, "Prints the state of a process as JSON.",
                      [](TCLAP::CmdLine &line, int count, char **values) {
                          TCLAP::ValueArg<std::string> process{
                                  "",          "process", "HTTP address of the process.", true, "",
                                  "HOST:PORT", line};
                          line.parse(count, values);
                          return printState(parseAddresses(process.getValue()).front());
                      });
}

} // namespace bamboohead
