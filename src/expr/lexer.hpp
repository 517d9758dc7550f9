// Splits the source of an expression into tokens.
// Input: UTF-8 text, which outlives the lexer.
// Output: one token a call; LoadError with the byte at which the source is malformed. Used by the parser
// alone (parse.cpp).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace slatejunction::expr {

struct Token {
    enum class Kind { end, name, integer, natural, real, text, bytes, sign };
    Kind kind = Kind::end;
    std::size_t at = 0;   ///< byte of the source
    std::string text;     ///< of a name, a sign or a literal's content; of a number: its digits
};

class Lexer {
  public:
    explicit Lexer(std::string_view source) : source_(source) {}
    /// The next token; Token::Kind::end at the end of the source.
    Token next();

  private:
    void skip_blanks();
    Token read_number();
    std::optional<Token> read_quoted();
    void read_escape(std::string& text, bool bytes);

    std::string_view source_;
    std::size_t at_ = 0;
};

}   // namespace slatejunction::expr
