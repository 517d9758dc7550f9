// Keeps a watch on the directory: one call after another on one connection, fed bytes.
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

// Bytes of a list, whole or as changes. One of 74,000 backends takes 11 MB, indented twice as much; at most
// 3,200 are asked for (STANDING, "Beyond this bench").
inline constexpr std::size_t kMaxListBytes = std::size_t{32} << 20;

class WatchCallbacks {
  public:
    virtual ~WatchCallbacks() = default;
    virtual void on_endpoint_list(EndpointList& listing) = 0;
    virtual void on_watch_lost(const char* why) = 0;   // a call failed; another one follows by itself
};

class EndpointWatch : public net::Protocol {
  public:
    // `dial` begins a connection on the transport; false: it failed at once.
    // `seed`: of the waits, so that many ingresses do not ask in step.
    EndpointWatch(WatchCallbacks& host, net::Timers& timers, const UnixTimeConverter& clock,
                  std::string authority, std::uint64_t seed);
    void attach(net::Transport& transport, std::function<bool()> dial);

    // s; the longest from when the directory has news and can be reached until they are told here, whatever
    // state the watch was in: silent, half an answer, refused, reset, turned away, moved or counting anew.
    static double notification_bound_s();
    // `moved`: from another directory, so that nothing may be waited for.
    void start(std::optional<std::int64_t> known_revision, bool moved = false);
    std::optional<std::int64_t> newest_revision() const { return newest_; }   // of the lists taken
    void poll_now();   // a call now, unless one is out or the directory turns callers away
    double last_answer_at() const {
        return heard_at_;
    }   // s, net::now(): the last whole answer; 0: none yet

    void on_open() override;
    std::span<char> receive_buffer() override { return parser_.room(buffer_); }
    void on_bytes(std::size_t size) override;
    void on_end(bool clean) override;

  private:
    void dial();
    void ask();
    void take();
    bool older(const EndpointList& listing);
    void leave_by(EndpointList& listing);
    void fail(const char* why);
    void fail(const char* why, double longest_pause_s);
    void turned_away();
    void overdue();
    int wait_ms() const;
    double answer_within() const;
    void learn_pace();

    WatchCallbacks& host_;
    const UnixTimeConverter& clock_;
    net::Transport* transport_ = nullptr;
    std::function<bool()> dial_;
    net::Timer timer_;
    const std::string authority_;
    http::Parser parser_;
    http::Buffer buffer_;
    // Not a number with a special value: a directory that has just begun counts from 0, and a call that
    // names no version is answered at once with everything, so that asking again and again would never
    // pause.
    std::optional<std::int64_t> revision_;
    std::optional<std::int64_t> newest_;
    double older_since_ = 0;   // since when the directory has told nothing but older lists; 0: it has not
    int failures_ = 0;
    bool at_once_ = false;   // the next call waits for no news, as the last one failed or was elsewhere
    bool patient_ = false;   // the next such call may take long: the last one was given up
    bool slow_ = false;      // this directory takes long for its answers: a watch call leaves it the time
    double asked_at_ = 0;    // s, net::now()
    int turned_away_ = 0;    // in a row
    std::minstd_rand random_;
    double heard_at_ = 0;
    enum class State { waiting, dialling, asking } state_ = State::waiting;
};

}   // namespace slatejunction::discovery
