// The program's configuration: the environment and the JSON file that it names.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "discovery/endpoint_list.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::config {

// Figures beyond it, of either sign, are taken as it: no limit, rate or time is meant to be larger, and
// every figure that is computed from them stays inside its type.
inline constexpr double kFigureMost = 1e15;

// Bad configuration: one line that names the field.
struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name, listen, discovery_address;
    std::string admin;       // the operators' address; empty: there is none
    std::string temporary;   // $TMPDIR; empty: there is none
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;          // descriptors the process may hold
    std::size_t stated_sockets = 1024;   // as the file states them
    double memory_mb = 192;
    // Settings that the module does not need, as they are about connections.
    std::size_t max_open_requests = 0;   // 0: no such limit
    double dial_timeout_s = 0.25;
    double keepalive_s = 30;
    slatejunction::Settings settings;
    discovery::EndpointList known;
    // What was taken otherwise than it stands in the file, one line each that names the field.
    std::vector<std::string> warnings;
};

// At the start NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before the file. A reload is there to move the
// directory, so it takes that from the file: the environment still says what held at the start.
enum class LoadTime { start, reload };

// `path` empty: NODE_CONFIG names the file.
Config load(const std::string& path, const discovery::UnixTimeConverter& clock,
            LoadTime moment = LoadTime::start);
// Lowers or raises the process's limit on descriptors to what the configuration states, and the
// configuration's figure to what the process may really hold.
void hold_descriptors(Config& config);
Config read(const std::string& json, const discovery::UnixTimeConverter& clock);

}   // namespace slatejunction::config
