// Snapshot transfer: sends the state at one version in parts that fit into messages.
//
// The receiver requests a window of missing parts and repeats the request after a timeout. It accepts the
// complete state only if that has the announced checksum. Neither side does I/O or reads a clock: callers
// pass `now` in s. Used by Leader, Replica, Publisher and Follower.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "rollout/message.hpp"

namespace slatejunction::rollout {

/// XXH64 hash of the version, its term, the number of keys, and every key and value with its length, in the
/// order of the keys.
std::uint64_t snapshot_checksum(const Version& version, std::uint64_t term, const State& state);

/// The sending side of a transfer.
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

/// The receiving side, for one snapshot at a time.
class SnapshotReceiver {
  public:
    static constexpr std::uint32_t kWindowParts = 8;   // parts requested at once
    static constexpr std::uint32_t kMaxParts = 1u << 16;
    static constexpr double kRetryIntervalS = 0.5;   // until an unfinished request is repeated

    struct Received {
        Version version;
        std::uint64_t term = 0;
        State state;
    };

    /// Adds a part. A part of another version restarts the transfer with that version if it is higher, or
    /// if the current transfer is stale, that is, has received no part for 4 * kRetryIntervalS.
    void receive(double now, const SnapshotPart& part);
    bool active() const { return active_; }
    double next_deadline() const { return active_ ? next_request_at_ : kNever; }
    /// The request to send now, if one is due.
    std::optional<SnapshotPartRequest> next_request(double now);
    /// Returns the complete state once its checksum is verified; nullopt before that and at further calls.
    std::optional<Received> take_snapshot() { return std::exchange(received_, std::nullopt); }
    void reset();
    /// The number of complete transfers whose state did not have the announced checksum.
    std::uint64_t checksum_failures() const { return checksum_failures_; }

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
