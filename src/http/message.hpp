// HTTP/1.1 messages, parsed in place. Knows no socket: a driver puts bytes into a Buffer, a Parser looks at
// them, and the views it gives point into that Buffer.
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
// A longer body is streamed as it arrives, up to this size.
inline constexpr std::size_t kMaxStreamedBodyBytes = std::size_t{40} * 1024 * 1024;
inline constexpr std::size_t kMaxHeaderFields = 48;

/// Bytes that many Buffers may hold together, against peers that send large bodies on hundreds of
/// connections.
class ByteBudget {
  public:
    explicit ByteBudget(std::size_t limit) : limit_(limit) {}
    bool fits(std::size_t more) const { return used_ + more <= limit_; }
    void take(std::size_t size) { used_ += size; }
    void give(std::size_t size) { used_ -= size; }
    std::size_t used() const { return used_; }
    std::size_t limit() const { return limit_; }
    void set_limit(std::size_t limit) { limit_ = limit; }

  private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

/// Bytes read and not used yet. Moving it keeps the views into it valid; growing it does not.
class Buffer {
  public:
    // What it holds counts in the budget, which has to live longer. Heads are small and always fit.
    explicit Buffer(ByteBudget* budget = nullptr) : budget_(budget) {}
    Buffer(Buffer&& other) noexcept : budget_(other.budget_) { swap(other); }
    Buffer& operator=(Buffer&& other) noexcept {
        Buffer taken(std::move(other));
        swap(taken);
        return *this;
    }
    ~Buffer() {
        if (budget_) budget_->give(capacity_);
    }
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;
    bool may_hold(std::size_t size) const {
        return size <= capacity_ || !budget_ || budget_->fits(size - capacity_);
    }
    std::span<char> space(std::size_t least);   // free space at the end, grown if it is under `least`
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

/// Start line and fields. For a request `first` is the method and `second` the target.
struct Head {
    std::string_view method, target;
    int status = 0;   // of a response
    bool keep_alive = true;
    bool is_http_1_1 = true;   // HTTP/1.1, not 1.0
    std::array<Field, kMaxHeaderFields> fields;
    std::size_t count = 0;

    // The field of that name (lower case); `repeated` tells of a second one.
    const std::string_view* find(std::string_view lower, bool* repeated = nullptr) const;
};

/// over_budget: well formed, but the ByteBudget is used up. rest_follows: the head and a part of the body
/// are there, and the body is over kMaxBufferedBodyBytes: rest() reads on.
enum class ParseResult {
    need_more,
    done,
    malformed,
    head_too_large,
    body_too_large,
    over_budget,
    rest_follows
};

/// Parses one message after another out of one Buffer that begins with it.
class Parser {
  public:
    enum class Kind { request, response };
    // `streams`: its owner passes larger bodies on as they come; else they are too large.
    // `max_buffered_body`: bytes of a body that is taken whole.
    explicit Parser(Kind kind, bool streams = false, std::size_t max_buffered_body = kMaxBufferedBodyBytes)
        : kind_(kind), streams_(streams), max_buffered_body_(max_buffered_body) {}

    // Where the next bytes go. Once the head is known only feed() grows the Buffer, as views point into it.
    std::span<char> receive_space(Buffer& buffer) const;
    // Looks at what has come. `ended`: no more will.
    ParseResult feed(Buffer& buffer, bool ended = false);
    const Head& head() const { return head_; }
    bool has_head() const { return have_head_; }   // its body may still be coming
    // A response whose head is read and says nothing of its length: only a clean end of the connection ends
    // it.
    bool ends_with_connection() const { return have_head_ && framing_ == Framing::until_end; }
    std::string_view body() const { return body_; }
    // After rest_follows: body() and used() are as far as it was read here, length() is that of all.
    BodyReader rest() const {
        return framing_ == Framing::chunked     ? BodyReader::by_chunks(body_size_)
               : framing_ == Framing::until_end ? BodyReader::by_end(body_.size())
                                                : BodyReader::by_length(body_size_ - body_.size());
    }
    std::optional<std::size_t> length() const {
        return framing_ == Framing::length ? std::optional(body_size_) : std::nullopt;
    }
    bool expects_continue() const;               // Expect: 100-continue (RFC 9110, 10.1.1)
    std::size_t used() const { return used_; }   // bytes of the Buffer that the message took
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

    ParseResult rest_follows(Buffer& buffer, std::size_t used, std::size_t body);

    Kind kind_;
    bool streams_;
    std::size_t max_buffered_body_;
    Head head_;
    bool have_head_ = false;
    Framing framing_ = Framing::none;
    std::size_t scanned_bytes_ = 0, body_at_ = 0, body_size_ = 0, used_ = 0;
    std::size_t max_message_bytes_ = 0;   // that the whole message may take
    std::size_t chunk_at_ = 0;            // next byte of chunked framing to look at
    std::string_view body_;
};

bool equals_ignore_case(std::string_view text, std::string_view lower);   // without regard to case

}   // namespace slatejunction::http
