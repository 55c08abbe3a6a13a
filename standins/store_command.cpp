#include "commands.hpp"
#include "signals.hpp"
#include "store_server.hpp"

#include <tclap/CmdLine.h>

#include <cstdio>

namespace standins {

int storeCommand(int argc, char **argv)
{
    TCLAP::CmdLine line{"In-memory stand-in of the store", ' ', "1"};
    const TCLAP::ValueArg<int> port{"", "port", "TCP port on 127.0.0.1", true, 0, "port", line};
    line.parse(argc, argv);
    const auto signals = blockStopSignals();
    store_server server;
    if (server.start(port.getValue()) == 0) {
        std::fprintf(stderr, "standins store: cannot bind port %d\n", port.getValue());
        return 1;
    }
    waitForStopSignal(signals);
    server.stop();
    return 0;
}

} // namespace standins
