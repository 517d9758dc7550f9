// The operator's [rollout] section and the settings of the cores derived from it.
//
// A process with `from` is a follower: it pulls its configuration from those parents. A process with
// `listen` alone is a control machine: an acceptor of [lease] that stores the log and publishes to
// children. A process with both is a relay.
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

/// The section as read; its keys are those of the INI file.
struct Options {
    std::string listen;     // ADDRESS:PORT, UDP, where children reach this process
    std::string from;       // parents: NAME=ADDRESS:PORT [REGION], one per line
    std::string region;     // of this process
    std::string key_file;   // empty: the key file of [peers]
    std::int64_t canaries = 5;
    double canary_s = 1;
    double bytes_per_s = 40'000'000;   // of records and snapshots, to all children together
    bool operator==(const Options&) const = default;

    bool on() const { return follows() || publishes(); }
    bool follows() const { return !from.empty(); }
    bool publishes() const { return !listen.empty(); }
    bool is_control_machine() const { return publishes() && !follows(); }
    ini::Section section();
};

/// A parent and its address, as listed in the section.
struct ParentAddress {
    Parent parent;
    std::string address;   // ADDRESS:PORT
};

/// The parents in the order of the section, which must be valid.
std::vector<ParentAddress> parents_of(const Options& options);
FollowerSettings follower_settings(const Options& options, const std::string& name);
PublisherSettings publisher_settings(const Options& options);
LeaderSettings leader_settings(const Options& options, const std::vector<std::string>& replicas);
/// The times that determine the propagation bounds under these options.
BoundTimes bound_times(const Options& options);
/// Reads the keys of key_file, or of `default_key_file` if that is empty. Returns an empty text, or
/// "key_file: ERROR".
std::string load_keys(const Options& options, const std::string& default_key_file,
                      std::vector<membership::AuthKey>& keys);

/// The changes per second that the control machines can replicate. `interval_s` of [peers] bounds the rate
/// of their datagrams, and each change takes an append and a commit to each of the other replicas.
double changes_per_s(std::size_t replicas, double interval_s);

/// The bounds as check-config prints them, one line each. `replicas`: the number of control machines, or 0
/// if it is not known to this process.
std::vector<std::string> stated_bounds(const Options& options, const lease::LeaseTimes& times,
                                       std::size_t replicas, double interval_s);

}   // namespace slatejunction::rollout
