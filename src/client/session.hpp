// The server side of one client connection: HTTP/1.1 bytes in, requests out, answers back.
//
// Input: bytes of the connection, answers of the ingress, times in s (net::now()). Output:
// RequestHandler::on_request for each valid request, at most one at a time. Health checks it answers
// itself, invalid requests it rejects. It decides nothing about a request.
//
// Ownership: owned by client::Server, and by the open request that it waits for. Called by net::Stream,
// client::Server and ResponseWriter's users; calls SessionController.
#pragma once

#include <algorithm>
#include <vector>

#include "client/arrival_times.hpp"
#include "client/client_request.hpp"
#include "net/stream.hpp"

namespace slatejunction::client {

class Session;

/// What sessions need of the ingress. It lives longer than they do.
class SessionController : public RequestHandler {
  public:
    virtual bool ready() const = 0;      // the answer to the load balancer's health checks
    virtual bool stopping() const = 0;   // connections are closed after their answer
    virtual const slatejunction::Settings& settings() const = 0;
    virtual bool is_request_open(std::string_view request_id) const = 0;
    virtual bool wants_headers() const { return false; }   // ClientRequest::headers
    virtual http::ByteBudget& budget() = 0;                // for the bytes of all clients
    virtual void on_bad_request(int status, std::string_view why) = 0;
    virtual void on_accept_error(const char* why) = 0;
    virtual void on_closed(Session& session) = 0;   // may forget the session
};

/// One client connection. Of a large request's body it is the BodySource, of a large answer's the BodySink.
///
/// States, by its members:
///   reading       a request is awaited or read (neither of the following)
///   answering     response_pending_: a request has been dispatched; `uploading_`: its body is still being
///   read closing       closing_: the last answer is written, then the peer closes ended         ended_:
///   closed
/// Events: bytes, the end of a write, the peer's end, the answer of the ingress, time limits.
class Session : public net::Protocol, public ResponseWriter, public BodySource, public BodySink {
  public:
    explicit Session(SessionController& host)
        : controller_(host), parser_(http::Parser::Kind::request, true), buffer_(&host.budget()) {}
    void attach(net::Transport& transport) { transport_ = &transport; }

    void write_response(const Response& answer) override;
    bool client_disconnected() const override { return ended_ || transport_->peer_closed(); }
    void stream_to(std::weak_ptr<BodySink> sink) override;
    void resume() override;
    void cancel() override {}
    bool write(std::string_view bytes) override;
    void end(bool whole) override;
    bool idle() const {
        return !response_pending_ && !closing_ && buffer_.view().empty() && !transport_->unsent();
    }
    bool busy() const { return response_pending_; }
    bool closing() const { return closing_ && !transport_->unsent(); }
    bool silent() const {
        return !request_received_ && !closing_ && buffer_.view().empty();
    }   // nothing has come on it
    /// Only health checks have come on it, and no further request has begun.
    bool checked_only() const {
        return request_received_ && !request_dispatched_ && !response_pending_ && buffer_.view().empty();
    }
    /// A request has come in part.
    bool has_partial_request() const {
        return !response_pending_ && !closing_ && !buffer_.view().empty() && !transport_->unsent();
    }
    /// Answers 503 to the request that has come in part, and closes.
    void reject_partial_request(double retry_after_s);
    double since() const {
        return std::max(state_since_, last_progress_at_);
    }   // of its state, or the last byte in it
    /// When the time limit of its state ends (s); infinite while an answer is pending. `many`: there are
    /// many sessions, and idle ones are kept for a shorter time.
    double expires_at(bool many = false) const;
    /// expires_at() has passed: answers 408 to a partial request, and closes.
    void expire();
    /// In which order sessions are evicted: 0 first; below 0: never.
    int eviction_rank(double now) const;
    void end();   // whatever its state

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
    bool response_unread()
        const;   // the last answer is not written yet, and the next request waits for that
    void handle_request(bool rest_follows);
    bool accept_request(ClientRequest& request, double arrived_at_s, bool rest_follows);
    void start_upload(const std::shared_ptr<ClientRequest>& request, double now);
    void move_bytes_to(ClientRequest& request, std::size_t size);
    void dispatch(std::shared_ptr<ClientRequest> request);
    void forward_upload();
    void finish_upload(ClientRequest& request, std::size_t size);
    void send_continue_if_expected();
    void reject(int status, std::string_view why);
    void on_response_given();
    void finish_answer();

    SessionController& controller_;
    net::Transport* transport_ = nullptr;
    http::Parser parser_;
    http::Buffer buffer_;
    ArrivalTimes arrivals_;              // of the bytes in buffer_
    std::uint64_t request_number_ = 0;   // of the request that an answer is pending to; 0: not known
    double state_since_ = net::now();    // s
    double last_progress_at_ = 0;        // s; when a byte of a large body came, or could be written
    // A large request's body.
    http::BodyReader upload_reader_;
    std::weak_ptr<ClientRequest> upload_request_;
    std::weak_ptr<BodySink> upload_sink_;
    bool uploading_ = false;       // its last byte has not come
    bool upload_paused_ = false;   // the sink takes no more for now, or there is none
    bool dispatching_ = false;     // on_request() runs: no body is forwarded until the number is known
    // A large answer's body.
    std::shared_ptr<BodySource> response_rest_;
    bool client_is_http_1_1_ = true;   // by its last request
    bool response_chunked_ = false;
    bool continue_sent_ = false;        // 100 Continue, for the request that is being read
    bool request_received_ = false;     // at least one, health checks included
    bool request_dispatched_ = false;   // at least one, health checks not included
    bool response_pending_ = false;
    bool keep_alive_ = true;
    bool closing_ = false;   // the last answer is being written
    bool ended_ = false;
    bool in_read_next_ = false;   // read_next() is not reentrant
};

}   // namespace slatejunction::client
