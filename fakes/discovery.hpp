// Discovery (PROTOCOL, "Discovery"): a list of backends with a version, asked whole or watched.
#pragma once

#include <string>
#include <vector>

#include "server.hpp"

namespace fakes {

class Discovery {
  public:
    struct Member {
        std::string id, host_port, flavor = "stand-in", phase = "Ready";
        std::int64_t up_since_ms = 0;   // 0: long ago
        int cell = 1;
        int changed = 1;   // the revision with which it last changed
    };
    // How calls are answered from now on; by default at once.
    struct Manner {
        double delay_s = 0;          // between a call, or its change, and the answer
        bool silent = false;         // not at all, open watches included: what is asked now is lost
        bool holds = false;          // not before it behaves otherwise: what is asked now is answered then
        bool turns_away = false;     // 503
        bool always_whole = false;   // with the whole list where changes would do
    };
    Discovery(slatejunction::net::Timers& timers, std::string listen, std::vector<Member> members);
    bool start(std::string& why) { return server_.start(listen_, why); }
    void end() { server_.stop(), server_.end_all(); }   // until the next start()
    // Ready, Terminating or Gone; false: no such backend.
    bool set(const std::string& id, const std::string& phase);
    bool restart(const std::string& id);   // Ready, and up since now
    void add(Member member);               // as a backend that has just come
    void behave(const Manner& manner);
    int revision() const { return revision_; }
    std::size_t list_bytes_sent() const { return list_bytes_sent_; }   // of lists, whole and changes
    std::string whole() const;
    std::string changes(int since) const;   // what has changed after that revision
    std::string summary() const;

  private:
    void on_request(const std::shared_ptr<Client>& client, Request& request);
    std::string list(bool complete, int since) const;
    void tell_waiting();
    void answer(const std::shared_ptr<Client>& client, int since);
    const std::string listen_;
    std::vector<Member> members_;
    int revision_ = 1;
    std::size_t asked_ = 0, list_bytes_sent_ = 0;
    struct Waiting {
        std::weak_ptr<Client> client;
        int since = 0;   // the revision that it knows
    };
    std::vector<Waiting> waiting_, held_;
    Manner manner_;
    Server server_;
};

}   // namespace fakes
