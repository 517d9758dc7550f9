#include "remotewrite/settings.hpp"

#include <glib.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "net/stream.hpp"

namespace slatejunction::remotewrite {
namespace {

// Checks a label name against the data model of Prometheus; names that begin with two underscores are
// reserved. Returns an error text; empty: none.
std::string check_label(const std::string& name) {
    const auto letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; };
    if (name.empty() || !letter(name[0]) ||
        !std::all_of(name.begin(), name.end(), [&](char c) { return letter(c) || (c >= '0' && c <= '9'); }))
        return "'" + name + "' is not a valid label name";
    if (name.starts_with("__")) return "'" + name + "' is reserved for the receiver";
    return "";
}

bool read_first_line(const std::string& path, std::string& line) {
    std::ifstream in(path);
    return static_cast<bool>(std::getline(in, line)) && !line.empty() &&
           std::all_of(line.begin(), line.end(), [](unsigned char c) { return c >= 0x20 && c < 0x7f; });
}

}   // namespace

std::string read_url(const std::string& text, Url& url) {
    if (text.starts_with("https:")) return "https is not supported; use http to a proxy on this machine";
    if (!text.starts_with("http://")) return "'" + text + "' is not http://HOST:PORT/PATH";
    const std::string rest = text.substr(7);
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    url.host_port = rest.substr(0, slash);
    url.path = slash == rest.size() ? "/" : rest.substr(slash);
    if (!std::all_of(url.path.begin(), url.path.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f; }))
        return "the path of '" + text + "' has a blank or a byte outside of printable ASCII";
    if (!net::parse_address(url.host_port))
        return "'" + url.host_port +
               "' is not ADDRESS:PORT with an IPv4 or [IPv6] address (host names are not supported)";
    return "";
}

ini::Section Settings::section() {
    ini::Section section("remote_write", "Measures are pushed by Prometheus remote write when url is set.");
    const auto check_url = [](const std::string& text) {
        Url ignored;
        return text.empty() ? std::string() : read_url(text, ignored);
    };
    section.text("url", url, "the receiver: http://ADDRESS:PORT/PATH; empty: off", check_url);
    section.choice("protocol", protocol, {"1.0", "2.0"},
                   "2.0 falls back to 1.0 when the receiver answers 415");
    section.real("interval_s", interval_s, 0.05, 3600, "s", "a sample of every series so often");
    section.real("timeout_s", timeout_s, 0.05, 300, "s", "for one batch, from dial to answer");
    section.integer("batch_samples", batch_samples, 1, 4000, "samples", "the most in one batch");
    section.integer("backlog_mb", backlog_mb, 1, 1024, "MiB",
                    "the most that waits for the receiver; beyond it the oldest is thinned");
    section.text("backlog_directory", backlog_directory,
                 "the backlog is kept there too, for a restart; empty: in memory only");
    section.integer("catch_up_samples_per_s", catch_up_samples_per_s, 100, 10000000, "samples/s",
                    "the pace while a backlog is worked off");
    section.pairs("labels", labels,
                  "added to every series; job=slatejunction and instance=NAME where they are not given",
                  check_label);
    section.text("basic_file", basic_file, "a file that holds USER:PASSWORD in its first line");
    section.text("bearer_file", bearer_file, "a file that holds a token in its first line");
    section.whole([this]() -> std::string {
        std::string error;
        if (!basic_file.empty() && !bearer_file.empty())
            return "bearer_file: can't be used together with basic_file";
        authorization(*this, error);
        if (!error.empty()) return (basic_file.empty() ? "bearer_file: " : "basic_file: ") + error;
        return "";
    });
    return section;
}

std::string authorization(const Settings& settings, std::string& error) {
    const std::string& path = settings.basic_file.empty() ? settings.bearer_file : settings.basic_file;
    std::string line;
    if (path.empty()) return "";
    if (!read_first_line(path, line)) {
        error = "'" + path + "' has no readable first line";
        return "";
    }
    if (settings.basic_file.empty()) return "Bearer " + line;
    if (line.find(':') == std::string::npos) {
        error = "'" + path + "' does not hold USER:PASSWORD";
        return "";
    }
    const std::unique_ptr<char, decltype(&g_free)> encoded(
        g_base64_encode(reinterpret_cast<const guchar*>(line.data()), line.size()), &g_free);
    return std::string("Basic ") + encoded.get();
}

}   // namespace slatejunction::remotewrite
