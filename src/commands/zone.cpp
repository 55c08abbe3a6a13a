#include "bamboohead/commands.hpp"
#include "manifest_change.hpp"

#include <iostream>

namespace bamboohead {

int changeZone(const change_options &options, const std::string &zone, zone_state state)
{
    const auto store = makeOperatorClient(options);
    const auto read = readStoredManifest(*store);
    if (const auto *code = std::get_if<int>(&read)) {
        return *code;
    }
    const auto &stored = std::get<store_value>(read);
    const auto changed = changeZoneState(stored.text, zone, state);
    if (const auto *faults = std::get_if<std::vector<config_error>>(&changed)) {
        printFaults("manifest", *faults);
        return exit_failed;
    }
    const auto &text = std::get<std::string>(changed);
    if (text == stored.text) {
        std::cout << "zone " << zone << " is " << toText(state) << " already\n";
        return pushManifest(options, text,
                            config_version{static_cast<std::uint64_t>(stored.modified)});
    }
    return changeManifest(*store, options, text, stored.modified);
}

namespace {

int changeZone(int argc, char **argv, zone_state state)
{
    return runCommand(argc, argv, "Takes an availability zone out of service or back in.",
                      [state](TCLAP::CmdLine &line, int count, char **values) {
                          TCLAP::UnlabeledValueArg<std::string> zone{
                                  "ZONE", "Name of the zone.", true, "", "ZONE", line};
                          const change_arguments arguments{line};
                          line.parse(count, values);
                          return changeZone(arguments.options(), zone.getValue(), state);
                      });
}

} // namespace

int zoneCommand(int argc, char **argv)
{
    const std::string_view action{argc > 1 ? argv[1] : ""};
    for (const auto state : {zone_state::in, zone_state::out}) {
        if (action == toText(state)) {
            return changeZone(argc - 1, argv + 1, state);
        }
    }
    std::cerr << "usage: bamboohead zone out|in ZONE [ARGUMENTS]\n";
    return exit_usage;
}

} // namespace bamboohead
