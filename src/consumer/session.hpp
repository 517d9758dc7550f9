// The server side of one consumer connection: a state machine fed bytes.
#pragma once

#include "consumer/invocation.hpp"
#include "net/stream.hpp"

namespace slatejunction::consumer {

class Session;

// What sessions need of the program.
class SessionHost : public InvocationHost {
  public:
    virtual bool ready() const = 0;      // for the front
    virtual bool stopping() const = 0;   // connections are to end after their answer
    virtual bool knows_class(std::string_view name) const = 0;
    virtual void on_bad_request(int status, std::string_view why) = 0;
    virtual void on_accept_failed(const char* why) = 0;
    virtual void on_closed(Session& session) = 0;   // may forget the session
};

class Session : public net::Protocol, public Consumer {
  public:
    explicit Session(SessionHost& host) : host_(host), parser_(http::Parser::Kind::request) {}
    void attach(net::Transport& transport) { transport_ = &transport; }

    void answer(const Answer& answer) override;
    bool idle() const { return !busy_ && !closing_ && buffer_.view().empty() && !transport_->unsent(); }
    bool busy() const { return busy_; }
    double since() const { return since_; }   // when it last changed its state
    // Ends it when it has stood in one state too long: a peer that neither sends nor reads what it began.
    void end_if_stuck(double now, double limit);
    void end();   // whatever it holds

    std::span<char> space() override;
    void on_bytes(std::size_t size) override;
    void on_sent() override;
    void on_end(bool clean) override;

  private:
    void read_next();
    void take();
    void reject(int status, std::string_view why);
    void finish_answer();

    SessionHost& host_;
    net::Transport* transport_ = nullptr;
    http::Parser parser_;
    http::Buffer buffer_;
    std::uint64_t number_ = 0;
    double since_ = net::now();
    bool busy_ = false;   // an answer is owed
    bool keep_alive_ = true;
    bool closing_ = false;   // its last answer is being written
    bool ended_ = false;
    bool reading_ = false;   // guards read_next() against itself
};

}   // namespace slatejunction::consumer
