// Parses HTTP/1.1 messages in place. Does no I/O: a driver puts bytes into a Buffer, and the views that
// Parser returns point into that Buffer.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "http/body.hpp"

namespace slatejunction::http {

inline constexpr std::size_t kMaxHeadBytes = std::size_t{8} * 1024;
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} * 1024;
/// A body over kMaxBufferedBodyBytes is streamed as it arrives, up to this size.
inline constexpr std::size_t kMaxStreamedBodyBytes = std::size_t{40} * 1024 * 1024;
inline constexpr std::size_t kMaxHeaderFields = 48;

/// Bounds the memory that many Buffers hold together, against peers that send large bodies on hundreds of
/// connections.
class ByteBudget {
  public:
    explicit ByteBudget(std::size_t limit) : limit_(limit) {}
    bool fits(std::size_t more) const { return used_ + more <= limit_; }
    void reserve(std::size_t size) { used_ += size; }
    void release(std::size_t size) { used_ -= size; }
    std::size_t used() const { return used_; }
    std::size_t limit() const { return limit_; }
    void set_limit(std::size_t limit) { limit_ = limit; }

  private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

/// Bytes that were read but not consumed yet. Moving a Buffer keeps the views into it valid; growing it
/// does not.
class Buffer {
  public:
    /// The capacity counts towards `budget`, which must outlive the Buffer. Heads are small and are not
    /// limited by it.
    explicit Buffer(ByteBudget* budget = nullptr) : budget_(budget) {}
    Buffer(Buffer&& other) noexcept : budget_(other.budget_) { swap(other); }
    Buffer& operator=(Buffer&& other) noexcept {
        Buffer taken(std::move(other));
        swap(taken);
        return *this;
    }
    ~Buffer() {
        if (budget_) budget_->release(capacity_);
    }
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;
    bool may_hold(std::size_t size) const {
        return size <= capacity_ || !budget_ || budget_->fits(size - capacity_);
    }
    /// Returns the free space at the end, which is grown first if it is smaller than `min_bytes`.
    std::span<char> space(std::size_t min_bytes);
    void commit(std::size_t n) { size_ += n; }
    std::string_view view() const { return {data_.get(), size_}; }
    char* data() { return data_.get(); }
    std::size_t capacity() const { return capacity_; }
    void clear() { size_ = 0; }
    void consume(std::size_t n);
    Buffer copy(std::size_t capacity) const;

  private:
    void swap(Buffer& other) noexcept;
    std::unique_ptr<char[]> data_;
    std::size_t size_ = 0, capacity_ = 0;
    ByteBudget* budget_;
};

struct Field {
    std::string_view name, value;
};

/// The start line and the header fields of a message. `method` and `target` are set for requests only.
struct Head {
    std::string_view method, target;
    int status = 0;   // of a response
    bool keep_alive = true;
    bool is_http_1_1 = true;   // else HTTP/1.0
    std::array<Field, kMaxHeaderFields> fields;
    std::size_t count = 0;

    /// Returns the value of the first field of that name, which is given in lower case, or null. Sets
    /// `repeated` to true if there is a second one.
    const std::string_view* find(std::string_view lower, bool* repeated = nullptr) const;
};

/// The result of feeding bytes to a Parser.
/// - over_budget: the message is well formed, but the ByteBudget is exhausted.
/// - rest_follows: the head and a part of the body have been read. The body is too large to be buffered, so
///   the reader that rest() returns continues.
enum class ParseResult {
    need_more,
    done,
    malformed,
    head_too_large,
    body_too_large,
    over_budget,
    rest_follows
};

/// Parses the messages of one connection. The Buffer begins with the message that is being parsed.
class Parser {
  public:
    enum class Kind { request, response };
    /// - `streams`: the owner forwards larger bodies as they arrive; else they are rejected as too large.
    /// - `max_buffered_body` is the largest body in bytes that is buffered completely.
    explicit Parser(Kind kind, bool streams = false, std::size_t max_buffered_body = kMaxBufferedBodyBytes)
        : kind_(kind), streams_(streams), max_buffered_body_(max_buffered_body) {}

    /// Returns the space for the next bytes. Once the head has been parsed, only feed() grows the Buffer,
    /// as views point into it.
    std::span<char> receive_space(Buffer& buffer) const;
    /// Parses the bytes in `buffer`. `ended`: no more bytes follow.
    ParseResult feed(Buffer& buffer, bool ended = false);
    const Head& head() const { return head_; }
    bool has_head() const { return head_parsed_; }   // the body may be incomplete
    /// The head of a response has been parsed and states no length, so that only a clean end of the
    /// connection completes the body.
    bool ends_with_connection() const { return head_parsed_ && framing_ == Framing::until_end; }
    std::string_view body() const { return body_; }
    /// Stops buffering a message whose head has been parsed and whose body is incomplete: body(), used(),
    /// length() and rest() are then as after rest_follows.
    void stop_buffering(const Buffer& buffer);
    /// The reader for the rest of the body after rest_follows. body() and used() then cover the part that
    /// has been parsed, length() the whole body.
    BodyReader rest() const {
        return framing_ == Framing::chunked     ? BodyReader::by_chunks(body_size_)
               : framing_ == Framing::until_end ? BodyReader::by_end(body_.size())
                                                : BodyReader::by_length(body_size_ - body_.size());
    }
    std::optional<std::size_t> length() const {
        return framing_ == Framing::length ? std::optional(body_size_) : std::nullopt;
    }
    /// The request has the field `Expect: 100-continue` (RFC 9110, section 10.1.1).
    bool expects_continue() const;
    /// The bytes of the Buffer that the message takes.
    std::size_t used() const { return used_; }
    void reset();

  private:
    enum class Framing { none, length, chunked, until_end };
    ParseResult parse(Buffer& buffer, bool ended);
    ParseResult read_head(Buffer& buffer);
    ParseResult read_body(Buffer& buffer, bool ended);
    ParseResult read_counted_body(Buffer& buffer);
    ParseResult read_body_until_end(Buffer& buffer, bool ended);
    ParseResult parse_head(std::string_view text);
    bool parse_start(std::string_view line);
    ParseResult parse_framing();
    void read_connection_options();
    ParseResult feed_chunks(Buffer& buffer);
    ParseResult append_chunk(Buffer& buffer, std::size_t data, std::size_t size);
    ParseResult skip_trailers(std::string_view text, std::size_t line_end);
    void grow(Buffer& buffer, std::size_t capacity);

    ParseResult rest_follows(const Buffer& buffer, std::size_t used, std::size_t body);

    Kind kind_;
    bool streams_;
    std::size_t max_buffered_body_;
    Head head_;
    bool head_parsed_ = false;
    Framing framing_ = Framing::none;
    std::size_t scanned_bytes_ = 0, body_offset_ = 0, body_size_ = 0, used_ = 0;
    std::size_t max_message_bytes_ = 0;   // bounds the size of the message in the Buffer
    std::size_t chunk_offset_ = 0;        // of the next byte of chunked framing to parse
    std::string_view body_;
};

/// Compares without regard to case. `lower` must be in lower case.
bool equals_ignore_case(std::string_view text, std::string_view lower);

}   // namespace slatejunction::http
