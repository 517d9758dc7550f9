// What a callback may do to those that are still on the stack above it, and values that no arithmetic can
// take: each of these has ended or held the program, or could.
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "backend/connection_pool.hpp"
#include "client/session.hpp"
#include "discovery/endpoint_list.hpp"
#include "discovery/endpoint_watch.hpp"
#include "net/timers.hpp"

using namespace slatejunction;

namespace {

// A transport that writes nothing: what it was given, and whether it goes on taking it.
struct Wire : net::Transport {
    bool send(std::span<const std::string_view> parts) override {
        if (broken) return false;
        for (const std::string_view part : parts) sent += part;
        full = slow;
        return true;
    }
    bool unsent() const override { return full; }
    void resume() override {}
    void finish() override {}
    void drop(std::size_t) override {}
    void close() override { closed = true; }
    std::string sent;
    bool broken = false, slow = false, full = false, closed = false;
};

struct Door : client::SessionController {
    std::uint64_t on_request(std::shared_ptr<client::ResponseWriter>,
                             std::shared_ptr<client::ClientRequest> invocation) override {
        taken.push_back(std::move(invocation));
        if (on_taken) on_taken();
        return taken.size();
    }
    void on_client_disconnected(std::uint64_t number) override { left.push_back(number); }
    bool ready() const override { return true; }
    bool stopping() const override { return false; }
    const slatejunction::Settings& settings() const override { return known; }
    bool is_request_open(std::string_view) const override { return false; }
    http::ByteBudget& budget() override { return bytes; }
    void on_bad_request(int, std::string_view) override {}
    void on_accept_error(const char*) override {}
    void on_closed(client::Session&) override {
        if (on_end) on_end();
    }

    Door() {
        known.classes.resize(1);
        known.classes[0].name = "send";
        known.classes[0].idempotency = slatejunction::Idempotency::not_idempotent;
    }
    slatejunction::Settings known;
    http::ByteBudget bytes{32 << 20};
    std::vector<std::shared_ptr<client::ClientRequest>> taken;
    std::vector<std::uint64_t> left;
    std::function<void()> on_taken, on_end;
};

struct Taker : client::BodySink {
    bool write(std::string_view bytes) override {
        got += bytes;
        return on_put ? on_put() : true;
    }
    void end(bool whole) override { ended = whole ? "whole" : "cut"; }
    std::string got, ended;
    std::function<bool()> on_put;
};

void feed(net::Protocol& protocol, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto room = protocol.receive_buffer();
        REQUIRE(!room.empty());
        const std::size_t size = bytes.copy(room.data(), room.size());
        bytes.remove_prefix(size);
        protocol.on_bytes(size);
    }
}

std::string head(const std::string& framing) {
    return "POST /send?customer=0000000000000001 HTTP/1.1\r\nX-Request-Id: a1\r\nX-Class: send\r\n"
           "X-Deadline: 4\r\nX-Call-Terms: units=1,spread=1,first=0\r\n" +
           framing + "\r\n\r\n";
}

const std::string kChunked = head("Transfer-Encoding: chunked");

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t times = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; at += part.size()) ++times;
    return times;
}

}   // namespace

// A provider that broke is found out by the write of a piece: the answer comes, and with it the buffer goes
// that the piece and what lies behind it stand in.
TEST_CASE("an answer that comes while a piece of its request is passed on") {
    Door door;
    Wire wire;
    const auto session = std::make_shared<client::Session>(door);
    session->attach(wire);
    feed(*session, kChunked + "15f90\r\n");
    REQUIRE(door.taken.size() == 1);
    const auto taker = std::make_shared<Taker>();
    taker->on_put = [&] {
        session->write_response({503, 1, {}, {}});
        return true;
    };
    door.taken[0]->body_rest->stream_to(taker);
    feed(*session, std::string(1000, 'x'));
    CHECK(taker->got.size() == 1000);
    CHECK(count(wire.sent, "HTTP/1.1 503 ") == 1);
    CHECK(session->closing());
}

TEST_CASE("an answer that comes while one of several pieces is passed on") {
    Door door;
    Wire wire;
    const auto session = std::make_shared<client::Session>(door);
    session->attach(wire);
    feed(*session, kChunked + "15f90\r\n");
    const auto taker = std::make_shared<Taker>();
    door.taken.at(0)->body_rest->stream_to(taker);
    feed(*session, std::string(90000, 'x') + "\r\n");
    REQUIRE(taker->got.size() == 90000);
    taker->on_put = [&] {
        session->write_response({503, 1, {}, {}});
        return false;   // as of a sink that is told to hold: nothing of it counts any more
    };
    feed(*session, "5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n");
    CHECK(taker->got.size() == 90005);
    CHECK(taker->ended.empty());
    CHECK(count(wire.sent, "HTTP/1.1 ") == 1);
    CHECK(session->closing());
    door.taken.clear();
    CHECK(door.bytes.used() == 0);
}

// Both sides break at once: nobody holds the session any more but the calls on the stack.
TEST_CASE("a session that ends as it goes on to pass its request on") {
    Door door;
    Wire wire;
    auto session = std::make_shared<client::Session>(door);
    session->attach(wire);
    feed(*session, kChunked + "15f90\r\n");
    const auto taker = std::make_shared<Taker>();
    client::BodySource* const source = door.taken.at(0)->body_rest.get();
    source->stream_to(taker);
    feed(*session, std::string(90000, 'x') + "\r\n");
    taker->on_put = [] { return false; };
    feed(*session, "5\r\nhello\r\n5\r\nworld\r\n");   // the second one waits until the first is written
    REQUIRE(taker->got.size() == 90005);
    const std::weak_ptr<client::Session> there = session;
    door.on_end = [&] { session.reset(); };
    taker->on_put = [&] {
        wire.broken = true;
        there.lock()->write_response({503, 1, {}, {}});
        door.taken.clear();
        return true;
    };
    source->resume();
    CHECK(wire.closed);
    CHECK(there.expired());
}

// While the host takes the request its number is not known: what its rest tells would name no request.
TEST_CASE("a bad body that has come already counts once the request is taken") {
    Door door;
    Wire wire;
    const auto session = std::make_shared<client::Session>(door);
    session->attach(wire);
    const auto taker = std::make_shared<Taker>();
    door.on_taken = [&] { door.taken.back()->body_rest->stream_to(taker); };   // a connection stood idle
    const std::string body = kChunked + "10000\r\n" + std::string(65536, 'x') + "\r\n1770\r\n" +
                             std::string(6000, 'x') + "\r\n0x5\r\n";
    feed(*session, body);
    CHECK(door.taken.size() == 1);
    CHECK(door.left == std::vector<std::uint64_t>{1});
    CHECK(count(wire.sent, "HTTP/1.1 400 ") == 1);
    CHECK(taker->got.size() == 6000);
}

// Guards against memory that grows with the answers to somebody who asks on and on and reads none.
TEST_CASE("no further request is taken while an answer waits to be read") {
    Door door;
    Wire wire;
    const auto session = std::make_shared<client::Session>(door);
    session->attach(wire);
    const std::string ask = "GET /health/ready HTTP/1.1\r\n\r\n";
    wire.slow = true;
    feed(*session, ask + ask);
    CHECK(count(wire.sent, "HTTP/1.1 200 ") == 1);
    CHECK(session->receive_buffer().empty());
    wire.slow = wire.full = false;
    session->on_sent();
    CHECK(count(wire.sent, "HTTP/1.1 200 ") == 2);
    CHECK(!session->receive_buffer().empty());
}

namespace {

struct Calls : backend::ConnectionCallbacks {
    void on_call_end(backend::Connection&, backend::AttemptTag, const backend::CallResult& end) override {
        last = end.result;
        if (end.rest) rest = end.rest;
        if (on_end) on_end();
    }
    void on_idle(backend::Connection&) override { ++freed; }
    void on_closed(backend::Connection&) override { ++closed; }
    slatejunction::AttemptResult last = slatejunction::AttemptResult::ok;
    std::shared_ptr<client::BodySource> rest;
    std::function<void()> on_end;
    int freed = 0, closed = 0;
};

}   // namespace

TEST_CASE("a large answer whose consumer goes while a piece is passed on") {
    Calls calls;
    Wire wire;
    net::Timers timers;
    http::ByteBudget bytes{32 << 20};
    const std::vector<std::string> fields;
    auto connection = std::make_shared<backend::Connection>(calls, timers, bytes, "s-1", "x:1", fields);
    connection->attach(wire);
    connection->begin({}, std::make_shared<client::ClientRequest>(), {}, net::now() + 9, 0);
    connection->write_call();
    const auto taker = std::make_shared<Taker>();
    calls.on_end = [&] { calls.rest->stream_to(taker); };
    feed(*connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15f90\r\n");
    REQUIRE(calls.rest);
    taker->on_put = [&] {
        calls.rest->cancel();
        calls.rest.reset();
        return false;
    };
    feed(*connection, std::string(1000, 'x'));
    CHECK(calls.closed == 1);
    CHECK(calls.freed == 0);
    CHECK(wire.closed);
    CHECK(taker->ended.empty());
}

namespace {

std::string deadline_line(double wait_s) {
    Calls calls;
    Wire wire;
    net::Timers timers;
    http::ByteBudget bytes{32 << 20};
    const std::vector<std::string> fields;
    const auto connection =
        std::make_shared<backend::Connection>(calls, timers, bytes, "s-1", "x:1", fields);
    connection->attach(wire);
    connection->begin({}, std::make_shared<client::ClientRequest>(), {}, net::now() + wait_s, 0);
    connection->write_call();
    const std::size_t from = wire.sent.find("X-Deadline: ") + 12;
    return wire.sent.substr(from, wire.sent.find('\r', from) - from);
}

}   // namespace

// A class without a deadline of its own takes any that a consumer states.
TEST_CASE("a deadline of any size is a number on the wire") {
    CHECK(deadline_line(4.0009) == "4.000");
    for (const double wait : {1e6, 1e12, 1e40, 1e300}) {
        const std::string line = deadline_line(wait);
        INFO(wait << ": " << line);
        CHECK(line.find_first_not_of("0123456789.") == std::string::npos);
        CHECK(std::stod(line) >= 999999);
    }
}

TEST_CASE("advice to come back of any size is a number on the wire") {
    for (const double wait : {1e80, 1e300, std::numeric_limits<double>::infinity()}) {
        Door door;
        Wire wire;
        const auto session = std::make_shared<client::Session>(door);
        session->attach(wire);
        session->write_response({503, wait, {}, {}});
        CHECK(wire.sent.starts_with(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: "));
        CHECK(wire.sent.ends_with("\r\n\r\n"));
        const std::string line = wire.sent.substr(wire.sent.find("After: ") + 7);
        CHECK(line.substr(0, line.find('\r')).find_first_not_of("0123456789.") == std::string::npos);
    }
}

// A closed connection among the idle ones would be handed out, and clearing them would never end.
TEST_CASE("a connection that has been closed is never kept as idle") {
    struct Host : backend::CallCallbacks {
        void on_call_end(const backend::AttemptTag&, const backend::CallResult&) override {}
        void on_health_check_end(const std::string&, const backend::CallResult&) override {}
    } host;
    net::Timers timers;
    http::ByteBudget bytes(1 << 20);
    backend::ConnectionPool pool(host, timers, {8, 9, 30}, bytes, {});
    discovery::EndpointList listing;
    listing.update.endpoints.resize(1);
    listing.update.endpoints[0].backend = "a";
    listing.update.endpoints[0].state = slatejunction::EndpointState::serving;
    listing.addresses = {"127.0.0.1:1"};
    pool.update(listing);
    const auto call = pool.start_call("a", {}, std::make_shared<client::ClientRequest>(), net::now() + 9);
    REQUIRE(call);
    call->abandon(slatejunction::AttemptResult::cancelled);
    REQUIRE(pool.connections() == 0);
    CHECK_NOTHROW(pool.on_idle(*call));
    CHECK(pool.connections() == 0);
    pool.close_expired(net::now() + 100);
    CHECK(pool.start_call("a", {}, std::make_shared<client::ClientRequest>(), net::now() + 9) != call);
}

TEST_CASE("a timer armed for no time at all stops no other one") {
    for (const double odd : {std::nan(""), std::numeric_limits<double>::infinity(),
                             -std::numeric_limits<double>::infinity()}) {
        net::Timers timers;
        int fired = 0;
        net::Timer first(timers, [] {}), second(timers, [&] { ++fired; }), third(timers, [] {});
        first.arm(odd);
        second.arm(net::now() - 0.001);
        third.arm(odd);
        for (int i = 0; i < 5 && fired == 0; ++i) g_main_context_iteration(nullptr, FALSE);
        CHECK(fired == 1);
    }
}

TEST_CASE("a timer that is armed for the past by its own call runs once in a round") {
    net::Timers timers;
    int own = 0, other = 0;
    net::Timer again(timers, [&] {
        if (++own < 1000) again.arm(net::now() - 10);
    });
    net::Timer once(timers, [&] { ++other; });
    again.arm(net::now() - 0.001);
    once.arm(net::now() - 0.0005);
    g_main_context_iteration(nullptr, FALSE);
    CHECK(own == 1);
    CHECK(other == 1);
}

// Only numbers of the type: the cast of any other has no defined value.
TEST_CASE("a cell beyond all integers is absent") {
    for (const char* cell : {"1e300", "-1e300", "9223372036854775808", "1e19"}) {
        const std::string text =
            R"({"revision":1,"complete":true,"members":[{"id":"a","phase":"Ready","host_port":"127.0.0.1:1","cell":)" +
            std::string(cell) + "}]}";
        rapidjson::Document json;
        json.Parse(text.data(), text.size());
        REQUIRE(!json.HasParseError());
        discovery::EndpointList listing;
        int broken = 0;
        REQUIRE(discovery::read_endpoint_list(json, discovery::UnixTimeConverter(), listing, broken));
        REQUIRE(listing.update.endpoints.size() == 1);
        CHECK(listing.update.endpoints[0].cell == 0);
    }
}

// 64 KiB of brackets: a parser that calls itself for each would run out of stack.
TEST_CASE("a list of nothing but brackets is one that can't be read") {
    struct Host : discovery::WatchCallbacks {
        void on_endpoint_list(discovery::EndpointList&) override {}
        void on_watch_lost(const char* why) override { lost = why; }
        std::string lost;
    } host;
    net::Timers timers;
    const discovery::UnixTimeConverter clock;
    Wire wire;
    const auto watch = std::make_shared<discovery::EndpointWatch>(host, timers, clock, "x:1", 1);
    watch->attach(wire, [] { return true; });
    watch->start({});
    watch->on_open();
    feed(*watch, "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + std::string(65536, '['));
    CHECK(host.lost == "a list that can't be read");
}

namespace {

// How a child ended in which an exception left a callback, and what it said.
std::pair<int, std::string> end_of(const std::function<void()>& turn) {
    int pipe[2];
    REQUIRE(::pipe(pipe) == 0);
    const ::pid_t child = ::fork();
    if (child == 0) {
        ::dup2(pipe[1], STDERR_FILENO);
        try {
            turn();
        } catch (...) {
            ::_exit(1);   // it went through the loop
        }
        ::_exit(0);
    }
    ::close(pipe[1]);
    std::string said(1000, '\0');
    const ::ssize_t size = ::read(pipe[0], said.data(), said.size());
    ::close(pipe[0]);
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, said.substr(0, size > 0 ? size : 0)};
}

struct Thrower : net::Protocol {
    std::span<char> receive_buffer() override { return room; }
    void on_bytes(std::size_t) override { throw std::out_of_range("a test's own fault"); }
    void on_end(bool) override { throw std::out_of_range("a test's own fault"); }
    char room[16];
};

}   // namespace

// The loop is C: what would unwind through it ends the process instead, with a line and a status of its
// own.
TEST_CASE("an exception that leaves a callback of the loop ends the process with a clear status") {
    const auto told = [](const std::pair<int, std::string>& end) {
        CHECK(end.first == 70);
        CHECK(end.second ==
              "error: a fault of this program, which ends with status 70: a test's own fault\n");
    };
    told(end_of([] {
        net::Timers timers;
        net::Timer timer(timers, [] { throw std::out_of_range("a test's own fault"); });
        timer.arm(net::now() - 0.001);
        for (int i = 0; i < 5; ++i) g_main_context_iteration(nullptr, FALSE);
    }));
    for (const bool ends : {false, true})
        told(end_of([&] {
            int ends_of[2];
            if (::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_of) != 0) return;
            const auto protocol = std::make_shared<Thrower>();
            net::Stream stream(*protocol);
            stream.adopt(net::Ref<GSocket>(g_socket_new_from_fd(ends_of[0], nullptr)));
            if (ends || ::write(ends_of[1], "x", 1) != 1) ::close(ends_of[1]);
            for (int i = 0; i < 5; ++i) g_main_context_iteration(nullptr, FALSE);
        }));
}
