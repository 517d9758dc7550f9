#include "rollout/record.hpp"

#include "storage/state_directory.hpp"

namespace slatejunction::rollout {
namespace {

void append_number(std::string& out, std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) out.push_back(static_cast<char>(value >> shift));
}
void append_text(std::string& out, std::string_view text) {
    append_number(out, text.size());
    out.append(text);
}

}   // namespace

// Hashes a fixed encoding of the record that is independent of the message format and must never change.
Version next_version(const Version& previous, const Record& record) {
    std::string bytes;
    bytes.reserve(6 * sizeof(std::uint64_t) + record.key.size() + record.value.size());
    append_number(bytes, record.number);
    append_number(bytes, record.term);
    append_number(bytes, static_cast<std::uint64_t>(record.kind));
    append_number(bytes, record.reverts);
    append_text(bytes, record.key);
    append_text(bytes, record.value);
    return {record.number, storage::checksum(bytes.data(), bytes.size(), previous.chain)};
}

bool valid(const Record& record) {
    if (record.number == 0 || record.reverts >= record.number) return false;
    if (record.key.size() > kMaxKeyBytes || record.value.size() > kMaxValueBytes) return false;
    switch (record.kind) {
        case RecordKind::put:
            return !record.key.empty();
        case RecordKind::erase:
            return !record.key.empty() && record.value.empty();
        case RecordKind::no_op:
            return record.key.empty() && record.value.empty() && record.reverts == 0;
    }
    return false;
}

void apply(State& state, const Record& record) {
    if (record.kind == RecordKind::put) state[record.key] = record.value;
    if (record.kind == RecordKind::erase) state.erase(record.key);
}

void apply_with_undo(State& state, Changes& changes) {
    for (auto& [key, value] : changes) {
        const auto found = state.find(key);
        std::optional<std::string> old;
        if (found != state.end()) old = std::move(found->second);
        if (value && found != state.end())
            found->second = std::move(*value);
        else if (value)
            state.emplace(key, std::move(*value));
        else if (found != state.end())
            state.erase(found);
        value = std::move(old);
    }
}

std::size_t size_of(const Record& record) { return 64 + record.key.size() + record.value.size(); }

std::uint64_t hash_of(std::string_view name) { return storage::checksum(name.data(), name.size()); }

}   // namespace slatejunction::rollout
