// Links between processes, a relay for each directed pair: TCP connections and UDP datagrams taken at one
// address are passed on to another, unless a fault says otherwise. One process holds as many pairs as a
// rig needs; orders name them by a pattern. What the other end answers to the link goes back to whoever was
// heard last: a link has one user for datagrams.
//
//   heal               all is passed on again
//   cut [there|back]   nothing passes: both ways, or one; connections stay open
//   refuse             TCP connections are reset and refused
//   loss P             percent of the datagrams (TCP: of the pieces read, passed on 0.2 s late as if
//   resent) delay MS, jitter MS reorder P          percent of the datagrams that wait 20 ms more duplicate
//   P, corrupt P throttle KB        a second, each way silent             connections are taken and nothing
//   passes, new ones too
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "net/listener.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "net/udp_socket.hpp"

namespace fakes {

struct LinkFault {
    bool there = true, back = true;   // passes
    bool refuse = false;
    double loss = 0, reorder = 0, duplicate = 0, corrupt = 0;   // 0 to 1
    double delay_s = 0, jitter_s = 0, bytes_per_s = 0;          // bytes_per_s: 0: any number
};

struct LinkTally {
    std::uint64_t datagrams = 0, passed = 0, lost = 0, doubled = 0, spoilt = 0, late = 0;
    std::uint64_t connections = 0, refused = 0, bytes = 0;
};

class Link {
  public:
    Link(slatejunction::net::Timers& timers, std::string name, std::string listen, std::string to,
         std::uint64_t seed);
    ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;
    bool start(std::string& why);
    // What is wrong with the order; empty: it holds from now on.
    std::string set(const std::string& words);
    const std::string& name() const { return name_; }
    const LinkTally& tally() const { return tally_; }
    const LinkFault& fault() const { return fault_; }

  private:
    struct Half;
    struct Pair;
    void taken(std::string_view bytes, const slatejunction::net::Sender& from);
    void send(std::string bytes, const slatejunction::net::Sender& to);
    void accept(slatejunction::net::Ref<GSocket> socket);
    void later(double at, std::function<void()> call);
    void run();
    bool chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
    double wait(std::size_t bytes, double& free_at);

    slatejunction::net::Timers& timers_;
    const std::string name_, listen_, to_;
    slatejunction::net::Address listen_address_, to_address_;
    const slatejunction::net::Sender target_;
    slatejunction::net::Sender user_;   // whose datagram came last
    std::mt19937_64 random_;
    slatejunction::net::UdpSocket datagrams_;
    std::unique_ptr<slatejunction::net::Listener> listener_;
    std::unordered_set<std::shared_ptr<Pair>> pairs_;
    std::multimap<double, std::function<void()>> queue_;
    slatejunction::net::Timer timer_;
    LinkFault fault_;
    LinkTally tally_;
    double free_at_ = 0;   // of the throttle, for datagrams
};

class Links {
  public:
    Links(slatejunction::net::Timers& timers, std::uint64_t seed) : timers_(timers), seed_(seed) {}
    // NAME=LISTEN=TO
    std::string add(const std::string& text);
    // "/PATTERN/cut/there": PATTERN with * and ?
    std::string order(const std::string& path);
    std::string summary() const;

  private:
    slatejunction::net::Timers& timers_;
    const std::uint64_t seed_;
    std::vector<std::unique_ptr<Link>> links_;
};

}   // namespace fakes
