#include "quota/counter_protocol.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace slatejunction::quota {
namespace {

constexpr std::size_t kBulkMost = 256;    // bytes of a value; totals have some twenty
constexpr std::size_t kLineMost = 1024;   // of a status or an error
constexpr std::int64_t kItemsMost = 8;    // of an array
constexpr int kRepliesOfCall = 4;         // MULTI, two that are queued, EXEC

// A decimal number without an exponent, that no protocol reads otherwise.
std::string decimal(double amount) {
    std::array<char, 64> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), amount, std::chars_format::fixed, 6).ptr;
    return {text.data(), end};
}

double number(std::string_view text) {
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
    double value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool good = !text.empty() && fault == std::errc() && end == text.data() + text.size();
    return good ? value : std::numeric_limits<double>::quiet_NaN();
}

class Http final : public CounterProtocol {
  public:
    explicit Http(std::string host) : host_(std::move(host)) {}

    void write(const CounterCall& call, std::string& out) const override {
        out += "POST /counters/" + call.name + "?by=" + decimal(call.by) +
               "&expire_ms=" + std::to_string(call.ttl_ms) + " HTTP/1.1\r\nHost: " + host_ +
               "\r\nContent-Length: 0\r\n\r\n";
    }

    bool feed(std::string_view bytes, std::vector<Reply>& replies) override {
        while (!bytes.empty()) {
            const std::span<char> room = parser_.room(buffer_);
            const std::size_t some = std::min(room.size(), bytes.size());
            if (some == 0) return false;
            std::copy_n(bytes.data(), some, room.data());
            bytes.remove_prefix(some);
            buffer_.commit(some);
            if (!look(replies)) return false;
        }
        return true;
    }
    bool ending() const override { return ending_; }

  private:
    bool look(std::vector<Reply>& replies) {
        for (;;) {
            const http::Step step = parser_.feed(buffer_);
            if (step == http::Step::more) return !parser_.ends_with_connection();
            if (step != http::Step::done) return false;
            const int status = parser_.head().status;
            if (status == 200)
                replies.push_back({true, number(parser_.body())});
            else
                replies.push_back({});
            ending_ |= !parser_.head().keep_alive;
            const std::string rest(buffer_.view().substr(parser_.used()));
            parser_.reset();
            buffer_.clear();
            if (rest.empty()) return true;
            const std::span<char> room = buffer_.space(rest.size());
            std::copy(rest.begin(), rest.end(), room.begin());
            buffer_.commit(rest.size());
        }
    }

    const std::string host_;
    http::Parser parser_{http::Parser::Kind::response};
    http::Buffer buffer_;
    bool ending_ = false;
};

class Resp final : public CounterProtocol {
  public:
    void write(const CounterCall& call, std::string& out) const override {
        command(out, {"MULTI"});
        command(out, {"SET", call.name, "0", "PX", std::to_string(call.ttl_ms), "NX"});
        command(out, {"INCRBYFLOAT", call.name, decimal(call.by)});
        command(out, {"EXEC"});
    }

    bool feed(std::string_view bytes, std::vector<Reply>& replies) override {
        in_ += bytes;
        std::size_t at = 0;
        while (at < in_.size()) {
            Value value;
            std::size_t next = at;
            const Read read = take(next, value, 0);
            if (read == Read::more) break;
            if (read == Read::bad) return false;
            at = next;
            if (!count(value, replies)) return false;
        }
        in_.erase(0, at);
        return in_.size() <= kItemsMost * (kBulkMost + kLineMost);
    }

  private:
    enum class Read { more, done, bad };
    struct Value {
        char kind = 0;        // + - : $ *
        std::string text;     // of an array the last item's
        bool error = false;   // it, or an item, is one
        std::int64_t items = 0;
    };

    static void command(std::string& out, const std::vector<std::string>& words) {
        out += "*" + std::to_string(words.size()) + "\r\n";
        for (const std::string& word : words)
            out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    }

    // The third and fourth say nothing new; the last of the four is the transaction's.
    bool count(const Value& value, std::vector<Reply>& replies) {
        if (++replies_ < kRepliesOfCall) return value.kind == '+' || value.kind == '-';
        replies_ = 0;
        if (value.kind == '*' && value.items == 2 && !value.error)
            replies.push_back({true, number(value.text)});
        else if (value.error || value.kind == '-' || value.kind == '*')
            replies.push_back({});   // discarded whole, or its one amount was no number
        else
            return false;
        return true;
    }

    std::optional<std::string_view> line(std::size_t& at) const {
        const std::size_t end = in_.find("\r\n", at);
        if (end == std::string::npos) return {};
        const std::string_view text = std::string_view(in_).substr(at, end - at);
        at = end + 2;
        return text;
    }

    Read take(std::size_t& at, Value& value, int depth) const {
        const auto text = line(at);
        if (!text) return in_.size() - at > kLineMost ? Read::bad : Read::more;
        if (text->empty() || text->size() > kLineMost) return Read::bad;
        value.kind = text->front();
        const std::string_view rest = text->substr(1);
        if (value.kind == '+' || value.kind == '-' || value.kind == ':') {
            value.text = rest;
            value.error = value.kind == '-';
            return Read::done;
        }
        std::int64_t size = 0;
        const auto [end, fault] = std::from_chars(rest.data(), rest.data() + rest.size(), size);
        if (fault != std::errc() || end != rest.data() + rest.size() || size < -1) return Read::bad;
        if (value.kind == '$') {
            value.text.clear();
            if (size == -1) return Read::done;
            if (static_cast<std::size_t>(size) > kBulkMost) return Read::bad;
            if (in_.size() - at < static_cast<std::size_t>(size) + 2) return Read::more;
            value.text = in_.substr(at, static_cast<std::size_t>(size));
            at += static_cast<std::size_t>(size) + 2;
            return in_.compare(at - 2, 2, "\r\n") == 0 ? Read::done : Read::bad;
        }
        if (value.kind != '*' || depth > 0 || size > kItemsMost) return Read::bad;
        value.items = size;
        for (std::int64_t i = 0; i < size; ++i) {
            Value item;
            if (const Read read = take(at, item, depth + 1); read != Read::done) return read;
            value.text = item.text;
            value.error |= item.error;
        }
        return Read::done;
    }

    std::string in_;
    int replies_ = 0;   // of the call that is next
};

}   // namespace

std::unique_ptr<CounterProtocol> http_counter_protocol(std::string host) {
    return std::make_unique<Http>(std::move(host));
}
std::unique_ptr<CounterProtocol> resp_counter_protocol() { return std::make_unique<Resp>(); }

}   // namespace slatejunction::quota
