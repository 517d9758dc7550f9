// Tests of the counter's two protocols with input split at any byte, and of drivers with a failing counter.
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

// Parses `bytes` in pieces of every size and checks that the outcome is the same for all of them: the
// protocol is kept to if `expect_ok`, and the replies are equal. Returns the replies.
std::vector<Reply> parse_in_pieces(bool http, const std::string& bytes, bool expect_ok = true) {
    std::vector<Reply> first;
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        const auto protocol = http ? quota::http_counter_protocol("h") : quota::resp_counter_protocol();
        std::vector<Reply> replies;
        bool ok = true;
        for (std::size_t at = 0; at < bytes.size() && ok; at += size)
            ok = protocol->parse(std::string_view(bytes).substr(at, size), replies) ==
                 quota::ProtocolStatus::ok;
        REQUIRE(ok == expect_ok);
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
    template <class Predicate>
    bool run_until(Predicate predicate, double timeout_s = 10) {
        const double end = net::now() + timeout_s;
        while (!predicate()) {
            if (net::now() > end) return false;
            if (!g_main_context_iteration(nullptr, FALSE)) sleep_s(0.0005);
        }
        return true;
    }
    void run(double duration_s) {
        const double end = net::now() + duration_s;
        run_until([&] { return net::now() >= end; }, duration_s + 1);
    }
    net::Loop loop;
    net::Timers timers;
};

// A counter and three drivers, each of which reaches the counter at an address of its own.
struct DriverFixture {
    explicit DriverFixture(int protocol) {
        fakes::CounterSettings counter_settings;
        for (int i = 0; i < 3; ++i) counter_settings.listen.push_back(address_of(free_port()));
        counter_settings.call_ms = 0.2;
        counter = std::make_unique<fakes::Counter>(loop.timers, counter_settings);
        std::string error;
        REQUIRE(counter->start(error));
        for (unsigned i = 0; i < 3; ++i) {
            quota::Options options;
            options.counter = counter_settings.listen[i];
            options.protocol = protocol;
            quota::Settings settings;
            settings.plans = {{"p", 4, 12, 0}};
            settings.ingress_count = 3;
            settings.ingress_index = i;
            drivers.push_back(std::make_unique<quota::Driver>(options, settings, i + 1, loop.timers, log));
            drivers.back()->start();
        }
        bound = quota::error_bound({.plans = {}, .ingress_count = 3}, {"p", 4, 12, 0}, 3, 1);
        loop.run(0.1);
    }
    // Makes one request at each ingress and returns how many were admitted.
    int request_once() {
        int count = 0;
        for (auto& driver : drivers)
            if (driver->retry_after_s(7, 0, {0, 3}, 1) == 0) {
                driver->consume(7, 0, {0, 3}, 1);
                driver->release(7);
                ++count;
            }
        return count;
    }
    // Makes far more requests than the quota allows for `duration_s`. Returns the most units that were
    // admitted beyond burst + rate * t, and sets `admitted`.
    double overload(double duration_s) {
        const double started_at_s = net::now();
        int count = 0;
        double worst_excess = 0;
        while (net::now() < started_at_s + duration_s) {
            count += request_once();
            worst_excess = std::max(worst_excess, count - 12 - 4 * (net::now() - started_at_s));
            loop.run(0.005);
        }
        admitted = count;
        return worst_excess;
    }

    Loop loop;
    Log log{logging::Settings()};
    std::unique_ptr<fakes::Counter> counter;
    std::vector<std::unique_ptr<quota::Driver>> drivers;
    quota::ErrorBound bound;
    int admitted = 0;
};

}   // namespace

TEST_CASE("calls are encoded as each protocol requires") {
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

TEST_CASE("HTTP replies are parsed alike however they are split") {
    const auto replies = parse_in_pieces(
        true,
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoiseHTTP/1.1 200 OK\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\n-1\r\n0\r\n\r\n");
    REQUIRE(replies.size() == 4);
    CHECK((replies[0].added && replies[0].total == 12.5));
    CHECK_FALSE(replies[1].added);
    CHECK((replies[2].added && std::isnan(replies[2].total)));
    CHECK((replies[3].added && replies[3].total == -1));
    parse_in_pieces(true, "SMTP ready\r\n\r\n", false);
    parse_in_pieces(true, "HTTP/1.1 200 OK\r\n\r\n12", false);   // the end of the body is not known
}

TEST_CASE("RESP replies are parsed alike however they are split") {
    const std::string queued = "+OK\r\n+QUEUED\r\n+QUEUED\r\n";
    const auto replies = parse_in_pieces(
        false, queued + "*2\r\n+OK\r\n$3\r\n2.5\r\n" + queued + "*2\r\n$-1\r\n$4\r\n1e+2\r\n" + queued +
                   "-EXECABORT no\r\n" + queued + "*2\r\n+OK\r\n-ERR no float\r\n" +
                   "+OK\r\n-ERR unknown\r\n+QUEUED\r\n-EXECABORT no\r\n" + queued + "*-1\r\n");
    REQUIRE(replies.size() == 6);
    CHECK((replies[0].added && replies[0].total == 2.5));
    CHECK((replies[1].added && replies[1].total == 100));
    for (std::size_t i = 2; i < 6; ++i) CHECK_FALSE(replies[i].added);
    parse_in_pieces(false, queued + "$3\r\n2.5\r\n", false);   // not a transaction's reply
    parse_in_pieces(false, "+OK\r\n$2\r\nab\r\n", false);
    parse_in_pieces(false, "*3000000000\r\n", false);
    parse_in_pieces(false, queued + "*1\r\n*1\r\n*1\r\n:1\r\n", false);
}

TEST_CASE(
    "three ingresses keep a customer's quota within the error bound during each fault of the counter") {
    const int protocol = GENERATE(0, 1);
    DriverFixture fixture(protocol);
    CHECK(fixture.overload(1.5) <= fixture.bound.healthy);
    CHECK(fixture.admitted >= 12);
    const std::vector<const char*> all_faults{"refuse", "silent",  "down", "lost",
                                              "noise",  "slow 20", "twice"};
    for (const char* fault :
         protocol == 0 ? all_faults : std::vector<const char*>{"refuse", "lost", "down"}) {
        fixture.loop.run(0.6);
        REQUIRE(fixture.counter->set_fault(fault));
        INFO(fault);
        CHECK(fixture.overload(0.8) <= fixture.bound.counter_unreachable);
        // Each ingress admits at least its share, which is a unit within 1.1 s even from an empty bucket.
        CHECK((fixture.admitted > 0 ||
               fixture.loop.run_until([&] { return fixture.request_once() > 0; }, 5)));
        REQUIRE(fixture.counter->set_fault("none"));
    }
    fixture.loop.run(0.5);
    fixture.counter->empty();
    CHECK(fixture.overload(1) <= fixture.bound.counter_state_lost);
    CHECK(fixture.loop.run_until([&] { return !fixture.drivers[0]->shared_quota().unreachable(0); }, 5));
}

TEST_CASE("a reload moves all ingresses to another counter under load within the error bound") {
    DriverFixture fixture(0);
    fixture.overload(1.5);
    fakes::CounterSettings counter_settings;
    counter_settings.listen = {address_of(free_port())};
    fakes::Counter other(fixture.loop.timers, counter_settings);
    std::string error;
    REQUIRE(other.start(error));
    for (auto& driver : fixture.drivers) {
        quota::Options options;
        options.counter = counter_settings.listen[0];
        CHECK(driver->reload(options));
    }
    CHECK(fixture.overload(1.5) <= fixture.bound.counter_state_lost + fixture.bound.counter_unreachable);
    CHECK(other.summary().find("\"calls\":0,") == std::string::npos);
    std::uint64_t losses = 0;
    for (const auto& driver : fixture.drivers) losses += driver->shared_quota().counter_losses();
    CHECK(losses >= 1);
    quota::Options options;
    options.counter = counter_settings.listen[0] + ", " + counter_settings.listen[0];
    CHECK_FALSE(fixture.drivers[0]->reload(options));   // a change of the number of shards needs a restart
}

TEST_CASE("error_units sets max_unreported_units, or is rejected if it is too small") {
    slatejunction::Settings platform;
    platform.ingress_count = 3;
    platform.plans = {{"basis", 0.8, 3.6}, {"pro", 7, 15}};
    quota::Options options;
    options.counter = "127.0.0.1:1";
    options.error_units = 12;
    std::string error;
    const auto settings = quota::make_settings(options, platform, error);
    CHECK(error.empty());
    double largest_bound = 0;
    for (const auto& plan : settings.plans)
        largest_bound = std::max(largest_bound, quota::error_bound(settings, plan, 3, 0).healthy);
    CHECK(largest_bound == Approx(12).margin(0.01));
    options.error_units = 2;
    quota::make_settings(options, platform, error);
    CHECK(error.starts_with("error_units: the error bound of plan basis cannot be 2 units; "));
    error.clear();
    platform.ingress_count = 12;
    quota::make_settings(options, platform, error);
    CHECK(error.starts_with("counter: shared quotas support at most 11 ingresses, but Balancers is 12"));
}
