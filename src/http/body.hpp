// The rest of a body that is passed on as it comes: RFC 9112, sections 6 and 7. Knows no socket, keeps no
// bytes of the body.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace slatejunction::http {

// Takes any split of the bytes. What it gives are views into what it was fed.
class BodyReader {
  public:
    enum class State { need_more, done, malformed };
    BodyReader() = default;
    // `had`: bytes of the body that came before, for the bound on all of it.
    static BodyReader by_length(std::size_t left);
    static BodyReader by_chunks(std::size_t had);
    // Ended by its connection: stays at `more`, and whoever saw a clean end knows that it is whole.
    static BodyReader by_end(std::size_t had);
    bool ends_with_connection() const { return by_end_; }

    // Looks at the front of `in`: takes it off, and sets `part` to bytes of the body, perhaps none. To be
    // called again until `in` is empty or the state is no longer `more`.
    State feed(std::string_view& in, std::string_view& part);
    State state() const { return state_; }

  private:
    enum class At { data, size, data_end, trailer };
    void end_bad() { state_ = State::malformed; }
    std::string_view take_data(std::string_view& in);
    void on_data_end();
    void on_chunk_size();
    void on_trailer();
    bool line(std::string_view& in);   // true: line_ holds a whole one
    State state_ = State::done;
    At at_ = At::data;
    bool chunked_ = false, by_end_ = false;
    std::size_t left_ = 0, total_ = 0, trailers_ = 0;
    std::string line_;
    bool line_whole_ = false;
};

}   // namespace slatejunction::http
