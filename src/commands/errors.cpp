#include "bamboohead/commands.hpp"
#include "bamboohead/error_kind.hpp"
#include "command_line.hpp"

#include <iostream>

namespace bamboohead {

namespace {

/// Callers receive the kinds up to this number, and `internal`. All others occur only between
/// processes and in the output for operators.
constexpr std::uint16_t lastCallerKind = 399;

std::string_view audience(const error_info &row)
{
    return static_cast<std::uint16_t>(row.kind) <= lastCallerKind ||
                           row.kind == error_kind::internal
                   ? "caller"
                   : "operator";
}

void printReference()
{
    std::cout << "| number | name | HTTP status | may have run | seen by | meaning |\n"
                 "|---|---|---|---|---|---|\n";
    for (const auto &row : errorTable()) {
        if (row.kind == error_kind::none) {
            continue;
        }
        std::cout << "| " << static_cast<std::uint16_t>(row.kind) << " | `" << row.name << "` | "
                  << row.httpStatus << " | "
                  << (row.evidence == run_evidence::may_have_run ? "yes" : "no") << " | "
                  << audience(row) << " | " << row.message << " |\n";
    }
}

} // namespace

int errorsCommand(int argc, char **argv)
{
    return runCommand(argc, argv, "Prints information about error kinds.",
                      [](TCLAP::CmdLine &line, int count, char **values) {
                          TCLAP::SwitchArg reference{"", "reference",
                                                     "Print all error kinds as a Markdown table.",
                                                     line};
                          line.parse(count, values);
                          if (!reference.getValue()) {
                              throw TCLAP::CmdLineParseException{"no action given; see --help"};
                          }
                          printReference();
                          return static_cast<int>(exit_ok);
                      });
}

} // namespace bamboohead
