// One connection to a backend and the call that it carries, which is an attempt or a health check: writes
// an HTTP/1.1 request and reads the response.
//
// Takes a request with its deadline (s, net::now()) and the bytes of the connection. Reports one CallResult
// for each begin(), which says whether the request may have run on the backend. Does not retry.
//
// Ownership: owned by ConnectionPool, and by the BodySink of a large response. Called by ConnectionPool,
// net::Stream and RequestDispatcher (abandon()). Calls ConnectionCallbacks.
#pragma once

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "backend/connection_reuse.hpp"
#include "backend/response_progress.hpp"
#include "client/client_request.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::backend {

/// Identifies the attempt that a connection carries. Not used by health checks.
struct AttemptTag {
    std::uint64_t request = 0;   // the number that the dispatcher gave the request
    std::int64_t attempt = 0;
};

/// How an attempt or a health check ended. The views are valid during the callback only.
struct CallResult {
    slatejunction::AttemptResult result = slatejunction::AttemptResult::reset;
    double duration_s = 0;
    double quota_use = 0;   // 1 + the percentage of X-RateLimit-Used; 0 if the response has none
    // The load report, in the order of the settings' fields, NaN where one is absent. Empty if there is
    // none.
    std::vector<double> report;
    bool bad_request = false;   // status 4xx, which says nothing about the backend
    std::string_view content_type, body;
    double idle_s = -1;                   // how long the connection was idle before; negative for a new one
    bool client_disconnected = false;     // before anything was written
    bool reset_before_response = false;   // within kStaleResetWindowS
    double write_duration_s = 0;          // of a large request
    // The source of the rest of a large response, of which `body` is the beginning.
    std::shared_ptr<client::BodySource> rest;
    std::optional<std::size_t> length;   // of the whole body, where `rest` is set; none if unknown
};

/// A change in the progress of a response, before or after its attempt has ended.
struct ResponseEvent {
    enum class Kind {
        begun,           // its first part has arrived, with a whole head and status 200
        stalled,         // it has begun, and no byte has arrived for kResponseStallS
        forwarded,       // its beginning is forwarded although its backend is slow
        cut_stalled,     // no byte of a forwarded response arrived for too long
        cut_slow,        // it arrived too slowly on average
        cut_late,        // it was small, and not complete in time after its deadline
        cut_by_backend   // the backend ended it, or its framing is invalid
    };
    Kind kind = Kind::begun;
    bool at_deadline = false;           // forwarded: because of the deadline
    std::size_t bytes = 0;              // received so far
    double age_s = 0;                   // since its first byte
    std::string_view request_id = {};   // the client's; valid during the callback only
};

class Connection;

class ConnectionCallbacks {
  public:
    virtual ~ConnectionCallbacks() = default;
    virtual void on_call_end(Connection& connection, AttemptTag tag, const CallResult& outcome) = 0;
    /// The implementation may abandon the connection.
    virtual void on_response_event(Connection&, AttemptTag, const ResponseEvent&) {}
    /// The connection can carry another attempt, from reusable_at() on.
    virtual void on_idle(Connection& connection) = 0;
    /// The connection is closed. The implementation may release it.
    virtual void on_closed(Connection& connection) = 0;
};

/// One connection. It is the BodySink of a large request's body and the BodySource of a large response's.
/// The attempt ends when the rest of a large response begins; this connection then streams the rest to the
/// sink.
///
/// States:
/// - dialling: dialling_ (an active call waits for the connection)
/// - call active: call_active_
/// - streaming the rest of a response: streaming_response_
/// - idle: none of the above
/// - closed: closed_
///
/// Events: connection established, bytes received, bytes written, connection ended, timer, abandon(),
/// close().
class Connection : public net::Protocol, public client::BodySource, public client::BodySink {
  public:
    Connection(ConnectionCallbacks& callbacks, net::Timers& timers, http::ByteBudget& bytes,
               std::string backend_id, std::string host_port,
               const std::vector<std::string>& report_fields);
    void attach(net::Transport& transport) { transport_ = &transport; }

    /// Starts an attempt, or a health check if `request` is null. `deadline` and `dial_deadline` are in s
    /// (net::now()). If `dial_deadline` is 0, the connection is established and the caller calls
    /// write_call() next. Else the call is written once the connection is established, by `dial_deadline`
    /// at the latest.
    void begin(AttemptTag tag, std::shared_ptr<client::ClientRequest> request,
               std::string_view health_check_path, double deadline, double dial_deadline);
    /// Writes the call. The connection must be established.
    void write_call();
    /// Ends the attempt and closes the connection, so that a late response is not taken for that of another
    /// attempt.
    void abandon(slatejunction::AttemptResult result);
    void close();

    const std::string& backend_id() const { return backend_id_; }
    const std::string& host_port() const { return host_port_; }
    const AttemptTag& tag() const { return tag_; }
    bool health_checking() const { return !health_check_path_.empty(); }
    bool dialling() const { return dialling_; }
    bool call_active() const { return call_active_; }
    /// The whole request has been passed to the transport.
    bool request_sent() const { return request_written_ && request_complete_; }
    double idle_since() const { return idle_since_; }
    /// When an idle connection may carry the next attempt (s); see reuse_delay_s().
    double reusable_at() const { return reusable_at_; }
    /// How long it took to establish the connection (s), which is at least one round trip; nullopt: it is
    /// not established.
    std::optional<double> dial_duration_s() const { return dial_duration_s_; }
    /// Sets the round-trip time to the backend (s). At first it is that of the dial.
    void set_round_trip_s(double seconds) { round_trip_s_ = seconds; }

    void on_open() override;
    std::span<char> receive_buffer() override;
    void on_sent() override;
    bool write(std::string_view bytes) override;
    void end(bool complete) override;
    void stream_to(std::weak_ptr<client::BodySink> sink) override;
    void resume() override;
    void cancel() override;
    void on_bytes(std::size_t size) override;
    void on_end(bool clean) override;

  private:
    static constexpr double kNoLimit = std::numeric_limits<double>::infinity();

    bool may_have_run() const { return request_written_ && request_complete_ && !transport_->unsent(); }
    bool send_health_check();
    bool send_request_head();
    double remaining_s() const;
    void begin_streaming();
    void arm_stream_timer();
    void on_partial_response();
    void take_response_step();
    void begin_forwarding(double now);
    ResponseForm response_form() const;
    void report_response(ResponseEvent::Kind kind, bool at_deadline = false);
    ResponseEvent::Kind cut_reason(double now) const;
    void forward_response();
    void finish_streaming(bool complete, ResponseEvent::Kind cut = ResponseEvent::Kind::cut_by_backend);
    void on_timer();
    bool upload_progressed();
    void parse_response(bool ended);
    void finish_response(http::ParseResult step, bool ended);
    ExchangeEnd exchange_end(bool delimited, bool bytes_after_response) const;
    void become_idle(double delay_s);
    void end_unwritten();
    void end_call(CallResult& outcome);
    void fail_call(CallResult& outcome);
    void read_fields(CallResult& outcome) const;

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
    double writable_since_ = 0;   // s; when the call could be written
    double round_trip_s_ = 0, reusable_at_ = 0;
    std::optional<double> dial_duration_s_;
    double idle_s_ = -1;
    bool dialling_ = false, call_active_ = false, request_written_ = false, closed_ = false;
    ResponseProgress progress_;
    bool begun_reported_ = false;
    bool answered_early_ = false;    // they did before the whole request was written
    bool request_complete_ = true;   // the whole request has been passed to the transport
    double timeout_s_ = 0, request_complete_at_ = 0;
    std::size_t undelivered_bytes_ = 0;   // of a large request, when its progress was last checked
    // The body of a large response.
    http::BodyReader reader_;
    std::weak_ptr<client::BodySink> sink_;
    bool streaming_response_ = false, streaming_paused_ = false;
    double stream_began_at_ = 0;   // s
    // When a small response that is forwarded late must be complete (s); infinity for all others.
    double stream_ends_by_ = kNoLimit;
    double last_stream_byte_at_ = 0;   // s
    std::string stream_request_id_;    // the client's id of the request whose response is forwarded
    std::size_t streamed_bytes_ = 0;   // of the body and its framing, since the attempt ended
    std::optional<double>
        reuse_delay_after_stream_s_;   // before the next use; nullopt: the connection is closed
};

}   // namespace slatejunction::backend
