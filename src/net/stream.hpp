// A TCP connection on the loop: reads into the protocol's buffer, writes what it sends, reports events.
//
// Input: an accepted socket or an address to dial. Output: the callbacks of Protocol. It knows nothing of
// what the bytes mean. Owned together with its Protocol by the server or pool that made them.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "net/glib.hpp"

namespace slatejunction::net {

/// What a Protocol may do to its connection.
class Transport {
  public:
    virtual ~Transport() = default;
    /// Takes all of the parts and buffers what can't be written now. False: the connection is broken.
    virtual bool send(std::span<const std::string_view> parts) = 0;
    virtual bool unsent() const = 0;    // something is buffered
    virtual void resume() = 0;          // reads again after receive_buffer() was empty
    virtual void shutdown_send() = 0;   // closes the sending side
    virtual void discard_input(
        std::size_t max_bytes) = 0;                      // drops what comes; over `max_bytes` bytes it ends
    virtual void close() = 0;                            // no callback follows
    virtual bool peer_closed() const { return false; }   // by the peer, even if bytes are unread
    /// How long (s) the last of the bytes read had waited in the system; 0: not known.
    virtual double receive_delay_s() const { return 0; }
};

/// The protocol of a connection, a state machine that gets its events from a Stream.
class Protocol : public std::enable_shared_from_this<Protocol> {
  public:
    virtual ~Protocol() = default;
    virtual void on_open() {}                       // a dialled connection is up
    virtual std::span<char> receive_buffer() = 0;   // for the next bytes; empty: pause until resume()
    virtual void on_bytes(std::size_t size) = 0;
    virtual void on_input_discarded() {}   // bytes have come and been dropped
    virtual void on_sent() {}              // all that was buffered has been written
    virtual void on_end(bool clean) = 0;   // clean: closed by the peer; else broken, or never up
    /// on_end() comes also while reading is paused.
    virtual bool reports_end_while_paused() const { return false; }
};

class Stream final : public Transport {
  public:
    /// `protocol` owns the stream or lives longer. `priority`: in the loop, G_PRIORITY_DEFAULT or higher.
    explicit Stream(Protocol& protocol, int priority = G_PRIORITY_DEFAULT)
        : protocol_(protocol), priority_(priority) {}
    ~Stream() override = default;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void adopt(Ref<GSocket> socket);      // an accepted connection
    bool dial(GSocketAddress* address);   // on_open or on_end follows; false: it failed at once
    bool open() const { return socket_ != nullptr; }
    int descriptor() const { return socket_ ? g_socket_get_fd(socket_.get()) : -1; }
    bool readable() const;   // bytes or the end are unread
    void resume() override;
    bool send(std::span<const std::string_view> parts) override;
    bool unsent() const override { return !unsent_.empty(); }
    void shutdown_send() override;
    void discard_input(std::size_t max_bytes) override;
    void close() override;
    bool peer_closed() const override;
    double receive_delay_s() const override;

  private:
    static gboolean on_unread_end(gint, GIOCondition, gpointer self);
    void pause();
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    static gboolean on_out(GSocket*, GIOCondition, gpointer self);
    gboolean read();
    gboolean write_unsent();
    void watch(Source& source, GIOCondition condition, GSocketSourceFunc call);
    gssize read_and_drop(GError** fault);
    bool write(std::span<const std::string_view> parts, std::size_t& written);
    void end(bool clean);

    Protocol& protocol_;
    const int priority_;
    Ref<GSocket> socket_;
    Source in_source_, out_source_, end_source_;   // end_source_: the peer's end, while reading is paused
    std::string unsent_;
    std::size_t unsent_offset_ = 0;
    bool dialling_ = false;
    bool dropping_input_ = false;
    std::size_t drop_remaining_bytes_ = 0;
};

Address parse_address(std::string_view text);   // "127.0.0.1:8081"; empty when it is none
Ref<GSocket> make_socket(GSocketAddress* address, Error& error);

}   // namespace slatejunction::net
