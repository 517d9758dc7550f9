// A provider (PROTOCOL, "Ingresses to backends"): a few cores, a queue, service times by chance.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "server.hpp"

namespace standin {

struct ProviderSettings {
    std::string id = "s-1", listen;
    int cores = 3;
    double read_ms = 20, write_ms = 50;   // mean work of a GET, and of any other
    double spread = 0.3;                  // of the mean, to either side
    std::size_t queue = 200;              // that wait; more are turned away
    double used = 0;                      // percent of its quota that every customer has used; 0: not told
    std::uint64_t seed = 1;
};

class Provider {
  public:
    Provider(slatejunction::net::Timers& timers, const ProviderSettings& settings);
    bool start(std::string& why) { return server_.start(settings_.listen, why); }
    std::string summary() const;

  private:
    void on_request(const std::shared_ptr<Client>& client, Request& request);
    const ProviderSettings settings_;
    Server server_;
    std::vector<double> free_at_;   // of each core
    std::size_t open_ = 0, served_ = 0, turned_away_ = 0, most_open_ = 0;
    std::mt19937_64 random_;
};

}   // namespace standin
