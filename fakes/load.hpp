// Clients (PROTOCOL, "Clients to ingresses"): an open loop of requests whose times are drawn ahead and
// wait for no answer. Latencies run from the time that a request was due to be sent.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"

namespace fakes {

struct LoadSettings {
    std::string target;
    double rate = 50, seconds = 10;   // requests a second, for so long
    std::size_t most_open = 2000;     // requests; those over it are not sent but counted
    std::uint64_t customers = 50;     // their numbers begin with 1; each keeps one plan
    double write_part = 0.17;         // of the requests, those of a class that can't be repeated
    double units = 1;
    unsigned spread = 1;   // ingresses that a customer's requests come through; one of them is the target
    std::uint64_t seed = 1;
    double progress_s = 1;   // between lines of progress; 0: none
    std::uint64_t one_by_one =
        0;                      // so many requests, each after the answer to the one before; 0: open loop
    std::string prefix = "l";   // of the requests' ids
};

class Load {
  public:
    Load(slatejunction::net::Timers& timers, const LoadSettings& settings,
         const slatejunction::Settings& platform, std::function<void()> done);
    void start();
    std::string summary() const;   // one line of JSON
    void report() const;           // for people, to standard output

  private:
    struct Connection;
    struct Tally {
        std::uint64_t served = 0, refused = 0, failed = 0;
    };
    struct Job {
        std::string id, service_class, plan, bytes;
        double at = 0;   // when it was due
        bool again = false;
    };
    void next();
    void fire();
    void progress();
    Job make();
    void give(Job job);
    void ended(const Job& job, int status);   // 0: no answer
    void maybe_done();

    slatejunction::net::Timers& timers_;
    const LoadSettings settings_;
    const slatejunction::Settings& platform_;
    std::function<void()> done_;
    slatejunction::net::Address address_;
    slatejunction::net::Timer timer_, progress_;
    std::mt19937_64 random_;
    double started_ = 0, due_ = 0;
    std::uint64_t numbers_ = 0, unsent_ = 0, open_ = 0;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::vector<std::shared_ptr<Connection>> idle_;
    std::map<std::pair<std::string, std::string>, Tally> tallies_;   // by class and plan
    std::vector<float> seconds_;                                     // of those served
    Tally all_, printed_;
    bool over_ = false;
};

}   // namespace fakes
