#include "expr/lexer.hpp"

#include <algorithm>
#include <array>

#include "expr/syntax.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {
namespace {

// Longer signs stand before their beginnings.
constexpr std::array<std::string_view, 24> kSigns{"&&", "||", "==", "!=", "<=", ">=", "<", ">",
                                                  "+",  "-",  "*",  "/",  "%",  "!",  "?", ":",
                                                  "(",  ")",  "[",  "]",  "{",  "}",  ",", "."};
constexpr std::string_view kEscapeNames = "abfnrtv\\?\"'`";
constexpr std::string_view kEscapeValues = "\a\b\f\n\r\t\v\\?\"'`";
constexpr std::uint32_t kMaxCodePoint = 0x10ffff;

bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f'; }
bool is_surrogate(std::uint32_t code) { return code >= 0xd800 && code < 0xe000; }

}   // namespace

int hex_value(char c) {
    if (is_digit(c)) return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

Token Lexer::next() {
    skip_space_and_comments();
    if (at_end()) {
        Token token;
        token.at = at_;
        return token;
    }
    if (auto token = quoted()) return std::move(*token);
    if (is_letter(source_[at_])) return name();
    if (sees_digit() || (source_[at_] == '.' && sees_digit(1))) return number();
    return sign();
}

bool Lexer::sees(char lower, char upper) const {
    return !at_end() && (source_[at_] == lower || source_[at_] == upper);
}

bool Lexer::sees_digit(std::size_t ahead) const {
    return at_ + ahead < source_.size() && is_digit(source_[at_ + ahead]);
}

void Lexer::skip_space_and_comments() {
    while (!at_end()) {
        if (is_space(source_[at_]))
            ++at_;
        else if (source_.substr(at_).starts_with("//"))
            skip_line();
        else
            return;
    }
}

void Lexer::skip_line() { at_ = std::min(source_.find('\n', at_), source_.size()); }

bool Lexer::scan_digits() {
    const std::size_t from = at_;
    while (sees_digit()) ++at_;
    return at_ > from;
}

bool Lexer::scan_hex_digits() {
    const std::size_t from = at_;
    while (!at_end() && hex_value(source_[at_]) >= 0) ++at_;
    return at_ > from;
}

// Digits, a fraction, an exponent; an `e` without digits behind it is not part of the number.
void Lexer::scan_decimal(Token& token) {
    scan_digits();
    if (sees('.', '.') && sees_digit(1)) {
        token.kind = Token::Kind::real;
        ++at_;
        scan_digits();
    }
    if (!sees('e', 'E')) return;
    const std::size_t before_exponent = at_++;
    if (sees('+', '-')) ++at_;
    if (scan_digits())
        token.kind = Token::Kind::real;
    else
        at_ = before_exponent;
}

Token Lexer::name() {
    Token token;
    token.at = at_;
    token.kind = Token::Kind::name;
    while (!at_end() && (is_letter(source_[at_]) || is_digit(source_[at_]))) token.text += source_[at_++];
    return token;
}

Token Lexer::number() {
    Token token;
    token.at = at_;
    token.kind = Token::Kind::integer;
    if (source_.substr(at_).starts_with("0x") || source_.substr(at_).starts_with("0X")) {
        at_ += 2;
        if (!scan_hex_digits()) throw LoadError(token.at, "a number without digits after 0x");
    } else {
        scan_decimal(token);
    }
    token.text = source_.substr(token.at, at_ - token.at);
    if (token.kind == Token::Kind::integer && sees('u', 'U')) {
        token.kind = Token::Kind::natural;
        ++at_;
    }
    if (!at_end() && is_letter(source_[at_]))
        throw LoadError(token.at, "a number that goes on with a letter");
    return token;
}

Token Lexer::sign() {
    Token token;
    token.at = at_;
    token.kind = Token::Kind::sign;
    for (const std::string_view sign : kSigns) {
        if (!source_.substr(at_).starts_with(sign)) continue;
        token.text = sign;
        at_ += sign.size();
        return token;
    }
    const char c = source_[at_];
    throw LoadError(
        at_, std::string("'") + c + "' means nothing here" + (c == '=' ? "; to compare, write ==" : ""));
}

// Strings and bytes: r and b before them, in any order and case; one or three quotes of either kind.
std::optional<Token> Lexer::quoted() {
    std::size_t at = at_;
    bool raw = false;
    bool bytes = false;
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
    const std::string three(3, source_[at]);
    const bool long_form = source_.substr(at).starts_with(three);
    const std::string_view closing = std::string_view(three).substr(0, long_form ? 3 : 1);
    at_ = at + closing.size();
    quoted_content(token, closing, raw);
    return token;
}

void Lexer::quoted_content(Token& token, std::string_view closing, bool raw) {
    const bool one_line = closing.size() == 1;
    for (;;) {
        if (at_end()) throw LoadError(token.at, "a text without its closing quote");
        if (source_.substr(at_).starts_with(closing)) break;
        const char c = source_[at_];
        if (one_line && (c == '\n' || c == '\r'))
            throw LoadError(token.at, "a text that ends with its line; use three quotes for several");
        if (c == '\\' && !raw)
            escape(token.text, token.kind == Token::Kind::bytes);
        else
            token.text += source_[at_++];
    }
    at_ += closing.size();
}

void Lexer::escape(std::string& text, bool bytes) {
    const std::size_t from = at_++;
    const char c = at_end() ? '\0' : source_[at_++];
    const std::size_t named = kEscapeNames.find(c);
    if (c != '\0' && named != std::string_view::npos) {
        text += kEscapeValues[named];
        return;
    }
    const std::uint32_t code = escaped_code(c, bytes, from);
    if (bytes) {
        text += static_cast<char>(code);
        return;
    }
    if (code > kMaxCodePoint || is_surrogate(code)) throw LoadError(from, "an escape for no code point");
    append_utf8(text, code);
}

std::uint32_t Lexer::escaped_code(char kind, bool bytes, std::size_t from) {
    if (kind == 'x' || kind == 'X') return code_digits(2, 16, from);
    if (kind == 'u' && !bytes) return code_digits(4, 16, from);
    if (kind == 'U' && !bytes) return code_digits(8, 16, from);
    if (kind < '0' || kind > '3') throw LoadError(from, "an unknown escape");
    --at_;   // the first of three octal digits
    return code_digits(3, 8, from);
}

std::uint32_t Lexer::code_digits(int count, std::uint32_t base, std::size_t from) {
    std::uint32_t code = 0;
    for (int digits = 0; digits < count; ++digits) {
        const int value = at_end() ? -1 : hex_value(source_[at_]);
        if (value < 0 || static_cast<std::uint32_t>(value) >= base)
            throw LoadError(from, "an escape with too few digits");
        code = code * base + static_cast<std::uint32_t>(value);
        ++at_;
    }
    return code;
}

}   // namespace slatejunction::expr
