#include "http/message.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace slatejunction::http {
namespace {

constexpr std::size_t kMinGrowthBytes = std::size_t{8} * 1024;
constexpr std::size_t kMaxChunkLineBytes = 256;

char lowered(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

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

bool read_size(std::string_view text, int base, std::size_t& size) {
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), size, base);
    return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

// The line that begins a chunk (RFC 9112, section 7.1); extensions are dropped.
bool read_chunk_size(std::string_view line, std::size_t& size) {
    const std::string_view digits = trimmed(line.substr(0, line.find(';')));
    return digits.size() <= 8 && read_size(digits, 16, size);
}

}   // namespace

bool equals_ignore_case(std::string_view text, std::string_view lower) {
    return text.size() == lower.size() && std::equal(text.begin(), text.end(), lower.begin(),
                                                     [](char a, char b) { return lowered(a) == b; });
}

std::span<char> Buffer::space(std::size_t least) {
    if (capacity_ - size_ < least)
        *this = copy(std::max(size_ + least, std::max<std::size_t>(2 * capacity_, 2048)));
    return {data_.get() + size_, capacity_ - size_};
}

Buffer Buffer::copy(std::size_t capacity) const {
    Buffer other(budget_);
    other.data_ = std::make_unique_for_overwrite<char[]>(capacity);
    other.capacity_ = capacity;
    if (budget_) budget_->take(capacity);
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
    have_head_ = false;
    scanned_bytes_ = body_at_ = body_size_ = used_ = chunk_at_ = max_message_bytes_ = 0;
    head_.method = head_.target = body_ = {};
    head_.count = 0;
}

bool Parser::expects_continue() const {
    const std::string_view* expect = head_.is_http_1_1 ? head_.find("expect") : nullptr;
    return expect && equals_ignore_case(*expect, "100-continue");
}

std::span<char> Parser::receive_space(Buffer& buffer) const {
    return have_head_ ? buffer.space(0) : buffer.space(1024);
}

// Guards against peers that promise more than they send: a Buffer grows as bytes come, not by the promise.
// Framing that takes more space than there may be is as good as a body that is too large.
ParseResult Parser::feed(Buffer& buffer, bool ended) {
    const ParseResult step = parse(buffer, ended);
    const std::size_t capacity = buffer.capacity();
    if (step != ParseResult::need_more || !have_head_ || buffer.view().size() < capacity) return step;
    if (capacity >= max_message_bytes_) {
        if (streams_ && framing_ == Framing::chunked) return rest_follows(buffer, chunk_at_, body_size_);
        return ParseResult::body_too_large;
    }
    const std::size_t wanted = std::min(max_message_bytes_, std::max(2 * capacity, kMinGrowthBytes));
    if (!buffer.may_hold(wanted)) return ParseResult::over_budget;
    grow(buffer, wanted);
    return step;
}

void Parser::grow(Buffer& buffer, std::size_t capacity) {
    Buffer bigger = buffer.copy(capacity);
    const char* from = buffer.data();
    const auto move = [&](std::string_view& view) {
        if (view.data()) view = {bigger.data() + (view.data() - from), view.size()};
    };
    move(head_.method);
    move(head_.target);
    for (std::size_t i = 0; i < head_.count; ++i) {
        move(head_.fields[i].name);
        move(head_.fields[i].value);
    }
    buffer = std::move(bigger);
}

ParseResult Parser::parse(Buffer& buffer, bool ended) {
    while (!have_head_) {
        if (const ParseResult step = read_head(buffer); step != ParseResult::done) return step;
        const bool interim = kind_ == Kind::response && head_.status < 200;
        if (interim) {   // the final response follows
            buffer.consume(body_at_);
            reset();
            continue;
        }
        max_message_bytes_ =
            body_at_ + (framing_ == Framing::length ? std::min(body_size_, max_buffered_body_)
                                                    : 2 * max_buffered_body_);
        have_head_ = true;
        chunk_at_ = body_at_;
    }
    if (const ParseResult step = read_body(buffer, ended); step != ParseResult::done) return step;
    body_ = buffer.view().substr(body_at_, body_size_);
    return ParseResult::done;
}

ParseResult Parser::read_head(Buffer& buffer) {
    while (kind_ == Kind::request && buffer.view().starts_with("\r\n")) buffer.consume(2);
    const std::string_view text = buffer.view();
    const std::size_t from = scanned_bytes_ > 3 ? scanned_bytes_ - 3 : 0;
    const std::size_t end = text.find("\r\n\r\n", from);
    scanned_bytes_ = text.size();
    // A head that never ends must not fill the memory.
    if (end == std::string_view::npos)
        return text.size() > kMaxHeadBytes ? ParseResult::head_too_large : ParseResult::need_more;
    if (end + 4 > kMaxHeadBytes) return ParseResult::head_too_large;
    body_at_ = end + 4;
    if (const ParseResult step = parse_head(text.substr(0, end + 2)); step != ParseResult::done)
        return step;
    return parse_framing();
}

ParseResult Parser::read_body(Buffer& buffer, bool ended) {
    switch (framing_) {
        case Framing::none:
            used_ = body_at_;
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
    const std::size_t have = buffer.view().size() - body_at_;
    // A large response goes on at once; a large request once as much has come as may be tried again.
    const bool streamed =
        body_size_ > max_buffered_body_ && (kind_ == Kind::response || have >= max_buffered_body_);
    if (have < body_size_ && streamed) return rest_follows(buffer, body_at_ + have, have);
    if (have < body_size_) return ParseResult::need_more;
    used_ = body_at_ + body_size_;
    return ParseResult::done;
}

ParseResult Parser::read_body_until_end(Buffer& buffer, bool ended) {
    const std::size_t have = buffer.view().size() - body_at_;
    if (have > max_buffered_body_ && !streams_) return ParseResult::body_too_large;
    if (!ended && have > max_buffered_body_) return rest_follows(buffer, body_at_ + have, have);
    if (!ended) return ParseResult::need_more;
    body_size_ = have;
    used_ = body_at_ + have;
    return ParseResult::done;
}

bool Parser::parse_start(std::string_view line) {
    const std::size_t one = line.find(' ');
    if (one == std::string_view::npos) return false;
    if (kind_ == Kind::response) {
        const std::string_view version = line.substr(0, one);
        std::size_t status = 0;
        if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
        if (line.size() < one + 4 || !read_size(line.substr(one + 1, 3), 10, status)) return false;
        if (line.size() > one + 4 && line[one + 4] != ' ') return false;
        head_.status = static_cast<int>(status);
        head_.keep_alive = head_.is_http_1_1 = version == "HTTP/1.1";
        // 101 would begin another protocol, which nothing here asks for.
        return status >= 100 && status != 101;
    }
    const std::size_t two = line.find(' ', one + 1);
    if (two == std::string_view::npos) return false;
    head_.method = line.substr(0, one);
    head_.target = line.substr(one + 1, two - one - 1);
    const std::string_view version = line.substr(two + 1);
    head_.keep_alive = head_.is_http_1_1 = version == "HTTP/1.1";
    // Absolute form (RFC 9112, 3.2.2), as to a proxy: the path is what counts.
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
    bool start = true;
    while (!text.empty()) {
        const std::size_t end = text.find("\r\n");
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end + 2);
        if (start) {
            if (!parse_start(line)) return ParseResult::malformed;
            start = false;
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
    return start ? ParseResult::malformed : ParseResult::done;
}

// Guards against request smuggling: where two readers could see two lengths, there is none.
ParseResult Parser::parse_framing() {
    bool twice = false;
    const std::string_view* length = head_.find("content-length", &twice);
    const std::string_view* coding = head_.find("transfer-encoding", &twice);
    if (twice || (length && coding)) return ParseResult::malformed;
    body_size_ = 0;
    framing_ = kind_ == Kind::request ? Framing::none : Framing::until_end;
    read_connection_options();
    if (coding) {
        if (!equals_ignore_case(*coding, "chunked") || !head_.is_http_1_1) return ParseResult::malformed;
        framing_ = Framing::chunked;
    } else if (length) {
        if (length->size() > 18 || !read_size(*length, 10, body_size_)) return ParseResult::malformed;
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

// `Connection: close` or `keep-alive` (RFC 9112, section 9.3); the last one counts.
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

ParseResult Parser::rest_follows(Buffer& buffer, std::size_t used, std::size_t body) {
    used_ = used;
    body_ = buffer.view().substr(body_at_, body);
    return ParseResult::rest_follows;
}

// Joins the chunks in place: the body grows behind the head, the framing still to read lies after it.
ParseResult Parser::feed_chunks(Buffer& buffer) {
    for (;;) {
        const std::string_view text = buffer.view();
        const std::size_t line_end = text.find("\r\n", chunk_at_);
        if (line_end == std::string_view::npos)
            return text.size() - chunk_at_ > kMaxChunkLineBytes ? ParseResult::malformed
                                                                : ParseResult::need_more;
        std::size_t size = 0;
        if (!read_chunk_size(text.substr(chunk_at_, line_end - chunk_at_), size))
            return ParseResult::malformed;
        if (body_size_ + size > max_buffered_body_) {
            if (!streams_ || body_size_ + size > kMaxStreamedBodyBytes) return ParseResult::body_too_large;
            return rest_follows(buffer, chunk_at_, body_size_);
        }
        if (size == 0) return skip_trailers(text, line_end);
        if (const ParseResult step = append_chunk(buffer, line_end + 2, size); step != ParseResult::done)
            return step;
    }
}

// The chunk's `size` bytes lie at `data`; done: they are part of the body now.
ParseResult Parser::append_chunk(Buffer& buffer, std::size_t data, std::size_t size) {
    const std::string_view text = buffer.view();
    if (text.size() < data + size + 2) return ParseResult::need_more;
    if (text.substr(data + size, 2) != "\r\n") return ParseResult::malformed;
    std::memmove(buffer.data() + body_at_ + body_size_, buffer.data() + data, size);
    body_size_ += size;
    chunk_at_ = data + size + 2;
    return ParseResult::done;
}

// Trailers are dropped, up to an empty line.
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
