#include "quota/counter_protocol.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace slatejunction::quota {
namespace {

constexpr std::size_t kMaxBulkBytes = 256;    // bulk string; a total has about 20 bytes
constexpr std::size_t kMaxLineBytes = 1024;   // status or error line
constexpr std::int64_t kMaxArrayItems = 8;
constexpr int kRepliesPerCall = 4;   // one each for MULTI, the two queued commands and EXEC

// Formats a decimal number without an exponent, as both protocols accept it.
std::string format_decimal(double amount) {
    std::array<char, 64> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), amount, std::chars_format::fixed, 6).ptr;
    return {text.data(), end};
}

// Returns NaN if `text` is not a number.
double parse_number(std::string_view text) {
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = !text.empty() && error == std::errc() && end == text.data() + text.size();
    return valid ? value : std::numeric_limits<double>::quiet_NaN();
}

class HttpCounterProtocol final : public CounterProtocol {
  public:
    explicit HttpCounterProtocol(std::string host) : host_(std::move(host)) {}

    void write(const CounterCall& call, std::string& out) const override {
        out += "POST /counters/" + call.name + "?by=" + format_decimal(call.amount) +
               "&expire_ms=" + std::to_string(call.ttl_ms) + " HTTP/1.1\r\nHost: " + host_ +
               "\r\nContent-Length: 0\r\n\r\n";
    }

    ProtocolStatus parse(std::string_view bytes, std::vector<Reply>& replies) override {
        while (!bytes.empty()) {
            const std::span<char> space = parser_.receive_space(buffer_);
            const std::size_t count = std::min(space.size(), bytes.size());
            if (count == 0) return ProtocolStatus::violated;
            std::copy_n(bytes.data(), count, space.data());
            bytes.remove_prefix(count);
            buffer_.commit(count);
            if (parse_buffered(replies) == ProtocolStatus::violated) return ProtocolStatus::violated;
        }
        return ProtocolStatus::ok;
    }
    bool connection_closing() const override { return connection_closing_; }

  private:
    // Parses all complete responses in the buffer.
    ProtocolStatus parse_buffered(std::vector<Reply>& replies) {
        for (;;) {
            const http::ParseResult step = parser_.feed(buffer_);
            if (step == http::ParseResult::need_more) {
                // A counter's reply has a length. Without one it would extend to the end of the connection.
                return parser_.ends_with_connection() ? ProtocolStatus::violated : ProtocolStatus::ok;
            }
            if (step != http::ParseResult::done) return ProtocolStatus::violated;
            const int status = parser_.head().status;
            if (status == 200)
                replies.push_back({true, parse_number(parser_.body())});
            else
                replies.push_back({});
            connection_closing_ |= !parser_.head().keep_alive;
            const std::string rest(buffer_.view().substr(parser_.used()));
            parser_.reset();
            buffer_.clear();
            if (rest.empty()) return ProtocolStatus::ok;
            const std::span<char> space = buffer_.space(rest.size());
            std::copy(rest.begin(), rest.end(), space.begin());
            buffer_.commit(rest.size());
        }
    }

    const std::string host_;
    http::Parser parser_{http::Parser::Kind::response};
    http::Buffer buffer_;
    bool connection_closing_ = false;
};

class RespCounterProtocol final : public CounterProtocol {
  public:
    void write(const CounterCall& call, std::string& out) const override {
        append_command(out, {"MULTI"});
        append_command(out, {"SET", call.name, "0", "PX", std::to_string(call.ttl_ms), "NX"});
        append_command(out, {"INCRBYFLOAT", call.name, format_decimal(call.amount)});
        append_command(out, {"EXEC"});
    }

    ProtocolStatus parse(std::string_view bytes, std::vector<Reply>& replies) override {
        received_ += bytes;
        std::size_t at = 0;
        while (at < received_.size()) {
            Value value;
            std::size_t next = at;
            const ParseStatus status = parse_value(next, value, 0);
            if (status == ParseStatus::need_more) break;
            if (status == ParseStatus::malformed) return ProtocolStatus::violated;
            at = next;
            if (!on_value(value, replies)) return ProtocolStatus::violated;
        }
        received_.erase(0, at);
        const bool fits = received_.size() <= kMaxArrayItems * (kMaxBulkBytes + kMaxLineBytes);
        return fits ? ProtocolStatus::ok : ProtocolStatus::violated;
    }

  private:
    enum class ParseStatus { need_more, done, malformed };
    struct Value {
        char kind = 0;            // type byte: + - : $ *
        std::string text;         // text of the value; for an array, of its last item
        bool error = false;       // whether the value or one of its items is an error
        std::int64_t items = 0;   // number of items in an array
    };

    static void append_command(std::string& out, const std::vector<std::string>& arguments) {
        out += "*" + std::to_string(arguments.size()) + "\r\n";
        for (const std::string& argument : arguments)
            out += "$" + std::to_string(argument.size()) + "\r\n" + argument + "\r\n";
    }

    // Handles one reply. The first three replies to a call only acknowledge it, and the fourth is that of
    // the transaction. Returns false for a reply that a call cannot have.
    bool on_value(const Value& value, std::vector<Reply>& replies) {
        if (++replies_of_call_ < kRepliesPerCall) return value.kind == '+' || value.kind == '-';
        replies_of_call_ = 0;
        if (value.kind == '*' && value.items == 2 && !value.error)
            replies.push_back({true, parse_number(value.text)});
        else if (value.error || value.kind == '-' || value.kind == '*')
            replies.push_back({});   // the transaction was discarded or the amount was rejected
        else
            return false;
        return true;
    }

    std::optional<std::string_view> read_line(std::size_t& at) const {
        const std::size_t end = received_.find("\r\n", at);
        if (end == std::string::npos) return {};
        const std::string_view text = std::string_view(received_).substr(at, end - at);
        at = end + 2;
        return text;
    }

    ParseStatus parse_value(std::size_t& at, Value& value, int depth) const {
        const auto text = read_line(at);
        if (!text)
            return received_.size() - at > kMaxLineBytes ? ParseStatus::malformed : ParseStatus::need_more;
        if (text->empty() || text->size() > kMaxLineBytes) return ParseStatus::malformed;
        value.kind = text->front();
        const std::string_view rest = text->substr(1);
        if (value.kind == '+' || value.kind == '-' || value.kind == ':') {
            value.text = rest;
            value.error = value.kind == '-';
            return ParseStatus::done;
        }
        std::int64_t size = 0;
        const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), size);
        if (error != std::errc() || end != rest.data() + rest.size() || size < -1)
            return ParseStatus::malformed;
        if (value.kind == '$') {
            value.text.clear();
            if (size == -1) return ParseStatus::done;
            if (static_cast<std::size_t>(size) > kMaxBulkBytes) return ParseStatus::malformed;
            if (received_.size() - at < static_cast<std::size_t>(size) + 2) return ParseStatus::need_more;
            value.text = received_.substr(at, static_cast<std::size_t>(size));
            at += static_cast<std::size_t>(size) + 2;
            return received_.compare(at - 2, 2, "\r\n") == 0 ? ParseStatus::done : ParseStatus::malformed;
        }
        if (value.kind != '*' || depth > 0 || size > kMaxArrayItems) return ParseStatus::malformed;
        value.items = size;
        for (std::int64_t i = 0; i < size; ++i) {
            Value item;
            const ParseStatus status = parse_value(at, item, depth + 1);
            if (status != ParseStatus::done) return status;
            value.text = item.text;
            value.error |= item.error;
        }
        return ParseStatus::done;
    }

    std::string received_;
    int replies_of_call_ = 0;   // replies received for the current call
};

}   // namespace

std::unique_ptr<CounterProtocol> http_counter_protocol(std::string host) {
    return std::make_unique<HttpCounterProtocol>(std::move(host));
}
std::unique_ptr<CounterProtocol> resp_counter_protocol() { return std::make_unique<RespCounterProtocol>(); }

}   // namespace slatejunction::quota
