// Connects an old and a new process of one ingress over a Unix socket: passes the listening socket, the
// state and operators' orders on. It drives RestartRole; what a role means for connections is up to
// RestartHost.
//
// Input: messages of the other process, times in s (net::now()). Output: calls of RestartHost, messages. It
// blocks only in request_takeover(), for takeover_bound_s() at most.
//
// Ownership: owned by ingress::Ingress, which is its host and calls it. Owns the socket's file, the
// connection to the other process and connections that have not identified themselves.
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

/// What the channel needs of this process. It lives longer than the channel.
class RestartHost {
  public:
    virtual ~RestartHost() = default;
    /// What a new process gets.
    virtual RestartMessage state() const = 0;
    /// The listening socket that a new process gets; below 0: there is none.
    virtual int listening_descriptor() = 0;
    virtual ResourceUse resource_use() const = 0;
    /// Accept, pause or drain as RestartChannel::role() says now.
    virtual void on_role_changed() = 0;
    virtual void on_peer_resource_use(const ResourceUse& theirs) = 0;
    /// An order from the other process; the result is sent back.
    virtual bool on_operator_order(const OperatorOrder& order) = 0;
    /// What the other process gave to transfer_state() with this place.
    virtual void on_transferred_state(std::size_t place, std::string_view what) = 0;
};

class RestartChannel {
  public:
    /// `directory`: of the socket's file; empty: there is none, and every process is alone. `name` and
    /// `listen`: of the ingress; a new process finds an old one by the latter.
    RestartChannel(RestartHost& host, net::Timers& timers, Log& log, std::string directory,
                   std::string name, std::string listen);
    ~RestartChannel();
    RestartChannel(const RestartChannel&) = delete;
    RestartChannel& operator=(const RestartChannel&) = delete;

    /// The longest time that request_takeover() takes (s), whatever the process at the socket does. A new
    /// process has 6 s until it serves.
    static constexpr double takeover_bound_s() { return 3.0; }
    /// At the start, before anything else: asks the process that serves at this address. False: none
    /// answers, and this process listens by itself.
    bool request_takeover(RestartMessage& state, net::Ref<GSocket>& listening);
    /// The loop is about to run.
    void start();
    /// This process is ready to accept. Does nothing unless it is preparing.
    void ready_to_accept();
    /// The process is to stop.
    void stop();
    /// Sends an order to the other process. `done` gets its result: true if there is no other process, or
    /// it disconnects; false without a result in time.
    void forward_order(const OperatorOrder& order, std::function<void(bool)> done);
    /// Sends the state of the extension at `place` to the new process. One of an older version disconnects.
    void transfer_state(std::size_t place, std::string_view what);
    const RestartRole& role() const { return role_; }

  private:
    class Link;
    enum class TakeoverResult {
        no_listener,     // nobody listens at the socket
        busy,            // another new process is taking over
        no_answer,       // none in time, or none that can be read
        state_received   // with the listening socket
    };
    TakeoverResult request_once(double deadline, RestartMessage& state, net::Ref<GSocket>& listening);
    TakeoverResult await_state(net::Ref<GSocket>& socket, double deadline, RestartMessage& state,
                               net::Ref<GSocket>& listening);
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    void set_listening(bool own);
    bool bind_socket_file(std::string& why);
    void remove_socket_file();
    void add_unidentified_link(net::Ref<GSocket> socket);
    void on_line(Link& link, std::string_view line);
    void on_first_line(Link& link, bool readable, const RestartMessage& message);
    void on_order(Link& link, const RestartMessage& message);
    void on_order_result(const RestartMessage& message);
    void on_link_closed(Link& link);
    void hand_over_to(Link& link);
    bool send_listening_socket(Link& link, int listening);
    void apply_role();   // tells the host, if the role has changed
    void finish_all_orders(bool confirmed);
    void expire_orders(double now);
    void on_tick();

    RestartHost& host_;
    Log& log_;
    const std::string directory_, path_, name_, listen_;
    RestartRole role_;
    RestartRole::State applied_state_ = RestartRole::State::alone;   // of which the host was notified last
    net::Timer tick_timer_;
    net::Ref<GSocket> listening_socket_;   // for new processes; null: another process answers them
    net::Source accept_source_;
    std::pair<std::uint64_t, std::uint64_t> socket_file_id_{};    // device and inode
    std::shared_ptr<Link> peer_;                                  // null: there is no other process
    std::map<Link*, std::shared_ptr<Link>> unidentified_links_;   // have sent no line yet
    struct PendingOrder {
        double deadline;   // s
        std::function<void(bool)> done;
    };
    std::map<std::uint64_t, PendingOrder> pending_orders_;   // by number
    std::uint64_t last_order_number_ = 0;
    ResourceUse last_sent_use_;
};

}   // namespace slatejunction::hot_restart
