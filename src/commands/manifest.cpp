#include "bamboohead/commands.hpp"
#include "manifest_change.hpp"

#include <iostream>
#include <optional>

namespace bamboohead {

namespace {

int checkFile(int argc, char **argv)
{
    return runCommand(argc, argv, "Validates a manifest file and prints all faults.",
                      [](TCLAP::CmdLine &line, int count, char **values) {
                          TCLAP::UnlabeledValueArg<std::string> file{"FILE", "Manifest.", true,
                                                                     "",     "FILE",      line};
                          line.parse(count, values);
                          const auto parsed = parseManifest(readFile(file.getValue()));
                          if (const auto *faults =
                                      std::get_if<std::vector<config_error>>(&parsed)) {
                              printFaults(file.getValue(), *faults);
                              return exit_failed;
                          }
                          std::cout << file.getValue() << ": valid\n";
                          return exit_ok;
                      });
}

int getManifest(int argc, char **argv)
{
    return runCommand(
            argc, argv, "Prints the manifest in the store, and its version on standard error.",
            [](TCLAP::CmdLine &line, int count, char **values) -> int {
                const change_arguments arguments{line};
                line.parse(count, values);
                const auto store = makeOperatorClient(arguments.options());
                const auto read = readStoredManifest(*store);
                if (const auto *code = std::get_if<int>(&read)) {
                    return *code;
                }
                const auto &stored = std::get<store_value>(read);
                std::cerr << "version=" << static_cast<std::uint64_t>(stored.modified) << "\n";
                std::cout << stored.text;
                return exit_ok;
            });
}

/// Replaces the expected version of the manifest, or the current one when none is given.
int applyText(const change_options &options, const std::string &text,
              std::optional<std::uint64_t> expected)
{
    const auto store = makeOperatorClient(options);
    if (expected) {
        return changeManifest(*store, options, text, store_revision{*expected});
    }
    const auto result = store->read(manifestKey);
    if (const auto *error = std::get_if<store_error>(&result)) {
        return reportStoreError(error->kind, error->detail);
    }
    return changeManifest(*store, options, text, std::get<store_value>(result).modified);
}

int applyFile(int argc, char **argv)
{
    return runCommand(
            argc, argv,
            "Writes a manifest to the store; with --entries, also sends it to them and waits until "
            "it is in force.",
            [](TCLAP::CmdLine &line, int count, char **values) -> int {
                TCLAP::UnlabeledValueArg<std::string> file{"FILE", "Manifest.", true,
                                                           "",     "FILE",      line};
                TCLAP::ValueArg<std::uint64_t> expect{
                        "",
                        "expect",
                        "Version on which the change is based, 0 if the store must not hold a "
                        "manifest yet; without this argument, the current version is replaced.",
                        false,
                        0,
                        "VERSION",
                        line};
                const change_arguments arguments{line};
                line.parse(count, values);
                const auto text = readFile(file.getValue());
                const auto parsed = parseManifest(text);
                if (const auto *faults = std::get_if<std::vector<config_error>>(&parsed)) {
                    printFaults(file.getValue(), *faults);
                    return exit_failed;
                }
                return applyText(arguments.options(), text,
                                 expect.isSet() ? std::optional{expect.getValue()} : std::nullopt);
            });
}

} // namespace

int manifestCommand(int argc, char **argv)
{
    const std::string_view action{argc > 1 ? argv[1] : ""};
    if (action == "check") {
        return checkFile(argc - 1, argv + 1);
    }
    if (action == "get") {
        return getManifest(argc - 1, argv + 1);
    }
    if (action == "apply") {
        return applyFile(argc - 1, argv + 1);
    }
    std::cerr << "usage: bamboohead manifest check|get|apply [ARGUMENTS]\n";
    return exit_usage;
}

} // namespace bamboohead
