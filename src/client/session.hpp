// The server side of one client connection: reads HTTP/1.1 requests and writes the responses.
//
// Passes valid requests to RequestHandler::on_request(), at most one at a time. Answers health checks and
// rejects invalid requests itself. Makes no other decision about a request. Times are in s (net::now()).
//
// Ownership: owned by client::Server, and by the open request whose response is pending. Called by
// net::Stream, client::Server and the users of ResponseWriter. Calls SessionController.
#pragma once

#include <algorithm>
#include <vector>

#include "client/arrival_times.hpp"
#include "client/client_request.hpp"
#include "net/stream.hpp"

namespace slatejunction::client {

class Session;

/// What sessions need from the ingress. Outlives the sessions.
class SessionController : public RequestHandler {
  public:
    /// The response to the load balancer's health checks.
    virtual bool ready() const = 0;
    /// The process is stopping: connections are closed after their response.
    virtual bool stopping() const = 0;
    virtual const slatejunction::Settings& settings() const = 0;
    virtual bool is_request_open(std::string_view request_id) const = 0;
    /// Whether a request with this id may have run that must not run again, although it is not open.
    virtual bool may_not_run_again(std::string_view) { return false; }
    /// Whether ClientRequest::headers is set.
    virtual bool wants_headers() const { return false; }
    /// The budget for the bytes of all clients.
    virtual http::ByteBudget& budget() = 0;
    virtual void on_bad_request(int status, std::string_view error) = 0;
    virtual void on_accept_error(const char* error) = 0;
    /// The session has closed. The implementation may release it.
    virtual void on_closed(Session& session) = 0;
};

/// One client connection. It is the BodySource of a large request's body and the BodySink of a large
/// response's.
///
/// States:
/// - reading: a request is awaited or being read (none of the following)
/// - response pending: response_pending_; uploading_ while the request's body is still being read
///   (docs/design/time-limits.md names what bounds each state)
/// - closing: closing_ (the last response is being written, then the peer is awaited to close)
/// - ended: ended_
///
/// Events: bytes received, bytes written, connection ended, response of the ingress, time limits.
class Session : public net::Protocol, public ResponseWriter, public BodySource, public BodySink {
  public:
    explicit Session(SessionController& controller)
        : controller_(controller),
          parser_(http::Parser::Kind::request, true),
          buffer_(&controller.budget()) {}
    void attach(net::Transport& transport) { transport_ = &transport; }

    void write_response(const Response& response) override;
    bool client_disconnected() const override { return ended_ || transport_->peer_closed(); }
    void stream_to(std::weak_ptr<BodySink> sink) override;
    void resume() override;
    void cancel() override {}
    bool write(std::string_view bytes) override;
    void end(bool complete) override;
    bool idle() const {
        return !response_pending_ && !closing_ && buffer_.view().empty() && !transport_->unsent();
    }
    bool busy() const { return response_pending_; }
    /// A large body is being transferred, in either direction.
    bool transferring() const { return uploading_ || response_rest_ != nullptr; }
    /// The last response has been written, and the peer is awaited to close.
    bool closing() const { return closing_ && !transport_->unsent(); }
    /// The session has not read any bytes.
    bool has_received_nothing() const { return !request_received_ && !closing_ && buffer_.view().empty(); }
    /// The session has only received health checks, and no further request has begun.
    bool has_only_health_checks() const {
        return request_received_ && !request_dispatched_ && !response_pending_ && buffer_.view().empty();
    }
    /// A request has been received partially.
    bool has_partial_request() const {
        return !response_pending_ && !closing_ && !buffer_.view().empty() && !transport_->unsent();
    }
    /// Answers the partially received request with 503, and closes.
    void reject_partial_request(double retry_after_s);
    /// When the current state began or last made progress (s).
    double since() const { return std::max(state_since_, last_progress_at_); }
    /// When the time limit of the current state ends (s); infinity while a response is pending and no body
    /// is being transferred. `many_sessions`: there are many sessions, so idle ones are kept for a shorter
    /// time.
    double expires_at(bool many_sessions = false) const;
    /// Finds out what the event loop does not report: whether the rest of a body has arrived that cannot be
    /// forwarded yet, and whether the client goes on reading a large response. Must be called periodically.
    void check_transfer(double now);
    /// To be called when expires_at() has passed. Answers a partial request with 408, and closes.
    void expire();
    /// Sessions are evicted in the order of their ranks, from 0; a negative rank means never.
    int eviction_rank(double now) const;
    /// Closes the connection in any state.
    void end();

    std::span<char> receive_buffer() override;
    void on_bytes(std::size_t size) override;
    void on_input_discarded() override;
    void on_sent() override;
    void on_end(bool clean) override;
    bool reports_end_while_paused() const override { return response_pending_ || response_unread(); }

  private:
    void read_next();
    void on_parsed(http::ParseResult step);
    bool next_request_buffered() const;
    bool closes_after_response() const;
    /// The last response has not been written completely, and the next request waits for that.
    bool response_unread() const;
    void handle_request(bool rest_follows);
    bool accept_request(ClientRequest& request, double arrived_at_s, bool rest_follows);
    void start_upload(const std::shared_ptr<ClientRequest>& request, double now);
    void move_bytes_to(ClientRequest& request, std::size_t size);
    void dispatch(std::shared_ptr<ClientRequest> request);
    void forward_upload();
    void finish_upload(ClientRequest& request, std::size_t size);
    bool rest_of_body_arrived(const ClientRequest& request, double last_arrival_at) const;
    void on_body_arrived(ClientRequest& request, double arrived_at);
    void send_continue_if_expected();
    void reject(int status, std::string_view error);
    void on_response_queued();
    void on_response_written();

    SessionController& controller_;
    net::Transport* transport_ = nullptr;
    http::Parser parser_;
    http::Buffer buffer_;
    ArrivalTimes arrivals_;   // of the bytes in buffer_
    // Identifies the request whose response is pending; 0 if unknown.
    std::uint64_t request_number_ = 0;
    double state_since_ = net::now();   // s
    // When bytes of a body arrived, were written, or were discarded (s).
    double last_progress_at_ = 0;
    // The body of a large request.
    http::BodyReader upload_reader_;
    std::weak_ptr<ClientRequest> upload_request_;
    std::weak_ptr<BodySink> upload_sink_;
    bool uploading_ = false;       // its last byte has not arrived
    bool upload_paused_ = false;   // the sink takes no more bytes for now, or there is none
    // on_request() is running. No body is forwarded until it has returned the request's number.
    bool dispatching_ = false;
    // The body of a large response.
    std::shared_ptr<BodySource> response_rest_;
    bool client_is_http_1_1_ = true;   // according to its last request
    bool response_chunked_ = false;
    bool response_ends_with_connection_ = false;   // a body of unknown length for an HTTP/1.0 client
    std::size_t response_bytes_ = 0;               // of the body, so far
    std::size_t undelivered_bytes_ = 0;            // at the last check_transfer()
    bool continue_sent_ = false;                   // 100 Continue, for the request that is being read
    bool request_received_ = false;                // at least one, including health checks
    bool request_dispatched_ = false;              // at least one, excluding health checks
    bool response_pending_ = false;
    bool keep_alive_ = true;
    bool closing_ = false;   // the last response has been passed to the transport
    bool ended_ = false;
    bool in_read_next_ = false;   // read_next() is not reentrant
};

}   // namespace slatejunction::client
