// The rest of a body in any split of its bytes, against a second reading of the same bytes as a whole.
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

struct Read {
    std::string body;
    std::size_t used = 0;
    BodyReader::State state = BodyReader::State::need_more;
};

// `most`: bytes fed at once, drawn anew each time.
Read read(BodyReader reader, std::string_view bytes, std::mt19937& random, std::size_t most) {
    Read got;
    while (got.used < bytes.size() && reader.state() == BodyReader::State::need_more) {
        const std::size_t size = std::min<std::size_t>(1 + random() % most, bytes.size() - got.used);
        std::string_view in = bytes.substr(got.used, size), part;
        while (!in.empty() && reader.state() == BodyReader::State::need_more) {
            reader.feed(in, part);
            got.body += part;
        }
        got.used += size - in.size();
    }
    got.state = reader.state();
    return got;
}

std::string chunked(const std::string& body, std::mt19937& random) {
    std::string out;
    for (std::size_t at = 0; at < body.size();) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 700, body.size() - at);
        char line[64];
        std::snprintf(line, sizeof line, random() % 2 ? "%zx\r\n" : "%04zX ; ext=\"a;b\"\r\n", size);
        out += line + body.substr(at, size) + "\r\n";
        at += size;
    }
    return out + "0\r\n" + (random() % 2 ? "Trailer: x\r\n" : "") + "\r\n";
}

}   // namespace

TEST_CASE("a body's rest is the same however its bytes are cut, and nothing behind it is touched") {
    std::mt19937 random(7);
    for (int i = 0; i < 400; ++i) {
        std::string body(random() % 5000, 'x');
        for (char& c : body) c = static_cast<char>(random());
        const std::string bytes = chunked(body, random) + "GET / HTTP/1.1\r\n";
        for (const std::size_t most : {std::size_t{1}, std::size_t{7}, std::size_t{4000}}) {
            const Read got = read(BodyReader::by_chunks(0), bytes, random, most);
            REQUIRE(got.state == BodyReader::State::done);
            REQUIRE(got.body == body);
            REQUIRE(got.used == bytes.size() - 16);
        }
        const Read plain = read(BodyReader::by_length(body.size()), body + "next", random, 100);
        REQUIRE(plain.body == body);
        REQUIRE(plain.state == BodyReader::State::done);
        REQUIRE(plain.used == body.size());
    }
}

TEST_CASE("chunks that two readers could read in two ways are bad") {
    std::mt19937 random(3);
    for (const std::string bytes : {"0x5\r\nhello\r\n", "-1\r\n", "+5\r\nhello\r\n", " 5\r\nhello\r\n",
                                    "5\nhello\r\n", "5\r\nhelloX\r\n", "5\r\nhello\n", "\r\n", "g\r\n",
                                    "123456789\r\n", "5_0\r\n", ";a\r\n", "2800001\r\n"})
        for (const std::size_t most : {std::size_t{1}, std::size_t{50}}) {
            INFO(bytes);
            REQUIRE(read(BodyReader::by_chunks(0), bytes, random, most).state ==
                    BodyReader::State::malformed);
        }
    // Trailers and extensions without end must not fill the memory.
    REQUIRE(read(BodyReader::by_chunks(0), "5;" + std::string(20000, 'e'), random, 4000).state ==
            BodyReader::State::malformed);
    std::string trailers = "0\r\n";
    for (int i = 0; i < 2000; ++i) trailers += "A: b\r\n";
    REQUIRE(read(BodyReader::by_chunks(0), trailers, random, 4000).state == BodyReader::State::malformed);
}

// The parser's part and the reader's together give what was written, wherever the one hands to the other.
TEST_CASE("a large message is read whole by its parser and the reader of its rest") {
    std::mt19937 random(11);
    for (int i = 0; i < 60; ++i) {
        std::string body(66000 + random() % 90000, 'x');
        for (char& c : body) c = static_cast<char>(random());
        const bool chunks = random() % 2;
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        bytes += chunks ? "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, random)
                        : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        Parser parser(Parser::Kind::response, true);
        Buffer buffer;
        std::size_t at = 0;
        ParseResult step = ParseResult::need_more;
        while (step == ParseResult::need_more && at < bytes.size()) {
            const auto room = parser.receive_space(buffer);
            const std::size_t size = std::min({room.size(), 1 + random() % 3000, bytes.size() - at});
            bytes.copy(room.data(), size, at);
            buffer.commit(size);
            at += size;
            step = parser.feed(buffer);
        }
        REQUIRE(step == ParseResult::rest_follows);
        REQUIRE(parser.length() == (chunks ? std::nullopt : std::optional(body.size())));
        std::string got(parser.body());
        const std::string rest = std::string(buffer.view().substr(parser.used())) + bytes.substr(at);
        const Read more = read(parser.rest(), rest, random, 5000);
        REQUIRE(more.state == BodyReader::State::done);
        REQUIRE(got + more.body == body);
    }
}

// Forms of RFC 9112 and of smuggling, each spoilt at random: the same messages however the bytes are cut.
TEST_CASE("messages are read the same however their bytes are cut, also spoilt ones") {
    std::mt19937 random(17);
    const std::string large = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n" +
                              std::string(0x11000, 'x') + "\r\n0\r\nT: u\r\n\r\nGET / HTTP/1.1\r\n\r\n";
    const std::vector<std::string> forms{
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
        std::string input = forms[random() % (i % 50 == 0 ? forms.size() : forms.size() - 1)];
        for (unsigned spoilt = random() % 4; spoilt > 0; --spoilt)
            input[random() % std::min<std::size_t>(input.size(), 300)] = static_cast<char>(random());
        input.insert(0, 1, static_cast<char>(random()));
        INFO(input.substr(0, 400));
        REQUIRE(fuzz::read_messages(input) == "");
    }
}

TEST_CASE("smuggling forms are refused") {
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
        const auto room = buffer.space(bytes.size());
        bytes.copy(room.data(), bytes.size());
        buffer.commit(bytes.size());
        INFO(bytes);
        REQUIRE(parser.feed(buffer) == ParseResult::malformed);
    }
}
