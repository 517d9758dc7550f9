// Authenticates datagrams: who sent them, for whom, and that none is accepted twice.
//
//   version 1, key id 1, zero 2, from 8, to 8, sequence 8, payload, tag 16   (bytes; numbers little-endian)
//
// Rule: a datagram is fresh if a known key made its tag, it is addressed to this very process, and its
// sequence was not accepted from that sender before. The tag is libsodium's keyed BLAKE2b
// (crypto_generichash).
// Inputs: bytes, keys.
// Output: an OpenResult, the sender's process and the payload.
// Invariant: `from` and `to` are processes, drawn at each start, so nothing fresh is older than this
// process. Addressed to another process, or to nobody (to 0), a datagram may be a replay: the receiver
// only answers who is here.
// Seen in: counts() as a measure.
// Never does: I/O, encryption. GossipTransport owns it.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace slatejunction::membership {

inline constexpr std::size_t kAuthOverheadBytes = 28 + 16;
inline constexpr std::size_t kKeyBytes = 32;

using AuthKey = std::array<unsigned char, kKeyBytes>;

/// Parses a key file: one key a line, 64 hexadecimal digits; '#' begins a comment. The first key signs,
/// both verify. Returns what is wrong, "line N: why", and leaves `keys` as they were then.
std::string parse_keys(std::string_view text, std::vector<AuthKey>& keys);

enum class OpenResult { fresh, not_for_this_process, bad_size, bad_version, bad_key, replayed };
/// The measure's label.
inline constexpr std::array<std::string_view, 6> kOpenResultNames{"fresh",   "stranger", "size",
                                                                  "version", "key",      "replayed"};

class DatagramAuth {
  public:
    static constexpr std::size_t kMaxSenders = 4096;   ///< whose sequences are remembered

    /// Throws std::runtime_error when libsodium can't be used.
    DatagramAuth(const std::vector<AuthKey>& keys, std::uint64_t process);
    void set_keys(const std::vector<AuthKey>& keys);
    /// The datagram for process `to`; 0: for whichever is there.
    std::string seal(std::uint64_t to, std::string_view payload);
    /// `payload` points into `bytes`. Counts by result.
    OpenResult open(std::string_view bytes, std::uint64_t& from, std::string_view& payload);
    const std::array<std::uint64_t, 6>& counts() const { return counts_; }   ///< by OpenResult

  private:
    static constexpr std::size_t kReplayWindow = 256;   // sequences that may arrive out of order
    struct Sender {
        std::uint64_t highest_sequence = 0;
        std::bitset<kReplayWindow> seen;   // bit i: highest_sequence - i was accepted
        std::list<std::uint64_t>::iterator recency;
    };
    OpenResult verify(std::string_view bytes, std::uint64_t& from, std::string_view& payload);
    bool has_valid_tag(std::string_view bytes) const;
    bool accept_sequence(std::uint64_t from, std::uint64_t sequence);
    Sender& find_or_create_sender(std::uint64_t from);

    struct IdentifiedKey {
        AuthKey key;
        unsigned char id = 0;   // in each datagram: selects the key
    };
    std::vector<IdentifiedKey> keys_;
    const std::uint64_t process_;
    std::uint64_t last_sequence_ = 0;
    std::unordered_map<std::uint64_t, Sender> senders_;
    std::list<std::uint64_t> least_recently_heard_;   // first: heard longest ago
    std::array<std::uint64_t, 6> counts_{};
};

}   // namespace slatejunction::membership
