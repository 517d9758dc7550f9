// Rules: load errors, the first matching route, conditions that are skipped without being evaluated, limits
// and the subsets of the fleet; and how the gateway handles subsets, fallbacks and rate limits.
#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "files.hpp"
#include "operator_config/options.hpp"
#include "rules/endpoint_subsets.hpp"
#include "rules/rules.hpp"
#include "slatejunction/gateway.hpp"

using namespace slatejunction;
using rules::Rules;

namespace {

rules::Settings settings(const std::string& text) {
    const Folder folder;
    operator_config::Options options;
    const auto errors = operator_config::load(folder.write("o.ini", text), options);
    INFO((errors.empty() ? "" : errors[0]));
    REQUIRE(errors.empty());
    return options.rules;
}

std::unique_ptr<Rules> load(const std::string& text, Rules::ErrorCallback on_error = {}) {
    std::vector<std::string> errors;
    auto rules = Rules::load(settings(text), {"n0", "z1"}, errors, std::move(on_error));
    REQUIRE(rules);
    return rules;
}

std::vector<std::string> load_errors_of(const std::string& text) {
    const Folder folder;
    operator_config::Options options;
    auto errors = operator_config::load(folder.write("o.ini", text), options);
    for (std::string& error : errors) error.erase(0, folder.file("o.ini").size() + 2);
    return errors;
}

rules::RequestFacts request(std::string_view service_class, std::string_view plan,
                            std::string_view path = "/") {
    rules::RequestFacts facts;
    facts.service_class = service_class;
    facts.plan = plan;
    facts.path = path;
    return facts;
}

Endpoint endpoint(const std::string& id, const std::string& flavor) {
    Endpoint result;
    result.backend = id;
    result.flavor = flavor;
    result.capacity_hint = 1;
    return result;
}

}   // namespace

TEST_CASE("each load error of a rule names the section, the key and the position") {
    using Errors = std::vector<std::string>;
    CHECK(load_errors_of("[route a]\nsubset = x\n") == Errors{"[route a] when: is missing"});
    CHECK(load_errors_of("[route a]\nwhen = true\nsubset = x\n") ==
          Errors{"[route a] subset: there is no [subset x]"});
    CHECK(load_errors_of("[route a b]\nwhen = true\n") ==
          Errors{"[route a b]: a name is of 1 to 40 letters, digits, '_' and '-'"});
    CHECK(load_errors_of("[route a]\nwhen = true\nspill = maybe\n") ==
          Errors{"[route a] spill: 'maybe' is none of never | empty | pressed"});
    CHECK(load_errors_of("[limit a]\nkey = request.plan\n") ==
          Errors{"[limit a] rate: neither rate nor max_out is set"});
    const auto type_errors = load_errors_of(
        "[route a]\nwhen = request.customer == 'x'\n[subset s]\nproviders = request.path == ''\n"
        "[limit l]\nkey = request.units\nrate = 1\n[tag t]\nvalue = 1\n");
    REQUIRE(type_errors.size() == 4);
    CHECK(type_errors[0].starts_with(
        "[subset s] providers: 1:9: 'request.path' is not declared; there is gateway, provider\n"));
    CHECK(type_errors[1] ==
          "[route a] when: 1:18: '==' does not take int and string\n  | request.customer == 'x'\n"
          "  |                  ^");
    CHECK(type_errors[2].starts_with("[limit l] key: 1:9: a key is a string, int, uint, bool or a list"));
    CHECK(type_errors[3].starts_with("[tag t] value: 1:1: of type int; wanted is string"));
    CHECK(
        load_errors_of("[expressions]\nmax_cost = 100\n[route a]\nwhen = request.path.matches('a+b')\n")[0]
            .find("over max_cost 100") != std::string::npos);
    // Only expressions may continue on indented lines.
    CHECK(load_errors_of("[route a]\nwhen = request.plan == 'plus' &&\n    request.units > 1.0\n").empty());
    CHECK(load_errors_of("[route a]\nwhen = true &&\n  request.units > 'x'\n")[0].starts_with(
        "[route a] when: 2:15: "));
    CHECK(load_errors_of("[subset s]\nproviders = true\nleast = 1\n  2\n") ==
          Errors{"[subset s] least: does not go over several lines"});
    CHECK(load_errors_of("[subset s]\n  providers = true\n") == Errors{"line 2: indented"});
}

TEST_CASE("the first route by order matches, and a condition with an error does not and is reported") {
    std::vector<std::string> reported;
    const auto rules = load(
        "[subset big]\nproviders = provider.flavor == 'large'\n[subset small]\nproviders = provider.flavor "
        "== 'small'\n"
        "[route late]\nwhen = true\nsubset = small\norder = 5\n"
        "[route desk]\nwhen = request.headers['x-desk'] == 'storm'\nsubset = big\nspill = pressed\n"
        "[route plus]\nwhen = request.class == 'warn-send' && request.plan in ['plus', 'pro']\nsubset = "
        "big\norder = 1\n"
        "[tag desk]\nvalue = request.headers['x-desk']\n",
        [&](const std::string& rule, std::string_view why) {
            reported.push_back(rule + ": " + std::string(why));
        });
    const std::vector<http::Field> fields{{"X-Desk", "storm"}};
    auto facts = request("risk-read", "basis");
    auto verdict = rules->evaluate(0, facts);
    CHECK(verdict.route == 0);
    CHECK(verdict.subset == 2);
    CHECK(reported == std::vector<std::string>{"route desk: no such key", "tag desk: no such key"});
    facts.headers = fields;
    verdict = rules->evaluate(0, facts);
    CHECK(verdict.route == 1);
    CHECK(verdict.subset == 1);
    CHECK(verdict.subset_fallback == SubsetFallback::when_overloaded);
    REQUIRE(verdict.tags.size() == 1);
    CHECK(verdict.tags[0].second == "storm");
    CHECK(rules->evaluate(0, request("warn-send", "pro")).route == 2);
    CHECK(rules->evaluate(0, request("warn-send", "basis")).route == 0);
    for (const auto& one : rules->counts())
        if (one.name == "route desk") CHECK((one.matches == 1 && one.errors == 3));
    CHECK(rules->evaluation_cost() > 0);
}

// Evaluates every condition and compares with the rules, whose index must not skip a condition that holds.
TEST_CASE("random routes and requests: the index skips no condition that holds") {
    std::mt19937 random(20261201);
    const std::vector<std::string> classes{"risk-read", "warn-send", "x"},
        plans{"basis", "plus", "pro", ""}, paths{"/a", "/a/b", "/a/b/c", "/b", "/", "/a/c"};
    const auto pick = [&](const std::vector<std::string>& choices) {
        return choices[random() % choices.size()];
    };
    const auto operand = [&]() -> std::string {
        switch (random() % 8) {
            case 0:
                return "request.class == '" + pick(classes) + "'";
            case 1:
                return "'" + pick(plans) + "' == request.plan";
            case 2:
                return "request.class in ['" + pick(classes) + "', '" + pick(classes) + "']";
            case 3:
                return "request.path.startsWith('" + pick(paths) + "')";
            case 4:
                return "request.path == '" + pick(paths) + "'";
            case 5:
                return "(request.plan == '" + pick(plans) + "' || request.path == '" + pick(paths) + "')";
            case 6:
                return "!(request.class == '" + pick(classes) + "')";
            default:
                return "request.headers['x'] != 'y'";   // an error: the header is missing
        }
    };
    for (int round = 0; round < 15; ++round) {
        std::string text;
        std::vector<std::string> sources;
        for (int i = 0; i < 60; ++i) {
            std::string source = operand();
            for (std::size_t more = random() % 3; more > 0; --more)
                source += (random() % 8 ? " && " : " || ") + operand();
            sources.push_back(source);
            text += "[route r" + std::to_string(i) + "]\nwhen = " + source + "\n";
        }
        const auto rules = load(text);
        for (int i = 0; i < 60; ++i) {
            const std::string service_class = pick(classes), plan = pick(plans), path = pick(paths);
            const auto facts = request(service_class, plan, path);
            std::size_t expected = rules::RequestVerdict::kNone;
            const rules::GatewayFacts gateway;
            rules::RuleVariables variables(gateway);
            expr::Evaluator evaluator;
            for (std::size_t k = 0; k < sources.size() && expected == rules::RequestVerdict::kNone; ++k) {
                variables.begin(&facts, nullptr);
                const auto program = expr::compile(sources[k], rules::environment(rules::Scope::request));
                const auto value = evaluator.run(program, variables).value;
                if (value.is(expr::Kind::boolean) && value.truth()) expected = k;
            }
            REQUIRE(rules->evaluate(0, facts).route == expected);
        }
    }
}

TEST_CASE("the limit with the longest wait rejects, and only forwarded requests consume tokens") {
    const auto rules = load(
        "[limit path]\nkey = request.path\nrate = 1\nburst = 2\n"
        "[limit all]\nkey = [request.plan, request.class]\nrate = 10\nburst = 3\ncount = units\n");
    auto facts = request("risk-read", "plus", "/a");
    facts.units = 1;
    for (int i = 0; i < 5; ++i)
        CHECK(rules->evaluate(0, facts).rate_limit_retry_after_s == 0);   // not forwarded
    for (int i = 0; i < 2; ++i) {
        auto verdict = rules->evaluate(0, facts);
        REQUIRE(verdict.rate_limit_retry_after_s == 0);
        rules->on_first_attempt(0, verdict, false);
        Rules::on_request_end(0, verdict);
    }
    const auto exceeded = rules->evaluate(0, facts);
    CHECK(exceeded.rate_limit_retry_after_s == Approx(1));
    CHECK(exceeded.limit_exceeded == 0);
    facts.path = "/b";
    facts.units = 3;
    const auto by_units = rules->evaluate(0, facts);
    CHECK(by_units.limit_exceeded == 1);
    CHECK(by_units.rate_limit_retry_after_s == Approx(0.2));
    // After a reload, a limit with the same settings keeps its buckets and another starts with full ones.
    // Counts are kept by name.
    const auto reloaded = load(
        "[limit path]\nkey = request.path\nrate = 1\nburst = 2\n[limit all]\nkey = request.plan\nrate = "
        "1\n");
    reloaded->inherit_state(*rules);
    facts.path = "/a";
    facts.units = 1;
    CHECK(reloaded->evaluate(0, facts).rate_limit_retry_after_s == Approx(1));
    for (const auto& one : reloaded->counts())
        if (one.name == "limit path") CHECK(one.matches > 5);
}

TEST_CASE("the subsets of the fleet follow endpoint updates, min_backends and reloads") {
    const auto rules = load(
        "[subset big]\nproviders = provider.flavor == 'large'\nleast = 2\n"
        "[subset a]\nproviders = provider.id.startsWith('a')\n");
    rules::EndpointSubsets subsets;
    EndpointUpdate list{EndpointUpdateKind::snapshot,
                        {endpoint("a1", "large"), endpoint("b1", "large"), endpoint("c1", "small")}};
    subsets.update(0, list, rules.get());
    CHECK(list.endpoints[0].subsets == 3);
    CHECK(list.endpoints[1].subsets == 1);
    CHECK(list.endpoints[2].subsets == 0);
    CHECK(subsets.serving_count(0) == 2);
    // a1 drains: b1 alone is below min_backends, so it is added to the update without subsets.
    EndpointUpdate drain{EndpointUpdateKind::delta, {endpoint("a1", "large")}};
    drain.endpoints[0].state = EndpointState::draining;
    subsets.update(0, drain, rules.get());
    REQUIRE(drain.endpoints.size() == 2);
    CHECK(drain.endpoints[1].backend == "b1");
    CHECK(drain.endpoints[1].subsets == 0);
    // The draining backend a1 returns with another flavor; then the rules are removed.
    EndpointUpdate back{EndpointUpdateKind::delta, {endpoint("a1", "small")}};
    subsets.update(0, back, rules.get());
    CHECK(back.endpoints[0].subsets == 2);
    const EndpointUpdate none = subsets.reload(0, nullptr);
    REQUIRE(none.endpoints.size() == 1);
    CHECK(none.endpoints[0].subsets == 0);
    CHECK(subsets.reload(0, rules.get()).endpoints.size() == 1);
}

// The gateway. ------------------------------------------------------------------------------------------

namespace {

struct GatewayHarness {
    explicit GatewayHarness(const std::vector<std::pair<std::string, std::uint64_t>>& backends)
        : gateway(gateway_settings(), 5) {
        handle(0, Start{});
        EndpointUpdate list{EndpointUpdateKind::snapshot, {}};
        for (const auto& [id, subsets] : backends) {
            list.endpoints.push_back(endpoint(id, ""));
            list.endpoints.back().subsets = subsets;
        }
        handle(0, list);
    }
    static slatejunction::Settings gateway_settings() {
        slatejunction::Settings result;
        ServiceClass read;
        read.name = "read", read.latency_objective_s = 0.2, read.deadline_s = 1, read.priority_weight = 1;
        result.classes = {read};
        result.max_attempts = 3;
        result.ingress_count = 1;
        result.slow_start_min_capacity = 0.1, result.slow_start_window_s = 20,
        result.overload_multiple = 1.2, result.overload_window_s = 5;
        return result;
    }
    std::vector<Action> handle(double now, const Event& event) {
        std::vector<Action> actions;
        gateway.handle(now, event, actions);
        return actions;
    }
    // Sends a request. Returns the backend of its first attempt; empty if it is rejected, with the reason
    // and the Retry-After stored.
    std::string send_request(double now, std::uint64_t subset,
                             SubsetFallback fallback = SubsetFallback::never,
                             double rate_limit_retry_after_s = 0) {
        Request request;
        request.id = last_id = std::to_string(++request_count);
        request.service_class = "read";
        request.units = 1;
        request.deadline_at_s = now + 1;
        request.subset = subset;
        request.subset_fallback = fallback;
        request.rate_limit_retry_after_s = rate_limit_retry_after_s;
        for (const Action& action : handle(now, request)) {
            if (const auto* start = std::get_if<StartAttempt>(&action))
                return used_fallback = start->used_fallback, start->backend;
            if (const auto* reject = std::get_if<RejectRequest>(&action))
                reason = reject->reason, retry_after_s = reject->retry_after_s;
        }
        return "";
    }
    // Ends the attempt of the request with the id `last_id`, and the request with it.
    void end_attempt(double now, double duration_s, AttemptResult result = AttemptResult::ok) {
        AttemptEnded event;
        event.id = last_id;
        event.result = result;
        event.duration_s = duration_s;
        event.request_ended = true;
        handle(now, event);
    }
    Gateway gateway;
    std::string last_id;
    int request_count = 0;
    bool used_fallback = false;
    RejectReason reason = RejectReason::malformed;
    double retry_after_s = 0;
};

}   // namespace

TEST_CASE("the gateway keeps requests in their subset and falls back only as the route allows") {
    GatewayHarness harness({{"a1", 1}, {"a2", 1}, {"b1", 2}, {"c1", 0}});
    for (int i = 0; i < 200; ++i) {
        const double now = 0.01 * i;
        const std::string backend = harness.send_request(now, 1);
        REQUIRE((backend == "a1" || backend == "a2"));
        REQUIRE_FALSE(harness.used_fallback);
        harness.end_attempt(now + 0.005, 0.005);
        REQUIRE(harness.send_request(now, 2) == "b1");
        harness.end_attempt(now + 0.005, 0.005);
    }
    // No backend is in the third subset.
    CHECK(harness.send_request(3, 4) == "");
    CHECK(harness.reason == RejectReason::no_backend);
    CHECK(harness.send_request(3, 4, SubsetFallback::when_empty) != "");
    CHECK(harness.used_fallback);
    harness.end_attempt(3.01, 0.01);
    CHECK(harness.send_request(3.02, 0, SubsetFallback::never, 0.7) == "");   // over a rate limit
    CHECK(harness.reason == RejectReason::rate_limit);
    CHECK(harness.retry_after_s == 0.7);
    // The only backend of a subset drains: requests are rejected or fall back, and none goes to that
    // backend.
    EndpointUpdate drain{EndpointUpdateKind::delta, {endpoint("b1", "")}};
    drain.endpoints[0].state = EndpointState::draining;
    harness.handle(3.1, drain);
    for (int i = 0; i < 50; ++i) {
        CHECK(harness.send_request(3.2, 2) == "");
        const std::string backend = harness.send_request(3.2, 2, SubsetFallback::when_empty);
        REQUIRE(backend != "b1");
        if (!backend.empty()) harness.end_attempt(3.2, 0.001);
    }
}

TEST_CASE("a slow subset sheds its own load and no other subset's") {
    GatewayHarness harness({{"a1", 1}, {"b1", 2}});
    int a_rejected = 0, b_rejected = 0, fallbacks = 0;
    // End times and ids of attempts; those on a1 take 0.19 s, of a latency objective of 0.2 s.
    std::deque<std::pair<double, std::string>> in_flight;
    for (int i = 0; i < 4000; ++i) {
        const double now = 0.005 * i;
        harness.handle(now, TimerFired{0});
        for (; !in_flight.empty() && in_flight.front().first <= now; in_flight.pop_front()) {
            harness.last_id = in_flight.front().second;
            harness.end_attempt(now, 0.19);
        }
        const SubsetFallback fallback = i > 2000 ? SubsetFallback::when_overloaded : SubsetFallback::never;
        const std::string backend = harness.send_request(now, 1, fallback);
        a_rejected += backend.empty();
        fallbacks += !backend.empty() && harness.used_fallback;
        if (!backend.empty())
            in_flight.emplace_back(now + (backend == "a1" ? 0.19 : 0.001), harness.last_id);
        if (harness.send_request(now, 2).empty())
            ++b_rejected;
        else
            harness.end_attempt(now + 0.001, 0.001);
    }
    CHECK(a_rejected > 500);
    CHECK(b_rejected == 0);
    CHECK(fallbacks > 100);
}

TEST_CASE("a subset in slow start gets a small part of its load, and the rest falls back or is rejected") {
    GatewayHarness harness({{"warm", 2}});
    EndpointUpdate list{EndpointUpdateKind::delta, {endpoint("cold", "")}};
    list.endpoints[0].subsets = 1;
    list.endpoints[0].started_at_s = 10;
    harness.handle(10, list);
    int cold = 0, rejected = 0;
    for (int i = 0; i < 400; ++i) {
        const double now = 10 + 0.001 * i;
        const std::string backend = harness.send_request(now, 1);
        cold += backend == "cold";
        rejected += backend.empty();
        if (!backend.empty()) harness.end_attempt(now, 0.001);
    }
    CHECK(cold > 0);
    CHECK(cold < 100);   // half of the stated budget at a tenth of its capacity: 6 in 100
    CHECK(rejected > 300);
    int warm = 0;
    for (int i = 0; i < 400; ++i) {
        const double now = 10.4 + 0.001 * i;
        warm += harness.send_request(now, 1, SubsetFallback::when_overloaded) == "warm";
        harness.end_attempt(now, 0.001);
    }
    CHECK(warm > 300);
    CHECK(harness.send_request(11, 1, SubsetFallback::when_empty) != "warm");   // the subset is not empty
}
