// The directory (PROTOCOL, "Discovery"): a list of providers with a version, asked whole or watched.
#pragma once

#include <string>
#include <vector>

#include "server.hpp"

namespace standin {

class Directory {
  public:
    struct Member {
        std::string id, host_port, flavor = "stand-in", phase = "Ready";
        std::int64_t up_since_ms = 0;   // 0: long ago
    };
    Directory(slatejunction::net::Timers& timers, std::string listen, std::vector<Member> members);
    bool start(std::string& why) { return server_.start(listen_, why); }
    // Ready, Terminating or Gone; false: no such provider.
    bool set(const std::string& id, const std::string& phase);
    bool restart(const std::string& id);   // Ready, and up since now
    std::string list(bool complete) const;
    std::string summary() const;

  private:
    void on_request(const std::shared_ptr<Client>& client, Request& request);
    const std::string listen_;
    std::vector<Member> members_;
    int revision_ = 1;
    std::size_t asked_ = 0;
    std::vector<std::weak_ptr<Client>> waiting_;
    Server server_;
};

}   // namespace standin
