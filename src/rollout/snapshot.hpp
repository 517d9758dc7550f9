// Snapshot transfer: the state at one version in parts that fit into messages.
//
// Rule: the receiver requests a window of missing parts and repeats the request after a timeout; the
// complete state is accepted only if it has the announced checksum. Input: parts, `now` in s; output:
// requests and the received state. Both sides are without I/O or clock. Used by Leader, Replica, Publisher
// and Follower.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "rollout/message.hpp"

namespace slatejunction::rollout {

/// XXH64 over the version, its term and every key and value with its length, in the order of the keys.
std::uint64_t snapshot_checksum(const Version& version, std::uint64_t term, const State& state);

/// The sending side.
class Snapshot {
  public:
    Snapshot(const Version& version, std::uint64_t term, const State& state);
    const Version& version() const { return version_; }
    std::uint32_t parts() const { return static_cast<std::uint32_t>(parts_.size()); }
    SnapshotPart part(std::uint32_t index, const Staging& staging) const;   // requires index < parts()

  private:
    Version version_;
    std::uint64_t term_ = 0, checksum_ = 0;
    std::vector<std::vector<std::pair<std::string, std::string>>> parts_;
};

/// The receiving side, of one snapshot at a time.
class SnapshotReceiver {
  public:
    static constexpr std::uint32_t kWindowParts = 8;   // requested at once
    static constexpr std::uint32_t kMaxParts = 1u << 16;
    static constexpr double kRetryIntervalS = 0.5;   // without a part, until the request is repeated

    struct Received {
        Version version;
        std::uint64_t term = 0;
        State state;
    };

    /// Adds a part. One of another version restarts the transfer if it is higher, or if the current
    /// transfer is stale (no part for 4 kRetryIntervalS).
    void receive(double now, const SnapshotPart& part);
    bool active() const { return active_; }
    double next_deadline() const { return active_ ? next_request_at_ : kNever; }
    /// The request to send now, if one is due.
    std::optional<SnapshotPartRequest> next_request(double now);
    /// The complete state, once; its checksum is right.
    std::optional<Received> take_snapshot() { return std::exchange(received_, std::nullopt); }
    void reset();
    std::uint64_t checksum_failures() const { return checksum_failures_; }   // complete, but wrong

  private:
    void finish();

    bool active_ = false;
    Version version_;
    std::uint64_t term_ = 0, checksum_ = 0;
    std::vector<std::optional<std::vector<std::pair<std::string, std::string>>>> parts_;
    std::uint32_t missing_ = 0, first_missing_ = 0, requested_until_ = 0;
    double next_request_at_ = kNever, last_part_at_ = 0;
    std::optional<Received> received_;
    std::uint64_t checksum_failures_ = 0;
};

}   // namespace slatejunction::rollout
