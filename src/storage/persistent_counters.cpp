#include "storage/persistent_counters.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>
// Inlined here: an update computes a checksum for each counter.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <atomic>
#include <bit>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace slatejunction::storage {
namespace {

constexpr std::uint64_t kMagic = 0x534c4c45434a4c53ULL;   // "SLJCELLS"
constexpr std::uint64_t kVersion = 1;
constexpr std::uint64_t kArmed = 0xa5c3'96f0'5a3c'690fULL;

// The first 24 bytes have the same layout in every version, so that another version is distinguished from
// damage.
struct Header {
    std::uint64_t magic, version, prefix_check;
    std::uint64_t count, names_size, created_ms, names_check;
    std::uint64_t check;   // of all before it
};
constexpr std::size_t kPrefixBytes = 16, kCheckedHeaderBytes = sizeof(Header) - 8;

// The stores of a killed process reach the mapping in program order, so only the compiler has to be kept
// from reordering them.
void compiler_fence() { std::atomic_signal_fence(std::memory_order_seq_cst); }

std::string pack_names(const std::vector<std::string>& names) {
    std::string all;
    for (const std::string& name : names) {
        const auto size = static_cast<std::uint32_t>(name.size());
        all.append(reinterpret_cast<const char*>(&size), sizeof size);
        all += name;
    }
    return all;
}

std::string errno_text() { return std::strerror(errno); }

template <class Entry>
std::uint64_t redo_checksum(const Entry* entries, std::uint64_t count) {
    return XXH3_64bits_withSeed(entries, count * sizeof(Entry), count);
}

}   // namespace

struct PersistentCounters::Redo {
    struct Entry {
        std::uint64_t index, bits;
    };
    std::uint64_t armed;   // kArmed: the entries have to be applied again; 0: no update
    std::uint64_t count, check;
    Entry entries[kMaxChanges];
};

PersistentCounters::PersistentCounters(std::size_t count, std::int64_t now_ms)
    : count_(count), values_(count), created_ms_(now_ms) {}

PersistentCounters::PersistentCounters(const std::string& path, const std::vector<std::string>& names,
                                       std::int64_t now_ms)
    : count_(names.size()), created_ms_(now_ms) {
    std::vector<std::pair<std::string, double>> stored;
    if (::access(path.c_str(), F_OK) == 0 && !load(path, stored)) {
        broken_ = set_aside(path);
        created_ms_ = now_ms;
        stored.clear();
    }
    // Written to a new file that replaces the old one by rename: the file is complete or absent.
    const std::string new_path = path + ".new", all = pack_names(names);
    const std::size_t size = sizeof(Header) + sizeof(Redo) + count_ * sizeof(Slot) + all.size();
    ::unlink(new_path.c_str());
    {
        const File file(::open(new_path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, 0600));
        if (!file) throw Error(new_path + " can't be created: " + errno_text());
        // Allocated completely here: a full disk is an error now, not a SIGBUS during an update.
        if (const int error = ::posix_fallocate(file.get(), 0, static_cast<off_t>(size)); error != 0) {
            ::unlink(new_path.c_str());
            throw Error(new_path + " can't be created: " + std::strerror(error));
        }
    }
    map(new_path, size);
    std::unordered_map<std::string, std::size_t> indices;
    for (std::size_t i = 0; i < names.size(); ++i) {
        indices.emplace(names[i], i);
        write_slot(i, std::bit_cast<std::uint64_t>(0.0));
    }
    for (const auto& [name, value] : stored) {
        const auto at = indices.find(name);
        if (at == indices.end())
            ++dropped_;
        else
            write_slot(at->second, std::bit_cast<std::uint64_t>(value));
    }
    std::memcpy(base_ + size - all.size(), all.data(), all.size());
    Header header{kMagic,
                  kVersion,
                  0,
                  count_,
                  all.size(),
                  static_cast<std::uint64_t>(created_ms_),
                  checksum(all.data(), all.size()),
                  0};
    header.prefix_check = checksum(&header, kPrefixBytes);
    header.check = checksum(&header, kCheckedHeaderBytes);
    std::memcpy(base_, &header, sizeof header);
    if (std::rename(new_path.c_str(), path.c_str()) != 0)
        throw Error(path + " can't be created: " + errno_text());
}

PersistentCounters::~PersistentCounters() {
    if (base_) ::munmap(base_, size_);
}

PersistentCounters::PersistentCounters(PersistentCounters&& other) noexcept
    : count_(other.count_),
      values_(std::move(other.values_)),
      base_(std::exchange(other.base_, nullptr)),
      size_(other.size_),
      redo_(std::exchange(other.redo_, nullptr)),
      slots_(std::exchange(other.slots_, nullptr)),
      created_ms_(other.created_ms_),
      broken_(std::move(other.broken_)),
      dropped_(other.dropped_) {}

void PersistentCounters::map(const std::string& path, std::size_t size) {
    const File file(::open(path.c_str(), O_RDWR | O_CLOEXEC));
    void* at = file ? ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0) : MAP_FAILED;
    if (at == MAP_FAILED) throw Error(path + " can't be mapped: " + errno_text());
    base_ = static_cast<char*>(at);
    size_ = size;
    redo_ = reinterpret_cast<Redo*>(base_ + sizeof(Header));
    slots_ = reinterpret_cast<Slot*>(base_ + sizeof(Header) + sizeof(Redo));
}

namespace {

// Returns whether the bytes begin with a header of this version that agrees with their size and names.
// Throws Error for another version; the file is left unchanged.
bool read_header(const std::string& path, const std::string& bytes, std::size_t slots_at,
                 std::size_t slot_bytes, Header& header) {
    if (bytes.size() < kPrefixBytes + 8) return false;
    std::memcpy(&header, bytes.data(), std::min(bytes.size(), sizeof header));
    if (header.magic != kMagic || header.prefix_check != checksum(bytes.data(), kPrefixBytes)) return false;
    if (header.version != kVersion)
        throw Error(path + " has version " + std::to_string(header.version) + "; this program supports " +
                    std::to_string(kVersion));
    if (bytes.size() < slots_at || header.check != checksum(&header, kCheckedHeaderBytes)) return false;
    if (header.count > bytes.size() / slot_bytes || header.names_size > bytes.size()) return false;
    const std::size_t names_at = slots_at + header.count * slot_bytes;
    return bytes.size() == names_at + header.names_size &&
           header.names_check == checksum(bytes.data() + names_at, header.names_size);
}

}   // namespace

bool PersistentCounters::load(const std::string& path,
                              std::vector<std::pair<std::string, double>>& values) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream all;
    all << in.rdbuf();
    const std::string bytes = all.str();
    if (!in) throw Error(path + " can't be read");
    Header header{};
    const std::size_t slots_at = sizeof(Header) + sizeof(Redo);
    if (!read_header(path, bytes, slots_at, sizeof(Slot), header)) return false;
    created_ms_ = static_cast<std::int64_t>(header.created_ms);   // the checksums below depend on it
    std::vector<Slot> slots(header.count);
    std::memcpy(slots.data(), bytes.data() + slots_at, header.count * sizeof(Slot));
    if (!replay_redo(bytes, slots)) return false;
    return read_values(bytes, slots_at + header.count * sizeof(Slot), slots, values);
}

// Completes an update that a killed process had armed but not finished. Returns false for a damaged redo
// log.
bool PersistentCounters::replay_redo(const std::string& bytes, std::vector<Slot>& slots) const {
    Redo redo;
    std::memcpy(&redo, bytes.data() + sizeof(Header), sizeof redo);
    if (redo.armed == 0) return true;
    if (redo.armed != kArmed || redo.count > kMaxChanges ||
        redo.check != redo_checksum(redo.entries, redo.count))
        return false;
    for (std::size_t i = 0; i < redo.count; ++i) {
        const auto [index, bits] = redo.entries[i];
        if (index >= slots.size()) return false;
        slots[index] = {bits, slot_checksum(index, bits)};
    }
    return true;
}

bool PersistentCounters::read_values(const std::string& bytes, std::size_t names_at,
                                     const std::vector<Slot>& slots,
                                     std::vector<std::pair<std::string, double>>& values) const {
    std::size_t at = names_at;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        std::uint32_t size = 0;
        if (bytes.size() - at < sizeof size) return false;
        std::memcpy(&size, bytes.data() + at, sizeof size);
        at += sizeof size;
        if (bytes.size() - at < size) return false;
        if (slots[i].checksum != slot_checksum(i, slots[i].bits)) return false;
        values.emplace_back(bytes.substr(at, size), std::bit_cast<double>(slots[i].bits));
        at += size;
    }
    return at == bytes.size();
}

std::vector<std::pair<std::string, double>> PersistentCounters::read(const std::string& path) {
    PersistentCounters reader(0, 0);
    std::vector<std::pair<std::string, double>> values;
    if (!reader.load(path, values)) throw Error(path + " is damaged");
    return values;
}

std::uint64_t PersistentCounters::slot_checksum(std::uint64_t index, std::uint64_t bits) const {
    const std::uint64_t index_and_bits[2] = {index, bits};
    return XXH3_64bits_withSeed(index_and_bits, sizeof index_and_bits,
                                static_cast<std::uint64_t>(created_ms_));
}

void PersistentCounters::write_slot(std::uint64_t index, std::uint64_t bits) {
    slots_[index] = {bits, slot_checksum(index, bits)};
}

double PersistentCounters::slot_value(std::size_t index) const {
    return std::bit_cast<double>(slots_[index].bits);
}

void PersistentCounters::apply(std::span<const Change> changes) {
    if (!slots_) {
        for (const Change& change : changes) values_[change.index] += change.by;
        return;
    }
    std::size_t count = 0;
    for (const Change& change : changes.first(std::min(changes.size(), kMaxChanges)))
        redo_->entries[count++] = {change.index,
                                   std::bit_cast<std::uint64_t>(slot_value(change.index) + change.by)};
    redo_->count = count;
    redo_->check = redo_checksum(redo_->entries, count);
    compiler_fence();
    redo_->armed = kArmed;
    compiler_fence();
    for (std::size_t i = 0; i < count; ++i) write_slot(redo_->entries[i].index, redo_->entries[i].bits);
    compiler_fence();
    redo_->armed = 0;
    compiler_fence();
}

void PersistentCounters::set(std::uint32_t index, double value) {
    const Change change{index, value - get(index)};
    apply({&change, 1});
}

}   // namespace slatejunction::storage
