#include "expr/lexer.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

#include "expr/syntax.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {
namespace {

bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
// The digit's value, or -1.
int hex_of(char c) {
    if (is_digit(c)) return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

}   // namespace

Token Lexer::next() {
    skip_blanks();
    Token token;
    token.at = at_;
    if (at_ == source_.size()) return token;
    const char c = source_[at_];
    if (const auto quoted = read_quoted()) return *quoted;
    if (is_letter(c)) {
        token.kind = Token::Kind::name;
        while (at_ < source_.size() && (is_letter(source_[at_]) || is_digit(source_[at_])))
            token.text += source_[at_++];
        return token;
    }
    if (is_digit(c) || (c == '.' && at_ + 1 < source_.size() && is_digit(source_[at_ + 1])))
        return read_number();
    token.kind = Token::Kind::sign;
    constexpr std::array<std::string_view, 24> kSigns{"&&", "||", "==", "!=", "<=", ">=", "<", ">",
                                                      "+",  "-",  "*",  "/",  "%",  "!",  "?", ":",
                                                      "(",  ")",  "[",  "]",  "{",  "}",  ",", "."};
    for (const std::string_view sign : kSigns)
        if (source_.substr(at_).starts_with(sign)) {
            token.text = sign;
            at_ += sign.size();
            return token;
        }
    throw LoadError(
        at_, std::string("'") + c + "' means nothing here" + (c == '=' ? "; to compare, write ==" : ""));
}

void Lexer::skip_blanks() {
    while (at_ < source_.size()) {
        const char c = source_[at_];
        if (c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f')
            ++at_;
        else if (source_.substr(at_).starts_with("//"))
            at_ = std::min(source_.find('\n', at_), source_.size());
        else
            return;
    }
}

Token Lexer::read_number() {
    Token token;
    token.at = at_;
    token.kind = Token::Kind::integer;
    const auto skip_while = [&](auto good) {
        const std::size_t from = at_;
        while (at_ < source_.size() && good(source_[at_])) ++at_;
        return at_ > from;
    };
    if (source_.substr(at_).starts_with("0x") || source_.substr(at_).starts_with("0X")) {
        at_ += 2;
        if (!skip_while([](char c) { return hex_of(c) >= 0; }))
            throw LoadError(token.at, "a number without digits after 0x");
    } else {
        skip_while(is_digit);
        if (at_ + 1 < source_.size() && source_[at_] == '.' && is_digit(source_[at_ + 1])) {
            token.kind = Token::Kind::real;
            ++at_;
            skip_while(is_digit);
        }
        if (at_ < source_.size() && (source_[at_] == 'e' || source_[at_] == 'E')) {
            const std::size_t back = at_++;
            if (at_ < source_.size() && (source_[at_] == '+' || source_[at_] == '-')) ++at_;
            if (skip_while(is_digit))
                token.kind = Token::Kind::real;
            else
                at_ = back;
        }
    }
    token.text = source_.substr(token.at, at_ - token.at);
    if (token.kind == Token::Kind::integer && at_ < source_.size() &&
        (source_[at_] == 'u' || source_[at_] == 'U')) {
        token.kind = Token::Kind::natural;
        ++at_;
    }
    if (at_ < source_.size() && is_letter(source_[at_]))
        throw LoadError(token.at, "a number that goes on with a letter");
    return token;
}

// Strings and bytes: r and b before them, in any order and case; one or three quotes of either kind.
std::optional<Token> Lexer::read_quoted() {
    std::size_t at = at_;
    bool raw = false, bytes = false;
    for (; at < source_.size(); ++at) {
        const char c = source_[at];
        if ((c == 'r' || c == 'R') && !raw)
            raw = true;
        else if ((c == 'b' || c == 'B') && !bytes)
            bytes = true;
        else
            break;
    }
    if (at == source_.size() || (source_[at] != '"' && source_[at] != '\'')) return std::nullopt;
    Token token;
    token.at = at_;
    token.kind = bytes ? Token::Kind::bytes : Token::Kind::text;
    const char quote = source_[at];
    const std::string triple(3, quote);
    const bool long_form = source_.substr(at).starts_with(triple);
    const std::string_view closing = std::string_view(triple).substr(0, long_form ? 3 : 1);
    at_ = at + closing.size();
    for (;;) {
        if (at_ == source_.size()) throw LoadError(token.at, "a text without its closing quote");
        if (source_.substr(at_).starts_with(closing)) break;
        const char c = source_[at_];
        if (!long_form && (c == '\n' || c == '\r'))
            throw LoadError(token.at, "a text that ends with its line; use three quotes for several");
        if (c == '\\' && !raw)
            read_escape(token.text, bytes);
        else
            token.text += source_[at_++];
    }
    at_ += closing.size();
    return token;
}

void Lexer::read_escape(std::string& text, bool bytes) {
    const std::size_t from = at_++;
    const char c = at_ < source_.size() ? source_[at_++] : '\0';
    constexpr std::string_view kNames = "abfnrtv\\?\"'`";
    constexpr std::string_view kEscapes = "\a\b\f\n\r\t\v\\?\"'`";
    if (const std::size_t place = kNames.find(c); c != '\0' && place != std::string_view::npos) {
        text += kEscapes[place];
        return;
    }
    int digits = 0;
    std::uint32_t code = 0;
    const auto read = [&](int count, int base) {
        for (; digits < count && at_ < source_.size(); ++digits) {
            const int value = hex_of(source_[at_]);
            if (value < 0 || value >= base) break;
            code = code * static_cast<std::uint32_t>(base) + static_cast<std::uint32_t>(value);
            ++at_;
        }
        if (digits != count) throw LoadError(from, "an escape with too few digits");
    };
    if (c == 'x' || c == 'X') {
        read(2, 16);
    } else if (c == 'u' && !bytes) {
        read(4, 16);
    } else if (c == 'U' && !bytes) {
        read(8, 16);
    } else if (c >= '0' && c <= '3') {
        --at_;
        read(3, 8);
    } else {
        throw LoadError(from, "an unknown escape");
    }
    if (bytes) {
        text += static_cast<char>(code);
    } else {
        if (code > 0x10ffff || (code >= 0xd800 && code < 0xe000))
            throw LoadError(from, "an escape for no code point");
        append_utf8(text, code);
    }
}

}   // namespace slatejunction::expr
