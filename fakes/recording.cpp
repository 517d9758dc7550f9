#include "recording.hpp"

#include <bit>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace fakes {
namespace {

constexpr std::uint64_t kStale = 0x7ff0000000000002;

std::string token_of(double value) {
    if (is_stale(value)) return "stale";
    char text[40];
    std::snprintf(text, sizeof text, "%.17g", value);
    return text;
}

// The key of to_text() again.
SeriesKey key_of(const std::string& text) {
    SeriesKey key;
    const std::size_t open = text.find('{');
    key.emplace_back("__name__", text.substr(0, open));
    std::size_t at = open + 1;
    while (at < text.size() && text[at] != '}') {
        const std::size_t mark = text.find("=\"", at);
        if (mark == std::string::npos) throw std::runtime_error("labels that can't be read: " + text);
        std::string name = text.substr(at, mark - at), value;
        for (at = mark + 2; at < text.size() && text[at] != '"'; ++at) {
            if (text[at] == '\\') ++at;
            value += text[at];
        }
        key.emplace_back(name, value);
        at += at + 1 < text.size() && text[at + 1] == ',' ? 2 : 1;
    }
    return key;
}

}   // namespace

bool is_stale(double value) { return std::bit_cast<std::uint64_t>(value) == kStale; }

Recording recording_of(const Receiver& receiver) {
    Recording all;
    for (const auto& [key, series] : receiver.series()) all[key_of(to_text(key))] = series.points;
    return all;
}

void write_recording(const Recording& recording, const std::string& path) {
    std::set<std::int64_t> times;
    for (const auto& [key, points] : recording)
        for (const Point& point : points) times.insert(point.at_ms);
    std::ofstream out(path, std::ios::trunc);
    out << "times";
    for (const std::int64_t at : times) out << ' ' << at;
    out << '\n';
    for (const auto& [key, points] : recording) {
        out << to_text(key) << '\t';
        std::string before;
        std::size_t count = 0, next = 0;
        const auto put = [&] {
            if (count > 0) out << ' ' << before;
            if (count > 1) out << '*' << count;
        };
        for (const std::int64_t at : times) {
            std::string token = "-";
            if (next < points.size() && points[next].at_ms == at) token = token_of(points[next++].value);
            if (token != before) {
                put();
                before = token;
                count = 0;
            }
            ++count;
        }
        put();
        out << '\n';
    }
}

Recording read_recording(const std::string& path) {
    std::ifstream in(path);
    std::string line, word;
    std::vector<std::int64_t> times;
    Recording recording;
    if (!std::getline(in, line)) throw std::runtime_error(path + " can't be read");
    std::istringstream first(line);
    first >> word;
    for (std::int64_t at; first >> at;) times.push_back(at);
    for (int number = 2; std::getline(in, line); ++number) {
        const std::size_t tab = line.find('\t');
        if (tab == std::string::npos)
            throw std::runtime_error(path + ": line " + std::to_string(number) + " is no series");
        auto& points = recording[key_of(line.substr(0, tab))];
        std::istringstream words(line.substr(tab + 1));
        std::size_t place = 0;
        while (words >> word) {
            const std::size_t star = word.find('*');
            const std::size_t count = star == std::string::npos ? 1 : std::stoul(word.substr(star + 1));
            const std::string token = word.substr(0, star);
            const double value =
                token == "stale" ? std::bit_cast<double>(kStale) : std::strtod(token.c_str(), nullptr);
            for (std::size_t i = 0; i < count; ++i, ++place) {
                if (place >= times.size())
                    throw std::runtime_error(path + ": line " + std::to_string(number) + " is too long");
                if (token != "-") points.push_back({times[place], value});
            }
        }
    }
    return recording;
}

}   // namespace fakes
