// What all stand-ins that answer HTTP share: a server on the house's streams that reads whole requests of
// any size up to a bound, and leaves how it answers, or fails to, to its owner.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

#include "net/listener.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"

namespace fakes {

struct Request {
    std::string method, target, body;
    std::multimap<std::string, std::string> fields;   // names in lower case

    // The only field of that name; empty when there is none or several.
    std::string field(const std::string& lower) const;
};

class Server;

// One accepted connection. Requests come one at a time: the next is read once this one is answered.
class Client final : public slatejunction::net::Protocol {
  public:
    Client(Server& server, slatejunction::net::Timers& timers);
    void answer(int status, const std::string& body, const std::string& fields = {}, bool close = false);
    void send(const std::string& bytes);   // as they are
    void finish();                         // after all of the bytes
    void end();                            // now; what was sent may be lost
    void reset();                          // now, with a reset
    bool open() const { return stream.open(); }
    bool idle() const { return !busy_ && !closing_ && in_.empty(); }
    // Calls later, unless the connection has ended by then.
    void later(double s, std::function<void()> call);

    std::span<char> receive_buffer() override;
    void on_bytes(std::size_t size) override;
    void on_sent() override;
    void on_end(bool clean) override;

    slatejunction::net::Stream stream{*this};
    int requests = 0;
    std::shared_ptr<void> context;   // the owner's, until the request is answered or the connection ends

  private:
    void look();
    Server& server_;
    slatejunction::net::Timer timer_;
    std::function<void()> later_;
    std::string in_;
    char receive_bytes_[16384];
    bool busy_ = false, closing_ = false;
};

class Server {
  public:
    using Handler = std::function<void(const std::shared_ptr<Client>&, Request&)>;
    Server(slatejunction::net::Timers& timers, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    bool start(const std::string& address, std::string& why);   // may be called again after stop()
    void stop();                                                // new connections are refused
    void end_all();                                             // connections
    void end_idle();                                            // those on which nothing is asked

    std::size_t accepted = 0;   // connections so far

    // Looked at with each piece that comes: more than so many bytes of a message end the connection.
    std::size_t cut_after = SIZE_MAX;

  private:
    friend class Client;
    void take(slatejunction::net::Ref<GSocket> socket);
    slatejunction::net::Timers& timers_;
    Handler handler_;
    std::unique_ptr<slatejunction::net::Listener> listener_;
    std::unordered_set<std::shared_ptr<Client>> clients_;
};

}   // namespace fakes
