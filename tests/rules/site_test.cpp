// The ingress with rules on a site of two subsets under load: a backend that drains, a cold restart, an
// empty subset and reloads; limits across a restart and a kill; many reloads under load.
#include <catch2/catch.hpp>
#include <filesystem>

#include "files.hpp"
#include "process.hpp"

namespace {

// Five fake backends (three large, two small), fake discovery and one ingress.
class Site {
  public:
    Site() {
        std::vector<std::string> arguments{FAKES,       "discovery",
                                           "--seconds", "120",
                                           "--listen",  address_of(discovery_port),
                                           "--control", address_of(discovery_control_port)};
        for (int i = 0; i < 5; ++i) {
            const std::string address = address_of(free_port());
            backend_control_ports[i] = free_port();
            backends_.push_back(Process({FAKES,
                                         "backend",
                                         "--id",
                                         ids[i],
                                         "--listen",
                                         address,
                                         "--control",
                                         address_of(backend_control_ports[i]),
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
            arguments.insert(arguments.end(),
                             {"--member", ids[i] + "=" + address + (i < 3 ? ",large" : ",small")});
        }
        discovery_ = Process(arguments, "", "");
        std::ifstream in(SOURCE "/demo/config.json");
        config_ = std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        const auto replace_all = [&](const std::string& from, const std::string& to) {
            for (std::size_t at = 0; (at = config_.find(from, at)) != std::string::npos; at += to.size())
                config_.replace(at, from.size(), to);
        };
        replace_all("@LISTEN@", address_of(port));
        replace_all("@DIRECTORY@", address_of(discovery_port));
        for (const char* rate : {"\"UnitsPerS\": 2,", "\"UnitsPerS\": 4,", "\"UnitsPerS\": 12,"})
            replace_all(rate, "\"UnitsPerS\": 1000,");
        for (const char* depth : {"\"Depth\": 6,", "\"Depth\": 12,", "\"Depth\": 24,"})
            replace_all(depth, "\"Depth\": 5000,");
        folder.write("config.json", config_);
    }
    // Writes the operator's settings file with these rules. Reloads it if the ingress is running.
    void set_rules(const std::string& text) {
        folder.write("operator.ini", "[log]\nformat = json\nrequests = all\n" + text);
        if (!ingress.running()) return;
        const std::size_t before = count_in_log("reloaded: the operator's file");
        ingress.signal(SIGHUP);
        REQUIRE(wait_for([&] { return count_in_log("reloaded: the operator's file") > before; }));
    }
    void start() {
        ingress = Process({PROGRAM, "serve", "--config", folder.file("config.json"), "--operator",
                           folder.file("operator.ini")},
                          "", folder.file("log"));
        REQUIRE(wait_for([&] { return ask(port, "GET", "/health/ready").starts_with("HTTP/1.1 200"); }));
        REQUIRE(wait_for([&] { return send_probe(), total_requests() > 0; }));
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
    // A counter of a backend's /stats; 0 if there is none of that name.
    std::size_t backend_counter(int backend, const std::string& name) const {
        const std::string text = ask(backend_control_ports[backend], "GET", "/stats");
        const std::size_t at = text.find("\"" + name + "\":");
        return at == std::string::npos ? 0 : std::stoul(text.substr(at + name.size() + 3));
    }
    std::size_t total_requests() const {
        std::size_t total = 0;
        for (int i = 0; i < 5; ++i) total += backend_counter(i, "reads") + backend_counter(i, "writes");
        return total;
    }
    std::size_t small_reads() const { return backend_counter(3, "reads") + backend_counter(4, "reads"); }
    void drain(int backend) const {
        REQUIRE(ask(discovery_control_port, "POST", "/phase/" + ids[backend] + "/Terminating")
                    .starts_with("HTTP/1.1 200"));
        REQUIRE(ask(backend_control_ports[backend], "POST", "/drain").starts_with("HTTP/1.1 200"));
    }
    void restart(int backend) const {
        REQUIRE(ask(backend_control_ports[backend], "POST", "/restart").starts_with("HTTP/1.1 200"));
        REQUIRE(
            ask(discovery_control_port, "POST", "/restart/" + ids[backend]).starts_with("HTTP/1.1 200"));
    }
    // The number of occurrences of the text in the ingress's log.
    std::size_t count_in_log(const std::string& text) const {
        const std::string log = folder.read("log");
        std::size_t found = 0;
        for (std::size_t at = 0; (at = log.find(text, at)) != std::string::npos; ++at) ++found;
        return found;
    }
    // Sends one request with further header fields. Returns the head of the response.
    std::string request(const std::string& id, const std::string& fields = "") const {
        const std::string response = ask(port, "GET", "/risk-read/x?customer=0000000000000001",
                                         "X-Request-Id: " + id +
                                             "\r\nX-Class: risk-read\r\nX-Tier: plus\r\nX-Deadline: "
                                             "4\r\nX-Call-Terms: units=1,spread=1,first=0\r\n" +
                                             fields);
        return response.substr(0, response.find("\r\n\r\n"));
    }

    Folder folder;
    const std::vector<std::string> ids{"a-1", "a-2", "a-3", "b-1", "b-2"};
    const int port = free_port(), discovery_port = free_port(), discovery_control_port = free_port();
    int backend_control_ports[5] = {};
    Process ingress;

  private:
    // Sends a short load, to see whether the ingress knows backends yet.
    void send_probe() const {
        Process probe = load(30, 0.2, "p" + std::to_string(free_port()));
        probe.wait();
    }
    std::string config_;
    std::vector<Process> backends_;
    Process discovery_;
};

const std::string kSubsets =
    "[subset large]\nproviders = provider.flavor == 'large'\n"
    "[subset small]\nproviders = provider.flavor == 'small'\n"
    "[route writes]\nwhen = request.class == 'warn-send'\nsubset = small\n";

// The subsets with a route of reads to the large backends, with that setting of `spill`.
std::string read_rules(const std::string& spill) {
    return kSubsets +
           "[route reads]\nwhen = request.class == 'risk-read'\nsubset = large\nspill = " + spill + "\n";
}

}   // namespace

TEST_CASE("two subsets through a drain and a cold restart: no overload, fallback only as stated") {
    Site site;
    site.set_rules(read_rules("never"));
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
        CHECK(site.backend_counter(i, "late") == 0);
        CHECK(site.backend_counter(i, "falls") == 0);
    }
    CHECK(site.small_reads() == before);   // spill = never
    CHECK(site.backend_counter(0, "writes") + site.backend_counter(1, "writes") +
              site.backend_counter(2, "writes") ==
          0);
    CHECK(site.backend_counter(0, "reads") > 50);
    CHECK(site.count_in_log("\"outcome\":\"served\"") > 700);
    // All backends of the subset drain: with `never` its requests are rejected, with `empty` they go to the
    // whole fleet.
    for (int i = 0; i < 3; ++i) site.drain(i);
    sleep_s(0.3);
    site.load(50, 1, "two").wait();
    CHECK(site.small_reads() == before);
    CHECK(site.count_in_log("\"reason\":\"no_provider\"") > 10);
    site.set_rules(read_rules("empty"));
    site.load(50, 1, "three").wait();
    CHECK(site.small_reads() > before + 20);
    for (int i = 0; i < 3; ++i) CHECK(site.backend_counter(i, "late") == 0);
    CHECK(site.ingress.end(SIGTERM) == 0);
}

TEST_CASE("a limit rejects with a correct Retry-After, and no restart or kill refills its buckets") {
    Site site;
    std::filesystem::create_directory(site.folder.file("state"));
    const std::string limit =
        "[state]\ndirectory = " + site.folder.file("state") + "\n[limit desk]\n" +
        "when = 'x-desk' in request.headers\nkey = request.headers['x-desk']\nrate = 0.05\nburst = 3\n" +
        "[tag desk]\nwhen = 'x-desk' in request.headers\nvalue = request.headers['x-desk']\n";
    site.set_rules(limit);
    site.start();
    const auto count_admitted = [&](const std::string& name, int times) {
        int admitted = 0;
        for (int i = 0; i < times; ++i)
            admitted +=
                site.request(name + std::to_string(i), "X-Desk: storm\r\n").starts_with("HTTP/1.1 200");
        return admitted;
    };
    CHECK(count_admitted("a", 6) == 3);
    const std::string rejected = site.request("b", "X-Desk: storm\r\n");
    CHECK(rejected.starts_with("HTTP/1.1 503"));
    const std::size_t at = rejected.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(rejected.substr(at + 13)) > 15);   // 20 s less what this test has taken
    CHECK(site.request("c", "X-Desk: calm\r\n").starts_with("HTTP/1.1 200"));
    CHECK(site.request("d").starts_with("HTTP/1.1 200"));
    CHECK(site.count_in_log("\"reason\":\"limit\"") >= 4);
    CHECK(site.count_in_log("\"tag_desk\":\"storm\"") >= 7);
    // A planned restart, then a kill after a whole snapshot has been written.
    REQUIRE(site.ingress.end(SIGTERM) == 0);
    site.start();
    CHECK(count_admitted("e", 2) == 0);
    sleep_s(6);
    REQUIRE(site.ingress.end(SIGKILL) == 128 + SIGKILL);
    site.start();
    CHECK(site.count_in_log("keys from an earlier process") == 2);
    CHECK(count_admitted("f", 2) <= 1);   // enough time may have passed for one more token
    // The new [limit all] starts with full buckets.
    site.set_rules(limit + "[limit all]\nkey = request.plan\nrate = 0.01\nburst = 2\n");
    CHECK(site.request("g", "X-Desk: new\r\n").starts_with("HTTP/1.1 200"));
    CHECK(site.request("h", "X-Desk: new\r\n").starts_with("HTTP/1.1 200"));
    CHECK(site.request("i", "X-Desk: new\r\n").starts_with("HTTP/1.1 503"));
    CHECK(site.ingress.end(SIGTERM) == 0);
}

TEST_CASE("many reloads under load: no request fails, and a file with errors changes nothing") {
    Site site;
    site.set_rules(read_rules("pressed"));
    site.start();
    Process load = site.load(120, 4, "storm");
    for (int i = 0; i < 40; ++i) {
        const bool invalid = i % 4 == 3;
        site.folder.write("operator.ini", "[log]\nformat = json\nrequests = all\n" +
                                              (invalid ? "[route x]\nwhen = request.plan == 1\n"
                                                       : read_rules(i % 2 ? "never" : "empty")));
        site.ingress.signal(SIGHUP);
        sleep_s(0.08);
    }
    REQUIRE(load.wait() == 0);
    CHECK(site.count_in_log("[route x] when: 1:14: '==' does not take string and int") > 0);
    const std::string summary = site.folder.read("load-storm");
    INFO(summary);
    CHECK(summary.find("\"failed\":0") != std::string::npos);
    CHECK(site.count_in_log("\"outcome\":\"served\"") > 400);
    CHECK(site.ingress.end(SIGTERM) == 0);
}
