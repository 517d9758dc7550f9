// The server side of one consumer connection: a state machine fed bytes.
#pragma once

#include <algorithm>
#include <vector>

#include "client/arrival_times.hpp"
#include "client/client_request.hpp"
#include "net/stream.hpp"

namespace slatejunction::client {

class Session;

// What sessions need of the program.
class SessionController : public RequestHandler {
  public:
    virtual bool ready() const = 0;      // for the front
    virtual bool stopping() const = 0;   // connections are to end after their answer
    virtual const slatejunction::Settings& settings() const = 0;
    virtual bool is_request_open(std::string_view request_id) const = 0;   // an invocation of that id
    virtual bool wants_headers() const { return false; }                   // Invocation::headers
    virtual http::ByteBudget& budget() = 0;                                // of all consumers' bytes
    virtual void on_bad_request(int status, std::string_view why) = 0;
    virtual void on_accept_error(const char* why) = 0;
    virtual void on_closed(Session& session) = 0;   // may forget the session
};

// A request or an answer over http::kBodyMost goes through it in pieces: of a request's rest it is the
// source, of an answer's the sink.
class Session : public net::Protocol, public ResponseWriter, public BodySource, public BodySink {
  public:
    explicit Session(SessionController& host)
        : host_(host), parser_(http::Parser::Kind::request, true), buffer_(&host.budget()) {}
    void attach(net::Transport& transport) { transport_ = &transport; }

    void write_response(const Response& answer) override;
    bool client_disconnected() const override { return ended_ || transport_->ended(); }
    void stream_to(std::weak_ptr<BodySink> sink) override;
    void resume() override;
    void cancel() override {}
    bool write(std::string_view bytes) override;
    void end(bool whole) override;
    bool idle() const { return !busy_ && !closing_ && buffer_.view().empty() && !transport_->unsent(); }
    bool busy() const { return busy_; }
    bool closing() const { return closing_ && !transport_->unsent(); }
    bool silent() const { return !asked_ && !closing_ && buffer_.view().empty(); }   // from the start
    // Health checks came on it, and nothing else; no further request has begun.
    bool checked_only() const { return asked_ && !requested_ && !busy_ && buffer_.view().empty(); }
    bool has_partial_request() const {   // a request has begun to come
        return !busy_ && !closing_ && !buffer_.view().empty() && !transport_->unsent();
    }
    void reject_partial_request(
        double retry_after_s);   // answers 503 to the request that has begun to come, and ends
    double since() const { return std::max(since_, moved_); }   // when it last changed its state, or moved
    // When its time is up in the state it is in: silent from the start, a request or an answer half
    // through, idle, or ended but for the peer's part. Never while an answer is owed.
    double expires_at(bool many = false) const;   // many: as there are many sessions
    void expire();
    // How soon a full house gives it up: 0 first; below 0 not at all.
    int eviction_rank(double now) const;
    void end();   // whatever it holds

    std::span<char> receive_buffer() override;
    void on_bytes(std::size_t size) override;
    void on_dropped() override;
    void on_sent() override;
    void on_end(bool clean) override;
    bool ends_unread() const override { return busy_ || unread(); }

  private:
    void read_next();
    bool next_is_read() const;
    bool ends_with_answer() const;
    bool unread() const;   // its last answer waits to be written, and with it the next request
    void take(bool rest_follows);
    void pass_on();   // what has come of a request's rest
    void expect();
    void reject(int status, std::string_view why);
    void answered();
    void finish_answer();

    SessionController& host_;
    net::Transport* transport_ = nullptr;
    http::Parser parser_;
    http::Buffer buffer_;
    ArrivalTimes arrivals_;   // of the bytes in buffer_
    std::uint64_t number_ = 0;
    double since_ = net::now();
    // A request's rest on its way.
    http::BodyReader reader_;
    std::weak_ptr<ClientRequest> upload_;
    std::weak_ptr<BodySink> sink_;
    bool uploading_ = false;   // its last byte has not come
    bool held_ = false;        // its sink has enough for now, or there is none
    // The host is taking the request: nothing of its rest moves before the number of it is known, by which
    // a bad body or an end is told.
    bool handing_on_ = false;
    double moved_ = 0;   // when a byte last came, or could be written
    // An answer's rest.
    std::shared_ptr<BodySource> rest_;
    bool newest_ = true;       // its last request was HTTP/1.1
    bool chunks_ = false;      // it goes out in chunks
    bool continued_ = false;   // 100 Continue was sent for the request that is coming
    bool asked_ = false;       // a whole request has come on it
    bool requested_ = false;   // one that was handed on, which health checks are not
    bool busy_ = false;        // an answer is owed
    bool keep_alive_ = true;
    bool closing_ = false;   // its last answer is being written
    bool ended_ = false;
    bool reading_ = false;   // guards read_next() against itself
};

}   // namespace slatejunction::client
