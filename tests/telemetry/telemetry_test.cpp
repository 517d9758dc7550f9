// The program under load with a remote-write receiver that fails in each of its ways: the samples that
// arrive agree with the request records of the log, the protocol is not violated, and requests are served
// throughout.
#include <catch2/catch.hpp>
#include <filesystem>
#include <random>

#include "site.hpp"
#include "storage/persistent_counters.hpp"

namespace {

std::size_t served(const std::map<std::string, double>& counts) {
    double all = 0;
    for (const auto& [key, count] : counts)
        if (key.ends_with(" served")) all += count;
    return static_cast<std::size_t>(all);
}

}   // namespace

TEST_CASE("the receiver's totals agree with the log after each fault of the receiver") {
    const bool v1 = GENERATE(false, true);
    Site site("catch_up_samples_per_s = 100000\n", v1);
    Process load = site.load(60, 8, v1 ? "a" : "b");
    for (const char* fault : {"refuse", "hang", "status/429/0", "status/500", "lost", "cut/200", "trickle",
                              "huge", "close", "reset", "status/503"}) {
        site.fault(fault);
        sleep_s(0.5);
        site.fault("none");
        sleep_s(0.15);
    }
    REQUIRE(load.wait() == 0);
    const std::size_t before = site.stat("batches");
    REQUIRE(wait_for([&] { return site.stat("batches") > before + 3; }));
    REQUIRE(site.ingress.end(SIGTERM) == 0);
    const auto logged = site.logged();
    CHECK(served(logged) > 300);
    CHECK(fakes::counted(site.samples()) == logged);
    site.expect_no_violations();
    // Without a state directory all series are marked as ended at the stop.
    for (const auto& [key, points] : site.samples()) REQUIRE(fakes::is_stale(points.back().value));
}

TEST_CASE("counters continue across kills and graceful restarts without a reset or double count") {
    Site site;
    const std::string more = "[state]\ndirectory = " + site.folder.file("state") + "\n";
    std::filesystem::create_directory(site.folder.file("state"));
    REQUIRE(site.ingress.end(SIGTERM) == 0);
    site.folder.write("log", "");
    site.write_options(more);
    site.start();
    std::mt19937 random(20261201);
    int kills = 0;
    for (int round = 0; round < 4; ++round) {
        Process load = site.load(80, 0.9, "r" + std::to_string(round) + "-");
        sleep_s(0.3 + 0.001 * (random() % 300));
        if (round % 2 == 0) {
            REQUIRE(site.ingress.end(SIGKILL) == 128 + SIGKILL);
            ++kills;
        } else {
            REQUIRE(site.ingress.end(SIGTERM) == 0);
        }
        site.start();
        load.wait();
    }
    const std::size_t before = site.stat("batches");
    REQUIRE(wait_for([&] { return site.stat("batches") > before + 3; }));
    REQUIRE(site.ingress.end(SIGTERM) == 0);
    const auto logged = site.logged();
    const auto samples = site.samples();
    auto counted = fakes::counted(samples);
    // A counter is updated before its log record is written: a kill in between leaves it one ahead.
    double ahead = 0;
    for (const auto& [key, count] : counted) {
        const auto at = logged.find(key);
        const double lines = at == logged.end() ? 0 : at->second;
        REQUIRE(count >= lines);
        ahead += count - lines;
    }
    CHECK(ahead <= 2 * kills);
    CHECK(served(logged) > 100);
    for (const auto& [key, count] : logged) REQUIRE(counted[key] >= count);
    site.expect_no_violations();
    // No counter decreased, and the series ended only with the first process.
    for (const auto& [key, points] : samples) {
        const std::string name = std::map<std::string, std::string>(key.begin(), key.end())["__name__"];
        if (!name.ends_with("_total") || points.empty()) continue;
        if (name != "slatejunction_requests_total" && name != "slatejunction_starts_total") continue;
        bool ended = false;   // by the first process, which had no state directory
        double value = 0;
        for (const fakes::Point& point : points) {
            if (fakes::is_stale(point.value)) {
                REQUIRE_FALSE(ended);
                ended = true;
                value = 0;
                continue;
            }
            REQUIRE(point.value >= value);
            value = point.value;
        }
    }
}

TEST_CASE("SIGHUP applies url, labels and interval under load, and nothing of an invalid file") {
    Site site;
    Process load = site.load(60, 4, "h");
    sleep_s(0.5);
    // An invalid file is reported, and the settings stay.
    site.folder.write("operator.ini", "[remote_write]\nurl = nowhere\ninterval_s = 0.1\nx = 1\n");
    site.ingress.signal(SIGHUP);
    REQUIRE(wait_for([&] {
        return site.folder.read("log").find("[remote_write] x: unknown key") != std::string::npos;
    }));
    const std::size_t batches = site.stat("batches");
    REQUIRE(wait_for([&] { return site.stat("batches") > batches + 2; }));
    // New labels and another interval.
    site.write_options("labels = zone=b, instance=other\n");
    site.ingress.signal(SIGHUP);
    REQUIRE(wait_for([&] {
        return site.folder.read("log").find("reloaded: the operator's file") != std::string::npos;
    }));
    sleep_s(0.5);
    // Another receiver.
    const int port = free_port(), control = free_port();
    Process receiver({FAKES, "remote-write", "--seconds", "300", "--listen", address_of(port), "--control",
                      address_of(control)},
                     "", "");
    REQUIRE(wait_for([&] { return !ask(control, "GET", "/stats").empty(); }));
    site.folder.write("operator.ini",
                      "[log]\nformat = json\nrequests = all\n[remote_write]\nurl = http://" +
                          address_of(port) + "/\ninterval_s = 0.1\nlabels = zone=b, instance=other\n");
    site.ingress.signal(SIGHUP);
    REQUIRE(wait_for([&] {
        const std::string text = ask(control, "GET", "/stats");
        return text.find("\"batches\":0,") == std::string::npos && !text.empty();
    }));
    REQUIRE(load.wait() == 0);
    REQUIRE(site.ingress.end(SIGTERM) == 0);
    site.expect_no_violations();
    CHECK(ask(control, "GET", "/stats").find("\"breaches\":0") != std::string::npos);
    // The series of the old labels have ended, and there are series of the new ones.
    bool old_ended = true, new_found = false;
    for (const auto& [key, points] : site.samples()) {
        const std::map<std::string, std::string> labels(key.begin(), key.end());
        if (labels.at("instance") == "other") new_found = true;
        if (labels.at("instance") == "n0") old_ended = old_ended && fakes::is_stale(points.back().value);
    }
    CHECK(old_ended);
    CHECK(new_found);
    CHECK(served(site.logged()) > 200);
}

TEST_CASE("credentials are sent from the file, and a batch with wrong ones is dropped") {
    Site site;
    const int port = free_port(), control = free_port();
    const auto receiver = [&](const std::string& wants) {
        return Process({FAKES, "remote-write", "--seconds", "300", "--listen", address_of(port),
                        "--control", address_of(control), "--authorization", wants},
                       "", "");
    };
    const auto wait_until_gone = [&](const std::string& what) {
        return wait_for([&] { return ask(control, "GET", "/stats").find(what) == std::string::npos; });
    };
    const auto reload_with = [&](const std::string& key, const std::string& secret) {
        const std::string file = site.folder.write("secret", secret + "\n");
        site.folder.write("operator.ini", "[remote_write]\nurl = http://" + address_of(port) +
                                              "/\ninterval_s = 0.1\n" + key + " = " + file + "\n");
        site.ingress.signal(SIGHUP);
    };
    {
        const Process one = receiver("Basic ZHV0eTpkZXNr");   // base64 of duty:desk
        reload_with("basic_file", "duty:desk");
        REQUIRE(wait_until_gone("\"batches\":0,"));
    }
    const Process two = receiver("Bearer tok-1");
    reload_with("bearer_file", "tok-2");
    REQUIRE(wait_for([&] { return site.folder.read("log").find("401") != std::string::npos; }));
    CHECK(ask(control, "GET", "/stats").find("\"batches\":0,") != std::string::npos);
    reload_with("bearer_file", "tok-1");
    REQUIRE(wait_until_gone("\"batches\":0,"));
    CHECK(site.ingress.end(SIGTERM) == 0);
    CHECK(site.folder.read("log").find("tok-") == std::string::npos);   // no secret in the log
}

TEST_CASE("a state directory that can't be used ends the start with status 2 and an error") {
    Site site;
    std::filesystem::create_directory(site.folder.file("state"));
    const auto expect_start_error = [&](const std::string& more, const std::string& why) {
        site.write_options(more);
        site.folder.write("err", "");
        Process second(site.command(), "", site.folder.file("err"));
        INFO(site.folder.read("err"));
        CHECK(second.wait() == 2);
        CHECK(site.folder.read("err").find(why) != std::string::npos);
    };
    expect_start_error("[state]\ndirectory = " + site.folder.file("absent") + "\n",
                       "absent can't be written");
    site.ingress.end(SIGTERM);
    site.write_options("[state]\ndirectory = " + site.folder.file("state") + "\n");
    site.start();
    expect_start_error("[state]\ndirectory = " + site.folder.file("state") + "\n",
                       "is in use by another process");
    expect_start_error("[statee]\ndirectory = x\n[log]\nlevel = loud\n", "[statee]: unknown section");
    CHECK(site.folder.read("err").find("[log]") != std::string::npos);
}

TEST_CASE("a damaged state file is set aside and reported, and counters start at 0") {
    Site site;
    std::filesystem::create_directory(site.folder.file("state"));
    site.ingress.end(SIGTERM);
    site.folder.write("state/counters", "not figures");
    site.folder.write("log", "");
    site.write_options("[state]\ndirectory = " + site.folder.file("state") + "\n");
    site.start();
    CHECK(site.folder.read("log").find("a damaged file was set aside as") != std::string::npos);
    CHECK(site.folder.read("state/counters.broken-1") == "not figures");
    site.ingress.end(SIGKILL);
    Process reader({PROGRAM, "counters", site.folder.file("state")}, site.folder.file("out"), "");
    CHECK(reader.wait() == 0);
    CHECK(site.folder.read("out").find("slatejunction_starts_total 1\n") != std::string::npos);
}

// The stored time of the last sample is an hour ahead of the clock.
TEST_CASE("after a step back of the clock sample times still increase") {
    Site site;
    std::filesystem::create_directory(site.folder.file("state"));
    site.ingress.end(SIGTERM);
    const std::int64_t ahead = std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count() +
                               3600 * 1000;
    slatejunction::storage::PersistentCounters(site.folder.file("state/counters"), {"last sample ms"}, 1)
        .set(0, static_cast<double>(ahead));
    site.write_options("[state]\ndirectory = " + site.folder.file("state") + "\n");
    site.start();
    const std::size_t before = site.stat("batches");
    REQUIRE(wait_for([&] { return site.stat("batches") > before + 5; }));
    site.expect_no_violations();
    std::int64_t newest = 0;
    for (const auto& [key, points] : site.samples()) newest = std::max(newest, points.back().at_ms);
    CHECK(newest > ahead);
    CHECK(newest < ahead + 1000);
}
