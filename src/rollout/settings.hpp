// The operator's [rollout] section.
//
// A process that names `from` follows: it takes its configuration from those parents. One that names
// `listen` alone is a control machine: a voter of [lease], which keeps the changes and feeds children. One
// that names both is a relay.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "lease/lease_bounds.hpp"
#include "membership/datagram_auth.hpp"
#include "rollout/follower.hpp"
#include "rollout/leader.hpp"
#include "rollout/propagation_bounds.hpp"
#include "rollout/publisher.hpp"

namespace slatejunction::rollout {

struct Options {
    std::string listen;     // ADDRESS:PORT, UDP, where children reach this process
    std::string from;       // NAME=ADDRESS:PORT [REGION], one a line
    std::string region;     // where this process stands
    std::string key_file;   // empty: that of [peers]
    std::int64_t canaries = 5;
    double canary_s = 1;
    double bytes_per_s = 40'000'000;   // of records and snapshots to all children
    bool operator==(const Options&) const = default;

    bool on() const { return follows() || publishes(); }
    bool follows() const { return !from.empty(); }
    bool publishes() const { return !listen.empty(); }
    bool is_control_machine() const { return publishes() && !follows(); }
    ini::Section section();
};

// A parent as the section names it.
struct ParentAddress {
    Parent parent;
    std::string address;   // ADDRESS:PORT
};

// Parents in the section's order. Without a fault: the section has been checked.
std::vector<ParentAddress> parents_of(const Options& options);
FollowerSettings follower_settings(const Options& options, const std::string& name);
PublisherSettings publisher_settings(const Options& options);
LeaderSettings leader_settings(const Options& options, const std::vector<std::string>& replicas);
// The times of the bound under these options.
BoundTimes bound_times(const Options& options);
// The keys of key_file, or of `otherwise` where it is empty; "key_file: why" when there are none to be had.
std::string load_keys(const Options& options, const std::string& otherwise,
                      std::vector<membership::AuthKey>& keys);

// Changes a second that the control machines can carry among themselves: `interval_s` of [peers], which
// bounds their datagrams; each change is an append and a commit for each of the other replicas.
double changes_per_s(std::size_t replicas, double interval_s);

// What is promised, for check-config. `replicas`: control machines; 0: not known here.
std::vector<std::string> stated_bounds(const Options& options, const lease::LeaseTimes& times,
                                       std::size_t replicas, double interval_s);

}   // namespace slatejunction::rollout
