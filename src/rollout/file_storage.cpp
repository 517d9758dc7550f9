#include "rollout/file_storage.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "transport.pb.h"

namespace slatejunction::rollout {
namespace {

// The last character is the format version.
constexpr char kLogMagic[] = "sjrolog1", kPromiseMagic[] = "sjropro1";
constexpr char kPromiseFile[] = "replica.promise";
// Not enforced here: a segment ends when replace() writes a snapshot, not because of its size.
constexpr std::size_t kMaxSegmentBytes = 1 << 30;
enum EntryType : std::uint32_t { records = 1, truncated = 2 };

void write(const Record& from, kept::Record& to) {
    to.set_number(from.number);
    to.set_term(from.term);
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_key(from.key);
    to.set_value(from.value);
    to.set_reverts(from.reverts);
}

Record read(const kept::Record& from) {
    return {from.number(), from.term(),  static_cast<RecordKind>(from.kind()),
            from.key(),    from.value(), from.reverts()};
}

// Appends all records to the log. Returns false and leaves the log unchanged if a record does not follow
// the one before it.
bool push_all(Log& log, const google::protobuf::RepeatedPtrField<kept::Record>& stored) {
    const std::uint64_t before = log.last().number;
    for (const kept::Record& record : stored)
        if (!log.push(read(record))) {
            log.truncate(before);
            return false;
        }
    return true;
}

// Writes to a file and syncs it to the disk.
std::int64_t write_through(int fd, const void* data, std::size_t size) {
    const ssize_t written = ::write(fd, data, size);
    if (written < 0) return written;
    // Repeats an interrupted sync: if it were reported as a failed write, the caller would write the same
    // bytes twice.
    while (::fdatasync(fd) != 0)
        if (errno != EINTR) return -1;
    return written;
}

}   // namespace

LogFile::LogFile(std::string directory, std::string name, storage::SegmentedLog::Writer writer)
    : directory_(std::move(directory)), name_(std::move(name)) {
    load();
    storage::SegmentedLog::Found found;
    segments_ = std::make_unique<storage::SegmentedLog>(
        directory_, name_, kMaxSegmentBytes,
        [this](std::uint64_t segment, std::uint32_t type, std::string_view payload) {
            if (segment < first_segment_ || reading_stopped_) return;
            if (!read_entry(type, payload)) reading_stopped_ = true;   // later entries depend on this one
        },
        found, std::move(writer));
    set_aside_.insert(set_aside_.end(), found.broken.begin(), found.broken.end());
    // Each snapshot begins a segment. Segments without a snapshot, or a snapshot without its segment, mean
    // that files are missing.
    const bool incomplete =
        has_snapshot_ ? !segments_->segments().contains(first_segment_) : found.records > 0;
    damaged_ = reading_stopped_ || incomplete || found.cut_bytes > 0 || !set_aside_.empty();
}

bool LogFile::rewrite_if_damaged() { return (has_snapshot_ && !damaged_) || replace(log_, commit_index_); }

void LogFile::load() {
    std::string broken;
    const auto body = storage::read_checked_file(directory_, name_ + ".log", kLogMagic, broken);
    if (!broken.empty()) set_aside_.push_back(broken);
    if (!body) return;
    kept::Snapshot snapshot;
    Log log;
    if (snapshot.ParseFromString(*body)) {
        State state;
        for (const kept::Entry& entry : snapshot.entry()) state[entry.key()] = entry.value();
        log = Log({snapshot.number(), snapshot.chain()}, snapshot.term(), std::move(state));
        if (push_all(log, snapshot.record())) {
            log_ = std::move(log);
            commit_index_ = snapshot.committed();
            first_segment_ = snapshot.segment();
            has_snapshot_ = true;
            return;
        }
    }
    set_aside_.push_back(storage::set_aside(directory_ + "/" + name_ + ".log"));
}

bool LogFile::read_entry(std::uint32_t type, std::string_view payload) {
    kept::Records entry;
    if (!entry.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return false;
    if (type == records) return push_all(log_, entry.record());
    if (type != truncated || entry.record_size() != 1) return false;
    const std::uint64_t number = entry.record(0).number();
    if (!log_.contains_number(number)) return false;
    log_.truncate(number);
    return true;
}

bool LogFile::ensure_segment() {
    if (segments_->open()) return true;
    const storage::File directory(::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (segments_->begin_segment() && directory && ::fsync(directory.get()) == 0) return true;
    last_error_ = segments_->last_error();
    return false;
}

bool LogFile::append_entry(std::uint32_t type, const std::string& payload) {
    if (!ensure_segment()) return false;
    if (segments_->append(type, payload)) return true;
    last_error_ = segments_->last_error();
    return false;
}

bool LogFile::append(const std::vector<Record>& appended) {
    if (appended.empty()) return true;
    kept::Records entry;
    for (const Record& record : appended) write(record, *entry.add_record());
    return append_entry(records, entry.SerializeAsString());
}

bool LogFile::truncate(std::uint64_t number) {
    kept::Records entry;
    entry.add_record()->set_number(number);
    return append_entry(truncated, entry.SerializeAsString());
}

// Begins the new segment before it writes the snapshot. After a crash in between, the old snapshot with all
// segments yields the same log as the new snapshot with the segments from its own on.
bool LogFile::replace(const Log& log, std::uint64_t committed) {
    if (!segments_->begin_segment()) {
        last_error_ = segments_->last_error();
        return false;
    }
    kept::Snapshot snapshot;
    snapshot.set_number(log.base().number);
    snapshot.set_chain(log.base().chain);
    snapshot.set_term(log.base_term());
    for (const auto& [key, value] : log.base_state()) {
        kept::Entry& entry = *snapshot.add_entry();
        entry.set_key(key);
        entry.set_value(value);
    }
    for (std::uint64_t number = log.base().number + 1; number <= log.last().number; ++number)
        write(log.record(number), *snapshot.add_record());
    snapshot.set_committed(committed);
    snapshot.set_segment(segments_->newest());
    if (!storage::write_checked_file(directory_, name_ + ".log", kLogMagic, snapshot.SerializeAsString(),
                                     last_error_))
        return false;
    has_snapshot_ = true;
    while (segments_->segments().begin()->first < segments_->newest())
        segments_->remove_segment(segments_->segments().begin()->first);
    return true;
}

FollowerFileStorage::FollowerFileStorage(const std::string& directory, storage::SegmentedLog::Writer writer)
    : file_(directory, "follower", std::move(writer)) {
    file_.rewrite_if_damaged();   // a failure shows again at the next write
}

bool FollowerFileStorage::append(const std::vector<Record>& records) { return file_.append(records); }

bool FollowerFileStorage::replace(const Log& log) { return file_.replace(log, 0); }

ReplicaFileStorage::ReplicaFileStorage(const std::string& directory, storage::SegmentedLog::Writer writer)
    : directory_(directory), file_(directory, "replica", writer ? std::move(writer) : write_through) {
    std::string broken;
    const auto body = storage::read_checked_file(directory_, kPromiseFile, kPromiseMagic, broken);
    kept::Promise promise;
    if (body && promise.ParseFromString(*body)) {
        promised_ = promise.term();
        storage_intact_ = promise.remembers() && file_.has_snapshot() && !file_.damaged();
    }
    // The loss is stored before the files are rewritten; otherwise a later start would take the incomplete
    // log for intact.
    if (promise.remembers() && !storage_intact_ && !save_promise(promised_, false)) return;
    file_.rewrite_if_damaged();
}

ReplicaStored ReplicaFileStorage::take_stored() {
    return {storage_intact_, promised_, file_.commit_index(), file_.take_log()};
}

bool ReplicaFileStorage::save_promise(std::uint64_t term, bool storage_intact) {
    if (storage_intact && !file_.has_snapshot()) return false;
    kept::Promise promise;
    promise.set_term(term);
    promise.set_remembers(storage_intact);
    return storage::write_checked_file(directory_, kPromiseFile, kPromiseMagic, promise.SerializeAsString(),
                                       last_error_);
}

}   // namespace slatejunction::rollout
