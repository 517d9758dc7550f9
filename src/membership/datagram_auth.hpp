// Authenticates datagrams: whose they are, for whom, and that none is taken twice. Pure: bytes in, bytes
// out. By libsodium's keyed BLAKE2b (crypto_generichash), 16 bytes.
//
//   version 1, key 1, zero 2, from 8, to 8, number 8, payload, tag 16   (bytes; numbers little-endian)
//
// `from` and `to` are processes, drawn at each start. What is sealed for this very process can't be older
// than its start; of each sender the numbers are taken once. Sealed for another process, or for nobody
// (to 0), it may be old: the receiver only ever answers such a one by telling who is here.
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

inline constexpr std::size_t kSealBytes = 28 + 16;
inline constexpr std::size_t kKeyBytes = 32;

using AuthKey = std::array<unsigned char, kKeyBytes>;

// Keys of a file: one a line, 64 hexadecimal digits, the first seals and both open; '#' begins a comment.
// Returns what is wrong, "line N: why", and takes nothing then.
std::string read_keys(std::string_view text, std::vector<AuthKey>& keys);

enum class OpenResult { fresh, unknown_sender, short_or_long, version, key, replayed };
inline constexpr std::array<std::string_view, 6> kOpened{"fresh",   "stranger", "size",
                                                         "version", "key",      "replayed"};

class DatagramAuth {
  public:
    static constexpr std::size_t kSendersMost = 4096;   // whose numbers are remembered

    DatagramAuth(const std::vector<AuthKey>& keys, std::uint64_t process);
    void set_keys(const std::vector<AuthKey>& keys);
    std::string seal(std::uint64_t to, std::string_view payload);
    // `payload` is a part of `bytes`. Counts by result.
    OpenResult open(std::string_view bytes, std::uint64_t& from, std::string_view& payload);
    const std::array<std::uint64_t, 6>& counts() const { return counts_; }

  private:
    static constexpr std::size_t kWindow = 256;   // numbers that may come out of their order
    struct Sender {
        std::uint64_t newest = 0;
        std::bitset<kWindow> seen;
        std::list<std::uint64_t>::iterator place;
    };
    OpenResult look(std::string_view bytes, std::uint64_t& from, std::string_view& payload);
    bool take_number(std::uint64_t from, std::uint64_t number);

    struct Named {
        AuthKey key;
        unsigned char name = 0;   // in each datagram: tells which key without trying all
    };
    std::vector<Named> keys_;
    const std::uint64_t process_;
    std::uint64_t number_ = 0;
    std::unordered_map<std::uint64_t, Sender> senders_;
    std::list<std::uint64_t> order_;   // the one heard longest ago first
    std::array<std::uint64_t, 6> counts_{};
};

}   // namespace slatejunction::membership
