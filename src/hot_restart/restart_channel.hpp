// Brings an old and a new process of one ingress together over a Unix socket: the driver of Role. It passes
// the listening socket on, and carries messages; what they mean for connections is the host's.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hot_restart/restart_message.hpp"
#include "hot_restart/restart_role.hpp"
#include "log/log.hpp"
#include "net/glib.hpp"
#include "net/timers.hpp"

namespace slatejunction::hot_restart {

class RestartHost {
  public:
    virtual ~RestartHost() = default;
    virtual RestartMessage state() const = 0;   // what an heir is to know
    virtual int listening_descriptor() = 0;     // that it gets; below 0: there is none
    virtual ResourceUse resource_use() const = 0;
    virtual void on_role_changed() = 0;   // it has changed: accept, hold, let go as it says
    virtual void on_peer_resource_use(const ResourceUse& theirs) = 0;
    virtual bool on_operator_order(
        const OperatorOrder& order) = 0;   // from the other process; the answer goes back
    virtual void on_transferred_state(std::size_t place,
                                      std::string_view what) = 0;   // what give() gave there
};

class RestartChannel {
  public:
    // `directory`: where the socket's file is, or empty: there is none, and every process is alone.
    RestartChannel(RestartHost& host, net::Timers& timers, Log& log, std::string directory,
                   std::string name, std::string listen);
    ~RestartChannel();
    RestartChannel(const RestartChannel&) = delete;
    RestartChannel& operator=(const RestartChannel&) = delete;

    // s; the longest that ask() takes, whatever the process at the socket does: stands still, says nothing
    // or half a line, says for ever that it is busy. A new process has 6 s until it serves.
    static constexpr double takeover_bound_s() { return 3.0; }
    // At the start, before anything else: asks a process that serves at this address. False: there is none
    // that answers, this process listens by itself.
    bool request_takeover(RestartMessage& state, net::Ref<GSocket>& listening);
    void start();             // the loop is about to run
    void ready_to_accept();   // everything is there for accepting
    void stop();              // the process was told to end
    // To the other process, if there is one: `done` gets its answer, or true when it has gone meanwhile.
    void forward_order(const OperatorOrder& order, std::function<void(bool)> done);
    // To the new process, of the part at that place of both; an older one breaks off at it.
    void transfer_state(std::size_t place, std::string_view what);
    const RestartRole& role() const { return role_; }

  private:
    class Link;
    // What came of one call at the socket: nobody listens there; it said that another process takes over;
    // nothing, or nothing that can be understood; all that there is to take over.
    enum class Answer { nobody, busy, unclear, given };
    Answer ask_once(double until, RestartMessage& state, net::Ref<GSocket>& listening);
    Answer hear(net::Ref<GSocket>& socket, double until, RestartMessage& state,
                net::Ref<GSocket>& listening);
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    void own_path(bool own);
    bool bind_path(std::string& why);
    void remove_path();
    void greet(net::Ref<GSocket> socket);
    void on_line(Link& link, std::string_view line);
    void on_gone(Link& link);
    void welcome(Link& link);
    void settle();   // after the role may have changed
    void finish_orders(bool yes);
    void tick();

    RestartHost& host_;
    Log& log_;
    const std::string directory_, path_, name_, listen_;
    RestartRole role_;
    RestartRole::State settled_ = RestartRole::State::alone;
    net::Timer ticker_;
    net::Ref<GSocket> socket_;   // heirs come to it
    net::Source source_;
    std::pair<std::uint64_t, std::uint64_t> file_{};   // device and number of the socket's own file
    std::shared_ptr<Link> peer_;
    std::map<Link*, std::shared_ptr<Link>> strangers_;   // have said nothing so far
    struct Pending {
        double due;
        std::function<void(bool)> done;
    };
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t numbers_ = 0;
    ResourceUse told_;
};

// $TMPDIR's place for that address; empty when the path would be too long for a Unix socket.
std::string socket_path(const std::string& directory, const std::string& listen);

}   // namespace slatejunction::hot_restart
