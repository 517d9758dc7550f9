// The messages between an old and a new process of one ingress: one JSON object per line, each with the
// protocol version.
//
// Pure: no I/O. Called by RestartChannel. The names on the wire differ from those here and stay, as
// processes of other releases read them; restart_message.cpp maps them. A line that is malformed or has
// another version is rejected.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/endpoint_list.hpp"

namespace slatejunction::hot_restart {

inline constexpr int kProtocolVersion = 1;
inline constexpr std::size_t kMaxLineBytes = 1 << 20;

/// What one process uses, so that the other one stays within their common limits.
struct ResourceUse {
    std::size_t client_connections = 0, backend_connections = 0;   // open, or reserved for the process
    std::size_t open_requests = 0;
    std::size_t client_bytes = 0, backend_bytes = 0;
    bool operator==(const ResourceUse&) const = default;
};

/// An admin call that applies to both processes.
struct OperatorCommand {
    enum class Kind { suspend, resume, drain, activate };
    Kind kind = Kind::suspend;
    std::string id;   // of the backend; empty for drain and activate
    bool operator==(const OperatorCommand&) const = default;
};

/// The command's name in messages and log lines.
const char* command_name(OperatorCommand::Kind kind);

struct RestartMessage {
    enum class Kind {
        hello,    // new to old, the first message: `name` and `listen`
        busy,     // old to new: another process is taking over
        socket,   // old to new: the listening socket is attached to this line
        // Old to new, next: the operators' overrides and the list in force. `listed` may be truncated, and
        // `endpoint_list` left out, if the line would be too long.
        state,
        accepting,         // new to old: the new process accepts
        stopping,          // new to old: the new process stops, the old one accepts again
        resource_use,      // either way
        command,           // either way; command_result has the same `number`
        command_result,    // `number`, `confirmed`
        extension_state,   // old to new, after `accepting`: state of the extension with index `number`
        // Either way, only to a process that has set `shares_request_ids`: requests that must not run
        // again, or that may after all, as they have `never_ran`.
        request_ids
    };
    Kind kind = Kind::hello;
    std::string name, listen;
    std::vector<std::string> listed, suspended;   // ids of backends: ever listed, suspended by operators
    discovery::EndpointList endpoint_list;        // empty: left out, or sent by an older release
    bool drained = false;
    bool shares_request_ids = false;   // hello, state: this process knows the message request_ids
    ResourceUse resource_use;
    OperatorCommand command;
    std::uint64_t number = 0;
    bool confirmed = false;
    std::string extension_state;              // any bytes
    std::vector<std::uint64_t> request_ids;   // hashes
    bool never_ran = false;
    bool operator==(const RestartMessage&) const = default;
};

/// Returns the message as one line, with its newline.
std::string serialize(const RestartMessage& message);
/// Parses a line, without its newline. Returns false if it is malformed or of another version.
bool parse(std::string_view line, RestartMessage& message);

}   // namespace slatejunction::hot_restart
