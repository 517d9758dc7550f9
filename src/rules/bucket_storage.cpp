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

// Types of records: as versions before wrote them, and with the clock since the boot.
enum Type : std::uint32_t { kKeys = 1, kKeysOfBoot = 2 };
constexpr std::size_t kLeast = 2000, kMost = 20'000;   // places looked at in one tick: 48 to 480 KB
constexpr std::size_t kSegment = 1U << 30;             // bytes; a round is one segment, whatever its size

std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// What makes two limits the same one: a store that was kept for other figures would mean nothing.
std::string definition(const LimitSettings& one) {
    char figures[120];
    std::snprintf(figures, sizeof figures, "\n%.17g\n%.17g\n%d\n", one.rate, one.burst, one.count);
    return one.name + figures + one.key;
}

// Which boot this is: the same for all processes of one machine until it starts anew.
std::uint64_t boot_id() {
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string text;
    std::getline(in, text);
    return text.empty() ? 0 : storage::checksum(text.data(), text.size());
}

// A record: the bytes of the definition's size, the definition, Unix ms, of kKeysOfBoot the boot and its
// ms, then 24 bytes a key.
struct Row {
    KeyHash key;
    double full_in_s;
};
static_assert(sizeof(Row) == 24);

template <class T>
void put(std::string& to, const T& value) {
    to.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <class T>
bool get(std::string_view& from, T& value) {
    if (from.size() < sizeof value) return false;
    std::memcpy(&value, from.data(), sizeof value);
    from.remove_prefix(sizeof value);
    return true;
}

}   // namespace

BucketStorage::BucketStorage(const std::string& directory, std::function<Rules*()> rules,
                             net::Timers& timers, Log& log)
    : rules_(std::move(rules)), log_(log), timer_(timers, [this] { tick(); }) {
    std::map<std::string, Found> found;   // by definition and key; later records go before earlier ones
    const auto visit = [&](std::uint64_t, std::uint32_t type, std::string_view payload) {
        read_record(type, payload, found);
    };
    storage::SegmentedLog::Found state;
    journal_ = std::make_unique<storage::SegmentedLog>(directory, "limits", kSegment, visit, state);
    const double now = net::now();
    for (const std::string& path : state.broken)
        log_.write(Log::Level::error, now, "limits: a broken file was put aside as %s", path.c_str());
    for (const auto& [number, size] : journal_->segments()) older_.push_back(number);
    restore(found);
}

BucketStorage::Stamp BucketStorage::Stamp::now() {
    static const std::uint64_t boot = boot_id();
    return {wall_clock_ms(), static_cast<std::int64_t>(1e3 * lease::boot_clock_s()), boot};
}

// Within one boot the wall clock is not asked. A clock that has stepped back makes no store fuller.
double BucketStorage::Stamp::age_s(const Stamp& now) const {
    const bool same_boot = boot != 0 && boot == now.boot;
    const std::int64_t ms = same_boot ? now.boot_ms - boot_ms : now.unix_ms - unix_ms;
    return static_cast<double>(std::max<std::int64_t>(0, ms)) / 1e3;
}

void BucketStorage::read_record(std::uint32_t type, std::string_view payload,
                                std::map<std::string, Found>& found) const {
    std::uint32_t size = 0;
    Stamp at;
    if ((type != kKeys && type != kKeysOfBoot) || !get(payload, size) || payload.size() < size) return;
    const std::string name(payload.substr(0, size));
    payload.remove_prefix(size);
    if (!get(payload, at.unix_ms)) return;
    if (type == kKeysOfBoot && (!get(payload, at.boot) || !get(payload, at.boot_ms))) return;
    for (Row row{}; get(payload, row);) {
        std::string place = name + '\0';
        put(place, row.key);
        found[place] = {at, {row.key, row.full_in_s}};
    }
}

void BucketStorage::restore(const std::map<std::string, Found>& found) {
    Rules* const rules = rules_();
    if (!rules) return;
    const double now = net::now();
    const Stamp stamp = Stamp::now();
    std::size_t restored = 0;
    const auto& limits = rules->settings().limits;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        const std::string from = definition(limits[i]) + '\0';
        for (auto at = found.lower_bound(from); at != found.end() && at->first.starts_with(from); ++at) {
            Limiter::Saved saved = at->second.saved;
            saved.full_in_s -= at->second.at.age_s(stamp);
            if (saved.full_in_s <= 0) continue;
            rules->limiter(i).restore(now, saved);
            ++restored;
        }
    }
    if (restored > 0)
        log_.write(Log::Level::info, now, "limits: the states of %zu keys of an earlier process go on",
                   restored);
}

void BucketStorage::start() { timer_.arm(net::now() + kTick); }

bool BucketStorage::begin_round() {
    limit_ = slot_ = 0;
    round_began_ = net::now();
    for (const auto& [number, size] : journal_->segments())
        if (std::find(older_.begin(), older_.end(), number) == older_.end()) older_.push_back(number);
    return writing_ = journal_->begin();
}

// A part of the round. Once it is whole the rounds before it go.
bool BucketStorage::step() {
    Rules* const rules = rules_();
    const std::size_t count = rules ? rules->settings().limits.size() : 0;
    if (limit_ >= count) {
        for (const std::uint64_t number : older_) journal_->drop(number);
        older_.clear();
        return writing_ = false;
    }
    std::string record;
    const std::string name = definition(rules->settings().limits[limit_]);
    put(record, static_cast<std::uint32_t>(name.size()));
    record += name;
    const Stamp stamp = Stamp::now();
    put(record, stamp.unix_ms);
    put(record, stamp.boot);
    put(record, stamp.boot_ms);
    const Limiter& limiter = rules->limiter(limit_);
    const auto ticks = static_cast<std::size_t>(kEvery / kTick);
    const std::size_t places = std::clamp(limiter.limits().keys_max / ticks, kLeast, kMost);
    for (const Limiter::Saved& one : limiter.save(net::now(), slot_, places))
        put(record, Row{one.key, one.full_in_s});
    if (slot_ == 0) ++limit_;
    if (!journal_->append(kKeysOfBoot, record)) return writing_ = false;
    return true;
}

void BucketStorage::tick() {
    const double now = net::now();
    timer_.arm(now + kTick);
    if (!writing_ && now - round_began_ >= kEvery && !begin_round()) {
        if (!std::exchange(failing_, true))
            log_.write(Log::Level::error, now, "limits: the state directory can't be written: %s",
                       journal_->last_error().c_str());
        return;
    }
    if (!writing_) return;
    failing_ = false;
    step();
}

void BucketStorage::stop() {
    timer_.disarm();
    if (begin_round())
        while (step()) {
        }
}

}   // namespace slatejunction::rules
