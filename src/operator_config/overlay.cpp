#include "operator_config/overlay.hpp"

#include <algorithm>
#include <sstream>
#include <string_view>

#include "ini/ini.hpp"
#include "rules/settings.hpp"

namespace slatejunction::operator_config {
namespace {

constexpr char kWhere[] = "rolled out";   // in place of a file's name

// "[HEADER]" at a line's very begin, as the INI reader takes it; empty: the line is no header.
std::string header_of(std::string_view line) {
    if (line.empty() || line[0] != '[') return {};
    const std::size_t end = line.find(']');
    return end == std::string_view::npos ? std::string() : std::string(line.substr(1, end - 1));
}

// Bytes by which the INI reader and this file might see other lines than one another.
bool odd(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\n' && c != '\t') || byte == 127;
}

bool begins_section(const std::string& lines) {
    return lines.starts_with("[") || lines.find("\n[") != std::string::npos;
}

}   // namespace

std::string fault_of_section(const std::string& header, const std::string& lines) {
    if (std::any_of(header.begin(), header.end(), odd) || header.find(']') != std::string::npos)
        return "a section's header is KIND NAME, without brackets";
    if (std::any_of(lines.begin(), lines.end(), odd)) return "[" + header + "]: a control character";
    if (begins_section(lines)) return "[" + header + "]: holds another section's header";
    rules::Settings settings;
    const auto families = settings.families();
    const bool known = std::any_of(families.begin(), families.end(), [&](const ini::Family& one) {
        return header.starts_with(one.kind + " ");
    });
    if (!known) return "[" + header + "]: only subset, route, limit and tag sections are rolled out";
    const auto faults = ini::read_text(kWhere, "[" + header + "]\n" + lines + "\n", {}, families);
    if (!faults.empty()) return faults.front().substr(sizeof kWhere + 1);
    const bool made = !settings.subsets.empty() || !settings.routes.empty() || !settings.limits.empty() ||
                      !settings.tags.empty();
    return made ? "" : "[" + header + "]: names no key";
}

std::string apply_overlay(const std::string& text, const Sections& sections) {
    std::string made;
    bool replaced = false;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (const std::string header = header_of(line); !header.empty())
            replaced = sections.contains(header);
        if (!replaced) made += line + "\n";
    }
    for (const auto& [header, body] : sections) {
        made += "[" + header + "]\n" + body;
        if (body.empty() || body.back() != '\n') made += "\n";
    }
    return made;
}

}   // namespace slatejunction::operator_config
