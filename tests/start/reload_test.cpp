// Reloads that can't be taken, and many of them: the program goes on with what it has.
#include <sys/stat.h>

#include "start/rig.hpp"

TEST_CASE("a reload of a file with any fault changes nothing and ends nothing", "[start]") {
    Start start;
    start.run();
    REQUIRE(start.ready());
    const std::string path = start.folder.file("config.json");
    const auto refused = [&] {
        start.process.signal(SIGHUP);
        const bool told = start.says("reload refused, nothing changes: ");
        INFO(start.log());
        REQUIRE(told);
        REQUIRE(start.ready());
    };
    SECTION("missing") {
        REQUIRE(::unlink(path.c_str()) == 0);
        refused();
    }
    SECTION("empty") {
        start.folder.write("config.json", "");
        refused();
    }
    SECTION("half written") {
        start.folder.write("config.json", start.config.substr(0, start.config.size() / 2));
        refused();
    }
    SECTION("of another shape") {
        start.folder.write("config.json", GENERATE("[]", "7", "{}", R"({"settings":[]})"));
        refused();
    }
    SECTION("nested without end") {
        start.folder.write("config.json", std::string(300'000, '['));
        refused();
    }
    SECTION("a pipe without a writer") {
        REQUIRE(::unlink(path.c_str()) == 0);
        REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
        refused();
    }
    SECTION("a folder") {
        REQUIRE(::unlink(path.c_str()) == 0);
        REQUIRE(::mkdir(path.c_str(), 0700) == 0);
        refused();
    }
    REQUIRE(start.alive());
    start.process.signal(SIGTERM);
    REQUIRE(start.status() == 0);
}

TEST_CASE("an operator's file that is a pipe by now does not hold a reload", "[start]") {
    Start start;
    const std::string path = start.folder.write("operator.ini", "[log]\nlevel = info\n");
    start.run("exec \"$0\" serve --operator " + path);
    REQUIRE(start.ready());
    REQUIRE(::unlink(path.c_str()) == 0);
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    start.process.signal(SIGHUP);
    REQUIRE(start.says("reload refused, nothing changes: "));
    REQUIRE(start.ready());
    start.process.signal(SIGTERM);
    REQUIRE(start.status() == 0);
}

TEST_CASE("a storm of reloads and more than one order to end hold nothing", "[start]") {
    Start start;
    start.run();
    REQUIRE(start.ready());
    for (int i = 0; i < 300; ++i) {
        start.process.signal(SIGHUP);
        if (i % 30 == 0) REQUIRE(start.ready());
    }
    REQUIRE(start.ready());
    for (const int number : {SIGTERM, SIGHUP, SIGTERM, SIGINT}) start.process.signal(number);
    REQUIRE(start.status() == 0);
}
