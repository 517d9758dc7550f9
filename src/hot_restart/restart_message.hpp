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
struct Use {
    std::size_t consumers = 0, calls = 0;   // connections it holds or may come to hold
    std::size_t open = 0;                   // invocations
    std::size_t consumer_bytes = 0, provider_bytes = 0;
    bool operator==(const Use&) const = default;
};

// What operators said at the other process.
struct Order {
    enum class What { suspend, resume, drain, activate };
    What what = What::suspend;
    std::string id;   // of a provider
    bool operator==(const Order&) const = default;
};

const char* word(Order::What what);   // as it stands in messages

struct Message {
    enum class What {
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
    What what = What::hello;
    std::string name, listen;
    std::vector<std::string> listed, suspended;
    discovery::Listing list;   // empty: it was not said, as by an older process
    bool drained = false;
    Use use;
    Order order;
    std::uint64_t number = 0;
    bool yes = false;
    bool operator==(const Message&) const = default;
};

std::string write(const Message& message);   // ends with the line's end
bool read(std::string_view line, Message& message);

}   // namespace slatejunction::hot_restart
