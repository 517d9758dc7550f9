#include "membership/datagram_auth.hpp"

#include <sodium.h>

#include <stdexcept>

#include "membership/detection_bounds.hpp"

namespace slatejunction::membership {
namespace {

constexpr unsigned char kVersion = 1;
constexpr std::size_t kHead = 28, kTag = 16;

void put(std::string& to, std::uint64_t value) {
    for (int i = 0; i < 8; ++i) to.push_back(static_cast<char>(value >> (8 * i)));
}
std::uint64_t get(std::string_view from, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[at + i])) << (8 * i);
    return value;
}
// Tells which key without trying all; nothing can be learnt of the key from it.
unsigned char name_of(const AuthKey& key) {
    unsigned char name[crypto_generichash_BYTES_MIN];
    static constexpr unsigned char kWhat[] = "slatejunction key";
    crypto_generichash(name, sizeof name, kWhat, sizeof kWhat - 1, key.data(), key.size());
    return name[0];
}
std::array<unsigned char, kTag> tag_of(const AuthKey& key, std::string_view bytes) {
    std::array<unsigned char, kTag> tag{};
    crypto_generichash(tag.data(), tag.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                       bytes.size(), key.data(), key.size());
    return tag;
}

}   // namespace

std::string read_keys(std::string_view text, std::vector<AuthKey>& keys) {
    std::vector<AuthKey> found;
    std::size_t line = 0;
    while (!text.empty()) {
        ++line;
        const std::size_t end = std::min(text.find('\n'), text.size());
        std::string_view one = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        one = one.substr(0, one.find('#'));
        while (!one.empty() && (one.back() == ' ' || one.back() == '\r' || one.back() == '\t'))
            one.remove_suffix(1);
        while (!one.empty() && (one.front() == ' ' || one.front() == '\t')) one.remove_prefix(1);
        if (one.empty()) continue;
        AuthKey key{};
        std::size_t size = 0;
        const char* stop = nullptr;
        if (one.size() != 2 * kKeyBytes ||
            sodium_hex2bin(key.data(), key.size(), one.data(), one.size(), nullptr, &size, &stop) != 0 ||
            size != kKeyBytes || stop != one.data() + one.size())
            return "line " + std::to_string(line) + ": a key is 64 hexadecimal digits";
        if (found.size() == 2) return "line " + std::to_string(line) + ": two keys at most";
        found.push_back(key);
    }
    if (found.empty()) return "line 1: there is no key";
    if (found.size() == 2 && name_of(found[0]) == name_of(found[1]))
        return "line " + std::to_string(line) + ": draw another key, these two can't be told apart";
    keys = found;
    return {};
}

DatagramAuth::DatagramAuth(const std::vector<AuthKey>& keys, std::uint64_t process) : process_(process) {
    if (sodium_init() < 0) throw std::runtime_error("libsodium can't be used");
    set_keys(keys);
}

void DatagramAuth::set_keys(const std::vector<AuthKey>& keys) {
    keys_.clear();
    for (const AuthKey& key : keys) keys_.push_back({key, name_of(key)});
}

std::string DatagramAuth::seal(std::uint64_t to, std::string_view payload) {
    std::string made;
    made.reserve(kSealBytes + payload.size());
    made.push_back(static_cast<char>(kVersion));
    made.push_back(static_cast<char>(keys_.front().name));
    made.append(2, '\0');
    put(made, process_);
    put(made, to);
    put(made, ++number_);
    made.append(payload);
    const auto tag = tag_of(keys_.front().key, made);
    made.append(reinterpret_cast<const char*>(tag.data()), tag.size());
    return made;
}

OpenResult DatagramAuth::open(std::string_view bytes, std::uint64_t& from, std::string_view& payload) {
    const OpenResult result = look(bytes, from, payload);
    ++counts_[static_cast<std::size_t>(result)];
    return result;
}

OpenResult DatagramAuth::look(std::string_view bytes, std::uint64_t& from, std::string_view& payload) {
    if (bytes.size() < kSealBytes || bytes.size() > kDatagramMost) return OpenResult::short_or_long;
    if (static_cast<unsigned char>(bytes[0]) != kVersion || bytes[2] != 0 || bytes[3] != 0)
        return OpenResult::version;
    const std::string_view body = bytes.substr(0, bytes.size() - kTag);
    bool good = false;
    for (const Named& one : keys_) {
        if (one.name != static_cast<unsigned char>(bytes[1])) continue;
        const auto tag = tag_of(one.key, body);
        good = sodium_memcmp(tag.data(), bytes.data() + body.size(), kTag) == 0;
        if (good) break;
    }
    if (!good) return OpenResult::key;
    from = get(bytes, 4);
    payload = body.substr(kHead);
    if (from == process_ || from == 0) return OpenResult::replayed;   // its own, come back
    if (get(bytes, 12) != process_) return OpenResult::unknown_sender;
    return take_number(from, get(bytes, 20)) ? OpenResult::fresh : OpenResult::replayed;
}

bool DatagramAuth::take_number(std::uint64_t from, std::uint64_t number) {
    auto at = senders_.find(from);
    if (at == senders_.end()) {
        if (senders_.size() >= kSendersMost) {
            senders_.erase(order_.front());
            order_.pop_front();
        }
        at = senders_.emplace(from, Sender{}).first;
        at->second.place = order_.insert(order_.end(), from);
    } else {
        order_.splice(order_.end(), order_, at->second.place);
    }
    Sender& sender = at->second;
    if (number > sender.newest) {
        const std::uint64_t by = number - sender.newest;
        sender.seen = by >= kWindow ? std::bitset<kWindow>() : sender.seen << by;
        sender.newest = number;
        sender.seen.set(0);
        return true;
    }
    const std::uint64_t behind = sender.newest - number;
    if (behind >= kWindow || sender.seen.test(behind)) return false;
    sender.seen.set(behind);
    return true;
}

}   // namespace slatejunction::membership
