// A TCP connection in the event loop: reads into the buffer of its Protocol, writes what the Protocol
// sends, and reports events to it.
//
// Takes an accepted socket or an address to dial. Does not interpret the bytes. Owned, together with its
// Protocol, by the server or pool that created them.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "net/glib.hpp"

namespace slatejunction::net {

/// The operations of a connection that a Protocol uses.
class Transport {
  public:
    virtual ~Transport() = default;
    /// Writes all of the parts in order, and buffers what cannot be written now. Returns false if the
    /// connection is broken.
    virtual bool send(std::span<const std::string_view> parts) = 0;
    /// Some of the sent bytes are still buffered.
    virtual bool unsent() const = 0;
    /// Resumes reading after receive_buffer() was empty.
    virtual void resume() = 0;
    /// Closes the sending side.
    virtual void shutdown_send() = 0;
    /// Discards all further input, and ends the connection after `max_bytes` bytes of it.
    virtual void discard_input(std::size_t max_bytes) = 0;
    /// Closes the connection. No callback follows.
    virtual void close() = 0;
    /// Closes the connection with a reset, so that the peer can tell that it has not ended cleanly.
    virtual void reset() { close(); }
    /// The peer has closed the connection or its sending side, or the connection is broken, even if bytes
    /// are still unread.
    virtual bool peer_closed() const { return false; }
    /// How long ago the last byte arrived in the kernel, whether it has been read or not, in s; 0 if
    /// unknown.
    virtual double receive_delay_s() const { return 0; }
    /// Bytes that have arrived in the kernel and have not been read.
    virtual std::size_t unread_bytes() const { return 0; }
    /// Bytes that have been sent and that the peer's kernel has not acknowledged.
    virtual std::size_t undelivered_bytes() const { return 0; }
};

/// The protocol of a connection: a state machine that is driven by the events of a Stream.
class Protocol : public std::enable_shared_from_this<Protocol> {
  public:
    virtual ~Protocol() = default;
    /// A dialled connection is established.
    virtual void on_open() {}
    /// Returns the space for the next bytes; an empty one pauses reading until resume().
    virtual std::span<char> receive_buffer() = 0;
    /// `size` bytes were read into receive_buffer().
    virtual void on_bytes(std::size_t size) = 0;
    /// Bytes were received and discarded.
    virtual void on_input_discarded() {}
    /// All buffered bytes have been written.
    virtual void on_sent() {}
    /// The connection has ended. `clean`: the peer has closed it; else it broke or was never established.
    virtual void on_end(bool clean) = 0;
    /// Whether on_end() is to be called even while reading is paused.
    virtual bool reports_end_while_paused() const { return false; }
};

class Stream final : public Transport {
  public:
    /// `protocol` owns the stream or outlives it. `priority` is that of the GLib sources,
    /// G_PRIORITY_DEFAULT or higher.
    explicit Stream(Protocol& protocol, int priority = G_PRIORITY_DEFAULT)
        : protocol_(protocol), priority_(priority) {}
    ~Stream() override = default;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    /// Takes over an accepted connection and starts reading.
    void adopt(Ref<GSocket> socket);
    /// Starts connecting; on_open() or on_end() follows. Returns false, without a callback, if it failed at
    /// once.
    bool dial(GSocketAddress* address);
    bool open() const { return socket_ != nullptr; }
    int descriptor() const { return socket_ ? g_socket_get_fd(socket_.get()) : -1; }
    /// Bytes or the end of the connection have not been read yet.
    bool readable() const;
    /// Reads what has arrived, without waiting for the event loop.
    void read_now();
    void resume() override;
    bool send(std::span<const std::string_view> parts) override;
    bool unsent() const override { return !unsent_.empty(); }
    void shutdown_send() override;
    void discard_input(std::size_t max_bytes) override;
    void close() override;
    void reset() override;
    bool peer_closed() const override;
    double receive_delay_s() const override;
    std::size_t unread_bytes() const override;
    std::size_t undelivered_bytes() const override;

  private:
    static gboolean on_peer_closed_while_paused(gint, GIOCondition, gpointer self);
    void pause();
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    static gboolean on_out(GSocket*, GIOCondition, gpointer self);
    gboolean read();
    gboolean write_unsent();
    void add_source(Source& source, GIOCondition condition, GSocketSourceFunc callback);
    gssize read_and_discard(GError** raw_error);
    bool write(std::span<const std::string_view> parts, std::size_t& written);
    void end(bool clean);

    Protocol& protocol_;
    const int priority_;
    Ref<GSocket> socket_;
    // `peer_close_source_` detects the peer's close while reading is paused.
    Source in_source_, out_source_, peer_close_source_;
    std::string unsent_;
    std::size_t unsent_offset_ = 0;
    bool dialling_ = false;
    bool discarding_input_ = false;
    std::size_t discard_remaining_bytes_ = 0;
};

/// Parses an IP address and port, such as "127.0.0.1:8081". Returns null if `text` is invalid.
Address parse_address(std::string_view text);
/// Creates a non-blocking TCP socket. Returns null, with the reason in `error`, on failure.
Ref<GSocket> make_socket(GSocketAddress* address, Error& error);

}   // namespace slatejunction::net
