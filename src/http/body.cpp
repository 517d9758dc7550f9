#include "http/body.hpp"

#include <algorithm>
#include <charconv>

#include "http/message.hpp"

namespace slatejunction::http {

BodyReader BodyReader::by_length(std::size_t left) {
    BodyReader reader;
    reader.left_ = left;
    reader.state_ = left > 0 ? State::need_more : State::done;
    return reader;
}

BodyReader BodyReader::by_chunks(std::size_t had) {
    BodyReader reader;
    reader.chunked_ = true;
    reader.at_ = At::size;
    reader.total_ = had;
    reader.state_ = State::need_more;
    return reader;
}

BodyReader BodyReader::by_end(std::size_t had) {
    BodyReader reader;
    reader.by_end_ = true;
    reader.left_ = kMaxStreamedBodyBytes - std::min(kMaxStreamedBodyBytes, had);
    reader.state_ = State::need_more;
    return reader;
}

// Up to CR LF; a line ended by LF alone is bad, as another reader may not see its end.
bool BodyReader::line(std::string_view& in) {
    if (line_whole_) line_.clear();
    line_whole_ = false;
    const std::size_t end = in.find('\n');
    const std::string_view part = in.substr(0, end == std::string_view::npos ? in.size() : end + 1);
    in.remove_prefix(part.size());
    if (line_.size() + part.size() > kMaxHeadBytes) {
        end_bad();
        return false;
    }
    line_ += part;
    if (end == std::string_view::npos) return false;
    if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
        end_bad();
        return false;
    }
    line_.resize(line_.size() - 2);
    return line_whole_ = true;
}

BodyReader::State BodyReader::feed(std::string_view& in, std::string_view& part) {
    part = {};
    if (state_ != State::need_more || in.empty()) return state_;
    if (at_ == At::data) {
        part = take_data(in);
        return state_;
    }
    if (!line(in)) return state_;
    if (at_ == At::data_end)
        on_data_end();
    else if (at_ == At::size)
        on_chunk_size();
    else
        on_trailer();
    return state_;
}

std::string_view BodyReader::take_data(std::string_view& in) {
    const std::string_view part = in.substr(0, std::min(left_, in.size()));
    in.remove_prefix(part.size());
    left_ -= part.size();
    if (left_ > 0) return part;
    if (by_end_)
        state_ = State::malformed;   // longer than what is streamed
    else if (chunked_)
        at_ = At::data_end;
    else
        state_ = State::done;
    return part;
}

// The empty line behind a chunk's data.
void BodyReader::on_data_end() {
    if (line_.empty())
        at_ = At::size;
    else
        end_bad();
}

void BodyReader::on_chunk_size() {
    std::string_view digits = std::string_view(line_).substr(0, line_.find(';'));
    while (digits.ends_with(' ') || digits.ends_with('\t')) digits.remove_suffix(1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), left_, 16);
    const bool is_size = !digits.empty() && digits.size() <= 8 && error == std::errc() &&
                         end == digits.data() + digits.size();
    if (!is_size) return end_bad();
    total_ += left_;
    if (total_ > kMaxStreamedBodyBytes) return end_bad();
    at_ = left_ > 0 ? At::data : At::trailer;
}

// Trailers are dropped, up to an empty line.
void BodyReader::on_trailer() {
    if (line_.empty()) {
        state_ = State::done;
        return;
    }
    trailers_ += line_.size() + 2;
    if (trailers_ > kMaxHeadBytes) end_bad();
}

}   // namespace slatejunction::http
