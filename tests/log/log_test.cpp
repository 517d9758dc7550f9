// The log: the format of lines and records, the rate limit, and that a stalled reader never blocks a
// writer.
#include "log/log.hpp"

#include <fcntl.h>
#include <rapidjson/document.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <sstream>
#include <string>

using slatejunction::Log;
using slatejunction::RequestRecord;

namespace {

struct Pipe {
    Pipe() {
        REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe() { ::close(ends[0]), ::close(ends[1]); }
    std::string read() {
        std::string all;
        char bytes[65536];
        for (::ssize_t size; (size = ::read(ends[0], bytes, sizeof bytes)) > 0;)
            all.append(bytes, static_cast<std::size_t>(size));
        return all;
    }
    std::array<int, 2> ends;
};

RequestRecord record(std::string_view id) {
    RequestRecord result;
    result.id = id;
    result.service_class = "risk-read";
    result.plan = "plus";
    result.result = "served";
    result.backend = "s-1";
    result.customer = 0xb4d65521;
    result.attempts = 2;
    result.seconds = 0.25;
    result.earned_weight = 2.4;
    return result;
}

std::size_t count_of(const std::string& text, const std::string& what) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += what.size()) ++count;
    return count;
}

}   // namespace

TEST_CASE("a text line is its level, a colon and the text") {
    Pipe pipe;
    Log log({}, pipe.ends[1]);
    log.write(Log::Level::info, 1, "serving: %s", "n0");
    log.write(Log::Level::warning, 1, "100%% {} odd");
    log.write(Log::Level::error, 1, "bad");
    CHECK(pipe.read() == "info: serving: n0\nwarning: 100% {} odd\nerror: bad\n");
}

TEST_CASE(
    "lines over the rate limit are counted and reported with the next line, and records are not limited") {
    Pipe pipe;
    slatejunction::logging::Settings settings;
    settings.requests = 2;
    settings.level = 2;   // does not apply to records
    Log log(settings, pipe.ends[1]);
    for (int i = 0; i < 100; ++i) log.write(Log::Level::error, 1, "line %d", i);
    for (int i = 0; i < 100; ++i) log.record(record("r" + std::to_string(i)));
    const std::string text = pipe.read();
    CHECK(count_of(text, "error: line") == 40);
    CHECK(count_of(text, "info: request id=r") == 100);
    CHECK(log.suppressed() == 60);
    settings.level = 0;
    log.configure(settings);
    log.write(Log::Level::info, 2, "again");
    CHECK(pipe.read() == "warning: 60 log lines suppressed\ninfo: again\n");
}

TEST_CASE("a stalled reader does not block the writer, and dropped lines are counted and reported") {
    Pipe pipe;
    ::fcntl(pipe.ends[1], F_SETPIPE_SZ, 4096);
    slatejunction::logging::Settings settings;
    settings.requests = 2;
    settings.buffer_kb = 64;
    Log log(settings, pipe.ends[1]);
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 5000; ++i) log.record(record("r" + std::to_string(i)));
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
    REQUIRE(log.lost() > 0);
    std::string text;
    for (int i = 0; i < 200; ++i) text += pipe.read(), log.drain();
    log.write(Log::Level::info, 1, "again");
    for (int i = 0; i < 10; ++i) log.drain(), text += pipe.read();
    CHECK(count_of(text, "info: request id=") == 5000 - log.lost());
    CHECK(text.find("warning: " + std::to_string(log.lost()) + " log lines dropped") != std::string::npos);
    CHECK(text.ends_with("info: again\n"));
    // The records are in order and complete.
    std::istringstream lines(text);
    int number = 0;
    for (std::string line; std::getline(lines, line) && line.starts_with("info: request"); ++number)
        REQUIRE(line.starts_with("info: request id=r" + std::to_string(number) + " class=risk-read "));
}

TEST_CASE("records are valid JSON for arbitrary bytes from a client") {
    Pipe pipe;
    slatejunction::logging::Settings settings;
    settings.format = 1;
    settings.requests = 1;
    Log log(settings, pipe.ends[1]);
    CHECK_FALSE(log.wants_record(true));
    CHECK(log.wants_record(false));
    const std::string id = std::string("a\"\\\x01 \xff\xc3(", 8);
    log.record(record(id));
    log.write(Log::Level::warning, 1, "a \"line\"");
    std::istringstream lines(pipe.read());
    std::string line;
    REQUIRE(std::getline(lines, line));
    rapidjson::Document json;
    REQUIRE_FALSE(json.Parse(line.c_str()).HasParseError());
    CHECK(std::string(json["class"].GetString()) == "risk-read");
    CHECK(std::string(json["customer"].GetString()) == "00000000b4d65521");
    CHECK(json["attempts"].GetUint64() == 2);
    CHECK(json["worth"].GetDouble() == 2.4);
    CHECK(std::string(json["id"].GetString()).starts_with("a\"\\\x01 "));
    REQUIRE(std::getline(lines, line));
    REQUIRE_FALSE(json.Parse(line.c_str()).HasParseError());
    CHECK(std::string(json["level"].GetString()) == "warning");
    CHECK(std::string(json["text"].GetString()) == "a \"line\"");
}

TEST_CASE("text records quote and escape values that are not plain words") {
    Pipe pipe;
    slatejunction::logging::Settings settings;
    settings.requests = 2;
    Log log(settings, pipe.ends[1]);
    log.record(record("a b\"\n\xff"));
    CHECK(pipe.read() ==
          "info: request id=\"a b\\\"\\x0a\\xff\" class=risk-read plan=plus customer=00000000b4d65521 "
          "outcome=served reason=\"\" provider=s-1 attempts=2 seconds=0.250000 worth=2.400000\n");
}
