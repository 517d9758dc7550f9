// Reads the rest of a body that is forwarded as it arrives (RFC 9112, sections 6 and 7). Does no I/O and
// stores no bytes of the body.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace slatejunction::http {

/// Decodes the framing of a body that is fed in pieces of any size. The results are views into the input.
class BodyReader {
  public:
    enum class State { need_more, done, malformed };
    BodyReader() = default;
    /// A body of known length, of which `remaining_bytes` follow.
    static BodyReader by_length(std::size_t remaining_bytes);
    /// A chunked body. `bytes_before` have been read already and count towards kMaxStreamedBodyBytes.
    static BodyReader by_chunks(std::size_t bytes_before);
    /// A body that ends with its connection, with `bytes_before` as above. The state stays at `need_more`:
    /// the body is complete once the connection has ended cleanly.
    static BodyReader by_end(std::size_t bytes_before);
    bool ends_with_connection() const { return by_end_; }
    /// How many bytes of the body follow, or nullopt if its framing does not tell.
    std::optional<std::size_t> remaining_bytes() const {
        return chunked_ || by_end_ ? std::nullopt : std::optional(remaining_bytes_);
    }

    /// Consumes bytes from the front of `in`, and sets `part` to the bytes of the body among them, possibly
    /// none. To be called again until `in` is empty or the state is no longer `need_more`.
    State feed(std::string_view& in, std::string_view& part);
    State state() const { return state_; }

  private:
    enum class Section { data, chunk_size, data_end, trailer };
    void set_malformed() { state_ = State::malformed; }
    std::string_view take_data(std::string_view& in);
    void on_data_end();
    void on_chunk_size();
    void on_trailer();
    /// Returns true once line_ holds a complete line.
    bool read_line(std::string_view& in);
    State state_ = State::done;
    Section section_ = Section::data;
    bool chunked_ = false, by_end_ = false;
    std::size_t remaining_bytes_ = 0, total_bytes_ = 0, trailer_bytes_ = 0;
    std::string line_;
    bool line_complete_ = false;
};

}   // namespace slatejunction::http
