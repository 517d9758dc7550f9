// The counter's two protocols, byte by byte; and drivers with a counter that fails.
#include "quota/counter_protocol.hpp"

#include <catch2/catch.hpp>
#include <cmath>

#include "counter.hpp"
#include "log/log.hpp"
#include "net/glib.hpp"
#include "process.hpp"
#include "quota/driver.hpp"

using namespace slatejunction;
using quota::Reply;

namespace {

// Fed in pieces of each size.
std::vector<Reply> feed(bool http, const std::string& bytes, bool good = true) {
    std::vector<Reply> first;
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        const auto protocol = http ? quota::http_counter_protocol("h") : quota::resp_counter_protocol();
        std::vector<Reply> replies;
        bool fine = true;
        for (std::size_t at = 0; at < bytes.size() && fine; at += size)
            fine = protocol->parse(std::string_view(bytes).substr(at, size), replies) ==
                   quota::ProtocolStatus::ok;
        REQUIRE(fine == good);
        if (size == 1) first = replies;
        REQUIRE(replies.size() == first.size());
        for (std::size_t i = 0; i < first.size(); ++i) {
            REQUIRE(replies[i].added == first[i].added);
            REQUIRE((replies[i].total == first[i].total ||
                     (std::isnan(replies[i].total) && std::isnan(first[i].total))));
        }
    }
    return first;
}

struct Loop {
    Loop() : loop(g_main_loop_new(nullptr, FALSE)) {}
    template <class Holds>
    bool until(Holds holds, double most_s = 10) {
        const double end = net::now() + most_s;
        while (!holds()) {
            if (net::now() > end) return false;
            if (!g_main_context_iteration(nullptr, FALSE)) sleep_s(0.0005);
        }
        return true;
    }
    void run(double s) {
        const double end = net::now() + s;
        until([&] { return net::now() >= end; }, s + 1);
    }
    net::Loop loop;
    net::Timers timers;
};

// A counter and three drivers, each at an address of its own.
struct DriverFixture {
    explicit DriverFixture(int protocol) {
        fakes::CounterSettings counting;
        for (int i = 0; i < 3; ++i) counting.listen.push_back(address_of(free_port()));
        counting.call_ms = 0.2;
        counter = std::make_unique<fakes::Counter>(loop.timers, counting);
        std::string why;
        REQUIRE(counter->start(why));
        for (unsigned i = 0; i < 3; ++i) {
            quota::Options options;
            options.counter = counting.listen[i];
            options.protocol = protocol;
            quota::Settings settings;
            settings.plans = {{"p", 4, 12, 0}};
            settings.ingress_count = 3;
            settings.ingress_index = i;
            all.push_back(std::make_unique<quota::Driver>(options, settings, i + 1, loop.timers, log));
            all.back()->start();
        }
        error = quota::error_bound({.plans = {}, .ingress_count = 3}, {"p", 4, 12, 0}, 3, 1);
        loop.run(0.1);
    }
    // One request at each ingress; returns how many were admitted.
    int try_once() {
        int sent = 0;
        for (auto& one : all)
            if (one->retry_after_s(7, 0, {0, 3}, 1) == 0) {
                one->consume(7, 0, {0, 3}, 1);
                one->release(7);
                ++sent;
            }
        return sent;
    }
    // Requests far more than the quota for `s`; returns the units admitted beyond burst and rate.
    double overload(double s) {
        const double begun = net::now();
        int sent = 0;
        double worst = 0;
        while (net::now() < begun + s) {
            sent += try_once();
            worst = std::max(worst, sent - 12 - 4 * (net::now() - begun));
            loop.run(0.005);
        }
        passed = sent;
        return worst;
    }

    Loop loop;
    Log log{logging::Settings()};
    std::unique_ptr<fakes::Counter> counter;
    std::vector<std::unique_ptr<quota::Driver>> all;
    quota::ErrorBound error;
    int passed = 0;
};

}   // namespace

TEST_CASE("calls are written as each protocol wants them") {
    std::string out;
    const quota::CounterCall call{1, 0, "q.1f.20", -2.5, 4000};
    quota::http_counter_protocol("127.0.0.1:9")->write(call, out);
    CHECK(out ==
          "POST /counters/q.1f.20?by=-2.500000&expire_ms=4000 HTTP/1.1\r\nHost: 127.0.0.1:9\r\n"
          "Content-Length: 0\r\n\r\n");
    out.clear();
    quota::resp_counter_protocol()->write(call, out);
    CHECK(out ==
          "*1\r\n$5\r\nMULTI\r\n*6\r\n$3\r\nSET\r\n$7\r\nq.1f.20\r\n$1\r\n0\r\n$2\r\nPX\r\n$4\r\n4000\r\n$"
          "2\r\nNX\r\n"
          "*3\r\n$11\r\nINCRBYFLOAT\r\n$7\r\nq.1f.20\r\n$9\r\n-2.500000\r\n*1\r\n$4\r\nEXEC\r\n");
}

TEST_CASE("answers of HTTP in any pieces") {
    const auto replies =
        feed(true,
             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoiseHTTP/1.1 200 OK\r\n"
             "Transfer-Encoding: chunked\r\n\r\n2\r\n-1\r\n0\r\n\r\n");
    REQUIRE(replies.size() == 4);
    CHECK((replies[0].added && replies[0].total == 12.5));
    CHECK_FALSE(replies[1].added);
    CHECK((replies[2].added && std::isnan(replies[2].total)));
    CHECK((replies[3].added && replies[3].total == -1));
    feed(true, "SMTP ready\r\n\r\n", false);
    feed(true, "HTTP/1.1 200 OK\r\n\r\n12", false);   // where it ends can't be told
}

TEST_CASE("answers of RESP in any pieces") {
    const std::string queued = "+OK\r\n+QUEUED\r\n+QUEUED\r\n";
    const auto replies =
        feed(false, queued + "*2\r\n+OK\r\n$3\r\n2.5\r\n" + queued + "*2\r\n$-1\r\n$4\r\n1e+2\r\n" +
                        queued + "-EXECABORT no\r\n" + queued + "*2\r\n+OK\r\n-ERR no float\r\n" +
                        "+OK\r\n-ERR unknown\r\n+QUEUED\r\n-EXECABORT no\r\n" + queued + "*-1\r\n");
    REQUIRE(replies.size() == 6);
    CHECK((replies[0].added && replies[0].total == 2.5));
    CHECK((replies[1].added && replies[1].total == 100));
    for (std::size_t i = 2; i < 6; ++i) CHECK_FALSE(replies[i].added);
    feed(false, queued + "$3\r\n2.5\r\n", false);   // not a transaction's
    feed(false, "+OK\r\n$2\r\nab\r\n", false);
    feed(false, "*3000000000\r\n", false);
    feed(false, queued + "*1\r\n*1\r\n*1\r\n:1\r\n", false);
}

TEST_CASE("three ingresses keep a customer's quota through each fault of the counter") {
    const int protocol = GENERATE(0, 1);
    DriverFixture fixture(protocol);
    CHECK(fixture.overload(1.5) <= fixture.error.healthy);
    CHECK(fixture.passed >= 12);
    const std::vector<const char*> all{"refuse", "silent", "down", "lost", "noise", "slow 20", "twice"};
    for (const char* fault : protocol == 0 ? all : std::vector<const char*>{"refuse", "lost", "down"}) {
        fixture.loop.run(0.6);
        REQUIRE(fixture.counter->set_fault(fault));
        INFO(fault);
        CHECK(fixture.overload(0.8) <= fixture.error.counter_unreachable);
        // A share at least: of one unit within 1.1 s at each ingress, also where nothing was left before.
        CHECK((fixture.passed > 0 || fixture.loop.until([&] { return fixture.try_once() > 0; }, 5)));
        REQUIRE(fixture.counter->set_fault("none"));
    }
    fixture.loop.run(0.5);
    fixture.counter->empty();
    CHECK(fixture.overload(1) <= fixture.error.counter_state_lost);
    CHECK(fixture.loop.until([&] { return !fixture.all[0]->shared_quota().unreachable(0); }, 5));
}

TEST_CASE("a reload moves to another counter under load and loses no ingress") {
    DriverFixture fixture(0);
    fixture.overload(1.5);
    fakes::CounterSettings counting;
    counting.listen = {address_of(free_port())};
    fakes::Counter other(fixture.loop.timers, counting);
    std::string why;
    REQUIRE(other.start(why));
    for (auto& one : fixture.all) {
        quota::Options options;
        options.counter = counting.listen[0];
        CHECK(one->reload(options));
    }
    CHECK(fixture.overload(1.5) <= fixture.error.counter_state_lost + fixture.error.counter_unreachable);
    CHECK(other.summary().find("\"calls\":0,") == std::string::npos);
    std::uint64_t noticed = 0;
    for (const auto& one : fixture.all) noticed += one->shared_quota().counter_losses();
    CHECK(noticed >= 1);
    quota::Options options;
    options.counter = counting.listen[0] + ", " + counting.listen[0];
    CHECK_FALSE(fixture.all[0]->reload(options));   // another number of parts waits for the next start
}

TEST_CASE("the error that an operator wants sets the credit, or is rejected as too small") {
    slatejunction::Settings platform;
    platform.ingress_count = 3;
    platform.plans = {{"basis", 0.8, 3.6}, {"pro", 7, 15}};
    quota::Options options;
    options.counter = "127.0.0.1:1";
    options.error_units = 12;
    std::string fault;
    const auto made = quota::make_settings(options, platform, fault);
    CHECK(fault.empty());
    double worst = 0;
    for (const auto& plan : made.plans)
        worst = std::max(worst, quota::error_bound(made, plan, 3, 0).healthy);
    CHECK(worst == Approx(12).margin(0.01));
    options.error_units = 2;
    quota::make_settings(options, platform, fault);
    CHECK(fault.starts_with("error_units: the error bound of plan basis cannot be 2 units; "));
    fault.clear();
    platform.ingress_count = 12;
    quota::make_settings(options, platform, fault);
    CHECK(fault.starts_with("counter: shared quotas support at most 11 ingresses, but Balancers is 12"));
}
