#include "http/message.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace slatejunction::http {
namespace {

constexpr std::size_t kMinGrowthBytes = std::size_t{8} * 1024;
constexpr std::size_t kMaxChunkLineBytes = 256;

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

constexpr std::array<bool, 256> token_bytes() {
    std::array<bool, 256> token{};
    for (const char c : std::string_view("!#$%&'*+-.^_`|~")) token[static_cast<unsigned char>(c)] = true;
    for (int c = '0'; c <= '9'; ++c) token[static_cast<std::size_t>(c)] = true;
    for (int c = 'A'; c <= 'Z'; ++c) token[static_cast<std::size_t>(c)] = true;
    for (int c = 'a'; c <= 'z'; ++c) token[static_cast<std::size_t>(c)] = true;
    return token;
}

constexpr std::array<bool, 256> kToken = token_bytes();   // RFC 9110, section 5.6.2

bool is_token(std::string_view text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return kToken[c]; });
}

bool is_value(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return (c >= 0x20 && c != 0x7f) || c == '\t'; });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

bool parse_size(std::string_view text, int base, std::size_t& size) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), size, base);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

// Reads the line that begins a chunk (RFC 9112, section 7.1). Extensions are ignored.
bool parse_chunk_size(std::string_view line, std::size_t& size) {
    const std::string_view digits = trimmed(line.substr(0, line.find(';')));
    return digits.size() <= 8 && parse_size(digits, 16, size);
}

bool may_begin_response(std::string_view text) {
    constexpr std::string_view kVersion = "HTTP/1.";
    const std::size_t size = std::min(text.size(), kVersion.size());
    return text.substr(0, size) == kVersion.substr(0, size);
}

}   // namespace

bool equals_ignore_case(std::string_view text, std::string_view lower) {
    return text.size() == lower.size() && std::equal(text.begin(), text.end(), lower.begin(),
                                                     [](char a, char b) { return to_lower(a) == b; });
}

std::span<char> Buffer::space(std::size_t min_bytes) {
    if (capacity_ - size_ < min_bytes)
        *this = copy(std::max(size_ + min_bytes, std::max<std::size_t>(2 * capacity_, 2048)));
    return {data_.get() + size_, capacity_ - size_};
}

Buffer Buffer::copy(std::size_t capacity) const {
    Buffer other(budget_);
    other.data_ = std::make_unique_for_overwrite<char[]>(capacity);
    other.capacity_ = capacity;
    if (budget_) budget_->reserve(capacity);
    if (size_ > 0) std::memcpy(other.data_.get(), data_.get(), size_);
    other.size_ = size_;
    return other;
}

void Buffer::swap(Buffer& other) noexcept {
    std::swap(data_, other.data_);
    std::swap(size_, other.size_);
    std::swap(capacity_, other.capacity_);
    std::swap(budget_, other.budget_);
}

void Buffer::consume(std::size_t n) {
    size_ -= n;
    if (size_ > 0) std::memmove(data_.get(), data_.get() + n, size_);
}

const std::string_view* Head::find(std::string_view lower, bool* repeated) const {
    const std::string_view* found = nullptr;
    for (std::size_t i = 0; i < count; ++i) {
        if (!equals_ignore_case(fields[i].name, lower)) continue;
        if (found) {
            if (repeated) *repeated = true;
            break;
        }
        found = &fields[i].value;
        if (!repeated) break;
    }
    return found;
}

void Parser::reset() {
    head_parsed_ = false;
    scanned_bytes_ = body_offset_ = body_size_ = used_ = chunk_offset_ = max_message_bytes_ = 0;
    head_.method = head_.target = body_ = {};
    head_.count = 0;
}

bool Parser::expects_continue() const {
    const std::string_view* expect = head_.is_http_1_1 ? head_.find("expect") : nullptr;
    return expect && equals_ignore_case(*expect, "100-continue");
}

std::span<char> Parser::receive_space(Buffer& buffer) const {
    return head_parsed_ ? buffer.space(0) : buffer.space(1024);
}

// Guards against peers that announce more than they send: the Buffer grows as bytes arrive, not by the
// announced length. Chunk framing that takes more space than is allowed counts as a body that is too large,
// unless the rest can be streamed.
ParseResult Parser::feed(Buffer& buffer, bool ended) {
    const ParseResult result = parse(buffer, ended);
    const std::size_t capacity = buffer.capacity();
    if (result != ParseResult::need_more || !head_parsed_ || buffer.view().size() < capacity) return result;
    if (capacity >= max_message_bytes_) {
        if (streams_ && framing_ == Framing::chunked)
            return rest_follows(buffer, chunk_offset_, body_size_);
        return ParseResult::body_too_large;
    }
    const std::size_t wanted = std::min(max_message_bytes_, std::max(2 * capacity, kMinGrowthBytes));
    if (!buffer.may_hold(wanted)) return ParseResult::over_budget;
    grow(buffer, wanted);
    return result;
}

void Parser::grow(Buffer& buffer, std::size_t capacity) {
    Buffer larger = buffer.copy(capacity);
    const char* from = buffer.data();
    const auto move = [&](std::string_view& view) {
        if (view.data()) view = {larger.data() + (view.data() - from), view.size()};
    };
    move(head_.method);
    move(head_.target);
    for (std::size_t i = 0; i < head_.count; ++i) {
        move(head_.fields[i].name);
        move(head_.fields[i].value);
    }
    buffer = std::move(larger);
}

ParseResult Parser::parse(Buffer& buffer, bool ended) {
    while (!head_parsed_) {
        if (const ParseResult result = read_head(buffer); result != ParseResult::done) return result;
        const bool interim = kind_ == Kind::response && head_.status < 200;
        if (interim) {   // skipped, as the final response follows
            buffer.consume(body_offset_);
            reset();
            continue;
        }
        max_message_bytes_ =
            body_offset_ + (framing_ == Framing::length ? std::min(body_size_, max_buffered_body_)
                                                        : 2 * max_buffered_body_);
        head_parsed_ = true;
        chunk_offset_ = body_offset_;
    }
    if (const ParseResult result = read_body(buffer, ended); result != ParseResult::done) return result;
    body_ = buffer.view().substr(body_offset_, body_size_);
    return ParseResult::done;
}

ParseResult Parser::read_head(Buffer& buffer) {
    while (kind_ == Kind::request && buffer.view().starts_with("\r\n")) buffer.consume(2);
    const std::string_view text = buffer.view();
    const std::size_t from = scanned_bytes_ > 3 ? scanned_bytes_ - 3 : 0;
    const std::size_t end = text.find("\r\n\r\n", from);
    scanned_bytes_ = text.size();
    // Noise is recognized by its first bytes, as it may have no end.
    if (kind_ == Kind::response && !may_begin_response(text)) return ParseResult::malformed;
    // Bounds the memory that a head without an end takes.
    if (end == std::string_view::npos)
        return text.size() > kMaxHeadBytes ? ParseResult::head_too_large : ParseResult::need_more;
    if (end + 4 > kMaxHeadBytes) return ParseResult::head_too_large;
    body_offset_ = end + 4;
    if (const ParseResult result = parse_head(text.substr(0, end + 2)); result != ParseResult::done)
        return result;
    return parse_framing();
}

ParseResult Parser::read_body(Buffer& buffer, bool ended) {
    switch (framing_) {
        case Framing::none:
            used_ = body_offset_;
            return ParseResult::done;
        case Framing::length:
            return read_counted_body(buffer);
        case Framing::chunked:
            return feed_chunks(buffer);
        case Framing::until_end:
            return read_body_until_end(buffer, ended);
    }
    return ParseResult::malformed;
}

ParseResult Parser::read_counted_body(Buffer& buffer) {
    const std::size_t received_bytes = buffer.view().size() - body_offset_;
    // A large response is streamed at once; a large request once the part of it that can be sent again in a
    // retry has arrived.
    const bool streamed = body_size_ > max_buffered_body_ &&
                          (kind_ == Kind::response || received_bytes >= max_buffered_body_);
    if (received_bytes < body_size_ && streamed)
        return rest_follows(buffer, body_offset_ + received_bytes, received_bytes);
    if (received_bytes < body_size_) return ParseResult::need_more;
    used_ = body_offset_ + body_size_;
    return ParseResult::done;
}

ParseResult Parser::read_body_until_end(Buffer& buffer, bool ended) {
    const std::size_t received_bytes = buffer.view().size() - body_offset_;
    if (received_bytes > max_buffered_body_ && !streams_) return ParseResult::body_too_large;
    if (!ended && received_bytes > max_buffered_body_)
        return rest_follows(buffer, body_offset_ + received_bytes, received_bytes);
    if (!ended) return ParseResult::need_more;
    body_size_ = received_bytes;
    used_ = body_offset_ + received_bytes;
    return ParseResult::done;
}

bool Parser::parse_start(std::string_view line) {
    const std::size_t first_space = line.find(' ');
    if (first_space == std::string_view::npos) return false;
    if (kind_ == Kind::response) {
        const std::string_view version = line.substr(0, first_space);
        std::size_t status = 0;
        if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
        if (line.size() < first_space + 4 || !parse_size(line.substr(first_space + 1, 3), 10, status))
            return false;
        if (line.size() > first_space + 4 && line[first_space + 4] != ' ') return false;
        head_.status = static_cast<int>(status);
        head_.keep_alive = head_.is_http_1_1 = version == "HTTP/1.1";
        // 101 would switch to another protocol, which this program never requests.
        return status >= 100 && status != 101;
    }
    const std::size_t second_space = line.find(' ', first_space + 1);
    if (second_space == std::string_view::npos) return false;
    head_.method = line.substr(0, first_space);
    head_.target = line.substr(first_space + 1, second_space - first_space - 1);
    const std::string_view version = line.substr(second_space + 1);
    head_.keep_alive = head_.is_http_1_1 = version == "HTTP/1.1";
    // The absolute form (RFC 9112, section 3.2.2), as sent to a proxy, is reduced to the path.
    if (equals_ignore_case(head_.target.substr(0, 7), "http://")) {
        const std::size_t path = head_.target.find('/', 7);
        head_.target =
            path == std::string_view::npos ? head_.target.substr(6, 1) : head_.target.substr(path);
    }
    return is_token(head_.method) && head_.target.starts_with('/') &&
           std::all_of(head_.target.begin(), head_.target.end(),
                       [](unsigned char c) { return c > 0x20 && c < 0x7f; }) &&
           (version == "HTTP/1.1" || version == "HTTP/1.0");
}

ParseResult Parser::parse_head(std::string_view text) {
    head_.count = 0;
    bool is_start_line = true;
    while (!text.empty()) {
        const std::size_t end = text.find("\r\n");
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end + 2);
        if (is_start_line) {
            if (!parse_start(line)) return ParseResult::malformed;
            is_start_line = false;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
            return ParseResult::malformed;
        if (head_.count == kMaxHeaderFields) return ParseResult::head_too_large;
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!is_value(value)) return ParseResult::malformed;
        head_.fields[head_.count++] = {line.substr(0, colon), value};
    }
    return is_start_line ? ParseResult::malformed : ParseResult::done;
}

// Guards against request smuggling: a message to which two parsers could assign different lengths is
// malformed.
ParseResult Parser::parse_framing() {
    bool repeated = false;
    const std::string_view* length = head_.find("content-length", &repeated);
    const std::string_view* coding = head_.find("transfer-encoding", &repeated);
    if (repeated || (length && coding)) return ParseResult::malformed;
    body_size_ = 0;
    framing_ = kind_ == Kind::request ? Framing::none : Framing::until_end;
    read_connection_options();
    if (coding) {
        if (!equals_ignore_case(*coding, "chunked") || !head_.is_http_1_1) return ParseResult::malformed;
        framing_ = Framing::chunked;
    } else if (length) {
        if (length->size() > 18 || !parse_size(*length, 10, body_size_)) return ParseResult::malformed;
        if (body_size_ > (streams_ ? kMaxStreamedBodyBytes : max_buffered_body_))
            return ParseResult::body_too_large;
        framing_ = Framing::length;
    }
    if (kind_ == Kind::response && (head_.status == 204 || head_.status == 304 || head_.status < 200)) {
        framing_ = Framing::none;
        body_size_ = 0;
    }
    return ParseResult::done;
}

// Reads `Connection: close` and `keep-alive` (RFC 9112, section 9.3). The last option wins.
void Parser::read_connection_options() {
    const std::string_view* connection = head_.find("connection");
    if (!connection) return;
    std::string_view rest = *connection;
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        const std::string_view option = trimmed(rest.substr(0, comma));
        if (equals_ignore_case(option, "close")) head_.keep_alive = false;
        if (equals_ignore_case(option, "keep-alive")) head_.keep_alive = true;
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
}

ParseResult Parser::rest_follows(const Buffer& buffer, std::size_t used, std::size_t body) {
    used_ = used;
    body_ = buffer.view().substr(body_offset_, body);
    return ParseResult::rest_follows;
}

void Parser::stop_buffering(const Buffer& buffer) {
    if (framing_ == Framing::chunked) {
        rest_follows(buffer, chunk_offset_, body_size_);
    } else {
        const std::size_t received_bytes = buffer.view().size() - body_offset_;
        rest_follows(buffer, body_offset_ + received_bytes, received_bytes);
    }
}

// Joins the chunks in place: the body grows directly behind the head, and the framing that has not been
// parsed lies after it.
ParseResult Parser::feed_chunks(Buffer& buffer) {
    for (;;) {
        const std::string_view text = buffer.view();
        const std::size_t line_end = text.find("\r\n", chunk_offset_);
        if (line_end == std::string_view::npos)
            return text.size() - chunk_offset_ > kMaxChunkLineBytes ? ParseResult::malformed
                                                                    : ParseResult::need_more;
        std::size_t size = 0;
        if (!parse_chunk_size(text.substr(chunk_offset_, line_end - chunk_offset_), size))
            return ParseResult::malformed;
        if (body_size_ + size > max_buffered_body_) {
            if (!streams_ || body_size_ + size > kMaxStreamedBodyBytes) return ParseResult::body_too_large;
            return rest_follows(buffer, chunk_offset_, body_size_);
        }
        if (size == 0) return skip_trailers(text, line_end);
        if (const ParseResult result = append_chunk(buffer, line_end + 2, size);
            result != ParseResult::done)
            return result;
    }
}

// Appends the chunk of `size` bytes at offset `data` to the body. Returns `done` when it has been appended.
ParseResult Parser::append_chunk(Buffer& buffer, std::size_t data, std::size_t size) {
    const std::string_view text = buffer.view();
    if (text.size() < data + size + 2) return ParseResult::need_more;
    if (text.substr(data + size, 2) != "\r\n") return ParseResult::malformed;
    std::memmove(buffer.data() + body_offset_ + body_size_, buffer.data() + data, size);
    body_size_ += size;
    chunk_offset_ = data + size + 2;
    return ParseResult::done;
}

// Ignores the trailer fields, up to an empty line.
ParseResult Parser::skip_trailers(std::string_view text, std::size_t line_end) {
    for (std::size_t at = line_end + 2;;) {
        const std::size_t end = text.find("\r\n", at);
        if (end == std::string_view::npos || end + 2 - line_end > kMaxHeadBytes)
            return text.size() - line_end > kMaxHeadBytes ? ParseResult::head_too_large
                                                          : ParseResult::need_more;
        if (end == at) {
            used_ = end + 2;
            return ParseResult::done;
        }
        at = end + 2;
    }
}

}   // namespace slatejunction::http
