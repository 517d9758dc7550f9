#include "ini/ini.hpp"

#include <ini.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <list>
#include <set>
#include <sstream>
#include <utility>

namespace slatejunction::ini {
namespace {

constexpr std::size_t kLineMost = 190;   // bytes; the library cuts lines at 200 and reads on behind the cut

template <class T>
bool read_number(const std::string& text, T& value) {
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

std::string plain(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string trimmed(std::string text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && blank(text.back())) text.pop_back();
    text.erase(text.begin(), std::find_if_not(text.begin(), text.end(), blank));
    return text;
}

struct Reading {
    const std::string& path;
    const std::vector<Section*>& sections;
    const std::vector<Family>& families;
    std::vector<bool> more;   // of each line with a value in turn: it goes on with the one before it
    std::list<Section> made;
    std::vector<std::string> faults;
    std::set<std::pair<std::string, std::string>> seen;
    std::set<std::string> unknown;   // sections that were reported already
    std::size_t lines = 0;
    std::string section, key, value;   // not taken yet, as lines may follow

    void fault(const std::string& section, const std::string& key, const std::string& why) {
        faults.push_back(path + ": [" + section + "]" + (key.empty() ? "" : " " + key) + ": " + why);
    }
    void line(const std::string& its_section, const std::string& its_key, const std::string& text) {
        if (lines < more.size() && more[lines++]) {
            value += "\n" + text;
            return;
        }
        take();
        section = its_section, key = its_key, value = text;
    }
    Section* find(const std::string& name) {
        const auto at = std::find_if(sections.begin(), sections.end(),
                                     [&](const Section* one) { return one->name() == name; });
        if (at != sections.end()) return *at;
        for (Section& one : made)
            if (one.name() == name) return &one;
        for (const Family& family : families) {
            if (!name.starts_with(family.kind + " ")) continue;
            const std::string own = trimmed(name.substr(family.kind.size()));
            const bool good =
                !own.empty() && own.size() <= 40 && std::all_of(own.begin(), own.end(), [](char c) {
                    return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '-';
                });
            if (!good) {
                if (unknown.insert(name).second)
                    fault(name, "", "a name is of 1 to 40 letters, digits, '_' and '-'");
                return nullptr;
            }
            made.push_back(family.make(own));
            return &made.back();
        }
        if (unknown.insert(name).second) fault(name, "", "unknown section");
        return nullptr;
    }
    void take() {
        if (key.empty()) return;
        const std::string its_key = std::exchange(key, {});
        Section* const at = find(section);
        if (!at) return;
        const auto& keys = at->keys();
        const auto one =
            std::find_if(keys.begin(), keys.end(), [&](const Key& each) { return each.name == its_key; });
        if (one == keys.end()) return fault(section, its_key, "unknown key");
        if (!seen.emplace(section, its_key).second) return fault(section, its_key, "given twice");
        if (!one->lines && value.find('\n') != std::string::npos)
            return fault(section, its_key, "does not go over several lines");
        if (const std::string why = one->take(value); !why.empty()) fault(section, its_key, why);
    }
};

int on_pair(void* data, const char* section, const char* name, const char* value) {
    static_cast<Reading*>(data)->line(section, name ? name : "", value ? value : "");
    return 1;
}

}   // namespace

void Section::text(std::string key, std::string& value, std::string help,
                   std::function<std::string(const std::string&)> check) {
    keys_.push_back({std::move(key), "", std::move(help), value,
                     [&value, check = std::move(check)](const std::string& text) {
                         if (std::string why = check ? check(text) : std::string(); !why.empty())
                             return why;
                         value = text;
                         return std::string();
                     }});
}

void Section::lines(std::string key, std::string& value, std::string help) {
    text(std::move(key), value, std::move(help));
    keys_.back().lines = true;
}

void Section::integer(std::string key, std::int64_t& value, std::int64_t least, std::int64_t most,
                      std::string unit, std::string help) {
    keys_.push_back({std::move(key), std::move(unit), std::move(help), std::to_string(value),
                     [&value, least, most](const std::string& text) {
                         std::int64_t given = 0;
                         if (!read_number(text, given)) return "not a whole number: '" + text + "'";
                         if (given < least || given > most)
                             return "not from " + std::to_string(least) + " to " + std::to_string(most) +
                                    ": " + text;
                         value = given;
                         return std::string();
                     }});
}

void Section::real(std::string key, double& value, double least, double most, std::string unit,
                   std::string help) {
    keys_.push_back({std::move(key), std::move(unit), std::move(help), plain(value),
                     [&value, least, most](const std::string& text) {
                         double given = 0;
                         if (!read_number(text, given) || !std::isfinite(given))
                             return "not a number: '" + text + "'";
                         if (given < least || given > most)
                             return "not from " + plain(least) + " to " + plain(most) + ": " + text;
                         value = given;
                         return std::string();
                     }});
}

void Section::choice(std::string key, int& value, std::vector<std::string> words, std::string help) {
    std::string all;
    for (const std::string& word : words) all += (all.empty() ? "" : " | ") + word;
    const std::string standard = words[static_cast<std::size_t>(value)];
    keys_.push_back({std::move(key), all, std::move(help), standard,
                     [&value, words = std::move(words), all](const std::string& text) {
                         const auto at = std::find(words.begin(), words.end(), text);
                         if (at == words.end()) return "'" + text + "' is none of " + all;
                         value = static_cast<int>(at - words.begin());
                         return std::string();
                     }});
}

void Section::pairs(std::string key, std::vector<std::pair<std::string, std::string>>& value,
                    std::string help, std::function<std::string(const std::string&)> check) {
    std::string standard;
    for (const auto& [name, one] : value) standard += (standard.empty() ? "" : ", ") + name + "=" + one;
    keys_.push_back({std::move(key), "NAME=VALUE, ...", std::move(help), standard,
                     [&value, check = std::move(check)](const std::string& text) -> std::string {
                         std::vector<std::pair<std::string, std::string>> given;
                         std::istringstream rest(text);
                         for (std::string one; std::getline(rest, one, ',');) {
                             const std::size_t mark = one.find('=');
                             if (mark == std::string::npos)
                                 return "'" + trimmed(one) + "' is not NAME=VALUE";
                             const std::string name = trimmed(one.substr(0, mark));
                             if (std::string why = check ? check(name) : std::string(); !why.empty())
                                 return why;
                             if (std::any_of(given.begin(), given.end(),
                                             [&](const auto& each) { return each.first == name; }))
                                 return "'" + name + "' twice";
                             given.emplace_back(name, trimmed(one.substr(mark + 1)));
                         }
                         value = std::move(given);
                         return "";
                     }});
}

std::vector<std::string> read(const std::string& path, const std::vector<Section*>& sections,
                              const std::vector<Family>& families) {
    std::string text;
    if (!load(path, text)) return {path + ": can't be read"};
    return read_text(path, text, sections, families);
}

bool load(const std::string& path, std::string& text) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream bytes;
    bytes << in.rdbuf();
    if (!in) return false;
    text = bytes.str();
    return true;
}

std::vector<std::string> read_text(const std::string& path, const std::string& text,
                                   const std::vector<Section*>& sections,
                                   const std::vector<Family>& families) {
    Reading reading{path, sections, families, {}, {}, {}, {}, {}, 0, {}, {}, {}};
    std::istringstream lines(text);
    std::string line;
    bool key_before = false;   // an indented line is more of the value before it
    for (int number = 1; std::getline(lines, line); ++number) {
        const std::string where = path + ": line " + std::to_string(number) + ": ";
        if (line.size() > kLineMost) reading.faults.push_back(where + "over 190 bytes");
        if (line.find('\0') != std::string::npos) reading.faults.push_back(where + "a NUL byte");
        const std::string content = trimmed(line);
        if (content.empty() || content == "\r") continue;
        const bool indented = line[0] == ' ' || line[0] == '\t';
        if (indented && (!key_before || content[0] == '#' || content[0] == ';'))
            reading.faults.push_back(where + "indented");
        if (content[0] == '#' || content[0] == ';') continue;
        key_before = content[0] != '[' || indented;
        if (key_before) reading.more.push_back(indented);
    }
    if (!reading.faults.empty()) return reading.faults;
    if (const int number = ini_parse_string(text.c_str(), on_pair, &reading); number != 0)
        reading.faults.push_back(path + ": line " + std::to_string(number) +
                                 ": neither [section] nor key = value");
    reading.take();
    std::vector<const Section*> all(sections.begin(), sections.end());
    for (const Section& one : reading.made) all.push_back(&one);
    if (reading.faults.empty())
        for (const Section* section : all)
            if (const std::string why = section->check_whole(); !why.empty()) {
                const std::size_t mark = why.find(": ");
                reading.fault(section->name(), why.substr(0, mark), why.substr(mark + 2));
            }
    return reading.faults;
}

std::string sample(const std::vector<Section*>& sections, const std::vector<Family>& families) {
    std::string text;
    const auto keys = [&](const Section& section, const char* before) {
        for (const Key& key : section.keys()) {
            text += "# " + key.help + (key.unit.empty() ? "" : " (" + key.unit + ")") + "\n";
            text += before + key.name + " =" + (key.standard.empty() ? "" : " ") + key.standard + "\n";
        }
    };
    for (const Section* section : sections) {
        text += (text.empty() ? "" : "\n") + std::string("# ") + section->help() + "\n[" + section->name() +
                "]\n";
        keys(*section, "# ");
    }
    for (const Family& family : families) {
        const Section one = family.make("NAME");
        text += "\n# " + family.help + "\n#[" + one.name() + "]\n";
        keys(one, "#   ");
    }
    return text;
}

}   // namespace slatejunction::ini
