// What an old and a new process of one ingress say to each other: one JSON object a line, each with the
// version. What can't be read, or is of another version, is no message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/endpoint_list.hpp"

namespace slatejunction::hot_restart {

inline constexpr int kVersion = 1;
inline constexpr std::size_t kLineMost = 1 << 20;   // bytes

// What one process holds, so that the other stays inside their common limits.
struct ResourceUse {
    std::size_t client_connections = 0,
                backend_connections = 0;   // connections it holds or may come to hold
    std::size_t open_requests = 0;         // invocations
    std::size_t client_bytes = 0, backend_bytes = 0;
    bool operator==(const ResourceUse&) const = default;
};

// What operators said at the other process.
struct OperatorOrder {
    enum class Kind { suspend, resume, drain, activate };
    Kind kind = Kind::suspend;
    std::string id;   // of a provider
    bool operator==(const OperatorOrder&) const = default;
};

const char* word(OperatorOrder::Kind what);   // as it stands in messages

struct RestartMessage {
    enum class Kind {
        hello,    // new to old, first of all: name and listen
        busy,     // old to new: not now
        socket,   // old to new: the listening socket comes with this line
        state,    // old to new, next: what operators said and the list in force; `listed` may be cut short,
                  // and `list` left out, where the line would grow too long
        taken,    // new to old: I accept
        back,     // new to old: I end, accept again
        use,      // either
        order,    // either; `number` comes back in done
        done,
        part   // old to new, after taken: `name` holds what the part at place `number` hands over
    };
    Kind kind = Kind::hello;
    std::string name, listen;
    std::vector<std::string> listed, suspended;
    discovery::EndpointList endpoint_list;   // empty: it was not said, as by an older process
    bool drained = false;
    ResourceUse resource_use;
    OperatorOrder order;
    std::uint64_t number = 0;
    bool yes = false;
    bool operator==(const RestartMessage&) const = default;
};

std::string write(const RestartMessage& message);   // ends with the line's end
bool read(std::string_view line, RestartMessage& message);

}   // namespace slatejunction::hot_restart
