#include "rules/bucket_storage.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <fstream>
#include <map>

#include "lease/boot_clock.hpp"
#include "net/stream.hpp"

namespace slatejunction::rules {
namespace {

// Types of records on disk: of versions before the boot clock was written, and with it.
enum Type : std::uint32_t { kKeys = 1, kKeysOfBoot = 2 };
constexpr std::size_t kMinSlotsPerPart = 2000;     // 48 KB
constexpr std::size_t kMaxSlotsPerPart = 20'000;   // 480 KB
constexpr std::size_t kSegmentBytes = 1U << 30;    // a snapshot is one segment, whatever its size

std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Two limits of the same definition share their buckets; a bucket of other figures would mean nothing.
std::string definition(const LimitSettings& limit) {
    char figures[120];
    std::snprintf(figures, sizeof figures, "\n%.17g\n%.17g\n%d\n", limit.rate, limit.burst, limit.count);
    return limit.name + figures + limit.key;
}

// Identifies this boot of the machine; 0: not known.
std::uint64_t boot_id() {
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string text;
    std::getline(in, text);
    return text.empty() ? 0 : storage::checksum(text.data(), text.size());
}

// A record on disk: size of the definition (4 bytes), the definition, Unix ms, for kKeysOfBoot the boot and
// its ms, then BucketRecords.
struct BucketRecord {
    KeyHash key;
    double full_in_s;
};
static_assert(sizeof(BucketRecord) == 24);

template <class T>
void append_bytes(std::string& to, const T& value) {
    to.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <class T>
bool read_bytes(std::string_view& from, T& value) {
    if (from.size() < sizeof value) return false;
    std::memcpy(&value, from.data(), sizeof value);
    from.remove_prefix(sizeof value);
    return true;
}

}   // namespace

BucketStorage::BucketStorage(const std::string& directory, std::function<Rules*()> rules,
                             net::Timers& timers, Log& log)
    : rules_(std::move(rules)), log_(log), timer_(timers, [this] { on_timer(); }) {
    std::map<std::string, StoredBucket>
        found;   // by definition and key; later records replace earlier ones
    const auto visit = [&](std::uint64_t, std::uint32_t type, std::string_view payload) {
        read_record(type, payload, found);
    };
    storage::SegmentedLog::Found state;
    log_file_ = std::make_unique<storage::SegmentedLog>(directory, "limits", kSegmentBytes, visit, state);
    const double now = net::now();
    for (const std::string& path : state.broken)
        log_.write(Log::Level::error, now, "limits: a broken file was put aside as %s", path.c_str());
    for (const auto& [number, size] : log_file_->segments()) previous_segments_.push_back(number);
    restore(found);
}

BucketStorage::Timestamp BucketStorage::Timestamp::now() {
    static const std::uint64_t kBootId = boot_id();
    return {wall_clock_ms(), static_cast<std::int64_t>(1e3 * lease::boot_clock_s()), kBootId};
}

// Within one boot the wall clock does not matter. A clock that was set back makes no bucket fuller.
double BucketStorage::Timestamp::age_s(const Timestamp& now) const {
    const bool same_boot = boot != 0 && boot == now.boot;
    const std::int64_t ms = same_boot ? now.boot_ms - boot_ms : now.unix_ms - unix_ms;
    return static_cast<double>(std::max<std::int64_t>(0, ms)) / 1e3;
}

void BucketStorage::read_record(std::uint32_t type, std::string_view payload,
                                std::map<std::string, StoredBucket>& found) const {
    std::uint32_t size = 0;
    Timestamp at;
    if ((type != kKeys && type != kKeysOfBoot) || !read_bytes(payload, size) || payload.size() < size)
        return;
    const std::string name(payload.substr(0, size));
    payload.remove_prefix(size);
    if (!read_bytes(payload, at.unix_ms)) return;
    if (type == kKeysOfBoot && (!read_bytes(payload, at.boot) || !read_bytes(payload, at.boot_ms))) return;
    for (BucketRecord row{}; read_bytes(payload, row);) {
        std::string place = name + '\0';
        append_bytes(place, row.key);
        found[place] = {at, {row.key, row.full_in_s}};
    }
}

void BucketStorage::restore(const std::map<std::string, StoredBucket>& found) {
    Rules* const rules = rules_();
    if (!rules) return;
    const double now = net::now();
    const Timestamp stamp = Timestamp::now();
    std::size_t restored = 0;
    const auto& limits = rules->settings().limits;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        const std::string from = definition(limits[i]) + '\0';
        for (auto at = found.lower_bound(from); at != found.end() && at->first.starts_with(from); ++at) {
            Limiter::SavedBucket saved = at->second.bucket;
            saved.full_in_s -= at->second.written_at.age_s(stamp);
            if (saved.full_in_s <= 0) continue;
            rules->limiter(i).restore(now, saved);
            ++restored;
        }
    }
    if (restored > 0)
        log_.write(Log::Level::info, now, "limits: the states of %zu keys of an earlier process go on",
                   restored);
}

void BucketStorage::start() { timer_.arm(net::now() + kWritePeriodS); }

bool BucketStorage::begin_snapshot() {
    next_limit_ = 0;
    next_slot_ = 0;
    snapshot_began_at_s_ = net::now();
    for (const auto& [number, size] : log_file_->segments())
        if (std::find(previous_segments_.begin(), previous_segments_.end(), number) ==
            previous_segments_.end())
            previous_segments_.push_back(number);
    writing_ = log_file_->begin_segment();
    return writing_;
}

// Writes a part of the snapshot. Once it is complete earlier snapshots are removed.
bool BucketStorage::write_next_part() {
    Rules* const rules = rules_();
    const std::size_t count = rules ? rules->settings().limits.size() : 0;
    if (next_limit_ >= count) {
        for (const std::uint64_t number : previous_segments_) log_file_->remove_segment(number);
        previous_segments_.clear();
        writing_ = false;
        return false;
    }
    std::string record;
    const std::string name = definition(rules->settings().limits[next_limit_]);
    append_bytes(record, static_cast<std::uint32_t>(name.size()));
    record += name;
    const Timestamp stamp = Timestamp::now();
    append_bytes(record, stamp.unix_ms);
    append_bytes(record, stamp.boot);
    append_bytes(record, stamp.boot_ms);
    const Limiter& limiter = rules->limiter(next_limit_);
    const auto ticks = static_cast<std::size_t>(kSnapshotPeriodS / kWritePeriodS);
    const std::size_t slots =
        std::clamp(limiter.limits().max_keys / ticks, kMinSlotsPerPart, kMaxSlotsPerPart);
    for (const Limiter::SavedBucket& bucket : limiter.save(net::now(), next_slot_, slots))
        append_bytes(record, BucketRecord{bucket.key, bucket.full_in_s});
    if (next_slot_ == 0) ++next_limit_;
    writing_ = log_file_->append(kKeysOfBoot, record);
    return writing_;
}

void BucketStorage::on_timer() {
    const double now = net::now();
    timer_.arm(now + kWritePeriodS);
    if (!writing_ && now - snapshot_began_at_s_ >= kSnapshotPeriodS && !begin_snapshot()) {
        if (!std::exchange(write_failed_, true))
            log_.write(Log::Level::error, now, "limits: the state directory can't be written: %s",
                       log_file_->last_error().c_str());
        return;
    }
    if (!writing_) return;
    write_failed_ = false;
    write_next_part();
}

void BucketStorage::stop() {
    timer_.disarm();
    if (begin_snapshot())
        while (write_next_part()) continue;
}

}   // namespace slatejunction::rules
