#include "http/body.hpp"

#include <algorithm>
#include <charconv>

#include "http/message.hpp"

namespace slatejunction::http {

BodyReader BodyReader::by_length(std::size_t remaining_bytes) {
    BodyReader reader;
    reader.remaining_bytes_ = remaining_bytes;
    reader.state_ = remaining_bytes > 0 ? State::need_more : State::done;
    return reader;
}

BodyReader BodyReader::by_chunks(std::size_t bytes_before) {
    BodyReader reader;
    reader.chunked_ = true;
    reader.section_ = Section::chunk_size;
    reader.total_bytes_ = bytes_before;
    reader.state_ = State::need_more;
    return reader;
}

BodyReader BodyReader::by_end(std::size_t bytes_before) {
    BodyReader reader;
    reader.by_end_ = true;
    reader.remaining_bytes_ = kMaxStreamedBodyBytes - std::min(kMaxStreamedBodyBytes, bytes_before);
    reader.state_ = State::need_more;
    return reader;
}

// Reads up to CR LF. A line that ends with LF alone is malformed, as another parser may not see its end.
bool BodyReader::read_line(std::string_view& in) {
    if (line_complete_) line_.clear();
    line_complete_ = false;
    const std::size_t end = in.find('\n');
    const std::string_view part = in.substr(0, end == std::string_view::npos ? in.size() : end + 1);
    in.remove_prefix(part.size());
    if (line_.size() + part.size() > kMaxHeadBytes) {
        set_malformed();
        return false;
    }
    line_ += part;
    if (end == std::string_view::npos) return false;
    if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
        set_malformed();
        return false;
    }
    line_.resize(line_.size() - 2);
    return line_complete_ = true;
}

BodyReader::State BodyReader::feed(std::string_view& in, std::string_view& part) {
    part = {};
    if (state_ != State::need_more || in.empty()) return state_;
    if (section_ == Section::data) {
        part = take_data(in);
        return state_;
    }
    if (!read_line(in)) return state_;
    if (section_ == Section::data_end)
        on_data_end();
    else if (section_ == Section::chunk_size)
        on_chunk_size();
    else
        on_trailer();
    return state_;
}

std::string_view BodyReader::take_data(std::string_view& in) {
    const std::string_view part = in.substr(0, std::min(remaining_bytes_, in.size()));
    in.remove_prefix(part.size());
    remaining_bytes_ -= part.size();
    if (remaining_bytes_ > 0) return part;
    if (by_end_)
        state_ = State::malformed;   // over kMaxStreamedBodyBytes
    else if (chunked_)
        section_ = Section::data_end;
    else
        state_ = State::done;
    return part;
}

// Expects the empty line after the data of a chunk.
void BodyReader::on_data_end() {
    if (line_.empty())
        section_ = Section::chunk_size;
    else
        set_malformed();
}

void BodyReader::on_chunk_size() {
    std::string_view digits = std::string_view(line_).substr(0, line_.find(';'));
    while (digits.ends_with(' ') || digits.ends_with('\t')) digits.remove_suffix(1);
    const auto [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), remaining_bytes_, 16);
    const bool is_size = !digits.empty() && digits.size() <= 8 && status == std::errc() &&
                         end == digits.data() + digits.size();
    if (!is_size) return set_malformed();
    total_bytes_ += remaining_bytes_;
    if (total_bytes_ > kMaxStreamedBodyBytes) return set_malformed();
    section_ = remaining_bytes_ > 0 ? Section::data : Section::trailer;
}

// Ignores the trailer fields, up to an empty line.
void BodyReader::on_trailer() {
    if (line_.empty()) {
        state_ = State::done;
        return;
    }
    trailer_bytes_ += line_.size() + 2;
    if (trailer_bytes_ > kMaxHeadBytes) set_malformed();
}

}   // namespace slatejunction::http
