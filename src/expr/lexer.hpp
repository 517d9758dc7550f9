// Splits the source of an expression into tokens. Pure: no I/O; the source must outlive the lexer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace slatejunction::expr {

struct Token {
    enum class Kind { end, name, integer, natural, real, text, bytes, sign };
    Kind kind = Kind::end;
    std::size_t at = 0;   ///< byte of the source at which it begins
    std::string text;     ///< a name, a sign or a literal's content; of a number its digits
};

/// The value of a hexadecimal digit; -1 where it is none.
int hex_value(char c);

/// Tokens by the lexical rules of the Common Expression Language (langdef.md, "Syntax").
class Lexer {
  public:
    explicit Lexer(std::string_view source) : source_(source) {}

    /// The next token; Kind::end once the source is used up. Throws LoadError for text that is no token.
    Token next();

  private:
    bool at_end() const { return at_ == source_.size(); }
    bool sees(char lower, char upper) const;
    bool sees_digit(std::size_t ahead = 0) const;
    void skip_space_and_comments();
    void skip_line();
    bool scan_digits();
    bool scan_hex_digits();
    void scan_decimal(Token& token);
    Token name();
    Token number();
    Token sign();
    std::optional<Token> quoted();
    void quoted_content(Token& token, std::string_view closing, bool raw);
    void escape(std::string& text, bool bytes);
    std::uint32_t escaped_code(char kind, bool bytes, std::size_t from);
    std::uint32_t code_digits(int count, std::uint32_t base, std::size_t from);

    std::string_view source_;
    std::size_t at_ = 0;
};

}   // namespace slatejunction::expr
