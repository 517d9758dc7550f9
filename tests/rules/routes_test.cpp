// Rules: loading with all faults reported, first match, what is skipped without being evaluated, subsets of
// the fleet, and what the module makes of them.
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
    const auto faults = operator_config::load(folder.write("o.ini", text), options);
    INFO((faults.empty() ? "" : faults[0]));
    REQUIRE(faults.empty());
    return options.rules;
}

std::unique_ptr<Rules> load(const std::string& text, Rules::ErrorCallback on_error = {}) {
    std::vector<std::string> faults;
    auto made = Rules::load(settings(text), {"n0", "z1"}, faults, std::move(on_error));
    REQUIRE(made);
    return made;
}

std::vector<std::string> faults_of(const std::string& text) {
    const Folder folder;
    operator_config::Options options;
    auto faults = operator_config::load(folder.write("o.ini", text), options);
    for (std::string& one : faults) one.erase(0, folder.file("o.ini").size() + 2);
    return faults;
}

rules::RequestFacts request(std::string_view service_class, std::string_view plan,
                            std::string_view path = "/") {
    rules::RequestFacts facts;
    facts.service_class = service_class;
    facts.plan = plan;
    facts.path = path;
    return facts;
}

Endpoint provider(const std::string& id, const std::string& flavor) {
    Endpoint entry;
    entry.backend = id;
    entry.flavor = flavor;
    entry.capacity_hint = 1;
    return entry;
}

}   // namespace

TEST_CASE("each fault of a rule is a line that names section, key and place") {
    using Faults = std::vector<std::string>;
    CHECK(faults_of("[route a]\nsubset = x\n") == Faults{"[route a] when: is missing"});
    CHECK(faults_of("[route a]\nwhen = true\nsubset = x\n") ==
          Faults{"[route a] subset: there is no [subset x]"});
    CHECK(faults_of("[route a b]\nwhen = true\n") ==
          Faults{"[route a b]: a name is of 1 to 40 letters, digits, '_' and '-'"});
    CHECK(faults_of("[route a]\nwhen = true\nspill = maybe\n") ==
          Faults{"[route a] spill: 'maybe' is none of never | empty | pressed"});
    CHECK(faults_of("[limit a]\nkey = request.plan\n") ==
          Faults{"[limit a] rate: neither rate nor max_out is set"});
    const auto typed = faults_of(
        "[route a]\nwhen = request.customer == 'x'\n[subset s]\nproviders = request.path == ''\n"
        "[limit l]\nkey = request.units\nrate = 1\n[tag t]\nvalue = 1\n");
    REQUIRE(typed.size() == 4);
    CHECK(typed[0].starts_with(
        "[subset s] providers: 1:9: 'request.path' is not declared; there is gateway, provider\n"));
    CHECK(typed[1] ==
          "[route a] when: 1:18: '==' does not take int and string\n  | request.customer == 'x'\n"
          "  |                  ^");
    CHECK(typed[2].starts_with("[limit l] key: 1:9: a key is a string, int, uint, bool or a list"));
    CHECK(typed[3].starts_with("[tag t] value: 1:1: of type int; wanted is string"));
    CHECK(
        faults_of("[expressions]\nmax_cost = 100\n[route a]\nwhen = request.path.matches('a+b')\n")[0].find(
            "over max_cost 100") != std::string::npos);
    // Over several lines, and only where that is meant.
    CHECK(faults_of("[route a]\nwhen = request.plan == 'plus' &&\n    request.units > 1.0\n").empty());
    CHECK(faults_of("[route a]\nwhen = true &&\n  request.units > 'x'\n")[0].starts_with(
        "[route a] when: 2:15: "));
    CHECK(faults_of("[subset s]\nproviders = true\nleast = 1\n  2\n") ==
          Faults{"[subset s] least: does not go over several lines"});
    CHECK(faults_of("[subset s]\n  providers = true\n") == Faults{"line 2: indented"});
}

TEST_CASE("the first route by order matches, errors do not match, are counted and reported") {
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

// Every condition is evaluated beside the index, which must leave out none that holds.
TEST_CASE("what the matcher leaves out would not have held: random routes and requests") {
    std::mt19937 random(20261201);
    const std::vector<std::string> classes{"risk-read", "warn-send", "x"},
        plans{"basis", "plus", "pro", ""}, paths{"/a", "/a/b", "/a/b/c", "/b", "/", "/a/c"};
    const auto pick = [&](const std::vector<std::string>& all) { return all[random() % all.size()]; };
    const auto part = [&]() -> std::string {
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
                return "request.headers['x'] != 'y'";   // an error
        }
    };
    for (int round = 0; round < 15; ++round) {
        std::string text;
        std::vector<std::string> sources;
        for (int i = 0; i < 60; ++i) {
            std::string source = part();
            for (std::size_t more = random() % 3; more > 0; --more)
                source += (random() % 8 ? " && " : " || ") + part();
            sources.push_back(source);
            text += "[route r" + std::to_string(i) + "]\nwhen = " + source + "\n";
        }
        const auto rules = load(text);
        for (int i = 0; i < 60; ++i) {
            const std::string service_class = pick(classes), plan = pick(plans), path = pick(paths);
            const auto facts = request(service_class, plan, path);
            std::size_t wanted = rules::RequestVerdict::kNone;
            const rules::GatewayFacts gateway;
            rules::RuleVariables source(gateway);
            expr::Evaluator evaluator;
            for (std::size_t k = 0; k < sources.size() && wanted == rules::RequestVerdict::kNone; ++k) {
                source.begin(&facts, nullptr);
                const auto program = expr::compile(sources[k], rules::environment(rules::Scope::request));
                const auto value = evaluator.run(program, source).value;
                if (value.is(expr::Kind::boolean) && value.truth()) wanted = k;
            }
            REQUIRE(rules->evaluate(0, facts).route == wanted);
        }
    }
}

TEST_CASE("limits: the one with room last refuses, and what is not sent is not drawn") {
    const auto rules = load(
        "[limit path]\nkey = request.path\nrate = 1\nburst = 2\n"
        "[limit all]\nkey = [request.plan, request.class]\nrate = 10\nburst = 3\ncount = units\n");
    auto facts = request("risk-read", "plus", "/a");
    facts.units = 1;
    for (int i = 0; i < 5; ++i)
        CHECK(rules->evaluate(0, facts).rate_limit_retry_after_s == 0);   // looked at only
    for (int i = 0; i < 2; ++i) {
        auto verdict = rules->evaluate(0, facts);
        REQUIRE(verdict.rate_limit_retry_after_s == 0);
        rules->on_first_attempt(0, verdict, false);
        Rules::on_request_end(0, verdict);
    }
    const auto over = rules->evaluate(0, facts);
    CHECK(over.rate_limit_retry_after_s == Approx(1));
    CHECK(over.limit_exceeded == 0);
    facts.path = "/b";
    facts.units = 3;
    const auto by_units = rules->evaluate(0, facts);
    CHECK(by_units.limit_exceeded == 1);
    CHECK(by_units.rate_limit_retry_after_s == Approx(0.2));
    // A reload with the same definition goes on with its state, another begins anew; counts live on by
    // name.
    const auto same = load(
        "[limit path]\nkey = request.path\nrate = 1\nburst = 2\n[limit all]\nkey = request.plan\nrate = "
        "1\n");
    same->inherit_state(*rules);
    facts.path = "/a";
    facts.units = 1;
    CHECK(same->evaluate(0, facts).rate_limit_retry_after_s == Approx(1));
    for (const auto& one : same->counts())
        if (one.name == "limit path") CHECK(one.matches > 5);
}

TEST_CASE("the fleet's subsets follow lists, least and reloads") {
    const auto rules = load(
        "[subset big]\nproviders = provider.flavor == 'large'\nleast = 2\n"
        "[subset a]\nproviders = provider.id.startsWith('a')\n");
    rules::EndpointSubsets fleet;
    EndpointUpdate list{EndpointUpdateKind::snapshot,
                        {provider("a1", "large"), provider("b1", "large"), provider("c1", "small")}};
    fleet.update(0, list, rules.get());
    CHECK(list.endpoints[0].subsets == 3);
    CHECK(list.endpoints[1].subsets == 1);
    CHECK(list.endpoints[2].subsets == 0);
    CHECK(fleet.serving_count(0) == 2);
    // One drains: the other is alone, under the least, and is added to the update.
    EndpointUpdate drain{EndpointUpdateKind::delta, {provider("a1", "large")}};
    drain.endpoints[0].state = EndpointState::draining;
    fleet.update(0, drain, rules.get());
    REQUIRE(drain.endpoints.size() == 2);
    CHECK(drain.endpoints[1].backend == "b1");
    CHECK(drain.endpoints[1].subsets == 0);
    // It comes back as another flavor; then rules go.
    EndpointUpdate back{EndpointUpdateKind::delta, {provider("a1", "small")}};
    fleet.update(0, back, rules.get());
    CHECK(back.endpoints[0].subsets == 2);
    const EndpointUpdate none = fleet.reload(0, nullptr);
    REQUIRE(none.endpoints.size() == 1);
    CHECK(none.endpoints[0].subsets == 0);
    CHECK(fleet.reload(0, rules.get()).endpoints.size() == 1);
}

// The module. -------------------------------------------------------------------------------------------

namespace {

struct Module {
    explicit Module(const std::vector<std::pair<std::string, std::uint64_t>>& servers)
        : gateway(made(), 5) {
        tell(0, Start{});
        EndpointUpdate list{EndpointUpdateKind::snapshot, {}};
        for (const auto& [id, subsets] : servers) {
            list.endpoints.push_back(provider(id, ""));
            list.endpoints.back().subsets = subsets;
        }
        tell(0, list);
    }
    static slatejunction::Settings made() {
        slatejunction::Settings all;
        ServiceClass read;
        read.name = "read", read.latency_objective_s = 0.2, read.deadline_s = 1, read.priority_weight = 1;
        all.classes = {read};
        all.max_attempts = 3;
        all.ingress_count = 1;
        all.slow_start_min_capacity = 0.1, all.slow_start_window_s = 20, all.overload_multiple = 1.2,
        all.overload_window_s = 5;
        return all;
    }
    std::vector<Action> tell(double now, const Event& event) {
        std::vector<Action> actions;
        gateway.handle(now, event, actions);
        return actions;
    }
    // Where it goes; empty when it is refused, with the reason kept.
    std::string ask(double now, std::uint64_t subset, SubsetFallback spill = SubsetFallback::never,
                    double over_limit = 0) {
        Request request;
        request.id = last = std::to_string(++number);
        request.service_class = "read";
        request.units = 1;
        request.deadline_at_s = now + 1;
        request.subset = subset;
        request.subset_fallback = spill;
        request.rate_limit_retry_after_s = over_limit;
        for (const Action& action : tell(now, request)) {
            if (const auto* send = std::get_if<StartAttempt>(&action))
                return spilled = send->used_fallback, send->backend;
            if (const auto* refuse = std::get_if<RejectRequest>(&action))
                reason = refuse->reason, retry = refuse->retry_after_s;
        }
        return "";
    }
    void answered(double now, double took, AttemptResult outcome = AttemptResult::ok) {
        AttemptEnded end;
        end.id = last;
        end.result = outcome;
        end.duration_s = took;
        end.request_ended = true;
        tell(now, end);
    }
    Gateway gateway;
    std::string last;
    int number = 0;
    bool spilled = false;
    RejectReason reason = RejectReason::malformed;
    double retry = 0;
};

}   // namespace

TEST_CASE("the module keeps requests in their subset and spills only as stated") {
    Module m({{"a1", 1}, {"a2", 1}, {"b1", 2}, {"c1", 0}});
    for (int i = 0; i < 200; ++i) {
        const double now = 0.01 * i;
        const std::string at = m.ask(now, 1);
        REQUIRE((at == "a1" || at == "a2"));
        REQUIRE_FALSE(m.spilled);
        m.answered(now + 0.005, 0.005);
        REQUIRE(m.ask(now, 2) == "b1");
        m.answered(now + 0.005, 0.005);
    }
    // No server has the third subset.
    CHECK(m.ask(3, 4) == "");
    CHECK(m.reason == RejectReason::no_backend);
    CHECK(m.ask(3, 4, SubsetFallback::when_empty) != "");
    CHECK(m.spilled);
    m.answered(3.01, 0.01);
    CHECK(m.ask(3.02, 0, SubsetFallback::never, 0.7) == "");   // over a limit of the gateway's own
    CHECK(m.reason == RejectReason::rate_limit);
    CHECK(m.retry == 0.7);
    // A subset that drains empty: refused or spilled, never its old servers.
    EndpointUpdate drain{EndpointUpdateKind::delta, {provider("b1", "")}};
    drain.endpoints[0].state = EndpointState::draining;
    m.tell(3.1, drain);
    for (int i = 0; i < 50; ++i) {
        CHECK(m.ask(3.2, 2) == "");
        const std::string at = m.ask(3.2, 2, SubsetFallback::when_empty);
        REQUIRE(at != "b1");
        if (!at.empty()) m.answered(3.2, 0.001);
    }
}

TEST_CASE("a subset that is slow closes its own door and no other") {
    Module m({{"a1", 1}, {"b1", 2}});
    int a_refused = 0, b_refused = 0, spilled = 0;
    std::deque<std::pair<double, std::string>> slow;   // answered after 0.19 s of an aim of 0.2
    for (int i = 0; i < 4000; ++i) {
        const double now = 0.005 * i;
        m.tell(now, TimerFired{0});
        for (; !slow.empty() && slow.front().first <= now; slow.pop_front()) {
            m.last = slow.front().second;
            m.answered(now, 0.19);
        }
        const SubsetFallback spill = i > 2000 ? SubsetFallback::when_overloaded : SubsetFallback::never;
        const std::string at = m.ask(now, 1, spill);
        a_refused += at.empty();
        spilled += !at.empty() && m.spilled;
        if (!at.empty()) slow.emplace_back(now + (at == "a1" ? 0.19 : 0.001), m.last);
        if (m.ask(now, 2).empty())
            ++b_refused;
        else
            m.answered(now + 0.001, 0.001);
    }
    CHECK(a_refused > 500);
    CHECK(b_refused == 0);
    CHECK(spilled > 100);
}

TEST_CASE("a subset of cold servers alone takes its cold part, the rest spills or is refused") {
    Module m({{"warm", 2}});
    EndpointUpdate list{EndpointUpdateKind::delta, {provider("cold", "")}};
    list.endpoints[0].subsets = 1;
    list.endpoints[0].started_at_s = 10;
    m.tell(10, list);
    int cold = 0, refused = 0;
    for (int i = 0; i < 400; ++i) {
        const double now = 10 + 0.001 * i;
        const std::string at = m.ask(now, 1);
        cold += at == "cold";
        refused += at.empty();
        if (!at.empty()) m.answered(now, 0.001);
    }
    CHECK(cold > 0);
    CHECK(cold < 100);   // half of the stated budget at a tenth of its capacity: 6 in 100
    CHECK(refused > 300);
    int warm = 0;
    for (int i = 0; i < 400; ++i) {
        const double now = 10.4 + 0.001 * i;
        warm += m.ask(now, 1, SubsetFallback::when_overloaded) == "warm";
        m.answered(now, 0.001);
    }
    CHECK(warm > 300);
    CHECK(m.ask(11, 1, SubsetFallback::when_empty) != "warm");   // it is not empty
}
