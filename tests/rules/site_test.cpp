// The program with rules on a site of two subsets under load: a drain, a cold restart, an empty subset and
// reloads; limits over a kill and a restart; reloads in a storm.
#include <catch2/catch.hpp>
#include <filesystem>

#include "files.hpp"
#include "process.hpp"

namespace {

class Fleet {
  public:
    Fleet() {
        std::vector<std::string> words{FAKES,       "discovery",
                                       "--seconds", "120",
                                       "--listen",  address_of(directory_port),
                                       "--control", address_of(directory_control)};
        for (int i = 0; i < 5; ++i) {
            const std::string at = address_of(free_port());
            controls[i] = free_port();
            providers_.push_back(Process({FAKES,
                                          "backend",
                                          "--id",
                                          ids[i],
                                          "--listen",
                                          at,
                                          "--control",
                                          address_of(controls[i]),
                                          "--cores",
                                          "2",
                                          "--read-ms",
                                          "10",
                                          "--write-ms",
                                          "10",
                                          "--used",
                                          "40",
                                          "--cold-from",
                                          "0.16",
                                          "--warm-s",
                                          "13",
                                          "--fall-multiple",
                                          "2",
                                          "--fall-s",
                                          "2",
                                          "--seconds",
                                          "120"},
                                         "", ""));
            words.insert(words.end(), {"--member", ids[i] + "=" + at + (i < 3 ? ",large" : ",small")});
        }
        directory_ = Process(words, "", "");
        std::ifstream in(SOURCE "/demo/config.json");
        config_ = std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        const auto change = [&](const std::string& from, const std::string& to) {
            for (std::size_t at = 0; (at = config_.find(from, at)) != std::string::npos; at += to.size())
                config_.replace(at, from.size(), to);
        };
        change("@LISTEN@", address_of(port));
        change("@DIRECTORY@", address_of(directory_port));
        for (const char* rate : {"\"UnitsPerS\": 2,", "\"UnitsPerS\": 4,", "\"UnitsPerS\": 12,"})
            change(rate, "\"UnitsPerS\": 1000,");
        for (const char* depth : {"\"Depth\": 6,", "\"Depth\": 12,", "\"Depth\": 24,"})
            change(depth, "\"Depth\": 5000,");
        folder.write("config.json", config_);
    }
    void rules(const std::string& text) {
        folder.write("operator.ini", "[log]\nformat = json\nrequests = all\n" + text);
        if (!ingress.running()) return;
        const std::size_t before = count("reloaded: the operator's file");
        ingress.signal(SIGHUP);
        REQUIRE(wait_for([&] { return count("reloaded: the operator's file") > before; }));
    }
    void start() {
        ingress = Process({PROGRAM, "serve", "--config", folder.file("config.json"), "--operator",
                           folder.file("operator.ini")},
                          "", folder.file("log"));
        REQUIRE(wait_for([&] { return ask(port, "GET", "/health/ready").starts_with("HTTP/1.1 200"); }));
        REQUIRE(wait_for([&] { return probe(), any() > 0; }));
    }
    Process load(double rate, double seconds, const std::string& prefix) const {
        return Process({FAKES,          "load",
                        "--target",     address_of(port),
                        "--config",     folder.file("config.json"),
                        "--rate",       std::to_string(rate),
                        "--duration",   std::to_string(seconds),
                        "--progress",   "0",
                        "--prefix",     prefix,
                        "--seed",       "7",
                        "--customers",  "20",
                        "--write-part", "0.3"},
                       folder.file("load-" + prefix), "");
    }
    std::size_t figure(int provider, const std::string& name) const {
        const std::string text = ask(controls[provider], "GET", "/stats");
        const std::size_t at = text.find("\"" + name + "\":");
        return at == std::string::npos ? 0 : std::stoul(text.substr(at + name.size() + 3));
    }
    std::size_t any() const {
        std::size_t all = 0;
        for (int i = 0; i < 5; ++i) all += figure(i, "reads") + figure(i, "writes");
        return all;
    }
    std::size_t small_reads() const { return figure(3, "reads") + figure(4, "reads"); }
    void drain(int provider) const {
        REQUIRE(ask(directory_control, "POST", "/phase/" + ids[provider] + "/Terminating")
                    .starts_with("HTTP/1.1 200"));
        REQUIRE(ask(controls[provider], "POST", "/drain").starts_with("HTTP/1.1 200"));
    }
    void restart(int provider) const {
        REQUIRE(ask(controls[provider], "POST", "/restart").starts_with("HTTP/1.1 200"));
        REQUIRE(ask(directory_control, "POST", "/restart/" + ids[provider]).starts_with("HTTP/1.1 200"));
    }
    std::size_t count(const std::string& what) const {
        const std::string log = folder.read("log");
        std::size_t found = 0;
        for (std::size_t at = 0; (at = log.find(what, at)) != std::string::npos; ++at) ++found;
        return found;
    }
    // One request; its status and its Retry-After, if it has one.
    std::string request(const std::string& id, const std::string& more = "") const {
        const std::string all = ask(port, "GET", "/risk-read/x?customer=0000000000000001",
                                    "X-Request-Id: " + id +
                                        "\r\nX-Class: risk-read\r\nX-Tier: plus\r\nX-Deadline: "
                                        "4\r\nX-Call-Terms: units=1,spread=1,first=0\r\n" +
                                        more);
        return all.substr(0, all.find("\r\n\r\n"));
    }

    Folder folder;
    const std::vector<std::string> ids{"a-1", "a-2", "a-3", "b-1", "b-2"};
    const int port = free_port(), directory_port = free_port(), directory_control = free_port();
    int controls[5] = {};
    Process ingress;

  private:
    // Until the ingress knows of providers.
    void probe() const {
        Process one = load(30, 0.2, "p" + std::to_string(free_port()));
        one.wait();
    }
    std::string config_;
    std::vector<Process> providers_;
    Process directory_;
};

const std::string kSubsets =
    "[subset large]\nproviders = provider.flavor == 'large'\n"
    "[subset small]\nproviders = provider.flavor == 'small'\n"
    "[route writes]\nwhen = request.class == 'warn-send'\nsubset = small\n";

std::string reads(const std::string& spill) {
    return kSubsets +
           "[route reads]\nwhen = request.class == 'risk-read'\nsubset = large\nspill = " + spill + "\n";
}

}   // namespace

TEST_CASE("two subsets under load: a drain and a cold restart, none pushed over, spills only as stated") {
    Fleet site;
    site.rules(reads("never"));
    site.start();
    const std::size_t before = site.small_reads();
    {
        Process load = site.load(150, 6, "one");
        sleep_s(1);
        site.drain(0);
        sleep_s(1.5);
        site.restart(0);
        REQUIRE(load.wait() == 0);
    }
    for (int i = 0; i < 5; ++i) {
        INFO(site.ids[static_cast<std::size_t>(i)]);
        CHECK(site.figure(i, "late") == 0);
        CHECK(site.figure(i, "falls") == 0);
    }
    CHECK(site.small_reads() == before);   // spill = never
    CHECK(site.figure(0, "writes") + site.figure(1, "writes") + site.figure(2, "writes") == 0);
    CHECK(site.figure(0, "reads") > 50);
    CHECK(site.count("\"outcome\":\"served\"") > 700);
    // The subset drains empty: with `never` its requests are refused, with `empty` they go to the whole
    // fleet.
    for (int i = 0; i < 3; ++i) site.drain(i);
    sleep_s(0.3);
    site.load(50, 1, "two").wait();
    CHECK(site.small_reads() == before);
    CHECK(site.count("\"reason\":\"no_provider\"") > 10);
    site.rules(reads("empty"));
    site.load(50, 1, "three").wait();
    CHECK(site.small_reads() > before + 20);
    for (int i = 0; i < 3; ++i) CHECK(site.figure(i, "late") == 0);
    CHECK(site.ingress.end(SIGTERM) == 0);
}

TEST_CASE("a limit refuses at once with a true Retry-After, and a restart or a kill gives no new store") {
    Fleet site;
    std::filesystem::create_directory(site.folder.file("state"));
    const std::string limit =
        "[state]\ndirectory = " + site.folder.file("state") + "\n[limit desk]\n" +
        "when = 'x-desk' in request.headers\nkey = request.headers['x-desk']\nrate = 0.05\nburst = 3\n" +
        "[tag desk]\nwhen = 'x-desk' in request.headers\nvalue = request.headers['x-desk']\n";
    site.rules(limit);
    site.start();
    const auto passed = [&](const std::string& name, int times) {
        int good = 0;
        for (int i = 0; i < times; ++i)
            good += site.request(name + std::to_string(i), "X-Desk: storm\r\n").starts_with("HTTP/1.1 200");
        return good;
    };
    CHECK(passed("a", 6) == 3);
    const std::string refused = site.request("b", "X-Desk: storm\r\n");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    const std::size_t at = refused.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(refused.substr(at + 13)) > 15);   // 20 s less what this test has taken
    CHECK(site.request("c", "X-Desk: calm\r\n").starts_with("HTTP/1.1 200"));
    CHECK(site.request("d").starts_with("HTTP/1.1 200"));
    CHECK(site.count("\"reason\":\"limit\"") >= 4);
    CHECK(site.count("\"tag_desk\":\"storm\"") >= 7);
    // A planned restart, then a kill once a round has been written.
    REQUIRE(site.ingress.end(SIGTERM) == 0);
    site.start();
    CHECK(passed("e", 2) == 0);
    sleep_s(6);
    REQUIRE(site.ingress.end(SIGKILL) == 128 + SIGKILL);
    site.start();
    CHECK(site.count("keys from an earlier process") == 2);
    CHECK(passed("f", 2) <= 1);   // one more may have room by now
    // Other figures are another limit: its buckets are full.
    site.rules(limit + "[limit all]\nkey = request.plan\nrate = 0.01\nburst = 2\n");
    CHECK(site.request("g", "X-Desk: new\r\n").starts_with("HTTP/1.1 200"));
    CHECK(site.request("h", "X-Desk: new\r\n").starts_with("HTTP/1.1 200"));
    CHECK(site.request("i", "X-Desk: new\r\n").starts_with("HTTP/1.1 503"));
    CHECK(site.ingress.end(SIGTERM) == 0);
}

TEST_CASE("reloads in a storm under load: every request has its answer, a faulty file changes nothing") {
    Fleet site;
    site.rules(reads("pressed"));
    site.start();
    Process load = site.load(120, 4, "storm");
    for (int i = 0; i < 40; ++i) {
        const bool bad = i % 4 == 3;
        site.folder.write("operator.ini", "[log]\nformat = json\nrequests = all\n" +
                                              (bad ? "[route x]\nwhen = request.plan == 1\n"
                                                   : reads(i % 2 ? "never" : "empty")));
        site.ingress.signal(SIGHUP);
        sleep_s(0.08);
    }
    REQUIRE(load.wait() == 0);
    CHECK(site.count("[route x] when: 1:14: '==' does not take string and int") > 0);
    const std::string summary = site.folder.read("load-storm");
    INFO(summary);
    CHECK(summary.find("\"failed\":0") != std::string::npos);
    CHECK(site.count("\"outcome\":\"served\"") > 400);
    CHECK(site.ingress.end(SIGTERM) == 0);
}
