// What the program is told at its start: the environment and the JSON file that it names.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "directory/listing.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::config {

// Bad configuration: one line that names the field.
struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name, listen, directory;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;   // descriptors the process may hold
    // Settings that the module does not need, as they are about connections.
    std::size_t max_open = 0;   // invocations; 0: no such limit
    double dial_timeout_s = 0.25;
    double keepalive_s = 30;
    slatejunction::Settings settings;
    directory::Listing known;
};

// `path` empty: NODE_CONFIG names the file. NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before the file.
Config load(const std::string& path, const directory::UnixClock& clock);
Config read(const std::string& json, const directory::UnixClock& clock);

}   // namespace slatejunction::config
