#include "bamboohead/network_address.hpp"
#include "dispatch_loop.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace bamboohead;

// Guards against connections to another process than the one that an address names, and against
// names, whose resolution blocks the thread.
TEST_CASE("an address is a numeric host and a port in range, and nothing else")
{
    constexpr std::uint32_t loopback = 0x7f000001;
    CHECK(parseAddress("127.0.0.1:8080") == network_address{loopback, 8'080});
    CHECK(parseAddress("127.0.0.1:65535") == network_address{loopback, 65'535});
    CHECK(parseAddress("127.0.0.1:0", 0) == network_address{loopback, 0});
    CHECK(parseEndpoint("tcp://127.0.0.1:1") == network_address{loopback, 1});
    const std::string withNull{"127.0.0.1\0:80", 13};
    for (const std::string text : {"127.0.0.1:0",
                                   "127.0.0.1:65536",
                                   "127.0.0.1:70000",
                                   "127.0.0.1:99999999999999999999",
                                   "127.0.0.1:",
                                   "127.0.0.1",
                                   "127.0.0.1:80 ",
                                   "127.0.0.1: 80",
                                   "127.0.0.1:+80",
                                   "127.0.0.1:-1",
                                   "127.0.0.1:80:81",
                                   "127.0.0.1:80\r\nX: y",
                                   "localhost:80",
                                   "127.1:80",
                                   "127.0.0.256:80",
                                   " 127.0.0.1:80",
                                   "[::1]:80",
                                   "::1:80",
                                   ":80",
                                   ":",
                                   ""}) {
        CAPTURE(text);
        CHECK_FALSE(parseAddress(text));
    }
    CHECK_FALSE(parseAddress(withNull));
    for (const std::string text : {"127.0.0.1:80", "tcp:/127.0.0.1:80", "tcp://", "tcp://a:80",
                                   "tcp://*:80", "ipc:///tmp/a", "inproc://a", ""}) {
        CAPTURE(text);
        CHECK_FALSE(parseEndpoint(text));
    }
}

// Guards against connections to local sockets, or to names, that another writer has registered.
TEST_CASE("endpoints in the list of entries that are not numeric are not used")
{
    CHECK(usableEndpoints({"ipc:///tmp/a", "tcp://10.0.0.1:7720", "inproc://a", "tcp://entry:7720",
                           "tcp://10.0.0.2:70000", "\xff", "", "tcp://10.0.0.3:1"}) ==
          std::vector<std::string>{"tcp://10.0.0.1:7720", "tcp://10.0.0.3:1"});
}
