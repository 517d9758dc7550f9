// Whole fleets of started processes on loopback: a directory, providers, N ingresses in S sites with a link
// for each directed pair, a ledger; faults by a seed. What happened is judged from the records that the
// processes wrote (records.hpp), never from what the rig believes. Whatever is started ends with the rig,
// by its own id.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "files.hpp"
#include "ports.hpp"
#include "process.hpp"
#include "recording.hpp"

namespace rig {

// Of the environment, as a whole number: how much of a test is run, and with which seed.
inline std::uint64_t setting(const char* name, std::uint64_t otherwise) {
    const char* const text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

struct Plan {
    std::size_t ingresses = 3, sites = 3, voters = 3;
    std::size_t providers = 0;   // a site; 0: none, and no directory
    double interval_s = 0.1;     // of peers
    double lives_s = 1;          // of a lease
    double drift = 0.05, margin_s = 0.05, act_s = 0.1;
    double announce_s = 0.05;   // between acts; 0: no task
    double sums_s = 0;          // a period of the fleet's sums; 0: none, and no receiver
    bool counter = false;       // quotas by a shared counter, an address of it for each ingress
    int drains = 0;
    bool kept = false;                        // voters have a state directory
    std::string voter_names, voters_before;   // in place of the first `voters`
    int step = 1;
    bool links = true;   // a relay for each directed pair; else all reach each other directly
    // So many control machines, the first ones; all others follow them, and have neither peers nor leases.
    // 0: no rollout. Their state directories are kept.
    std::size_t control = 0;
    std::size_t canaries = 3;
    std::map<std::size_t, std::string> more_of = {};                    // of one ingress's operator's file
    std::string more;                                                   // of each operator's file
    std::map<std::size_t, std::vector<std::string>> environment = {};   // by ingress: NAME=VALUE
    std::uint64_t seed = 1;
};

// The answer's body of a call; empty when there was none.
inline std::string body_of(const std::string& answer) {
    const std::size_t head = answer.find("\r\n\r\n");
    return head == std::string::npos ? "" : answer.substr(head + 4);
}

class Fleet {
  public:
    explicit Fleet(const Plan& plan) : plan(plan) {
        folder.write("key", std::string(64, 'a') + "\n");
        for (std::size_t i = 0; i < plan.ingresses; ++i) {
            ports_.push_back(fleet_port());
            admins_.push_back(fleet_port());
            peers_.push_back(fleet_port());
            feeds_.push_back(plan.control > 0 ? fleet_port() : 0);
        }
        start_backends();
        ledger_ = Process({FAKES, "ledger", "--listen", address_of(ledger_port), "--control",
                           address_of(ledger_control), "--out", folder.file("ledger"), "--seconds", "600"},
                          "", "");
        if (plan.sums_s > 0)
            receiver_ = Process({FAKES, "remote-write", "--seconds", "600", "--listen",
                                 address_of(receiver_port), "--out", folder.file("samples")},
                                folder.file("receiver"), "");
        if (plan.counter) {
            std::vector<std::string> words{FAKES,       "counter", "--control", address_of(counter_control),
                                           "--seconds", "600"};
            for (std::size_t i = 0; i < plan.ingresses; ++i) {
                counters_.push_back(fleet_port());
                words.insert(words.end(), {"--listen", address_of(counters_.back())});
            }
            counter_ = Process(words, "", "");
            REQUIRE(wait_for([&] { return !ask(counter_control, "GET", "/stats").empty(); }));
        }
        start_links();
        for (std::size_t i = 0; i < plan.ingresses; ++i) {
            std::filesystem::create_directory(folder.file("state" + std::to_string(i)));
            write_files(i);
            ingresses_.emplace_back();
        }
        REQUIRE(wait_for([&] { return !ask(ledger_control, "GET", "/stats").empty(); }));
        if (plan.links) REQUIRE(wait_for([&] { return !ask(link_control, "GET", "/stats").empty(); }));
        for (std::size_t i = 0; i < plan.ingresses; ++i) start(i);
        for (std::size_t i = 0; i < plan.ingresses; ++i) REQUIRE(ready(i));
    }
    ~Fleet() {
        if (const char* to = std::getenv("KEEP_RECORDS")) keep(to);
        for (auto& one : ingresses_) one.signal(SIGCONT);
    }

    // Files and records, for whoever looks at them later.
    void keep(const std::string& to) const {
        std::filesystem::create_directories(to);
        for (const auto& one : std::filesystem::directory_iterator(folder.path()))
            if (one.is_regular_file())
                std::filesystem::copy_file(one.path(), to + "/" + one.path().filename().string(),
                                           std::filesystem::copy_options::overwrite_existing);
    }

    std::string name(std::size_t i) const { return "n" + std::to_string(i); }
    std::string site(std::size_t i) const {
        return std::string(1, static_cast<char>('a' + i % plan.sites));
    }

    void start(std::size_t i) {
        std::vector<std::string> words{"/usr/bin/env"};
        if (!plan.environment[i].empty()) {
            words.push_back(std::string("LD_PRELOAD=") + PRELOAD);
            words.push_back("ASAN_OPTIONS=verify_asan_link_order=0:detect_leaks=0");
        }
        for (const std::string& one : plan.environment[i]) words.push_back(one);
        const auto rest = command(folder.file("config" + std::to_string(i)),
                                  folder.file("operator" + std::to_string(i)), admins_[i], folder.path());
        words.insert(words.end(), rest.begin() + 1, rest.end());
        ingresses_[i] = Process(words, "", records_file(i));
    }
    static std::vector<std::string> command(const std::string& config, const std::string& options,
                                            int admin, const std::string& temporary) {
        return {"/usr/bin/env",
                "NODE_ADMIN_ADDR=" + address_of(admin),
                "TMPDIR=" + temporary,
                PROGRAM,
                "serve",
                "--config",
                config,
                "--operator",
                options};
    }
    bool ready(std::size_t i) const {
        return wait_for([&] { return ask(admins_[i], "GET", "/v1/readyz").starts_with("HTTP/1.1 200"); });
    }
    // SIGKILL. What it had in memory is gone; with `forget` its state directory too.
    void kill(std::size_t i, bool forget = false) {
        ingresses_[i] = Process();
        if (!forget) return;
        const std::string state = folder.file("state" + std::to_string(i));
        std::filesystem::remove_all(state);
        std::filesystem::create_directory(state);
    }
    // The next start is without what the rig had loaded into it.
    void plain(std::size_t i) { plan.environment[i].clear(); }
    void stop(std::size_t i) { ingresses_[i].signal(SIGSTOP); }
    // Whether it is stopped, be it by itself.
    bool stopped(std::size_t i) const {
        std::ifstream in("/proc/" + std::to_string(ingresses_[i].id()) + "/stat");
        std::string text;
        std::getline(in, text);
        const std::size_t at = text.rfind(')');
        return at != std::string::npos && text.substr(at + 1, 2) == " T";
    }
    // Another process that has the name of ingress i at other addresses.
    Process twin(std::size_t i, int admin) const {
        std::string config = folder.read("config" + std::to_string(i)),
                    options = folder.read("operator" + std::to_string(i));
        replace(config, address_of(ports_[i]), address_of(fleet_port()));
        replace(options, "listen = " + address_of(peers_[i]), "listen = " + address_of(fleet_port()));
        return Process(
            command(folder.write("twin-config", config), folder.write("twin-operator", options), admin, ""),
            "", folder.file("twin"));
    }
    // The new process of an upgrade of ingress i, which must have been started with `upgrades`.
    Process heir(std::size_t i, int admin) const {
        return Process(command(folder.file("config" + std::to_string(i)),
                               folder.file("operator" + std::to_string(i)), admin, folder.path()),
                       "", records_file(i));
    }
    std::string request(std::size_t i, const std::string& id, int spread = 1) const {
        return ask(ports_[i], "GET", "/risk-read?customer=00000000b4d65521",
                   "X-Request-Id: " + id +
                       "\r\nX-Class: risk-read\r\nX-Tier: plus\r\nX-Deadline: 2.000\r\n"
                       "X-Call-Terms: units=1,spread=" +
                       std::to_string(spread) + ",first=0\r\n");
    }
    bool served(std::size_t i, const std::string& id) const {
        return request(i, id).starts_with("HTTP/1.1 200");
    }
    void go_on(std::size_t i) { ingresses_[i].signal(SIGCONT); }
    Process& process(std::size_t i) { return ingresses_[i]; }

    void order_counter(const std::string& order) const {
        REQUIRE(ask(counter_control, "POST", order).starts_with("HTTP/1.1 200"));
    }
    // Orders to links: `pattern` as in "n0-*".
    void link(const std::string& pattern, const std::string& fault) const {
        const std::string answer = ask(link_control, "POST", "/" + pattern + "/" + fault);
        INFO(pattern << " " << fault << ": " << answer);
        REQUIRE(answer.starts_with("HTTP/1.1 200"));
    }
    void cut_off(std::size_t i) const {
        link(name(i) + "-*", "cut");
        if (!follows(i)) link("*-" + name(i), "cut");
    }
    bool follows(std::size_t i) const { return plan.control > 0 && i >= plan.control; }
    void heal() const { link("*", "heal"); }

    std::string call(std::size_t i, const std::string& method, const std::string& target) const {
        return ask(admins_[i], method, target);
    }
    // What an ingress says of the fleet.
    std::unique_ptr<rapidjson::Document> fleet(std::size_t i) const {
        auto json = std::make_unique<rapidjson::Document>();
        json->Parse(body_of(call(i, "GET", "/v1/fleet")).c_str());
        return json->HasParseError() || !json->IsObject() ? nullptr : std::move(json);
    }
    // How ingress i has the state of j.
    std::string state(std::size_t i, std::size_t j) const {
        const auto json = fleet(i);
        if (!json) return "";
        for (const auto& one : (*json)["members"].GetArray())
            if (one["name"].GetString() == name(j)) return one["state"].GetString();
        return "unknown";
    }
    bool all_know_all() const {
        for (std::size_t i = 0; i < plan.ingresses; ++i)
            for (std::size_t j = 0; j < plan.ingresses; ++j)
                if (state(i, j) != "alive") return false;
        return true;
    }
    bool holds(std::size_t i, const std::string& lease = "conductor") const {
        const auto json = fleet(i);
        if (!json || !json->HasMember("leases")) return false;
        for (const auto& one : (*json)["leases"].GetArray())
            if (one["lease"].GetString() == lease) return one["held_here"].GetBool();
        return false;
    }
    // Who holds it by its own word; ingresses(): nobody. Those in `but` are not asked.
    std::size_t holder(const std::vector<std::size_t>& but = {}) const {
        for (std::size_t i = 0; i < plan.ingresses; ++i)
            if (std::find(but.begin(), but.end(), i) == but.end() && holds(i)) return i;
        return plan.ingresses;
    }
    std::size_t wait_holder(const std::vector<std::size_t>& but = {}) const {
        std::size_t found = plan.ingresses;
        REQUIRE(wait_for([&] { return (found = holder(but)) < plan.ingresses; }, 30));
        return found;
    }
    // Acts that the ledger has taken so far.
    std::size_t acts() const {
        const std::string text = body_of(ask(ledger_control, "GET", "/stats"));
        const std::size_t at = text.find("\"acts\":");
        return at == std::string::npos ? 0 : std::stoul(text.substr(at + 7));
    }
    // Ends the ingresses and the receiver; what the latter has stored.
    fakes::Recording end_receiver() {
        for (Process& one : ingresses_)
            if (one.id() > 0) one.signal(SIGCONT), one.end(SIGTERM);
        receiver_.end(SIGTERM);
        return fakes::read_recording(folder.file("samples"));
    }
    std::string records_file(std::size_t i) const { return folder.file("records" + std::to_string(i)); }
    std::string log(std::size_t i) const { return folder.read("records" + std::to_string(i)); }
    int admin_port(std::size_t i) const { return admins_[i]; }
    int port(std::size_t i) const { return ports_[i]; }
    int peer_port(std::size_t i) const { return peers_[i]; }
    std::size_t size() const { return plan.ingresses; }
    // Its two files, written anew; for a reload send it SIGHUP.
    void write_files(std::size_t i) const {
        std::string config = base_config();
        replace(config, "\"name\": \"n0\"", "\"name\": \"" + name(i) + "\"");
        replace(config, "\"listen\": \"127.0.0.1:1\"", "\"listen\": \"" + address_of(ports_[i]) + "\"");
        replace(config, "\"discovery\": \"127.0.0.1:1\"",
                "\"discovery\": \"" + address_of(directory_port) + "\"");
        replace(config, "$PROVIDER", address_of(1));
        replace(config, "\"Zone\": \"a\"", "\"Zone\": \"" + site(i) + "\"");
        folder.write("config" + std::to_string(i), config);
        if (follows(i)) return write_follower(i);
        std::string text = "[log]\nformat = json\nevents = on\n[peers]\nlisten = " + address_of(peers_[i]) +
                           "\nkey_file = " + folder.file("key") +
                           "\ninterval_s = " + std::to_string(plan.interval_s) + "\nmembers =";
        const std::size_t members = plan.control > 0 ? plan.control : plan.ingresses;
        for (std::size_t j = 0; j < members; ++j) text += "\n  " + name(j) + "=" + address_of(peers_[j]);
        if (plan.links) {
            text += "\nvia =";
            for (std::size_t j = 0; j < members; ++j)
                if (j != i) text += "\n  " + name(j) + "=" + address_of(links_.at({i, j}));
        }
        if (plan.voters > 0) {
            text += "\n[lease]\nvoters = ";
            if (plan.voter_names.empty())
                for (std::size_t j = 0; j < plan.voters; ++j) text += (j > 0 ? ", " : "") + name(j);
            text += plan.voter_names;
            if (!plan.voters_before.empty()) text += "\nvoters_before = " + plan.voters_before;
            text += "\nstep = " + std::to_string(plan.step);
            text += "\nlives_s = " + std::to_string(plan.lives_s) +
                    "\ndrift = " + std::to_string(plan.drift) +
                    "\nmargin_s = " + std::to_string(plan.margin_s) +
                    "\nact_s = " + std::to_string(plan.act_s) +
                    "\ndrains = " + std::to_string(plan.drains) + "\n";
            if (plan.kept) text += "numbers = kept\n";
            if (plan.announce_s > 0)
                text += "[announce]\nurl = http://" + address_of(ledger_port) +
                        "/act\nevery_s = " + std::to_string(plan.announce_s) + "\n";
        }
        if (plan.sums_s > 0)
            text += "[remote_write]\nurl = http://" + address_of(receiver_port) +
                    "/api/v1/write\ninterval_s = 5\ntimeout_s = 1\n[fleet_sums]\nevery_s = " +
                    std::to_string(plan.sums_s) + "\ngrace_s = " + std::to_string(plan.sums_s / 4) + "\n";
        if (plan.counter) {
            replace(config, "\"Balancers\": 1", "\"Balancers\": " + std::to_string(plan.ingresses));
            replace(config, "\"MyNumber\": 0", "\"MyNumber\": " + std::to_string(i));
            folder.write("config" + std::to_string(i), config);
            text += "[quota]\ncounter = " + address_of(counters_[i]) + "\n";
        }
        if (plan.control > 0)
            text += "[rollout]\nlisten = " + address_of(feeds_[i]) +
                    "\ncanaries = " + std::to_string(plan.canaries) + "\n";
        if (plan.kept || plan.control > 0) text += state_of(i);
        folder.write("operator" + std::to_string(i), text + plan.more + own(i));
    }
    std::string own(std::size_t i) const {
        const auto at = plan.more_of.find(i);
        return at == plan.more_of.end() ? "" : at->second;
    }

    // A follower's; the parents in the order of their names, each by a link of its own.
    void write_follower(std::size_t i) const {
        std::string text =
            "[log]\nformat = json\nevents = on\n[rollout]\nkey_file = " + folder.file("key") + "\nfrom =";
        for (std::size_t j = 0; j < plan.control; ++j)
            text += "\n  " + name(j) + "=" + address_of(plan.links ? links_.at({i, j}) : feeds_[j]);
        folder.write("operator" + std::to_string(i), text + "\n" + state_of(i) + plan.more + own(i));
    }
    std::string state_of(std::size_t i) const {
        return "[state]\ndirectory = " + folder.file("state" + std::to_string(i)) + "\n";
    }
    // What a process says of the rollout; null: nothing.
    std::unique_ptr<rapidjson::Document> rollout(std::size_t i) const {
        auto json = std::make_unique<rapidjson::Document>();
        json->Parse(body_of(call(i, "GET", "/v1/rollout")).c_str());
        return json->HasParseError() || !json->IsObject() ? nullptr : std::move(json);
    }
    // Its figure of that name; 0: none.
    std::uint64_t rollout(std::size_t i, const char* figure) const {
        const auto json = rollout(i);
        if (!json || !json->HasMember(figure) || !(*json)[figure].IsUint64()) return 0;
        return (*json)[figure].GetUint64();
    }
    // The control machine that is ready to take changes, by its own word; ingresses(): none. Those in
    // `but` are not asked.
    std::size_t source(const std::set<std::size_t>& but = {}) const {
        for (std::size_t i = 0; i < plan.control; ++i) {
            if (but.contains(i)) continue;
            const auto json = rollout(i);
            if (json && json->HasMember("here") && (*json)["here"] == "ready") return i;
        }
        return plan.ingresses;
    }
    std::size_t wait_source(const std::set<std::size_t>& but = {}) const {
        std::size_t found = plan.ingresses;
        REQUIRE(wait_for([&] { return (found = source(but)) < plan.ingresses; }, 40));
        return found;
    }
    // A section for all, asked of this one; its answer.
    std::string propose(std::size_t i, const std::string& section, const std::string& lines) const {
        std::string key = section;
        for (std::size_t at; (at = key.find(' ')) != std::string::npos;) key.replace(at, 1, "%20");
        return ask(admins_[i], "POST", "/v1/rollout/" + key, "", lines);
    }

    Plan plan;
    Folder folder;
    const int ledger_port = fleet_port(), ledger_control = fleet_port(), link_control = fleet_port(),
              directory_port = fleet_port(), receiver_port = fleet_port(), counter_control = fleet_port();

  private:
    static std::string base_config() {
        std::ifstream in(std::string(EXCHANGES) + "/config.json");
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    }
    static void replace(std::string& text, const std::string& from, const std::string& to) {
        const std::size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    }
    void start_backends() {
        if (plan.providers == 0) return;
        std::vector<std::string> words{FAKES, "discovery", "--seconds",
                                       "600", "--listen",  address_of(directory_port)};
        for (std::size_t s = 0; s < plan.sites; ++s)
            for (std::size_t p = 0; p < plan.providers; ++p) {
                const std::string id = std::string(1, static_cast<char>('a' + s)) + "-" + std::to_string(p);
                const std::string at = address_of(fleet_port());
                backends_.push_back(
                    Process({FAKES, "backend", "--id", id, "--listen", at, "--read-ms", "3", "--write-ms",
                             "6", "--used", "10", "--queue", "50", "--seconds", "600"},
                            "", ""));
                words.insert(words.end(), {"--member", id + "=" + at});
            }
        backends_.push_back(Process(words, "", ""));
    }
    void start_links() {
        if (!plan.links) return;
        std::vector<std::string> words{
            FAKES,       "link", "--control", address_of(link_control), "--seed", std::to_string(plan.seed),
            "--seconds", "600"};
        for (std::size_t i = 0; i < plan.ingresses; ++i)
            for (std::size_t j = 0; j < plan.ingresses; ++j) {
                if (i == j || (plan.control > 0 && j >= plan.control)) continue;
                links_[{i, j}] = fleet_port();
                words.insert(words.end(),
                             {"--pair", name(i) + "-" + name(j) + "=" + address_of(links_[{i, j}]) + "=" +
                                            address_of(follows(i) ? feeds_[j] : peers_[j])});
            }
        link_process_ = Process(words, "", folder.file("links"));
    }

    std::vector<int> ports_, admins_, peers_, counters_, feeds_;
    std::map<std::pair<std::size_t, std::size_t>, int> links_;
    std::vector<Process> backends_;
    Process ledger_, link_process_, receiver_, counter_;
    std::vector<Process> ingresses_;
};

}   // namespace rig
