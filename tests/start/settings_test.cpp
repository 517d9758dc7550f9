// The started program on files drawn at random: it serves, or ends with a line and status 2.
#include "config/drawn.hpp"
#include "start/rig.hpp"

TEST_CASE("the program takes any file, or ends with one line and status 2", "[start]") {
    int good = 0, bad = 0;
    for (std::uint32_t seed = 0; seed < 24; ++seed) {
        Start start;
        start.config = drawn::Drawer(1000 + seed).draw();
        start.run();
        INFO(seed << ": " << start.config);
        REQUIRE(
            wait_for([&] { return !start.alive() || start.log().find("serving: ") != std::string::npos; }));
        if (start.alive()) {
            ++good;
            REQUIRE(ask(start.port, "GET", "/health/ready").starts_with("HTTP/1.1 "));
            start.process.signal(SIGTERM);
            REQUIRE(start.status() == 0);
        } else {
            ++bad;
            REQUIRE(start.status() == 2);
            REQUIRE(start.log().find("error: ") != std::string::npos);
        }
    }
    REQUIRE(good > 3);
    REQUIRE(bad > 3);
}

// Guards against a head that is longer than its room: figures of the settings stand in it.
TEST_CASE("an answer's head is whole whatever the settings hold", "[start]") {
    Start start;
    const Taken silent;   // a provider that takes calls and gives no answer
    start.config.replace(start.config.find("127.0.0.1:1\", \"locality"), address_of(1).size(),
                         address_of(silent.port));
    const auto set = [&](const std::string& from, const std::string& to) {
        start.config.replace(start.config.find(from), from.size(), to);
    };
    set("\"MaxRetryAfterS\": 1", "\"MaxRetryAfterS\": 1e308");
    set("\"MaxOpen\": 20000", "\"MaxOpen\": 1");
    start.run();
    REQUIRE(start.ready());
    const std::string fields =
        "X-Class: risk-read\r\nX-Tier: plus\r\nX-Deadline: 4.000\r\n"
        "X-Call-Terms: units=1,spread=1,first=0\r\n";
    const std::string target = "/risk-read?customer=00000000b4d65521";
    const Owned first(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in at = loopback_of(start.port);
    REQUIRE(::connect(first.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    const std::string request =
        "GET " + target + " HTTP/1.1\r\nHost: t\r\nX-Request-Id: first\r\n" + fields + "\r\n";
    REQUIRE(::send(first.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
    pollfd called{silent.socket.get(), POLLIN, 0};
    REQUIRE(::poll(&called, 1, 10'000) == 1);   // the first one is open
    const std::string answer = ask(start.port, "GET", target, "X-Request-Id: second\r\n" + fields);
    INFO(answer);
    REQUIRE(answer ==
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
            "Retry-After: 1000000.000\r\n\r\n");
}
