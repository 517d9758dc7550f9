// The state at one version in parts that fit into messages: cut on one side, asked for part by part and put
// together on the other. A part that is lost is asked for again, and a whole that does not have the check
// it was announced with is thrown away. Both are without I/O or clock.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "rollout/message.hpp"

namespace slatejunction::rollout {

// XXH64 over the version, its term and every key and value with its length, in the order of the keys.
std::uint64_t snapshot_checksum(const Version& version, std::uint64_t term, const State& state);

// The giving side.
class Snapshot {
  public:
    Snapshot(const Version& version, std::uint64_t term, const State& state);
    const Version& version() const { return version_; }
    std::uint32_t parts() const { return static_cast<std::uint32_t>(parts_.size()); }
    SnapshotPart part(std::uint32_t index, const Staging& staging) const;   // wants index < parts()

  private:
    Version version_;
    std::uint64_t term_ = 0, checksum_ = 0;
    std::vector<std::vector<std::pair<std::string, std::string>>> parts_;
};

// The taking side: of one snapshot at a time.
class SnapshotReceiver {
  public:
    static constexpr std::uint32_t kWindowParts = 8;   // parts asked for at once
    static constexpr std::uint32_t kMaxParts = 1u << 16;
    static constexpr double kRetryIntervalS = 0.5;   // s without a part, until they are asked for again

    struct Received {
        Version version;
        std::uint64_t term = 0;
        State state;
    };

    // Takes the part. One of another version begins anew if it is a higher one, or nothing came for a
    // while.
    void receive(double now, const SnapshotPart& part);
    bool active() const { return active_; }
    double next_deadline() const { return active_ ? next_request_at_ : 1e18; }   // when ask() is wanted
    // What to ask for now, if it is time.
    std::optional<SnapshotPartRequest> next_request(double now);
    // The whole, once; it is checked.
    std::optional<Received> take_snapshot() { return std::exchange(received_, std::nullopt); }
    void reset();
    std::uint64_t checksum_failures() const {
        return checksum_failures_;
    }   // wholes that did not have their check

  private:
    void finish();

    bool active_ = false;
    Version version_;
    std::uint64_t term_ = 0, checksum_ = 0;
    std::vector<std::optional<std::vector<std::pair<std::string, std::string>>>> parts_;
    std::uint32_t missing_ = 0, first_missing_ = 0, requested_until_ = 0;
    double next_request_at_ = 1e18, last_part_at_ = 0;
    std::optional<Received> received_;
    std::uint64_t checksum_failures_ = 0;
};

}   // namespace slatejunction::rollout
