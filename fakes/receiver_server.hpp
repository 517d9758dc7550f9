// The receiver on a socket, with scripted faults.
#pragma once

#include <string>
#include <vector>

#include "receiver.hpp"
#include "server.hpp"

namespace fakes {

// What the receiver does in place of what it should.
//   none            takes batches
//   refuse          refuses connections, and ends those that are open
//   hang            accepts and reads, and never answers
//   status N [S]    answers N, with Retry-After: S where it is given
//   lost            takes the batch and breaks the connection before its answer
//   cut N           ends the connection after N bytes of a request
//   trickle         takes the batch and sends a byte of its answer each 0.2 s
//   huge            takes the batch and answers with a body of 100 MB
//   close           takes the batch, answers and closes the kept connection at once
//   reset           resets the connection once the request has come
struct Fault {
    std::string name = "none";
    double one = 0, two = -1;
};
// Throws std::runtime_error for an unknown one.
Fault read_fault(const std::string& text);

struct Step {
    double at = 0;   // s after the start
    Fault fault;
};

class ReceiverServer {
  public:
    ReceiverServer(slatejunction::net::Timers& timers, std::string address, bool v1_only,
                   std::vector<Step> script);
    bool start(std::string& why);
    bool set(const Fault& fault, std::string& why);
    std::string summary() const;   // one line of JSON
    const Receiver& receiver() const { return receiver_; }
    // What the Authorization field must be; else 401. Empty: it must not be there.
    std::string credentials;

  private:
    void on_request(const std::shared_ptr<Client>& client, Request& request);
    void trickle(const std::shared_ptr<Client>& client, std::string left);
    void pour(const std::shared_ptr<Client>& client, std::size_t left);
    void step();

    slatejunction::net::Timers& timers_;
    const std::string address_;
    Receiver receiver_;
    Server server_;
    std::vector<Step> script_;
    slatejunction::net::Timer timer_;
    double started_ = 0;
    std::size_t next_ = 0;
    bool listening_ = false;
    Fault fault_;
};

}   // namespace fakes
