// What the fuzzers hold the parsers of messages to, for any bytes: the first byte says which side and how
// the rest is cut. However it is cut, the same messages are read from it.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace fuzz {

// Every message as text: its start, body and how it ended, up to the first that is not whole or is bad.
inline std::string read_all(slatejunction::http::Parser::Kind kind, std::string_view bytes,
                            std::size_t most) {
    using namespace slatejunction::http;
    std::string told;
    Parser parser(kind, true);
    Buffer buffer;
    BodyReader rest;
    bool reading_rest = false;
    std::string body;
    std::size_t at = 0, step_size = 1;
    const auto over = [&](const char* how) {
        told += body + how + "\n";
        body.clear();
    };
    for (;;) {
        if (reading_rest) {
            std::string_view in = buffer.view(), part;
            while (!in.empty() && rest.state() == BodyReader::State::need_more) {
                rest.feed(in, part);
                body += part;
            }
            buffer.consume(buffer.view().size() - in.size());
            if (rest.state() == BodyReader::State::malformed) return over(" bad"), told;
            if (rest.state() == BodyReader::State::done) {
                reading_rest = false;
                over(" whole");
                continue;
            }
        } else if (!buffer.view().empty()) {
            const ParseResult step = parser.feed(buffer);
            // A parser that has both may judge what is too large by what has come: bad is bad.
            if (step != ParseResult::need_more && step != ParseResult::done &&
                step != ParseResult::rest_follows)
                return over(" bad"), told;
            if (step != ParseResult::need_more) {
                const Head& head = parser.head();
                told += std::string(head.method) + " " + std::string(head.target) + " " +
                        std::to_string(head.status) + (head.keep_alive ? " + " : " - ");
                body = parser.body();
                reading_rest = step == ParseResult::rest_follows;
                if (reading_rest) rest = parser.rest();
                buffer.consume(parser.used());
                parser.reset();
                if (!reading_rest) over(" whole");
                continue;
            }
        }
        if (at == bytes.size()) return told;   // the rest is not there
        // A head is parsed in place: only then the parser says where bytes may go.
        const auto room = reading_rest ? buffer.space(512) : parser.receive_space(buffer);
        step_size = 1 + (step_size * 31 + 7) % most;
        const std::size_t size = std::min({step_size, room.size(), bytes.size() - at});
        bytes.copy(room.data(), size, at);
        buffer.commit(size);
        at += size;
    }
}

inline std::string read_messages(std::string_view input) {
    using slatejunction::http::Parser;
    if (input.empty()) return "";
    const auto first = static_cast<unsigned char>(input[0]);
    const auto kind = first & 1 ? Parser::Kind::request : Parser::Kind::response;
    const std::string whole = read_all(kind, input.substr(1), 100000);
    const std::string cut = read_all(kind, input.substr(1), 1 + first / 2);
    return whole == cut ? "" : "cut otherwise it reads otherwise:\n" + whole + "---\n" + cut;
}

}   // namespace fuzz
