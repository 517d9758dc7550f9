// The operator's [remote_write] section. Times in s.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "ini/ini.hpp"

namespace slatejunction::remotewrite {

enum class Protocol { v1, v2 };   // Prometheus remote-write 1.0 and 2.0

struct Settings {
    std::string url;    // empty: off
    int protocol = 1;   // Protocol
    double interval_s = 15, timeout_s = 5;
    std::int64_t batch_samples = 2000, backlog_mb = 8, catch_up_samples_per_s = 20000;
    std::string backlog_directory;
    std::vector<std::pair<std::string, std::string>> labels;
    std::string basic_file, bearer_file;
    bool operator==(const Settings&) const = default;

    Protocol protocol_version() const { return static_cast<Protocol>(protocol); }
    ini::Section section();
};

/// The address of a receiver: http://HOST:PORT/PATH, HOST an IPv4 or [IPv6] address (names are not
/// resolved).
struct Url {
    std::string host_port, path;
};
/// Parses a URL. Returns an error text; empty: none.
std::string read_url(const std::string& text, Url& url);

/// Returns the value of the Authorization field from the files that the settings name; empty if they name
/// none. Sets `error` if a file can't be used.
std::string authorization(const Settings& settings, std::string& error);

}   // namespace slatejunction::remotewrite
