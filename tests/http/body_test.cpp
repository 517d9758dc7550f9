// Tests that BodyReader and Parser read the same messages in pieces of any size as at once.
#include "http/body.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "fuzz/http_targets.hpp"
#include "http/message.hpp"

using slatejunction::http::BodyReader;
using slatejunction::http::Buffer;
using slatejunction::http::Parser;
using slatejunction::http::ParseResult;

namespace {

struct BodyResult {
    std::string body;
    std::size_t used = 0;
    BodyReader::State state = BodyReader::State::need_more;
};

// Feeds `bytes` to `reader` in pieces of random sizes up to `max_piece_bytes`.
BodyResult read_body(BodyReader reader, std::string_view bytes, std::mt19937& random,
                     std::size_t max_piece_bytes) {
    BodyResult result;
    while (result.used < bytes.size() && reader.state() == BodyReader::State::need_more) {
        const std::size_t size =
            std::min<std::size_t>(1 + random() % max_piece_bytes, bytes.size() - result.used);
        std::string_view in = bytes.substr(result.used, size), part;
        while (!in.empty() && reader.state() == BodyReader::State::need_more) {
            reader.feed(in, part);
            result.body += part;
        }
        result.used += size - in.size();
    }
    result.state = reader.state();
    return result;
}

std::string encode_chunked(const std::string& body, std::mt19937& random) {
    std::string out;
    for (std::size_t offset = 0; offset < body.size();) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 700, body.size() - offset);
        char line[64];
        std::snprintf(line, sizeof line, random() % 2 ? "%zx\r\n" : "%04zX ; ext=\"a;b\"\r\n", size);
        out += line + body.substr(offset, size) + "\r\n";
        offset += size;
    }
    return out + "0\r\n" + (random() % 2 ? "Trailer: x\r\n" : "") + "\r\n";
}

}   // namespace

TEST_CASE("the rest of a body is the same however its bytes are split, and no byte after it is consumed") {
    std::mt19937 random(7);
    for (int i = 0; i < 400; ++i) {
        std::string body(random() % 5000, 'x');
        for (char& c : body) c = static_cast<char>(random());
        const std::string bytes = encode_chunked(body, random) + "GET / HTTP/1.1\r\n";
        for (const std::size_t max_piece_bytes : {std::size_t{1}, std::size_t{7}, std::size_t{4000}}) {
            const BodyResult result = read_body(BodyReader::by_chunks(0), bytes, random, max_piece_bytes);
            REQUIRE(result.state == BodyReader::State::done);
            REQUIRE(result.body == body);
            REQUIRE(result.used == bytes.size() - 16);
        }
        const BodyResult plain = read_body(BodyReader::by_length(body.size()), body + "next", random, 100);
        REQUIRE(plain.body == body);
        REQUIRE(plain.state == BodyReader::State::done);
        REQUIRE(plain.used == body.size());
    }
}

TEST_CASE("ambiguous chunk framing is malformed") {
    std::mt19937 random(3);
    for (const std::string bytes : {"0x5\r\nhello\r\n", "-1\r\n", "+5\r\nhello\r\n", " 5\r\nhello\r\n",
                                    "5\nhello\r\n", "5\r\nhelloX\r\n", "5\r\nhello\n", "\r\n", "g\r\n",
                                    "123456789\r\n", "5_0\r\n", ";a\r\n", "2800001\r\n"})
        for (const std::size_t max_piece_bytes : {std::size_t{1}, std::size_t{50}}) {
            INFO(bytes);
            REQUIRE(read_body(BodyReader::by_chunks(0), bytes, random, max_piece_bytes).state ==
                    BodyReader::State::malformed);
        }
    // Endless extensions and trailers must not consume unbounded memory.
    REQUIRE(read_body(BodyReader::by_chunks(0), "5;" + std::string(20000, 'e'), random, 4000).state ==
            BodyReader::State::malformed);
    std::string trailers = "0\r\n";
    for (int i = 0; i < 2000; ++i) trailers += "A: b\r\n";
    REQUIRE(read_body(BodyReader::by_chunks(0), trailers, random, 4000).state ==
            BodyReader::State::malformed);
}

// Wherever the parser hands over to the reader, the two parts together are the body that was sent.
TEST_CASE("a large message is read completely: its start by the parser, the rest by the body reader") {
    std::mt19937 random(11);
    for (int i = 0; i < 60; ++i) {
        std::string body(66000 + random() % 90000, 'x');
        for (char& c : body) c = static_cast<char>(random());
        const bool is_chunked = random() % 2;
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        bytes += is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" + encode_chunked(body, random)
                            : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        Parser parser(Parser::Kind::response, true);
        Buffer buffer;
        std::size_t offset = 0;
        ParseResult parse_result = ParseResult::need_more;
        while (parse_result == ParseResult::need_more && offset < bytes.size()) {
            const auto space = parser.receive_space(buffer);
            const std::size_t size = std::min({space.size(), 1 + random() % 3000, bytes.size() - offset});
            bytes.copy(space.data(), size, offset);
            buffer.commit(size);
            offset += size;
            parse_result = parser.feed(buffer);
        }
        REQUIRE(parse_result == ParseResult::rest_follows);
        REQUIRE(parser.length() == (is_chunked ? std::nullopt : std::optional(body.size())));
        std::string result(parser.body());
        const std::string rest = std::string(buffer.view().substr(parser.used())) + bytes.substr(offset);
        const BodyResult rest_result = read_body(parser.rest(), rest, random, 5000);
        REQUIRE(rest_result.state == BodyReader::State::done);
        REQUIRE(result + rest_result.body == body);
    }
}

// Messages in the forms of RFC 9112 and of request smuggling, with random bytes corrupted.
TEST_CASE("messages are read the same however their bytes are split, including corrupted ones") {
    std::mt19937 random(17);
    const std::string large = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n" +
                              std::string(0x11000, 'x') + "\r\n0\r\nT: u\r\n\r\nGET / HTTP/1.1\r\n\r\n";
    const std::vector<std::string> messages{
        "\r\n\r\nGET http://h/a?b HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.0\r\nContent-Length: "
        "3\r\n\r\nabcGET",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\nGET / "
        "HTTP/1.1\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 204 "
        "N\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\nHTTP/1.1 304 "
        "N\r\n\r\n",
        large};
    for (int i = 0; i < 6000; ++i) {
        std::string input = messages[random() % (i % 50 == 0 ? messages.size() : messages.size() - 1)];
        for (unsigned corruptions = random() % 4; corruptions > 0; --corruptions)
            input[random() % std::min<std::size_t>(input.size(), 300)] = static_cast<char>(random());
        input.insert(0, 1, static_cast<char>(random()));
        INFO(input.substr(0, 400));
        REQUIRE(fuzz::read_messages(input) == "");
    }
}

TEST_CASE("forms of request smuggling are rejected") {
    for (const std::string fields :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: 3, 3\r\n",
          "Content-Length: +3\r\n", "Content-Length: -3\r\n", "Content-Length: 0x3\r\n",
          "Content-Length : 3\r\n", "Transfer-Encoding: identity, chunked\r\n",
          "Transfer-Encoding: xchunked\r\n", "X: a\r\n Content-Length: 3\r\n",
          "Content-Length: 3\nX: a\r\n", "Transfer-Encoding\r\n", "Content-Length:\r\n", "X@: a\r\n"}) {
        Parser parser(Parser::Kind::request, true);
        Buffer buffer;
        const std::string bytes = "POST /a HTTP/1.1\r\n" + fields + "\r\n";
        const auto space = buffer.space(bytes.size());
        bytes.copy(space.data(), bytes.size());
        buffer.commit(bytes.size());
        INFO(bytes);
        REQUIRE(parser.feed(buffer) == ParseResult::malformed);
    }
}
