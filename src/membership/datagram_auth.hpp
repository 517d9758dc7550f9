// Authenticates datagrams: their sender, their receiver, and that none is accepted twice. Payloads are not
// encrypted. The format, with sizes in bytes and little-endian numbers:
//
//   version 1, key id 1, zero 2, from 8, to 8, sequence 8, payload, tag 16
//
// A datagram is accepted if its tag was made with a known key, it is addressed to this very process, and
// its sequence number was not accepted from that sender before. The tag is the keyed BLAKE2b hash of
// libsodium (crypto_generichash).
//
// Invariant: `from` and `to` are process ids, which are drawn at each start, so an accepted datagram is
// never older than this process. A datagram for another process, or for any process (`to` is 0), may be a
// replay; the receiver may only answer it with its identity.
//
// The code does no I/O. GossipTransport and rollout::Transport each own an instance; counts() of the former
// is a metric and part of the admin page.
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

/// Parses the content of a key file: one or two keys, each 64 hexadecimal digits on a line of its own; '#'
/// begins a comment. The first key signs, all keys verify. Returns an empty text, or the error as
/// "line N: reason" and then leaves `keys` unchanged.
std::string parse_keys(std::string_view text, std::vector<AuthKey>& keys);

enum class OpenResult { accepted, not_for_this_process, bad_size, bad_version, bad_key, replayed };
/// By OpenResult: metric labels, and keys on the admin page.
inline constexpr std::array<std::string_view, 6> kOpenResultNames{"fresh",   "stranger", "size",
                                                                  "version", "key",      "replayed"};

class DatagramAuth {
  public:
    static constexpr std::size_t kMaxSenders = 4096;   ///< whose sequence numbers are remembered

    /// Throws std::runtime_error if libsodium cannot be initialized.
    DatagramAuth(const std::vector<AuthKey>& keys, std::uint64_t process);
    void set_keys(const std::vector<AuthKey>& keys);
    /// Returns the datagram with `payload` for the process `to`, or for any process if `to` is 0.
    std::string seal(std::uint64_t to, std::string_view payload);
    /// Verifies a datagram, and counts the result. `from` and `payload` are set if the tag is valid;
    /// `payload` points into `bytes`.
    OpenResult open(std::string_view bytes, std::uint64_t& from, std::string_view& payload);
    const std::array<std::uint64_t, 6>& counts() const { return counts_; }   ///< by OpenResult

  private:
    static constexpr std::size_t kReplayWindow = 256;   // sequence numbers that may arrive out of order
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
        unsigned char id = 0;   // selects the key; sent in each datagram
    };
    std::vector<IdentifiedKey> keys_;
    const std::uint64_t process_;
    std::uint64_t last_sequence_ = 0;
    std::unordered_map<std::uint64_t, Sender> senders_;
    std::list<std::uint64_t> recency_order_;   // senders, the least recently heard one first
    std::array<std::uint64_t, 6> counts_{};
};

}   // namespace slatejunction::membership
