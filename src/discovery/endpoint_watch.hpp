// Watches discovery for changes of the endpoint list, by consecutive long polls on one connection, each
// with the revision that is known.
//
// Reports each endpoint list and each failure to WatchCallbacks. Retries with backoff without limit. Makes
// no decision about a backend. Times are in s (net::now()).
//
// Ownership: owned by ingress::EndpointUpdates, together with its transport. Called by both.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>

#include "discovery/endpoint_list.hpp"
#include "http/message.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"

namespace slatejunction::discovery {

/// The largest list that is accepted, in bytes. A list of 74,000 backends takes 11 MB, or twice as much if
/// indented.
inline constexpr std::size_t kMaxListBytes = std::size_t{32} << 20;

class WatchCallbacks {
  public:
    virtual ~WatchCallbacks() = default;
    virtual void on_endpoint_list(EndpointList& endpoint_list) = 0;
    /// A poll failed, or a part of a list was ignored. The watch polls again by itself.
    virtual void on_watch_lost(const char* error) = 0;
};

class EndpointWatch : public net::Protocol {
  public:
    /// `callbacks`, `timers` and `clock` must outlive the watch. `seed` is for the jitter of the backoff,
    /// which keeps ingresses from polling in step.
    EndpointWatch(WatchCallbacks& callbacks, net::Timers& timers, const UnixTimeConverter& clock,
                  std::string authority, std::uint64_t seed);
    /// `dial` starts a connection on the transport, and returns false if it failed at once.
    void attach(net::Transport& transport, std::function<bool()> dial);

    /// The longest time (s) from a change to its callback if discovery is reachable, in any state of the
    /// watch.
    static double notification_bound_s();
    /// Starts the watch. `moved`: the address has changed, so the first poll does not wait for a change.
    void start(std::optional<std::int64_t> known_revision, bool moved = false);
    /// The newest revision of the applied lists.
    std::optional<std::int64_t> newest_revision() const { return newest_revision_; }
    /// Polls now, unless a poll is in flight or discovery rejects polls.
    void poll_now();
    /// When the newest applied list was received (s); 0 if none has been.
    double last_answer_at() const { return last_answer_at_; }

    void on_open() override;
    std::span<char> receive_buffer() override { return parser_.receive_space(buffer_); }
    void on_bytes(std::size_t size) override;
    void on_end(bool clean) override;

  private:
    void dial();
    void send_poll();
    void handle_response();
    bool is_stale(const EndpointList& endpoint_list);
    void apply_removals(EndpointList& endpoint_list);
    void fail(const char* error);
    void fail(const char* error, double max_backoff_s);
    void on_rejected();
    void on_timer();
    int wait_ms() const;
    double response_timeout_s() const;
    void update_timeouts();

    WatchCallbacks& callbacks_;
    const UnixTimeConverter& clock_;
    net::Transport* transport_ = nullptr;
    std::function<bool()> dial_;
    net::Timer timer_;
    const std::string authority_;
    http::Parser parser_;
    http::Buffer buffer_;
    // If there is none, the next poll requests a snapshot, which is answered at once. 0 is a valid
    // revision.
    std::optional<std::int64_t> revision_;
    std::optional<std::int64_t> newest_revision_;
    // Since when all lists received were older than the applied ones (s); 0 if the last one was not.
    double stale_lists_since_ = 0;
    int failures_ = 0;
    bool no_wait_ = false;          // the next poll does not wait for a change
    bool longer_timeout_ = false;   // a poll that does not wait has the longer timeout
    // Polls that wait for a change wait for a shorter time, and discovery has more time to respond.
    bool discovery_slow_ = false;
    double poll_sent_at_ = 0;   // s
    int consecutive_rejections_ = 0;
    std::minstd_rand random_;
    double last_answer_at_ = 0;
    enum class State {
        waiting,    // backoff, until the timer fires
        dialling,   // until the connection is established
        polling     // a poll is in flight
    } state_ = State::waiting;
};

}   // namespace slatejunction::discovery
