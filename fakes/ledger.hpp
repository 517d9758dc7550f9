// Where acts of the fleet's tasks end: takes them by POST, refuses a fencing number lower than one that it
// has taken (409), and writes down all that it saw, one JSON record each.
#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include "server.hpp"

namespace fakes {

class Ledger {
  public:
    // `out`: a file for the records; empty: none.
    Ledger(slatejunction::net::Timers& timers, std::string address, const std::string& out);
    bool start(std::string& why) { return server_.start(address_, why); }
    std::string summary() const;

  private:
    void take(const std::shared_ptr<Client>& client, const Request& request);
    const std::string address_;
    Server server_;
    std::ofstream out_;
    std::map<std::string, std::uint64_t> highest_;   // by path
    std::uint64_t acts_ = 0, refused_ = 0, unreadable_ = 0, changes_ = 0;
    std::string holder_;
};

}   // namespace fakes
