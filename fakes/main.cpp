// slatejunction_fakes: what the ingress talks to, one sub-command each, on loopback addresses.
#include <glib-unix.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "backend.hpp"
#include "counter.hpp"
#include "discovery.hpp"
#include "fleet_counters.hpp"
#include "ledger.hpp"
#include "link.hpp"
#include "load.hpp"
#include "quotas.hpp"
#include "receiver_server.hpp"
#include "recording.hpp"
#include "rules.hpp"

namespace {

namespace net = slatejunction::net;

constexpr int kBadUse = 2;

struct Common {
    double seconds = 0;    // until it ends by itself; 0: until SIGTERM
    std::string control;   // where it takes orders; empty: nowhere
    std::string report;    // a file for the summary beside standard output
};

// The loop, its end by time or signal, and orders over HTTP: GET /stats, POST /WORD/... by the owner.
class Stage {
  public:
    explicit Stage(const Common& common) : common_(common), loop_(g_main_loop_new(nullptr, FALSE)) {}
    net::Timers& timers() { return timers_; }
    void quit() { g_main_loop_quit(loop_.get()); }
    // `order` takes the path of an order and returns what is wrong with it.
    int run(const std::function<std::string()>& summary,
            const std::function<std::string(const std::string&)>& order) {
        fakes::Server control(timers_, [&](const auto& client, fakes::Request& request) {
            if (request.target == "/stats") return client->answer(200, summary());
            const std::string why = order(request.target);
            client->answer(why.empty() ? 200 : 400, why);
        });
        std::string why;
        if (!common_.control.empty() && !control.start(common_.control, why)) return fail(why);
        net::Timer end(timers_, [this] { quit(); });
        if (common_.seconds > 0) end.arm(net::now() + common_.seconds);
        for (const int number : {SIGTERM, SIGINT})
            g_unix_signal_add(
                number,
                [](gpointer loop) -> gboolean {
                    g_main_loop_quit(static_cast<GMainLoop*>(loop));
                    return G_SOURCE_CONTINUE;
                },
                loop_.get());
        g_main_loop_run(loop_.get());
        std::printf("%s\n", summary().c_str());
        if (!common_.report.empty()) std::ofstream(common_.report, std::ios::trunc) << summary() << "\n";
        return 0;
    }
    static int fail(const std::string& why) {
        std::fprintf(stderr, "error: %s\n", why.c_str());
        return kBadUse;
    }

  private:
    const Common& common_;
    net::Loop loop_;
    net::Timers timers_;
};

// "/fault/status/503/2" => "status 503 2"
std::string words_of(std::string path, const std::string& prefix) {
    if (!path.starts_with(prefix)) return {};
    path.erase(0, prefix.size());
    std::replace(path.begin(), path.end(), '/', ' ');
    return path;
}

int run_backend(const Common& common, const fakes::BackendSettings& settings) {
    Stage stage(common);
    fakes::Backend backend(stage.timers(), settings);
    std::string why;
    if (!backend.start(why)) return Stage::fail(settings.listen + ": " + why);
    return stage.run([&] { return backend.summary(); },
                     [&](const std::string& path) -> std::string {
                         if (path == "/drain") return backend.drain(), "";
                         if (path == "/restart") return backend.restart(), "";
                         return "no such order";
                     });
}

int run_counter(const Common& common, const fakes::CounterSettings& settings) {
    Stage stage(common);
    fakes::Counter counter(stage.timers(), settings);
    std::string why;
    if (!counter.start(why)) return Stage::fail(why);
    return stage.run([&] { return counter.summary(); },
                     [&](const std::string& path) -> std::string {
                         if (path == "/empty") return counter.empty(), "";
                         if (path == "/save") return counter.save(), "";
                         if (path == "/restore") return counter.restore(), "";
                         for (const auto& [prefix, on] : {std::pair{"/cut/", true}, {"/join/", false}})
                             if (const std::string number = words_of(path, prefix); !number.empty())
                                 return counter.cut(std::strtoul(number.c_str(), nullptr, 10), on)
                                            ? ""
                                            : "no such address";
                         if (const std::string fault = words_of(path, "/fault/"); !fault.empty())
                             return counter.set_fault(fault) ? "" : "no such fault";
                         return "no such order";
                     });
}

int run_discovery(const Common& common, const std::string& listen,
                  const std::vector<std::string>& members) {
    std::vector<fakes::Discovery::Member> all;
    for (const std::string& one : members) {
        const std::size_t mark = one.find('=');
        if (mark == std::string::npos) return Stage::fail("'" + one + "' is not ID=ADDRESS:PORT");
        const std::size_t comma = std::min(one.find(',', mark), one.size());
        all.push_back({one.substr(0, mark), one.substr(mark + 1, comma - mark - 1)});
        if (comma < one.size()) all.back().flavor = one.substr(comma + 1);
    }
    Stage stage(common);
    fakes::Discovery discovery(stage.timers(), listen, all);
    std::string why;
    if (!discovery.start(why)) return Stage::fail(listen + ": " + why);
    return stage.run(
        [&] { return discovery.summary(); },
        [&](const std::string& path) -> std::string {   // /phase/ID/PHASE, /restart/ID
            if (const std::string id = words_of(path, "/restart/"); !id.empty())
                return discovery.restart(id) ? "" : "no such backend";
            const std::string words = words_of(path, "/phase/");
            const std::size_t mark = words.find(' ');
            if (mark == std::string::npos) return "no such order";
            return discovery.set(words.substr(0, mark), words.substr(mark + 1)) ? "" : "no such backend";
        });
}

int run_receiver(const Common& common, const std::string& listen, bool v1_only,
                 const std::string& credentials, const std::vector<std::string>& script,
                 const std::string& out) {
    std::vector<fakes::Step> steps;
    for (const std::string& one : script) {
        const std::size_t mark = one.find(' ');
        if (mark == std::string::npos) return Stage::fail("'" + one + "' is not 'SECONDS FAULT'");
        steps.push_back({std::stod(one.substr(0, mark)), fakes::read_fault(one.substr(mark + 1))});
    }
    Stage stage(common);
    fakes::ReceiverServer receiver(stage.timers(), listen, v1_only, steps);
    receiver.credentials = credentials;
    std::string why;
    if (!receiver.start(why)) return Stage::fail(listen + ": " + why);
    const int status =
        stage.run([&] { return receiver.summary(); },
                  [&](const std::string& path) -> std::string {
                      if (path == "/write" && !out.empty()) {
                          fakes::write_recording(fakes::recording_of(receiver.receiver()), out);
                          return "";
                      }
                      const std::string words = words_of(path, "/fault/");
                      if (words.empty()) return "no such order";
                      try {
                          std::string fault;
                          return receiver.set(fakes::read_fault(words), fault) ? "" : fault;
                      } catch (const std::exception& bad) {
                          return bad.what();
                      }
                  });
    if (!out.empty()) fakes::write_recording(fakes::recording_of(receiver.receiver()), out);
    return status != 0 ? status : receiver.receiver().breach_count() == 0 ? 0 : 1;
}

// One line an alert that fired: when, for how long, with which labels.
int check_rules(const std::string& rules, const std::string& recording, double speed,
                const std::string& trimmed) {
    const auto all = fakes::read_rules(rules, speed);
    std::printf("%zu rules\n", all.size());
    if (recording.empty()) return 0;
    auto samples = fakes::read_recording(recording);
    if (!trimmed.empty()) {   // the series that no rule names leave, so that a recording can be kept
        std::erase_if(samples, [&](const auto& one) {
            return std::none_of(all.begin(), all.end(), [&](const fakes::Rule& rule) {
                return rule.expression.find(one.first.front().second) != std::string::npos;
            });
        });
        fakes::write_recording(samples, trimmed);
    }
    double first = 1e18;
    for (const auto& [key, points] : samples)
        if (!points.empty()) first = std::min(first, static_cast<double>(points.front().at_ms) / 1e3);
    for (const fakes::Firing& one : fakes::evaluate(all, samples)) {
        std::printf("%s from %.1f s", one.alert.c_str(), one.from_s - first);
        one.to_s > 0 ? std::printf(" to %.1f s", one.to_s - first) : std::printf(" to the end");
        for (const auto& [label, value] : one.labels) std::printf(" %s=%s", label.c_str(), value.c_str());
        std::printf("\n");
    }
    return 0;
}

// Both sums side by side; exit status 1 when any differs.
int compare_sums(const std::string& recording, const std::string& log) {
    const fakes::Sums there = fakes::counted(fakes::read_recording(recording));
    const fakes::Sums here = fakes::logged(log);
    std::map<std::string, std::pair<double, double>> both;
    for (const auto& [key, sum] : there) both[key].first = sum;
    for (const auto& [key, sum] : here) both[key].second = sum;
    int differ = 0;
    std::printf("%-36s %12s %12s\n", "class, plan, outcome or (reason)", "receiver", "log");
    for (const auto& [key, sums] : both) {
        const bool same = sums.first == sums.second;
        differ += !same;
        std::printf("%-36s %12.0f %12.0f%s\n", key.c_str(), sums.first, sums.second,
                    same ? "" : "  differs");
    }
    std::printf("%d of %zu sums differ\n", differ, both.size());
    return differ > 0;
}

int check_quotas(const std::vector<std::string>& logs, const std::string& config,
                 const std::vector<std::string>& errors) {
    const auto settings =
        slatejunction::config::load(config, slatejunction::discovery::UnixTimeConverter()).settings;
    std::map<std::string, double> stated;
    for (const std::string& one : errors) {
        const std::size_t mark = one.find('=');
        if (mark == std::string::npos) return Stage::fail("'" + one + "' is not PLAN=UNITS");
        stated[one.substr(0, mark)] = std::stod(one.substr(mark + 1));
    }
    int status = 0;
    for (const auto& [plan, found] : fakes::check_quotas(logs, settings).plans) {
        const auto part = [](std::size_t a, std::size_t b) {
            return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0;
        };
        const bool breach = stated.count(plan) > 0 && found.worst > stated[plan];
        std::printf(
            "%s: asked %zu, sent on %zu, worst %.2f units below an empty bucket (%s), refused with room "
            "%.4f, "
            "inside %.4f of a perfect bucket's%s\n",
            plan.c_str(), found.asked, found.sent, found.worst, found.customer.c_str(),
            part(found.rejected_with_units, found.asked), part(found.inside, found.perfect),
            breach ? "; MORE THAN IS STATED" : "");
        if (breach) status = 1;
    }
    return status;
}

int run_links(const Common& common, const std::vector<std::string>& pairs, std::uint64_t seed) {
    Stage stage(common);
    fakes::Links links(stage.timers(), seed);
    for (const std::string& one : pairs)
        if (const std::string why = links.add(one); !why.empty()) return Stage::fail(why);
    return stage.run([&] { return links.summary(); },
                     [&](const std::string& path) { return links.order(path); });
}

int run_ledger(const Common& common, const std::string& listen, const std::string& out) {
    Stage stage(common);
    fakes::Ledger ledger(stage.timers(), listen, out);
    std::string why;
    if (!ledger.start(why)) return Stage::fail(listen + ": " + why);
    return stage.run([&] { return ledger.summary(); }, [](const std::string&) { return "no such order"; });
}

int run_load(const Common& common, const fakes::LoadSettings& settings, const std::string& config) {
    const slatejunction::discovery::UnixTimeConverter clock;
    std::ifstream in(config, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    const auto platform = slatejunction::config::read(text, clock);
    if (!net::parse_address(settings.target))
        return Stage::fail("'" + settings.target + "' is no address and port");
    Stage stage(common);
    fakes::Load load(stage.timers(), settings, platform.settings, [&] { stage.quit(); });
    load.start();
    const int status =
        stage.run([&] { return load.summary(); }, [](const std::string&) { return "no such order"; });
    if (settings.progress_s > 0) load.report();
    return status;
}

}   // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("Stand-ins for what the ingress talks to, for its demo, tests and measurements.",
                 "slatejunction_fakes");
    app.require_subcommand(1, 1);
    Common common;
    const auto shared = [&common](CLI::App* command) {
        command->add_option("--seconds", common.seconds, "ends by itself after so long; 0: on SIGTERM")
            ->capture_default_str();
        command->add_option("--control", common.control, "ADDRESS:PORT for GET /stats and orders");
        command->add_option("--report", common.report, "a file for the summary at the end");
    };

    fakes::BackendSettings backend;
    auto* backend_command = app.add_subcommand(
        "backend", "a backend with cores, a queue and service times; orders: POST /drain, POST /restart");
    shared(backend_command);
    backend_command->add_option("--listen", backend.listen, "ADDRESS:PORT")->required();
    backend_command->add_option("--id", backend.id, "its name in answers")->capture_default_str();
    backend_command->add_option("--cores", backend.cores, "requests worked on at once")
        ->capture_default_str();
    backend_command->add_option("--read-ms", backend.read_ms, "mean work of a GET")->capture_default_str();
    backend_command->add_option("--write-ms", backend.write_ms, "mean work of a POST")
        ->capture_default_str();
    backend_command->add_option("--spread", backend.spread, "part of the mean, to either side")
        ->capture_default_str();
    backend_command->add_option("--queue", backend.queue, "requests that may wait")->capture_default_str();
    backend_command->add_option("--used", backend.used, "percent of its quota that each customer has used")
        ->capture_default_str();
    backend_command->add_option("--cold-from", backend.cold_from, "part of its pace after a restart")
        ->capture_default_str();
    backend_command->add_option("--warm-s", backend.warm_s, "until its pace is whole again")
        ->capture_default_str();
    backend_command
        ->add_option("--fall-multiple", backend.fall_multiple,
                     "times its pace that make it fall over; 0: never")
        ->capture_default_str();
    backend_command->add_option("--fall-s", backend.fall_s, "over so long")->capture_default_str();
    backend_command->add_option("--seed", backend.seed, "of the service times")->capture_default_str();

    fakes::CounterSettings counter;
    auto* counting = app.add_subcommand("counter",
                                        "a shared counter that speaks HTTP and RESP. Orders: POST "
                                        "/fault/NAME[/N] (none, silent, lost, refuse,\n"
                                        "down, slow N, noise, twice), /empty, /save, /restore, "
                                        "/cut/ADDRESS and /join/ADDRESS (numbers from 0)");
    shared(counting);
    counting
        ->add_option("--listen", counter.listen, "ADDRESS:PORT, once for each ingress that may be cut off")
        ->required()
        ->expected(1)
        ->take_all();
    counting->add_option("--call-ms", counter.call_ms, "work of a call")->capture_default_str();

    std::string listen;
    std::vector<std::string> members;
    auto* discovery_command = app.add_subcommand(
        "discovery", "the list of backends; orders: POST /phase/ID/PHASE, POST /restart/ID");
    shared(discovery_command);
    discovery_command->add_option("--listen", listen, "ADDRESS:PORT")->required();
    discovery_command->add_option("--member", members, "ID=ADDRESS:PORT[,FLAVOR], once for each backend");

    bool v1_only = false;
    std::vector<std::string> script;
    std::string out, credentials;
    auto* receiving = app.add_subcommand(
        "remote-write",
        "a remote write receiver that checks the protocol; exit status 1 on a breach.\n"
        "Faults: none, refuse, hang, status N [RETRY_AFTER], lost, cut N, trickle, huge, close,\n"
        "reset; orders: POST /fault/NAME/ARGUMENT, POST /write");
    shared(receiving);
    receiving->add_option("--listen", listen, "ADDRESS:PORT")->required();
    receiving->add_option("--authorization", credentials,
                          "what this field of each batch must say, else 401; empty: it must not be there");
    receiving->add_flag("--v1-only", v1_only, "answers 415 to protocol 2.0");
    receiving->add_option("--at", script, "'SECONDS FAULT', once for each change")->expected(1)->take_all();
    receiving->add_option("--out", out, "a file for all samples at the end");

    std::vector<std::string> pairs;
    std::uint64_t link_seed = 1;
    auto* linking = app.add_subcommand(
        "link",
        "relays for directed pairs, TCP and UDP. Orders: POST /PATTERN/FAULT[/N] (heal, cut, cut/there,\n"
        "cut/back, silent, refuse, loss P, delay MS, jitter MS, reorder P, duplicate P, corrupt P,\n"
        "throttle KB)");
    shared(linking);
    linking->add_option("--pair", pairs, "NAME=LISTEN=TO, once for each")
        ->required()
        ->expected(1)
        ->take_all();
    linking->add_option("--seed", link_seed, "of what is drawn")->capture_default_str();

    auto* keeping = app.add_subcommand(
        "ledger",
        "takes acts of the fleet's tasks (POST) and refuses a fencing number lower than one taken");
    shared(keeping);
    keeping->add_option("--listen", listen, "ADDRESS:PORT")->required();
    keeping->add_option("--out", out, "a file for a record of each act");

    std::string rules, recording, trimmed;
    double speed = 1;
    auto* checking =
        app.add_subcommand("check-rules", "reads alert rules and evaluates them over a recording");
    checking->add_option("--rules", rules, "a rule file")->required();
    checking->add_option("--recording", recording, "what remote-write --out has written");
    checking->add_option("--trim", trimmed,
                         "a file for the recording with only the series that the rules name");
    checking->add_option("--speed", speed, "all durations of the rules are divided by it")
        ->capture_default_str();

    std::string log;
    auto* comparing = app.add_subcommand("compare-sums",
                                         "requests by the receiver's samples and by the ingress's own log");
    comparing->add_option("--recording", recording, "what remote-write --out has written")->required();
    comparing->add_option("--log", log, "the ingress's log: format = json, requests = all")->required();

    std::vector<std::string> logs, errors;
    std::string config;
    auto* accounting = app.add_subcommand(
        "check-quota",
        "what ingresses sent on, by their logs, against the true stores; exit status 1 on a breach");
    accounting->add_option("--log", logs, "format = json, requests = all; once for each ingress")
        ->required()
        ->expected(1)
        ->take_all();
    accounting->add_option("--config", config, "an ingress's configuration, for its plans")->required();
    accounting->add_option("--error", errors, "PLAN=UNITS, what is stated")->expected(1)->take_all();

    fakes::LoadSettings load;
    auto* loading = app.add_subcommand("load", "an open loop of requests");
    shared(loading);
    loading->add_option("--target", load.target, "the ingress: ADDRESS:PORT")->required();
    loading->add_option("--config", config, "the ingress's configuration, for its classes and plans")
        ->required();
    loading->add_option("--rate", load.rate, "requests a second")->capture_default_str();
    loading->add_option("--duration", load.seconds, "seconds of requests")->capture_default_str();
    loading
        ->add_option("--one-by-one", load.one_by_one,
                     "so many requests, each after the answer to the one before; 0: an open loop")
        ->capture_default_str();
    loading->add_option("--customers", load.customers, "so many")->capture_default_str();
    loading->add_option("--spread", load.spread, "ingresses that a customer's requests come through")
        ->capture_default_str();
    loading->add_option("--write-part", load.write_part, "part of the requests that may run once only")
        ->capture_default_str();
    loading->add_option("--seed", load.seed, "of times, customers and classes")->capture_default_str();
    loading->add_option("--prefix", load.prefix, "of the requests' ids")->capture_default_str();
    loading->add_option("--progress", load.progress_s, "seconds between lines of progress; 0: none")
        ->capture_default_str();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& bad) {
        if (bad.get_exit_code() == 0) return app.exit(bad);
        return Stage::fail(bad.what());
    }
    try {
        if (*backend_command) return run_backend(common, backend);
        if (*counting) return run_counter(common, counter);
        if (*discovery_command) return run_discovery(common, listen, members);
        if (*linking) return run_links(common, pairs, link_seed);
        if (*keeping) return run_ledger(common, listen, out);
        if (*receiving) return run_receiver(common, listen, v1_only, credentials, script, out);
        if (*comparing) return compare_sums(recording, log);
        if (*accounting) return check_quotas(logs, config, errors);
        if (*checking) return check_rules(rules, recording, speed, trimmed);
        return run_load(common, load, config);
    } catch (const std::exception& fault) {
        return Stage::fail(fault.what());
    }
}
