// Connects an old and a new process of one ingress over a Unix socket, and passes the listening socket, the
// state and admin commands between them. It drives RestartRole; RestartHost decides what a role means for
// connections.
//
// Input: messages of the other process, times in s (net::now()). Output: calls of RestartHost, messages. It
// blocks only in request_takeover(), for at most takeover_bound_s().
//
// Ownership: owned by ingress::Ingress, which is its host and calls it. Owns the socket file, the
// connection to the other process, and the connections whose peers have not identified themselves yet.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "hot_restart/restart_message.hpp"
#include "hot_restart/restart_role.hpp"
#include "log/log.hpp"
#include "net/glib.hpp"
#include "net/timers.hpp"

namespace slatejunction::hot_restart {

/// This process as the channel uses it. It must outlive the channel.
class RestartHost {
  public:
    virtual ~RestartHost() = default;
    /// The state message for a new process.
    virtual RestartMessage state() const = 0;
    /// The listening socket for a new process; below 0: there is none.
    virtual int listening_descriptor() = 0;
    virtual ResourceUse resource_use() const = 0;
    /// RestartChannel::role() has changed: this process has to accept, pause or drain accordingly.
    virtual void on_role_changed() = 0;
    virtual void on_peer_resource_use(const ResourceUse& theirs) = 0;
    /// Executes a command from the other process; the result is sent back.
    virtual bool on_operator_command(const OperatorCommand& command) = 0;
    /// The other process has called transfer_state() with these arguments.
    virtual void on_transferred_state(std::size_t extension_index, std::string_view state) = 0;
    /// The hashes of the ids of requests that may have run and must not run again.
    virtual std::vector<std::uint64_t> executed_request_ids() const = 0;
    /// The other process has called share_request_ids() with these arguments.
    virtual void on_request_ids(std::span<const std::uint64_t> id_hashes, bool never_ran) = 0;
};

class RestartChannel {
  public:
    /// `directory` is that of the socket file; if it is empty there is no file, and every process is alone.
    /// `name` and `listen` are those of the ingress; a new process finds the old one by `listen`.
    RestartChannel(RestartHost& host, net::Timers& timers, Log& log, std::string directory,
                   std::string name, std::string listen);
    ~RestartChannel();
    RestartChannel(const RestartChannel&) = delete;
    RestartChannel& operator=(const RestartChannel&) = delete;

    /// The longest time that request_takeover() takes (s), whatever the process at the socket does. A new
    /// process must serve within 6 s.
    static constexpr double takeover_bound_s() { return 3.0; }
    /// Asks the process that serves at this address to hand over. Called at the start, before anything
    /// else. Returns false if there is none or it does not hand over; then this process listens by itself.
    bool request_takeover(RestartMessage& state, net::Ref<GSocket>& listening);
    /// Listens for further processes, and handles what the old process has sent after its state. Called
    /// once the ingress is about to run the loop.
    void start();
    /// This process is ready to accept. Has no effect unless it is preparing.
    void ready_to_accept();
    /// This process is to stop: notifies the old process, if there is one.
    void stop();
    /// Sends a command to the other process. `done` gets the result: also true if there is no other process
    /// or it disconnects, and false if no result arrives in time.
    void forward_command(const OperatorCommand& command, std::function<void(bool)> done);
    /// Sends the state of the extension with that index to the new process. A process of an older release
    /// does not know this message, and disconnects.
    void transfer_state(std::size_t extension_index, std::string_view state);
    /// Tells the other process, if there is one, of requests that may run now, or that `never_ran`. It must
    /// be called before the first byte of the request is sent, so that the other process can know of it by
    /// the time at which the client comes again.
    void share_request_ids(std::span<const std::uint64_t> id_hashes, bool never_ran);
    /// Handles what the other process has sent until now, without waiting for the event loop.
    void receive_pending();
    const RestartRole& role() const { return role_; }

  private:
    class Link;
    enum class TakeoverResult {
        no_listener,     // no process of this user listens at the socket
        busy,            // another new process is taking over
        no_answer,       // no valid answer in time
        state_received   // with the listening socket
    };
    TakeoverResult request_once(double deadline, RestartMessage& state, net::Ref<GSocket>& listening);
    TakeoverResult await_state(net::Ref<GSocket>& socket, double deadline, RestartMessage& state,
                               net::Ref<GSocket>& listening);
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    void set_listening(bool own);
    bool bind_socket_file(std::string& error);
    void remove_socket_file();
    void add_unidentified_link(net::Ref<GSocket> socket);
    void on_line(Link& link, std::string_view line);
    void on_first_line(Link& link, bool valid, const RestartMessage& message);
    void on_command(Link& link, const RestartMessage& message);
    void on_command_result(const RestartMessage& message);
    void on_link_closed(Link& link);
    void hand_over_to(Link& link, bool shares_request_ids);
    bool send_listening_socket(Link& link, int listening);
    void apply_role();   // notifies the host if the role has changed
    void finish_all_commands(bool confirmed);
    void expire_commands(double now);
    void on_tick();

    RestartHost& host_;
    Log& log_;
    const std::string directory_, path_, name_, listen_;
    RestartRole role_;
    RestartRole::State applied_state_ = RestartRole::State::alone;   // of the host's last notification
    net::Timer tick_timer_;
    net::Ref<GSocket> listening_socket_;   // at the socket file; null: another process has it, or none
    net::Source accept_source_;
    std::pair<std::uint64_t, std::uint64_t> socket_file_id_{};    // device and inode
    std::shared_ptr<Link> peer_;                                  // null: there is no other process
    bool peer_shares_request_ids_ = false;                        // an earlier release does not
    std::map<Link*, std::shared_ptr<Link>> unidentified_links_;   // that have sent no line yet
    struct PendingCommand {
        double deadline;   // s
        std::function<void(bool)> done;
    };
    std::map<std::uint64_t, PendingCommand> pending_commands_;   // by number
    std::uint64_t last_command_number_ = 0;
    ResourceUse last_sent_use_;
};

}   // namespace slatejunction::hot_restart
