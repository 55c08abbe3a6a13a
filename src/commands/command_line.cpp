#include "command_line.hpp"

#include "bamboohead/commands.hpp"
#include "bamboohead/settings.hpp"

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace bamboohead {

int runCommand(int argc, char **argv, const std::string &help,
               const std::function<int(TCLAP::CmdLine &, int, char **)> &body)
{
    try {
        TCLAP::CmdLine line{help, ' ', "0.1.0"};
        line.setExceptionHandling(false);
        return body(line, argc, argv);
    } catch (const TCLAP::ArgException &fault) {
        std::cerr << "bamboohead " << argv[0] << ": " << fault.error() << " " << fault.argId()
                  << "\n";
        return exit_usage;
    } catch (const TCLAP::ExitException &end) {
        return end.getExitStatus(); // --help and --version
    } catch (const std::exception &fault) {
        std::cerr << "bamboohead " << argv[0] << ": " << fault.what() << "\n";
        return exit_failed;
    }
}

std::vector<std::string> parseAddresses(const std::string &text)
{
    std::vector<std::string> addresses;
    std::istringstream stream{text};
    std::string item;
    while (std::getline(stream, item, ',')) {
        if (!isAddress(item)) {
            throw TCLAP::CmdLineParseException{"not an address host:port: " + item};
        }
        addresses.push_back(item);
    }
    if (addresses.empty()) {
        throw TCLAP::CmdLineParseException{"expected at least one address host:port"};
    }
    return addresses;
}

std::string readFile(const std::string &name)
{
    const std::ifstream stream{name};
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        throw std::runtime_error{"cannot read " + name};
    }
    return text.str();
}

} // namespace bamboohead
