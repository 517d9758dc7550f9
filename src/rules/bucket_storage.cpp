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

// Types of records on disk. kBuckets is read but no longer written: it has no boot clock.
enum RecordType : std::uint32_t { kBuckets = 1, kBucketsWithBootClock = 2 };
constexpr std::size_t kMinSlotsPerPart = 2000;     // 48 KB
constexpr std::size_t kMaxSlotsPerPart = 20'000;   // 480 KB
// Not enforced, as SegmentedLog::full() is not called here: a snapshot is one segment, whatever its size.
constexpr std::size_t kSegmentBytes = 1U << 30;

std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// The part of a limit's settings that its stored buckets are identified by. A stored bucket is a time until
// it is full, which has no meaning for a limit with another rate, burst, count or key.
std::string definition(const LimitSettings& limit) {
    char parameters[120];
    std::snprintf(parameters, sizeof parameters, "\n%.17g\n%.17g\n%d\n", limit.rate, limit.burst,
                  limit.count);
    return limit.name + parameters + limit.key;
}

// Identifies this boot of the machine; 0: unknown.
std::uint64_t read_boot_id() {
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string text;
    std::getline(in, text);
    return text.empty() ? 0 : storage::checksum(text.data(), text.size());
}

// A record on disk holds the size of the definition (4 bytes), the definition, the Unix time in ms, for
// kBucketsWithBootClock also the boot id and the time since the boot in ms, then BucketRecords.
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
    // By definition and key; later records replace earlier ones.
    std::map<std::string, StoredBucket> stored_buckets;
    const auto visit = [&](std::uint64_t, std::uint32_t type, std::string_view payload) {
        read_record(type, payload, stored_buckets);
    };
    storage::SegmentedLog::Found log_state;
    log_file_ =
        std::make_unique<storage::SegmentedLog>(directory, "limits", kSegmentBytes, visit, log_state);
    const double now = net::now();
    for (const std::string& path : log_state.broken)
        log_.write(Log::Level::error, now, "limits: a corrupt file was quarantined as %s", path.c_str());
    for (const auto& [number, size] : log_file_->segments()) previous_segments_.push_back(number);
    restore(stored_buckets);
}

BucketStorage::Timestamp BucketStorage::Timestamp::now() {
    static const std::uint64_t kBootId = read_boot_id();
    return {wall_clock_ms(), static_cast<std::int64_t>(1e3 * lease::boot_clock_s()), kBootId};
}

// Uses the boot clock where both timestamps are of the same boot, else the wall clock. If that was set
// back, the age is 0, so that no bucket is restored fuller than it was stored.
double BucketStorage::Timestamp::age_s(const Timestamp& now) const {
    const bool same_boot = boot_id != 0 && boot_id == now.boot_id;
    const std::int64_t ms = same_boot ? now.boot_ms - boot_ms : now.unix_ms - unix_ms;
    return static_cast<double>(std::max<std::int64_t>(0, ms)) / 1e3;
}

void BucketStorage::read_record(std::uint32_t type, std::string_view payload,
                                std::map<std::string, StoredBucket>& stored_buckets) const {
    std::uint32_t size = 0;
    Timestamp written_at;
    if ((type != kBuckets && type != kBucketsWithBootClock) || !read_bytes(payload, size) ||
        payload.size() < size)
        return;
    const std::string limit_definition(payload.substr(0, size));
    payload.remove_prefix(size);
    if (!read_bytes(payload, written_at.unix_ms)) return;
    if (type == kBucketsWithBootClock &&
        (!read_bytes(payload, written_at.boot_id) || !read_bytes(payload, written_at.boot_ms)))
        return;
    for (BucketRecord record{}; read_bytes(payload, record);) {
        std::string map_key = limit_definition + '\0';
        append_bytes(map_key, record.key);
        stored_buckets[map_key] = {written_at, {record.key, record.full_in_s}};
    }
}

void BucketStorage::restore(const std::map<std::string, StoredBucket>& stored_buckets) {
    Rules* const rules = rules_();
    if (!rules) return;
    const double now = net::now();
    const Timestamp timestamp = Timestamp::now();
    std::size_t restored = 0;
    const auto& limits = rules->settings().limits;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        const std::string prefix = definition(limits[i]) + '\0';
        for (auto stored = stored_buckets.lower_bound(prefix);
             stored != stored_buckets.end() && stored->first.starts_with(prefix); ++stored) {
            Limiter::SavedBucket saved = stored->second.bucket;
            saved.full_in_s -= stored->second.written_at.age_s(timestamp);
            if (saved.full_in_s <= 0) continue;
            rules->limiter(i).restore(now, saved);
            ++restored;
        }
    }
    if (restored > 0)
        log_.write(Log::Level::info, now,
                   "limits: restored the buckets of %zu keys from an earlier process", restored);
}

void BucketStorage::start() { timer_.arm(net::now() + kWritePeriodS); }

bool BucketStorage::begin_snapshot() {
    next_limit_ = 0;
    next_slot_ = 0;
    snapshot_started_at_s_ = net::now();
    for (const auto& [number, size] : log_file_->segments())
        if (std::find(previous_segments_.begin(), previous_segments_.end(), number) ==
            previous_segments_.end())
            previous_segments_.push_back(number);
    writing_ = log_file_->begin_segment();
    return writing_;
}

// Writes the next part of the snapshot; once all parts are written, removes earlier snapshots.
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
    const std::string limit_definition = definition(rules->settings().limits[next_limit_]);
    append_bytes(record, static_cast<std::uint32_t>(limit_definition.size()));
    record += limit_definition;
    const Timestamp timestamp = Timestamp::now();
    append_bytes(record, timestamp.unix_ms);
    append_bytes(record, timestamp.boot_id);
    append_bytes(record, timestamp.boot_ms);
    const Limiter& limiter = rules->limiter(next_limit_);
    const auto ticks_per_snapshot = static_cast<std::size_t>(kSnapshotPeriodS / kWritePeriodS);
    const std::size_t slots =
        std::clamp(limiter.limits().max_keys / ticks_per_snapshot, kMinSlotsPerPart, kMaxSlotsPerPart);
    for (const Limiter::SavedBucket& bucket : limiter.save(net::now(), next_slot_, slots))
        append_bytes(record, BucketRecord{bucket.key, bucket.full_in_s});
    if (next_slot_ == 0) ++next_limit_;
    writing_ = log_file_->append(kBucketsWithBootClock, record);
    return writing_;
}

void BucketStorage::on_timer() {
    const double now = net::now();
    timer_.arm(now + kWritePeriodS);
    if (!writing_ && now - snapshot_started_at_s_ >= kSnapshotPeriodS && !begin_snapshot()) {
        if (!std::exchange(write_failed_, true))
            log_.write(Log::Level::error, now, "limits: cannot write to the state directory: %s",
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
