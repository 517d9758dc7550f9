// One connection to a provider and the invoker call it carries: a state machine fed bytes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "client/client_request.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::backend {

// Which call a connection carries. A probe has no invocation.
struct AttemptTag {
    std::uint64_t request = 0;   // the program's own number of it
    std::int64_t attempt = 0;
};

// What came of a call. The views are valid during the callback only.
struct CallResult {
    slatejunction::AttemptResult result = slatejunction::AttemptResult::reset;
    double duration_s = 0;
    double quota_use = 0;         // 1 + percent; 0: none
    std::vector<double> report;   // by the settings' fields, NaN where one is absent; empty: none
    bool bad_request = false;     // the provider could not use the request: that tells nothing of it
    std::string_view content_type, body;
    double idle_s = -1;                 // how long the connection had been idle before; below 0: it was new
    bool client_disconnected = false;   // who asked had gone: nothing of it was written
    bool reset_before_response = false;   // reset at once, before any of an answer
    double write_duration_s = 0;          // how long a request that came in pieces took to be written
    // An answer that is passed on as it comes: `body` is its front. Whoever takes it pulls the rest.
    std::shared_ptr<client::BodySource> rest;
    std::optional<std::size_t> length;   // of all of it; none: it comes in chunks
};

class Connection;

class ConnectionCallbacks {
  public:
    virtual ~ConnectionCallbacks() = default;
    virtual void on_call_end(Connection& connection, AttemptTag tag, const CallResult& end) = 0;
    virtual void on_idle(Connection& connection) = 0;     // its call is over and it may carry another
    virtual void on_closed(Connection& connection) = 0;   // may forget the connection
};

// Of a large request's rest it is the sink, of a large answer's the source. Such an answer is told as the
// call's end when it begins: what follows is between this connection and whoever pulls.
class Connection : public net::Protocol, public client::BodySource, public client::BodySink {
  public:
    Connection(ConnectionCallbacks& host, net::Timers& timers, http::ByteBudget& bytes,
               std::string provider, std::string host_port, const std::vector<std::string>& report_fields);
    void attach(net::Transport& transport) { transport_ = &transport; }

    // Takes its call along from the start: it is written once the connection is up, unless it ends before.
    void begin(AttemptTag tag, std::shared_ptr<client::ClientRequest> invocation,
               std::string_view probe_path, double until, double dial_until);
    void write_call();   // on a connection that is up
    // Stops waiting: the connection ends, so that a late answer can't be taken for another call's.
    void abandon(slatejunction::AttemptResult outcome);
    void close();

    const std::string& backend_id() const { return provider_; }
    const std::string& host_port() const { return host_port_; }
    const AttemptTag& tag() const { return tag_; }
    bool health_checking() const { return !probe_path_.empty(); }
    bool dialling() const { return dialling_; }
    bool call_active() const { return calling_; }
    bool request_given() const { return written_ && whole_; }   // its call: all was given to the transport
    double free_since() const { return free_since_; }

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
    bool may_have_run() const { return written_ && whole_ && !transport_->unsent(); }
    void begin_passing();
    void pass_on();
    void passed(bool whole);
    void overdue();
    void look(bool ended);
    void take(http::Step step, bool ended);
    void withdraw();
    void settle(CallResult& end);
    void give_up(CallResult& end);
    void read_fields(CallResult& end) const;

    ConnectionCallbacks& host_;
    net::Transport* transport_ = nullptr;
    net::Timer timer_;
    const std::string provider_, host_port_;
    const std::vector<std::string>& report_fields_;
    http::Parser parser_;
    http::ByteBudget& bytes_;
    http::Buffer buffer_;
    AttemptTag tag_;
    std::shared_ptr<client::ClientRequest> invocation_;
    std::string probe_path_;
    double began_ = 0, until_ = 0, dial_until_ = 0, free_since_ = 0;
    double up_ = 0;   // when the call could be written
    double idle_s_ = -1;
    bool dialling_ = false, calling_ = false, written_ = false, closed_ = false;
    bool answering_ = false;   // an answer has begun
    bool whole_ = true;        // all of the request was given to the transport
    double allow_s_ = 0, whole_at_ = 0;
    // An answer's rest on its way.
    http::BodyReader reader_;
    std::weak_ptr<client::BodySink> sink_;
    bool passing_ = false, held_ = false, reusable_ = false;
};

}   // namespace slatejunction::backend
