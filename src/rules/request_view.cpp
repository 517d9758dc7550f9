#include "rules/request_view.hpp"

#include <algorithm>

namespace slatejunction::rules {
namespace {

constexpr std::size_t kMaxSizeBit = 63;

// Returns the index of the bit in registered_sizes_ for a name of `size` bytes.
std::size_t size_bit(std::size_t size) { return std::min(kMaxSizeBit, size); }

std::size_t bound_of(VariableId text, HeadBounds bounds) {
    if (text == VariableId::request_method) return kMaxMethodBytes;
    return text == VariableId::request_class || text == VariableId::request_plan ? kMaxNameBytes
                                                                                 : bounds.bytes;
}

}   // namespace

std::uint32_t RequestView::register_header(std::string_view lower_case_name) {
    const auto found = std::find(registered_names_.begin(), registered_names_.end(), lower_case_name);
    if (found == registered_names_.end()) {
        registered_names_.emplace_back(lower_case_name);
        headers_.emplace_back();
        registered_sizes_ |= std::uint64_t{1} << size_bit(lower_case_name.size());
        return static_cast<std::uint32_t>(registered_names_.size() - 1);
    }
    return static_cast<std::uint32_t>(found - registered_names_.begin());
}

void RequestView::begin(const RequestFacts& facts) {
    facts_ = &facts;
    headers_scanned_ = false;
    checked_texts_ = 0;
}

void RequestView::scan_headers() {
    headers_scanned_ = true;
    for (Header& header : headers_) header.occurrence = Header::Occurrence::absent;
    std::size_t bytes = 0;
    for (const http::Field& field : facts_->headers) {
        bytes += field.name.size() + field.value.size() + 2;
        if ((registered_sizes_ >> size_bit(field.name.size()) & 1) == 0) continue;
        for (std::size_t i = 0; i < registered_names_.size(); ++i) {
            if (!http::equals_ignore_case(field.name, registered_names_[i])) continue;
            headers_[i].occurrence = headers_[i].occurrence == Header::Occurrence::absent
                                         ? Header::Occurrence::once
                                         : Header::Occurrence::repeated;
            headers_[i].value = field.value;
            break;
        }
    }
    over_bound_ = facts_->headers.size() > bounds_.fields || bytes > bounds_.bytes;
}

bool RequestView::is_bounded_ascii(VariableId text) {
    const std::uint32_t bit = 1U << static_cast<unsigned>(text);
    if ((checked_texts_ & bit) == 0) {
        checked_texts_ |= bit;
        const std::string_view bytes = text_of(*facts_, text);
        bounded_ascii_texts_ = bytes.size() <= bound_of(text, bounds_) && expr::ascii(bytes)
                                   ? bounded_ascii_texts_ | bit
                                   : bounded_ascii_texts_ & ~bit;
    }
    return (bounded_ascii_texts_ & bit) != 0;
}

}   // namespace slatejunction::rules
