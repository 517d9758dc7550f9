// One connection to a backend and the attempt or health check that it carries: HTTP/1.1 out, the answer in.
//
// Input: a request with its deadline (s, net::now()), bytes of the connection. Output: CallResult, once for
// each begin(). The result says whether the request may have run on the backend. It retries nothing.
//
// Ownership: owned by ConnectionPool, and by the BodySink of a large answer. Called by ConnectionPool,
// net::Stream and RequestDispatcher (abandon()); calls ConnectionCallbacks.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "client/client_request.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::backend {

/// Which attempt a connection carries. A health check has none.
struct AttemptTag {
    std::uint64_t request = 0;   // the dispatcher's number
    std::int64_t attempt = 0;
};

/// How an attempt or a health check ended. The views are valid during the callback only.
struct CallResult {
    slatejunction::AttemptResult result = slatejunction::AttemptResult::reset;
    double duration_s = 0;
    double quota_use = 0;         // 1 + percent of X-RateLimit-Used; 0: none
    std::vector<double> report;   // by the settings' fields, NaN where one is absent; empty: none
    bool bad_request = false;     // 4xx: says nothing about the backend
    std::string_view content_type, body;
    double idle_s = -1;                   // of the connection before; below 0: it was new
    bool client_disconnected = false;     // before anything was written
    bool reset_before_response = false;   // within kStaleResetWindowS
    double write_duration_s = 0;          // of a large request
    // Of a large answer: `body` is the front, the rest is read from here.
    std::shared_ptr<client::BodySource> rest;
    std::optional<std::size_t> length;   // of the whole body; none: chunked
};

class Connection;

class ConnectionCallbacks {
  public:
    virtual ~ConnectionCallbacks() = default;
    virtual void on_call_end(Connection& connection, AttemptTag tag, const CallResult& end) = 0;
    virtual void on_idle(Connection& connection) = 0;     // may carry another attempt
    virtual void on_closed(Connection& connection) = 0;   // may destroy the connection
};

/// One connection. Of a large request's body it is the BodySink, of a large answer's the BodySource. The
/// attempt ends when a large answer begins; the rest is between this connection and the sink.
///
/// States, by its members: dialling (dialling_), call active (call_active_), streaming an answer's rest
/// (streaming_response_), idle (none of them), closed (closed_). Events: the connection is up, bytes, the
/// end of a write, the peer's end, the timer, abandon(), close().
class Connection : public net::Protocol, public client::BodySource, public client::BodySink {
  public:
    Connection(ConnectionCallbacks& host, net::Timers& timers, http::ByteBudget& bytes,
               std::string backend_id, std::string host_port,
               const std::vector<std::string>& report_fields);
    void attach(net::Transport& transport) { transport_ = &transport; }

    /// Starts an attempt, or a health check (`request` null). `deadline`, `dial_deadline`: s, net::now();
    /// the latter 0: the connection is up, write_call() follows. Else it is written once the connection is
    /// up.
    void begin(AttemptTag tag, std::shared_ptr<client::ClientRequest> request,
               std::string_view health_check_path, double deadline, double dial_deadline);
    void write_call();   // the connection is up
    /// Ends the attempt and closes, so that no late answer is taken for another attempt's.
    void abandon(slatejunction::AttemptResult result);
    void close();

    const std::string& backend_id() const { return backend_id_; }
    const std::string& host_port() const { return host_port_; }
    const AttemptTag& tag() const { return tag_; }
    bool health_checking() const { return !health_check_path_.empty(); }
    bool dialling() const { return dialling_; }
    bool call_active() const { return call_active_; }
    /// All of the request has been given to the transport.
    bool request_sent() const { return request_written_ && request_complete_; }
    double idle_since() const { return idle_since_; }

    void on_open() override;
    std::span<char> receive_buffer() override;
    void on_sent() override;
    bool write(std::string_view bytes) override;
    void end(bool whole) override;
    void stream_to(std::weak_ptr<client::BodySink> sink) override;
    void resume() override;
    void cancel() override;
    void on_bytes(std::size_t size) override;
    void on_end(bool clean) override;

  private:
    bool may_have_run() const { return request_written_ && request_complete_ && !transport_->unsent(); }
    bool send_health_check();
    bool send_request_head();
    void begin_streaming();
    void forward_response();
    void finish_streaming(bool whole);
    void on_timer();
    void parse_response(bool ended);
    void finish_response(http::ParseResult step, bool ended);
    void end_unwritten();
    void end_call(CallResult& end);
    void fail_call(CallResult& end);
    void read_fields(CallResult& end) const;

    ConnectionCallbacks& callbacks_;
    net::Transport* transport_ = nullptr;
    net::Timer timer_;
    const std::string backend_id_, host_port_;
    const std::vector<std::string>& report_fields_;
    http::Parser parser_;
    http::ByteBudget& bytes_;
    http::Buffer buffer_;
    AttemptTag tag_;
    std::shared_ptr<client::ClientRequest> request_;
    std::string health_check_path_;
    double started_at_ = 0, deadline_ = 0, dial_deadline_ = 0, idle_since_ = 0;
    double writable_since_ = 0;   // s; when the connection was up
    double idle_s_ = -1;
    bool dialling_ = false, call_active_ = false, request_written_ = false, closed_ = false;
    bool response_begun_ = false;    // bytes of an answer have come
    bool request_complete_ = true;   // all of the request was given to the transport
    double timeout_s_ = 0, request_complete_at_ = 0;
    // A large answer's body.
    http::BodyReader reader_;
    std::weak_ptr<client::BodySink> sink_;
    bool streaming_response_ = false, streaming_paused_ = false, reusable_after_stream_ = false;
};

}   // namespace slatejunction::backend
