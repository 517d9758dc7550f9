// The thin driver between a protocol and a socket: it reads, writes and tells; it understands nothing.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "net/glib.hpp"

namespace slatejunction::net {

// What a protocol may do to its connection, whatever carries it.
class Transport {
  public:
    virtual ~Transport() = default;
    // Takes all of the parts: what the connection has no room for is kept. False: the connection broke.
    virtual bool send(std::span<const std::string_view> parts) = 0;
    virtual bool unsent() const = 0;               // is anything of it kept still?
    virtual void resume() = 0;                     // reads again after space() was empty
    virtual void finish() = 0;                     // ends its own sending; the peer may still send
    virtual void drop(std::size_t most) = 0;       // from now on drops what comes; over `most` it breaks
    virtual void close() = 0;                      // no callback comes after it
    virtual bool ended() const { return false; }   // by the peer, whatever it sent before lies unread
    // s; how long the bytes that were read last had lain with the system, as far as it tells. Of bytes that
    // came at several times it is the last one's.
    virtual double stalled_s() const { return 0; }
};

// A protocol as a state machine that is fed bytes.
class Protocol : public std::enable_shared_from_this<Protocol> {
  public:
    virtual ~Protocol() = default;
    virtual void on_open() {}                       // a dialled connection is up
    virtual std::span<char> receive_buffer() = 0;   // where the next bytes go; empty: not now
    virtual void on_bytes(std::size_t size) = 0;
    virtual void on_dropped() {}           // something of what is to be dropped has come
    virtual void on_sent() {}              // all that was kept has been written
    virtual void on_end(bool clean) = 0;   // the peer ended it, or (not clean) it broke or never came up
    // Does the peer's end count before what it sent has been read? Then on_end() comes also while space()
    // is empty.
    virtual bool ends_unread() const { return false; }
};

class Stream final : public Transport {
  public:
    // `priority`: of its sources in the loop, G_PRIORITY_DEFAULT or higher.
    explicit Stream(Protocol& protocol, int priority = G_PRIORITY_DEFAULT)
        : protocol_(protocol), priority_(priority) {}
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void adopt(Ref<GSocket> socket);      // an accepted connection
    bool dial(GSocketAddress* address);   // on_open or on_end follows; false: it failed at once
    bool open() const { return socket_ != nullptr; }
    int descriptor() const { return socket_ ? g_socket_get_fd(socket_.get()) : -1; }
    bool readable() const;   // something has come, be it the end
    void resume() override;
    bool send(std::span<const std::string_view> parts) override;
    bool unsent() const override { return !kept_.empty(); }
    void finish() override;
    void drop(std::size_t most) override;
    void close() override;
    bool ended() const override;
    double stalled_s() const override;

  private:
    static gboolean on_unread_end(gint, GIOCondition, gpointer self);
    void pause();
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    static gboolean on_out(GSocket*, GIOCondition, gpointer self);
    gboolean read();
    gboolean write_kept();
    void watch(Source& source, GIOCondition condition, GSocketSourceFunc call);
    gssize take_and_drop(GError** fault);
    bool write(std::span<const std::string_view> parts, std::size_t& written);
    void end(bool clean);

    Protocol& protocol_;
    const int priority_;
    Ref<GSocket> socket_;
    Source in_, out_, end_;   // end_: while nothing is read, the peer's end alone
    std::string kept_;
    std::size_t kept_from_ = 0;
    bool dialling_ = false;
    bool dropping_ = false;
    std::size_t drop_left_ = 0;
};

Address parse_address(std::string_view text);   // "127.0.0.1:8081"; empty when it is none
Ref<GSocket> make_socket(GSocketAddress* address, Error& error);

}   // namespace slatejunction::net
