#include "membership/datagram_auth.hpp"

#include <sodium.h>

#include <stdexcept>

#include "membership/detection_bounds.hpp"

namespace slatejunction::membership {
namespace {

constexpr unsigned char kVersion = 1;
constexpr std::size_t kHeaderBytes = 28, kTagBytes = 16;
constexpr std::size_t kFromOffset = 4, kToOffset = 12, kSequenceOffset = 20;
constexpr std::size_t kMaxKeys = 2;

void append_u64(std::string& to, std::uint64_t value) {
    for (int i = 0; i < 8; ++i) to.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t read_u64(std::string_view from, std::size_t offset) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[offset + i])) << (8 * i);
    return value;
}

// Returns the first byte of a keyed hash, which reveals nothing about the key.
unsigned char key_id(const AuthKey& key) {
    unsigned char id[crypto_generichash_BYTES_MIN];
    static constexpr unsigned char kText[] = "slatejunction key";
    crypto_generichash(id, sizeof id, kText, sizeof kText - 1, key.data(), key.size());
    return id[0];
}

std::array<unsigned char, kTagBytes> compute_tag(const AuthKey& key, std::string_view bytes) {
    std::array<unsigned char, kTagBytes> tag{};
    crypto_generichash(tag.data(), tag.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                       bytes.size(), key.data(), key.size());
    return tag;
}

// Removes the comment and the surrounding blanks of a line.
std::string_view strip_comment(std::string_view line) {
    line = line.substr(0, line.find('#'));
    while (!line.empty() && (line.back() == ' ' || line.back() == '\r' || line.back() == '\t'))
        line.remove_suffix(1);
    while (!line.empty() && (line.front() == ' ' || line.front() == '\t')) line.remove_prefix(1);
    return line;
}

bool parse_key(std::string_view text, AuthKey& key) {
    if (text.size() != 2 * kKeyBytes) return false;
    std::size_t size = 0;
    const char* stop = nullptr;
    const int result =
        sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &size, &stop);
    return result == 0 && size == kKeyBytes && stop == text.data() + text.size();
}

}   // namespace

std::string parse_keys(std::string_view text, std::vector<AuthKey>& keys) {
    std::vector<AuthKey> parsed;
    std::size_t line_number = 0;
    const auto error_at_line = [&](const char* reason) {
        return "line " + std::to_string(line_number) + reason;
    };
    while (!text.empty()) {
        ++line_number;
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = strip_comment(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty()) continue;
        AuthKey key{};
        if (!parse_key(line, key)) return error_at_line(": a key is 64 hexadecimal digits");
        if (parsed.size() == kMaxKeys) return error_at_line(": at most two keys are allowed");
        parsed.push_back(key);
    }
    if (parsed.empty()) return "line 1: there is no key";
    if (parsed.size() == kMaxKeys && key_id(parsed[0]) == key_id(parsed[1]))
        return error_at_line(": the two keys have the same id; generate another key");
    keys = parsed;
    return {};
}

DatagramAuth::DatagramAuth(const std::vector<AuthKey>& keys, std::uint64_t process) : process_(process) {
    if (sodium_init() < 0) throw std::runtime_error("libsodium could not be initialized");
    set_keys(keys);
}

void DatagramAuth::set_keys(const std::vector<AuthKey>& keys) {
    keys_.clear();
    for (const AuthKey& key : keys) keys_.push_back({key, key_id(key)});
}

std::string DatagramAuth::seal(std::uint64_t to, std::string_view payload) {
    std::string datagram;
    datagram.reserve(kAuthOverheadBytes + payload.size());
    datagram.push_back(static_cast<char>(kVersion));
    datagram.push_back(static_cast<char>(keys_.front().id));
    datagram.append(2, '\0');
    append_u64(datagram, process_);
    append_u64(datagram, to);
    append_u64(datagram, ++last_sequence_);
    datagram.append(payload);
    const auto tag = compute_tag(keys_.front().key, datagram);
    datagram.append(reinterpret_cast<const char*>(tag.data()), tag.size());
    return datagram;
}

OpenResult DatagramAuth::open(std::string_view bytes, std::uint64_t& from, std::string_view& payload) {
    const OpenResult result = verify(bytes, from, payload);
    ++counts_[static_cast<std::size_t>(result)];
    return result;
}

OpenResult DatagramAuth::verify(std::string_view bytes, std::uint64_t& from, std::string_view& payload) {
    if (bytes.size() < kAuthOverheadBytes || bytes.size() > kMaxDatagramBytes) return OpenResult::bad_size;
    if (static_cast<unsigned char>(bytes[0]) != kVersion || bytes[2] != 0 || bytes[3] != 0)
        return OpenResult::bad_version;
    if (!has_valid_tag(bytes)) return OpenResult::bad_key;
    from = read_u64(bytes, kFromOffset);
    payload = bytes.substr(kHeaderBytes, bytes.size() - kAuthOverheadBytes);
    const bool is_own_datagram = from == process_;
    if (is_own_datagram || from == 0) return OpenResult::replayed;
    if (read_u64(bytes, kToOffset) != process_) return OpenResult::not_for_this_process;
    const bool is_new = accept_sequence(from, read_u64(bytes, kSequenceOffset));
    return is_new ? OpenResult::accepted : OpenResult::replayed;
}

bool DatagramAuth::has_valid_tag(std::string_view bytes) const {
    const std::string_view body = bytes.substr(0, bytes.size() - kTagBytes);
    for (const IdentifiedKey& key : keys_) {
        if (key.id != static_cast<unsigned char>(bytes[1])) continue;
        const auto tag = compute_tag(key.key, body);
        if (sodium_memcmp(tag.data(), bytes.data() + body.size(), kTagBytes) == 0) return true;
    }
    return false;
}

DatagramAuth::Sender& DatagramAuth::find_or_create_sender(std::uint64_t from) {
    const auto found = senders_.find(from);
    if (found != senders_.end()) {
        recency_order_.splice(recency_order_.end(), recency_order_, found->second.recency);
        return found->second;
    }
    if (senders_.size() >= kMaxSenders) {
        senders_.erase(recency_order_.front());
        recency_order_.pop_front();
    }
    Sender& sender = senders_[from];
    sender.recency = recency_order_.insert(recency_order_.end(), from);
    return sender;
}

// Returns false if the sequence number was accepted before, or is too old to be known.
bool DatagramAuth::accept_sequence(std::uint64_t from, std::uint64_t sequence) {
    Sender& sender = find_or_create_sender(from);
    if (sequence > sender.highest_sequence) {
        const std::uint64_t ahead = sequence - sender.highest_sequence;
        sender.seen = ahead >= kReplayWindow ? std::bitset<kReplayWindow>() : sender.seen << ahead;
        sender.highest_sequence = sequence;
        sender.seen.set(0);
        return true;
    }
    const std::uint64_t behind = sender.highest_sequence - sequence;
    if (behind >= kReplayWindow || sender.seen.test(behind)) return false;
    sender.seen.set(behind);
    return true;
}

}   // namespace slatejunction::membership
