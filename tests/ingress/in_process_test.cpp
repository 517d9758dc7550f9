// Parts that need no program running.
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <map>

#include "backend/connection_pool.hpp"
#include "backend/idle_lifetime.hpp"
#include "client/session.hpp"
#include "config/config.hpp"
#include "gateway/gateway_harness.hpp"
#include "net/glib.hpp"

using namespace slatejunction;

TEST_CASE("a refusal names a time whatever the site says of its clients") {
    sj::Settings settings = plain_settings();
    settings.retry_after_allowed = false;
    GatewayDriver d(settings);   // no server is known: nothing can be sent
    d.request("one");
    REQUIRE(d.rejected.size() == 1);
    CHECK(d.ended_at.at("one") == d.now);   // at once
    CHECK(d.last_retry_after_s > 0);
    CHECK(d.last_retry_after_s <= settings.max_retry_after_s);
}

TEST_CASE("bad configuration names its field") {
    const discovery::UnixTimeConverter clock;
    const auto fault = [&](const std::string& json) {
        try {
            config::read(json, clock);
        } catch (const config::Bad& bad) {
            return std::string(bad.what());
        }
        return std::string("none");
    };
    const std::string start = R"({"settings":{"Balancers":1,"Limits":{"AttemptsCap":3},"Services":[)";
    CHECK(fault("{") == "configuration is not JSON: Missing a name for object member. at byte 1");
    CHECK(fault("{}") == "settings is missing");
    CHECK(fault(start + "]}}") == "settings.Services is empty");
    CHECK(fault(start + R"({"Name":"r"}]}})") == "settings.Services[0].AimS is missing");
    CHECK(fault(start + R"({"Name":"r","AimS":"1"}]}})") == "settings.Services[0].AimS is not a number");
    CHECK(fault(start + R"({"Name":"r","AimS":1,"Effect":"x"}]}})") ==
          "settings.Services[0].Effect is unknown: 'x'");
    CHECK(fault(start + R"({"Name":"r","AimS":1,"Effect":"pure"}]},"seed":"g"})") ==
          "seed is not hexadecimal: 'g'");
    CHECK(fault(start + R"({"Name":"r","AimS":1,"Effect":"pure","New":1}]},"new":{}})") == "none");
}

// Guards against a reload that the environment of the start undoes.
TEST_CASE("a reload takes the directory from the file, and names its field") {
    const auto load = [](const std::string& directory, config::LoadTime moment) {
        char path[] = "/tmp/slatejunction-XXXXXX";
        ::close(::mkstemp(path));
        std::ofstream(path) << R"({"listen":"127.0.0.1:1","discovery":")" << directory
                            << R"(","settings":{"Balancers":1,"Limits":{"AttemptsCap":3},"Services":[)"
                            << R"({"Name":"r","AimS":1,"Effect":"pure"}]}})";
        ::setenv("NODE_DISCOVERY", "127.0.0.1:2", 1);
        std::string got;
        try {
            got = config::load(path, discovery::UnixTimeConverter(), moment).discovery_address;
        } catch (const config::Bad& bad) {
            got = bad.what();
        }
        ::unsetenv("NODE_DISCOVERY");
        std::remove(path);
        return got;
    };
    CHECK(load("127.0.0.1:3", config::LoadTime::start) == "127.0.0.1:2");
    CHECK(load("127.0.0.1:3", config::LoadTime::reload) == "127.0.0.1:3");
    CHECK(load("nowhere", config::LoadTime::reload) == "discovery is no address and port: 'nowhere'");
}

TEST_CASE(
    "the operators' address: the environment goes before the file, a fault names where it came from") {
    const auto load = [](const std::string& in_file, const char* in_environment) {
        char path[] = "/tmp/slatejunction-XXXXXX";
        ::close(::mkstemp(path));
        std::ofstream(path) << R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","admin_addr":")"
                            << in_file
                            << R"(","settings":{"Balancers":1,"Limits":{"AttemptsCap":3},"Services":[)"
                            << R"({"Name":"r","AimS":1,"Effect":"pure"}]}})";
        if (in_environment) ::setenv("NODE_ADMIN_ADDR", in_environment, 1);
        std::string got;
        try {
            got = config::load(path, discovery::UnixTimeConverter()).admin;
        } catch (const config::Bad& bad) {
            got = bad.what();
        }
        ::unsetenv("NODE_ADMIN_ADDR");
        std::remove(path);
        return got;
    };
    CHECK(load("", nullptr) == "");
    CHECK(load("127.0.0.1:3", nullptr) == "127.0.0.1:3");
    CHECK(load("127.0.0.1:3", "127.0.0.1:4") == "127.0.0.1:4");
    CHECK(load("127.0.0.1", nullptr) == "admin_addr is no address and port: '127.0.0.1'");
    CHECK(load("127.0.0.1:3", "x:y") == "NODE_ADMIN_ADDR is no address and port: 'x:y'");
}

TEST_CASE("a provider's start reads the same each time, and long ago stays long ago") {
    const discovery::UnixTimeConverter clock;
    CHECK(clock.to_monotonic_s(0) == 0);
    const double unix_ms = 1000.0 * static_cast<double>(std::time(nullptr));
    CHECK(clock.to_monotonic_s(unix_ms) == clock.to_monotonic_s(unix_ms));
    CHECK(std::abs(clock.to_monotonic_s(unix_ms) - net::now()) < 5);
}

// Guards against draws that come in runs: those go over the store while others are refused with room in it.
TEST_CASE("what passes of a long surplus is spread evenly") {
    sj::Settings settings = plain_settings();
    settings.meter_period_s = 2;
    settings.plans = {{"plan", 1, 2}};
    settings.plans[0].over_quota_penalty = 1;
    std::size_t passed = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GatewayDriver d(settings, seed);
        d.update_endpoints({"one"});
        std::size_t last = 0;
        for (std::size_t i = 1; i <= 300; ++i) {   // ten times the quota for 30 s
            d.run_to(d.now + 0.1);
            d.request(std::to_string(i));
            if (d.pending.empty()) continue;
            d.end_attempt(0, sj::AttemptResult::ok, 101);
            if (i > 100) CHECK(i - last > 1);
            last = i;
            ++passed;
        }
    }
    CHECK(passed > 20 * 7);
}

namespace {

// A session without a socket: what it is told and does is all there is to see.
struct Bench : client::SessionController, net::Transport {
    std::uint64_t on_request(std::shared_ptr<client::ResponseWriter>,
                             std::shared_ptr<client::ClientRequest>) override {
        return ++taken;
    }
    void on_client_disconnected(std::uint64_t) override {}
    bool ready() const override { return true; }
    bool stopping() const override { return false; }
    const sj::Settings& settings() const override { return known; }
    bool is_request_open(std::string_view) const override { return false; }
    http::ByteBudget& budget() override { return bytes; }
    void on_bad_request(int, std::string_view) override {}
    void on_accept_error(const char*) override {}
    void on_closed(client::Session&) override { ended = true; }
    bool send(std::span<const std::string_view> parts) override {
        sent.clear();
        for (const std::string_view part : parts) sent += part;
        return true;
    }
    bool unsent() const override { return false; }
    void resume() override {}
    void finish() override {}
    void drop(std::size_t most) override { dropping = most; }
    void close() override {}
    sj::Settings known;
    http::ByteBudget bytes{32 << 20};
    std::string sent;           // last
    std::size_t dropping = 0;   // at most so much
    std::uint64_t taken = 0;
    bool ended = false;
};

void feed(client::Session& session, std::string_view bytes) {
    const auto room = session.receive_buffer();
    REQUIRE(room.size() >= bytes.size());
    bytes.copy(room.data(), bytes.size());
    session.on_bytes(bytes.size());
}

}   // namespace

// Guards against a connection that is ended as stuck because it was idle for long before its request began.
TEST_CASE("a request that comes in pieces on a long idle connection is not stuck") {
    Bench bench;
    const auto session = std::make_shared<client::Session>(bench);
    session->attach(bench);
    CHECK(session->expires_at() < session->since() + 3);   // silent from the start
    feed(*session, "GET /health/ready HTTP/1.1\r\n\r\n");
    const double idle = net::now();
    CHECK(session->expires_at() > idle + 3);       // of use, and at rest
    CHECK(session->expires_at(true) < idle + 3);   // and one of many
    while (net::now() < idle + 0.02) {
    }
    feed(*session, "GET /risk-read?cust");
    CHECK(session->expires_at() > idle + 0.02 + 2);   // its own time, from its first byte
    CHECK(session->expires_at() < net::now() + 3);
    session->expire();
    CHECK(bench.sent.starts_with("HTTP/1.1 408 "));
    CHECK((bench.dropping >= 60 << 20 && bench.dropping < 100 << 20));   // what still comes costs a bound
    CHECK(!bench.ended);
    CHECK(session->expires_at() < net::now() + 6);
    session->expire();
    CHECK(bench.ended);
}

// Guards against requests that the deployment can't mean: a provider that turns them away looks broken, and
// the decisions on the customer that they name would move.
TEST_CASE("values outside the protocol's form are named, and those at its edge pass") {
    sj::Settings known = plain_settings();
    known.plans = {{"plus", 1, 2}};
    known.ingress_count = 4;
    known.max_request_units = 2;
    known.classes[0].deadline_s = 4;
    const auto fault = [&](std::string_view from, std::string_view to) {
        std::string text =
            "GET /read?customer=00000001ffffffff HTTP/1.1\r\nX-Request-Id: a1\r\nX-Class: read\r\n"
            "X-Tier: plus\r\nX-Deadline: 4.000\r\nX-Call-Terms: units=2,spread=4,first=3\r\n\r\n";
        text.replace(text.find(from), from.size(), to);
        http::Buffer buffer;
        text.copy(buffer.space(text.size()).data(), text.size());
        buffer.commit(text.size());
        http::Parser parser(http::Parser::Kind::request);
        REQUIRE(parser.feed(buffer) == http::Step::done);
        client::ClientRequest invocation;
        return std::string(client::read_request(parser.head(), known, 0, invocation));
    };
    CHECK(fault("a1", "a1") == "");
    CHECK(fault("GET", "POST") == "method");
    CHECK(fault("plus", "minus") == "X-Tier");
    for (const char* customer : {"0000000200000000", "ffffffffffffffff", "-000000000000001", "1",
                                 "00000001ffffffff&customer=0000000000000001"})
        CHECK(fault("00000001ffffffff", customer) == "customer");
    for (const char* deadline : {"99999999999999999999999", "4.1", "-1", "nan", "inf", "soon", "1e400", ""})
        CHECK(fault("4.000", deadline) == "X-Deadline");
    for (const char* units : {"units=0", "units=2.1", "units=-1", "units=1e12", "units=nan",
                              "units=", "units=x", "units=1,units=1", "more=1"})
        CHECK(fault("units=2", units) == "X-Call-Terms");
    for (const char* spread :
         {"spread=0", "spread=5", "spread=70000", "spread=2.5", "spread=99999999999999999999"})
        CHECK(fault("spread=4", spread) == "X-Call-Terms");
    for (const char* first :
         {"first=4", "first=-1", "first=2.5", "first=x", "first=99999999999999999999", "last=1"})
        CHECK(fault("first=3", first) == "X-Call-Terms");
}

// Guards against memory held by what heads promise, and by many at once that send it.
TEST_CASE("a body takes room as it comes, inside the budget of all") {
    http::ByteBudget budget(40 * 1024);
    const auto step = [&](http::Buffer& buffer, http::Parser& parser, std::size_t body) {
        std::string text = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 60000\r\n\r\n";
        text += std::string(body, 'x');
        http::Step step = http::Step::more;
        for (std::string_view rest = text; !rest.empty() && step == http::Step::more;) {
            const auto room = parser.receive_space(buffer);
            const std::size_t size = rest.copy(room.data(), room.size());
            buffer.commit(size);
            rest.remove_prefix(size);
            step = parser.feed(buffer);
        }
        return step;
    };
    {
        http::Buffer one(&budget), two(&budget);
        http::Parser first(http::Parser::Kind::request), second(http::Parser::Kind::request);
        CHECK(step(one, first, 10000) == http::Step::more);
        CHECK(budget.used() < 20000);
        CHECK(first.head().fields[0].value == "close");   // the views moved along
        CHECK(!first.head().keep_alive);
        CHECK(step(two, second, 60000) == http::Step::over_budget);
    }
    CHECK(budget.used() == 0);
}

namespace {

struct Calls : backend::ConnectionCallbacks {
    void on_call_end(backend::Connection&, backend::AttemptTag, const backend::CallResult& end) override {
        last = end;
    }
    void on_idle(backend::Connection&) override {}
    void on_closed(backend::Connection&) override {}
    backend::CallResult last;
};

}   // namespace

// Guards against a figure that can't be read and is believed as 0.
TEST_CASE("figures of a provider that can't be read are absent") {
    const auto told = [](const std::string& fields) {
        Bench transport;
        Calls calls;
        net::Timers timers;
        const std::vector<std::string> names{"q", "lat_ms"};
        const auto connection =
            std::make_shared<backend::Connection>(calls, timers, transport.bytes, "s-1", "x:1", names);
        connection->attach(transport);
        connection->begin({}, std::make_shared<client::ClientRequest>(), {}, net::now() + 9, 0);
        connection->write_call();
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields + "\r\n\r\n";
        text.copy(connection->receive_buffer().data(), text.size());
        connection->on_bytes(text.size());
        CHECK(calls.last.result == sj::AttemptResult::ok);
        return calls.last;
    };
    CHECK(told("X-RateLimit-Used: 12.5").quota_use == 13.5);
    for (const char* used : {"nan", "inf", "-3", "12%", "%%%", "", "1e999", "0x10"})
        CHECK(told("X-RateLimit-Used: " + std::string(used)).quota_use == 0);
    const auto report = told("X-Load: q=3, lat_ms=4.5").report;
    CHECK((report.size() == 2 && report[0] == 3 && report[1] == 4.5));
    for (const char* load :
         {"q=x,lat_ms=4.5", "q=nan,lat_ms=4.5", "q=-1,lat_ms=4.5", "q=1e,lat_ms=4.5", "lat_ms=4.5"}) {
        const auto half = told("X-Load: " + std::string(load)).report;
        CHECK((half.size() == 2 && std::isnan(half[0]) && half[1] == 4.5));
    }
    CHECK(told("X-Load: q=,lat_ms=inf").report.empty());
}

// Guards against timers that never come beside a socket that always has something.
TEST_CASE("a source that is always ready does not stop the timers") {
    net::Timers timers;
    int fired = 0;
    net::Timer timer(timers, [&] { ++fired; });
    timer.arm(net::now() - 1);   // as late as after a stand-still
    const net::Source busy(g_idle_source_new());
    g_source_set_priority(busy.get(), G_PRIORITY_DEFAULT);
    g_source_set_callback(
        busy.get(), [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr, nullptr);
    net::attach(busy.get());
    g_main_context_iteration(nullptr, FALSE);
    CHECK(fired == 0);   // what waits on sockets goes first
    for (int i = 0; i < 5; ++i) g_main_context_iteration(nullptr, FALSE);
    CHECK(fired == 1);
}

// Guards against memory that grows with every provider that has been: a long day replaces them all.
TEST_CASE("a provider that is gone is forgotten, and one that moves takes no call to its old address") {
    struct Host : backend::CallCallbacks {
        void on_call_end(const backend::AttemptTag&, const backend::CallResult& end) override {
            last = end.result;
        }
        void on_health_check_end(const std::string&, const backend::CallResult&) override {}
        sj::AttemptResult last = sj::AttemptResult::ok;
    } host;
    net::Timers timers;
    http::ByteBudget bytes(1 << 20);
    backend::ConnectionPool pool(host, timers, {8, 9, 30}, bytes, {});
    const auto list = [&](const char* id, sj::EndpointState state, const char* address) {
        discovery::EndpointList listing;
        listing.update.endpoints.resize(1);
        listing.update.endpoints[0].backend = id;
        listing.update.endpoints[0].state = state;
        listing.addresses = {address};
        pool.update(listing);
    };
    for (int i = 0; i < 100; ++i) {
        list(std::to_string(i).c_str(), sj::EndpointState::serving, "127.0.0.1:1");
        list(std::to_string(i).c_str(), sj::EndpointState::removed, "");
    }
    CHECK(pool.backends() == 0);
    // No loop runs here to tell what becomes of the dial, so it is still out when the provider moves.
    list("a", sj::EndpointState::serving, "127.0.0.1:1");
    const auto call = pool.start_call("a", {}, std::make_shared<client::ClientRequest>(), net::now() + 9);
    REQUIRE(call);
    CHECK(pool.connections() == 1);
    list("a", sj::EndpointState::serving, "127.0.0.1:2");
    CHECK(host.last == sj::AttemptResult::connect_failed);
    CHECK(pool.connections() == 0);
}

// Guards against calls that are lost on connections which their provider has ended unseen.
TEST_CASE("connections idle for longer than providers keep them are not used, and tried again later") {
    backend::IdleLifetime freshness;
    CHECK(freshness.limit_s(0) > 1e6);
    for (int i = 0; i < 100; ++i) {   // 4 in 100 break at any age: no reason to dial
        freshness.record_use(-1, i % 25 == 0, 1);
        freshness.record_use(0.03, i % 25 == 0, 1);
    }
    CHECK(freshness.limit_s(1) > 1e6);
    for (int i = 0; i < 3; ++i) freshness.record_use(0.3, true, 1);
    CHECK(freshness.limit_s(1) == Approx(0.2));
    CHECK(freshness.limit_s(200) > 1e6);
}

// Guards against healthy servers left out because they end idle connections.
TEST_CASE("a kept connection that broke tells less of its server than a call that failed") {
    const auto chosen_next = [](bool stale) {
        int times = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            GatewayDriver d(plain_settings(), seed);
            d.update_endpoints({"one"});
            d.request("a", "write");
            sj::AttemptEnded end;
            end.id = "a";
            end.result = sj::AttemptResult::reset;
            end.stale_connection = stale;
            d.pending.clear();
            d.handle(end);
            d.update_endpoints({"one", "two"});
            d.request("b");
            REQUIRE(d.pending.size() == 1);
            times += d.pending[0].backend == "one";
        }
        return times;
    };
    CHECK(chosen_next(true) > 3 * chosen_next(false));
}

// Guards against a quota spent on cheap tries while dear ones, which take as much of it, are refused.
TEST_CASE("of a customer's surplus the dear class passes first, and no more in all") {
    const auto passed = [](double dear_worth) {
        sj::Settings settings = plain_settings();
        settings.meter_period_s = 2;
        settings.plans = {{"plan", 1, 2}};
        settings.plans[0].over_quota_penalty = 1;
        settings.classes[0].priority_weight = 2;
        settings.classes[2].priority_weight = dear_worth;
        std::map<std::string, int> counts;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            GatewayDriver d(settings, seed);
            d.update_endpoints({"one"});
            for (std::size_t i = 1; i <= 300; ++i) {   // ten times the quota, every other try a write
                d.run_to(d.now + 0.1);
                const std::string cls = i % 2 ? "read" : "write";
                d.request(std::to_string(i), cls);
                if (d.pending.empty()) continue;
                d.end_attempt(0, sj::AttemptResult::ok, 101);
                ++counts[cls];
            }
        }
        return counts;
    };
    auto even = passed(2), dear = passed(6);
    CHECK(dear["write"] > 2 * dear["read"]);
    CHECK(dear["write"] + dear["read"] < 1.2 * (even["write"] + even["read"]));
}

// Guards against a flood that empties a store several times over, as each of a customer's doors sees only
// its part, and against doors that hold back what the meter has long told of.
TEST_CASE("what one of four doors passes of a sudden flood leaves the others their part of the store") {
    const auto passed = [](double doors, double gap) {
        sj::Settings settings = plain_settings();
        settings.meter_period_s = 2;
        settings.plans = {{"plan", 2, 10}};
        settings.plans[0].over_quota_penalty = 1;
        std::size_t passed = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            GatewayDriver d(settings, seed);
            d.update_endpoints({"one"});
            for (std::size_t i = 1; i <= 30; ++i) {
                d.run_to(d.now + gap);
                d.request(std::to_string(i), "read", 5, 1, 1, doors);
                if (d.pending.empty()) continue;
                d.end_attempt(0, sj::AttemptResult::ok);
                ++passed;
            }
        }
        return static_cast<double>(passed) / 20;
    };
    CHECK(passed(4, 0.05) < 6.5);   // of a store of 10
    CHECK(passed(1, 0.05) < 19);    // a door alone knows more, and no lag hides it for longer than it lasts
    CHECK(passed(4, 2) == 30);      // inside the quota nothing is held back
}

// Guards against a process that does not start: the port of a connection that this one dialled may be the
// one at which another ingress of the machine is to listen, and its connections' last states keep ports for
// a minute.
TEST_CASE("a connection that was dialled keeps nobody from listening at its port") {
    const auto bound = [](int port, int& made) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        return ::bind(made, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && ::listen(made, 4) == 0;
    };
    const auto port_of = [](int fd) {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        REQUIRE(::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0);
        return static_cast<int>(ntohs(at.sin_port));
    };
    struct Quiet : net::Protocol {
        std::span<char> receive_buffer() override { return {}; }
        void on_bytes(std::size_t) override {}
        void on_end(bool) override {}
    };
    int provider = -1;
    REQUIRE(bound(0, provider));
    const auto at = net::parse_address("127.0.0.1:" + std::to_string(port_of(provider)));
    // One dial decides where nothing else dials on this machine. Another program's connection, in use or in
    // its last state, may stand at the same port and refuse the bind for itself: then another port tells.
    // The system goes through its ports in order, and those of a busy program lie side by side.
    constexpr int kDialsMost = 20'000;
    bool free = false;
    for (int i = 0; i < kDialsMost && !free; ++i) {
        const auto protocol = std::make_shared<Quiet>();
        net::Stream stream(*protocol);
        REQUIRE(stream.dial(at.get()));
        int other = -1;
        free = bound(port_of(stream.descriptor()), other);
        stream.close();
        ::close(other);
    }
    CHECK(free);
    ::close(provider);
}
