// Sections that come from elsewhere, laid over the text of the operator's own file. Pure.
#pragma once

#include <map>
#include <string>

namespace slatejunction::operator_config {

// By header without brackets ("limit NAME"): the section's lines.
using Sections = std::map<std::string, std::string>;

// What is wrong with one such section by itself: a header that is none of the rules' ([subset NAME], [route
// NAME], [limit NAME], [tag NAME]), lines that are none, an unknown key, a value out of range. Empty:
// nothing; whether it fits the rest of a file only load_text() tells.
std::string fault_of_section(const std::string& header, const std::string& lines);

// The text with these sections in place of its own of the same headers, the others behind it.
std::string apply_overlay(const std::string& text, const Sections& sections);

}   // namespace slatejunction::operator_config
