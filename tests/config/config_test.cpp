// The configuration's file: whatever stands in it, it is taken, or refused by one line that names a field.
#include "config/config.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <string>
#include <string_view>

#include "config/drawn.hpp"

using drawn::Drawer;

namespace sj = slatejunction;
using sj::config::Bad, sj::config::Config;

namespace {

const std::string kClass = R"({"Name":"r","AimS":1,"Effect":"pure"})";

std::string file(const std::string& services, const std::string& more_settings = "",
                 const std::string& more = "", const std::string& limits = R"("AttemptsCap":3)") {
    return R"({"settings":{"Balancers":1,"Limits":{)" + limits + R"(},"Services":[)" + services + "]" +
           more_settings + "}" + more + "}";
}

Config taken(const std::string& json) { return sj::config::read(json, sj::discovery::UnixTimeConverter()); }

std::string fault(const std::string& json) {
    try {
        taken(json);
    } catch (const Bad& bad) {
        return bad.what();
    }
    return "none";
}

bool warns(const Config& config, const std::string& of) {
    for (const std::string& line : config.warnings)
        if (line.find(of) != std::string::npos) return true;
    return false;
}

// The decisions take what was read: a start, a list, a request of each class.
void decide(const Config& config) {
    sj::Gateway gateway(config.settings, config.seed);
    std::vector<sj::Action> actions;
    gateway.handle(1, sj::Start{}, actions);
    gateway.handle(1, config.known.update, actions);
    for (const sj::ServiceClass& c : config.settings.classes) {
        sj::Request request;
        request.id = "q" + std::to_string(&c - config.settings.classes.data());
        request.service_class = c.name;
        request.plan = config.settings.plans.empty() ? "" : config.settings.plans[0].name;
        request.units = 1;
        request.deadline_at_s = 3;
        gateway.handle(1.1, request, actions);
    }
    gateway.handle(4, sj::TimerFired{0}, actions);
}

}   // namespace

TEST_CASE("any configuration is taken, or refused by a line that names its field", "[config]") {
    constexpr std::uint32_t kDrawn = 4000;
    int good = 0, bad = 0;
    for (std::uint32_t seed = 0; seed < kDrawn; ++seed) {
        const std::string json = Drawer(seed).draw();
        INFO(seed << ": " << json);
        try {
            const Config config = taken(json);
            ++good;
            REQUIRE(std::abs(config.settings.max_retry_after_s) <= sj::config::kFigureMost);
            REQUIRE(config.memory_mb <= sj::config::kFigureMost);
            REQUIRE(config.sockets >= 64);
            REQUIRE(static_cast<double>(config.max_open_requests) <= sj::config::kFigureMost);
            REQUIRE_FALSE(config.settings.classes.empty());
            REQUIRE(config.known.addresses.size() == config.known.update.endpoints.size());
            decide(config);
        } catch (const Bad& told) {
            ++bad;
            REQUIRE(std::string_view(told.what()).size() > 10);
            REQUIRE(std::string_view(told.what()).find('\n') == std::string_view::npos);
        }
    }
    REQUIRE(good > 100);   // both ends are met often
    REQUIRE(bad > 100);
}

TEST_CASE("figures too large for any use are taken as the largest, and told", "[config]") {
    const Config config = taken(file(
        kClass, R"(,"MyNumber":-1e308)", R"(,"limits":{"memory_mb":1e300,"sockets":1e300})",
        R"("AttemptsCap":3,"MaxRetryAfterS":1e308,"MaxOpen":1e308,"DialTimeoutS":1e300,"KeepaliveS":1e300)"));
    CHECK(config.settings.ingress_index == -1'000'000'000'000'000);
    CHECK(config.settings.max_retry_after_s == 1e15);
    CHECK(config.max_open_requests == 1'000'000'000'000'000);
    CHECK(config.memory_mb == 1e15);
    CHECK(config.sockets == 1'000'000);
    CHECK(warns(config, "settings.MyNumber is out of range and taken as -1e15"));
    CHECK(warns(config, "settings.Limits.MaxRetryAfterS is out of range and taken as 1e15"));
    CHECK(config.warnings.size() == 7);
    CHECK(fault(file(kClass, R"(,"MyNumber":NaN)")).starts_with("configuration is not JSON"));
    CHECK(fault(file(kClass, R"(,"MyNumber":1e999)")).starts_with("configuration is not JSON"));
    CHECK(fault(file(kClass, R"(,"MyNumber":"NaN")")) == "settings.MyNumber is not a number");
}

TEST_CASE("a known list with faults is no reason not to start", "[config]") {
    const auto with = [](const std::string& known) {
        return taken(file(kClass, "", R"(,"known":)" + known));
    };
    const std::string member = R"({"id":"s","host_port":"127.0.0.1:9","phase":"Ready","cell":1e300})";
    for (const char* none : {"[]", "7", "\"x\"", "{}", R"({"members":{}})"}) {
        const Config config = with(none);
        CHECK(config.known.update.endpoints.empty());
        CHECK_FALSE(config.known.revision);
        CHECK(warns(config, "known is not a list of the directory and was left out"));
    }
    CHECK(with("null").warnings.empty());
    const Config whole = with(R"({"revision":4,"complete":true,"members":[)" + member + "]}");
    CHECK(whole.warnings.empty());
    CHECK(whole.known.revision == 4);
    CHECK(whole.known.update.endpoints.at(0).cell == 0);
    const Config torn = with(R"({"members":[)" + member + R"(,7,{"id":"t"}]})");
    CHECK(torn.known.update.endpoints.size() == 1);
    CHECK(torn.known.update.kind == sj::EndpointUpdateKind::cached_snapshot);
    CHECK_FALSE(torn.known.revision);
    CHECK(warns(torn, "known.revision is missing"));
    CHECK(warns(torn, "known.members: 2 entries that can't be read were left out"));
}

TEST_CASE("sixty classes, odd names, and two of one name", "[config]") {
    std::string services = kClass;
    for (int i = 0; i < 59; ++i)
        services += R"(,{"Name":"c)" + std::to_string(i) + R"(","AimS":1,"Effect":"token"})";
    CHECK(taken(file(services)).settings.classes.size() == 60);
    CHECK(warns(taken(file(kClass + "," + kClass)),
                "settings.Services[1].Name is given twice, the first counts: 'r'"));
    CHECK(fault(file(R"({"Name":"","AimS":1,"Effect":"pure"})")) == "settings.Services[0].Name is empty");
    CHECK(fault(file(kClass, R"(,"Discovery":"push")")) == "settings.Discovery is unknown: 'push'");
    CHECK(fault(file(kClass, "", "", "")) == "settings.Limits.AttemptsCap is missing");
}

TEST_CASE("what is nested without end does not take the stack", "[config]") {
    const std::string deep = std::string(200'000, '[');
    CHECK(fault(deep).starts_with("configuration is not JSON"));
    CHECK(fault(file(kClass, "", R"(,"new":)" + deep + std::string(200'000, ']'))) == "none");
}
