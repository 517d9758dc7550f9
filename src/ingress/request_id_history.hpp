// Remembers the ids of requests that may have run and must not run again, although they are no longer open:
// a client may leave, and come again with the same id.
//
// Input: hashes of ids, times in s (net::now()). Output: whether an id is remembered. The memory is
// bounded: an id is forgotten after the retention time, and the oldest ones at the maximum number. Pure:
// does no I/O and reads no clock. Owned and called by RequestDispatcher.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace slatejunction::ingress {

/// The hash of a request id. Equal in all processes, as those of a hot restart exchange them.
std::uint64_t hash_request_id(std::string_view id);

class RequestIdHistory {
  public:
    static constexpr std::size_t kMaxIds = 65536;
    static constexpr double kMinRetentionS = 60.0;

    /// `retention_s`: how long a client may come again with an id; at least kMinRetentionS is used.
    explicit RequestIdHistory(double retention_s, std::size_t max_ids = kMaxIds);
    void add(std::uint64_t id_hash, double now);
    void remove(std::uint64_t id_hash) { added_at_s_.erase(id_hash); }
    bool contains(std::uint64_t id_hash, double now) const;
    std::size_t size() const { return added_at_s_.size(); }
    std::vector<std::uint64_t> all() const;

  private:
    struct Entry {
        std::uint64_t id_hash = 0;
        double added_at_s = 0;
    };
    void forget_oldest();

    const double retention_s_;
    const std::size_t max_ids_;
    std::unordered_map<std::uint64_t, double> added_at_s_;   // by hash
    std::deque<Entry> by_age_;   // the oldest first; entries of removed ids stay until their turn
};

}   // namespace slatejunction::ingress
