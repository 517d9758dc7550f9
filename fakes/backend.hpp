// A backend (PROTOCOL, "Ingresses to backends"): a few cores, a queue, service times by chance.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "server.hpp"

namespace fakes {

struct BackendSettings {
    std::string id = "s-1", listen;
    int cores = 3;
    double read_ms = 20, write_ms = 50;   // mean work of a GET, and of any other
    double spread = 0.3;                  // of the mean, to either side
    std::size_t queue = 200;              // that wait; more are turned away
    double used = 0;   // percent of its quota that every customer has used; 0: not reported
    std::uint64_t seed = 1;
    // After a restart it has that part of its pace, and all of it once it is warm. Work that comes at more
    // than fall_multiple times its pace over fall_s makes it fall over: it answers nothing more.
    double cold_from = 0.2, warm_s = 10, fall_multiple = 0, fall_s = 2;
};

class Backend {
  public:
    Backend(slatejunction::net::Timers& timers, const BackendSettings& settings);
    bool start(std::string& why) { return server_.start(settings_.listen, why); }
    std::string summary() const;
    void drain();     // it has been taken off the list: what comes later than it may is counted
    void restart();   // it is cold

  private:
    double pace(double now) const;
    bool falls(double now, double work);
    void on_request(const std::shared_ptr<Client>& client, Request& request);
    const BackendSettings settings_;
    Server server_;
    std::vector<double> free_at_;   // of each core
    std::size_t open_ = 0, served_ = 0, turned_away_ = 0, most_open_ = 0;
    std::size_t reads_ = 0, writes_ = 0, late_ = 0, falls_ = 0;
    double drained_at_ = 0, restarted_at_ = -1e18;   // drained_at_ 0: it is not
    std::deque<std::pair<double, double>> came_;     // when, and how much work, over fall_s
    std::mt19937_64 random_;
};

}   // namespace fakes
