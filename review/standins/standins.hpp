// Stand-ins for what an ingress talks to (clients, backends, discovery, the network) and for the platform that
// starts it. Each case of the review is one program that puts its site together from these parts.
//
// Everything runs on 127.0.0.1 and on ephemeral ports, with one thread for each connection. Times are in seconds
// since the start of the program, on the monotonic clock.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

double now();
void sleep_until(double time);
inline void sleep_for(double seconds) { sleep_until(now() + seconds); }

/// The record of one run: a line for each thing that was sent, answered or run.
class Record {
  public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)));
    /// The same, and to standard output.
    void say(const char* format, ...) __attribute__((format(printf, 2, 3)));

  private:
    void write(const char* text, bool to_terminal);
    std::mutex mutex_;
    FILE* file_;
};

/// One HTTP message, with its header names in lower case.
struct Message {
    std::string start_line, body;
    std::map<std::string, std::string> fields;
    double first_byte_at = 0, last_byte_at = 0;
    std::string field(const std::string& name) const {
        const auto at = fields.find(name);
        return at == fields.end() ? std::string() : at->second;
    }
    std::string method() const { return start_line.substr(0, start_line.find(' ')); }
    std::string target() const;
    int status() const;   // of an answer
};

/// A connected socket with blocking reads and writes.
class Connection {
  public:
    explicit Connection(int fd) : fd_(fd) {}
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    static std::unique_ptr<Connection> dial(int port);

    enum class Read { message, ended, timed_out, malformed };
    /// Reads the next message, until `deadline`.
    Read read(Message& message, double deadline);
    /// Returns false if the connection is broken, or if not all bytes could be written by `deadline`.
    bool write(std::string_view bytes, double deadline = 1e18);
    /// Bytes or the end of the connection can be read now.
    bool readable(double wait_s = 0) const;
    /// The peer has closed the connection or its sending side, or has reset it.
    bool peer_has_closed() const;
    /// Reads what has arrived into the buffer, waiting for up to `wait_s`. Returns false at the end.
    bool fill(double wait_s);
    int fd() const { return fd_; }
    /// Ends both directions, so that a thread that reads returns.
    void shut();
    void close();
    /// How many bytes of the next message have been read.
    std::size_t buffered() const { return buffer_.size(); }
    /// While this returns true, nothing is read.
    std::function<bool()> paused;

  private:
    int fd_;
    std::string buffer_;
};

/// A socket that listens at an ephemeral port, and a thread that passes each accepted connection to a thread of
/// its own.
class Server {
  public:
    using Serve = std::function<void(Connection&)>;
    /// `receive_buffer`: of each connection, in bytes; 0: as the system chooses.
    explicit Server(Serve serve, int receive_buffer = 0);
    ~Server();
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  private:
    void accept_all();
    Serve serve_;
    int listener_ = -1, port_ = 0;
    std::mutex mutex_;
    std::atomic<bool> stopping_{false};
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// The network between an ingress and one machine: each byte arrives `delay_s` after it was sent.
class Link {
  public:
    Link(int target_port, double delay_s);
    std::string address() const { return server_.address(); }

  private:
    void serve(Connection& from);
    const int target_port_;
    const double delay_s_;
    Server server_;
};

/// One backend in the list of discovery.
struct Member {
    std::string id, address;
    int cell = 1;
    std::string phase = "Ready";
    std::string zone = "hall-a";
};

/// Discovery, as the protocol page describes it: the whole list, and watches for changes.
class Discovery {
  public:
    Discovery(Record& record, std::vector<Member> members);
    std::string address() const { return server_.address(); }
    std::string list();

  private:
    void serve(Connection& connection);
    std::string list(int revision, bool complete, const std::vector<Member>& members) const;
    Record& record_;
    std::vector<Member> members_;
    const int revision_ = 1;
    Server server_;
};

/// A class of requests in the settings.
struct ServiceClass {
    std::string name, effect;
    double aim_s, deadline_s;
    std::string group = "all";
    double window_s = 5;
    double worth = 2;
};

/// The settings of an ingress. The figures that are not named here are those that the pages give for gent-campus.
struct Settings {
    std::vector<ServiceClass> classes;
    double dial_timeout_s = 0.25;
    int sockets = 1024;
};

/// A process that the deploy file's `run` command starts, as the platform starts it.
class Ingress {
  public:
    /// Starts `command` by /bin/sh -c in the current folder, and waits until /health/ready answers 200.
    Ingress(Record& record, const std::string& command, const std::string& folder, Discovery& discovery,
            const Settings& settings);
    ~Ingress();
    int port() const { return port_; }
    /// Whether it became ready.
    bool ready() const { return ready_; }
    /// Whether the process still runs. Its end without SIGTERM is a crash.
    bool runs();
    void signal(int number);

  private:
    Record& record_;
    int port_ = 0;
    pid_t pid_ = -1;
    bool ready_ = false;
};

/// What a client sends.
struct Request {
    std::string id, service_class, method = "GET", plan = "pro", key, body;
    std::uint64_t customer = 1;
    double deadline_s = 4;
    std::string head(const std::string& framing) const;   // up to the empty line
    std::string bytes() const;                             // the whole request, with Content-Length
};

std::string hex(std::uint64_t value);
/// A short description of a body, equal for equal bodies: its size and a hash.
std::string digest(std::string_view body);
/// An answer with that status, further header lines (each with CR LF) and body.
std::string answer(int status, const std::string& body, const std::string& fields = "");

/// Reads the arguments that every case has: COMMAND RECORD. TROUBLE=0 in the environment leaves the disruption out.
struct Arguments {
    std::string command, record;
    bool trouble = true;
    Arguments(int argc, char** argv);
};

/// A temporary folder, which is removed at the end.
class Folder {
  public:
    Folder();
    ~Folder();
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

inline constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;   // exit statuses

}   // namespace review
