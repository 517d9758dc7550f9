#include "rollout/file_storage.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "transport.pb.h"

namespace slatejunction::rollout {
namespace {

constexpr char kLogMagic[] = "sjrolog1", kPromiseMagic[] = "sjropro1";   // and version
constexpr char kPromiseFile[] = "replica.promise";
constexpr std::size_t kSegmentBytes = 1 << 30;   // a segment ends with a snapshot, not by its size
enum Type : std::uint32_t { records = 1, truncated = 2 };

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

// False: a record does not follow the one before it; the log is as it was.
bool push_all(Log& log, const google::protobuf::RepeatedPtrField<kept::Record>& all) {
    const std::uint64_t before = log.last().number;
    for (const kept::Record& one : all)
        if (!log.push(read(one))) {
            log.truncate(before);
            return false;
        }
    return true;
}

// The bytes have reached the disk when this returns.
std::int64_t write_through(int fd, const void* data, std::size_t size) {
    const ssize_t done = ::write(fd, data, size);
    if (done < 0) return done;
    // An interrupted sync is repeated: reported as a failed write, the same bytes would be written twice.
    while (::fdatasync(fd) != 0)
        if (errno != EINTR) return -1;
    return done;
}

}   // namespace

LogFile::LogFile(std::string directory, std::string name, storage::SegmentedLog::Writer writer)
    : directory_(std::move(directory)), name_(std::move(name)) {
    load();
    storage::SegmentedLog::Found found;
    segments_ = std::make_unique<storage::SegmentedLog>(
        directory_, name_, kSegmentBytes,
        [this](std::uint64_t segment, std::uint32_t type, std::string_view payload) {
            if (segment < first_segment_ || reading_stopped_) return;
            if (!read_entry(type, payload)) reading_stopped_ = true;   // later entries depend on this one
        },
        found, std::move(writer));
    set_aside_.insert(set_aside_.end(), found.broken.begin(), found.broken.end());
    // A snapshot begins a segment of its own: segments without it, or it without its segment, are
    // incomplete.
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
        for (const kept::Entry& one : snapshot.entry()) state[one.key()] = one.value();
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
    kept::Records all;
    if (!all.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return false;
    if (type == records) return push_all(log_, all.record());
    if (type != truncated || all.record_size() != 1) return false;
    const std::uint64_t number = all.record(0).number();
    if (!log_.contains_number(number)) return false;
    log_.truncate(number);
    return true;
}

bool LogFile::ensure_segment() {
    if (segments_->open()) return true;
    const storage::File folder(::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (segments_->begin() && folder && ::fsync(folder.get()) == 0) return true;
    last_error_ = segments_->last_error();
    return false;
}

bool LogFile::append_entry(std::uint32_t type, const std::string& payload) {
    if (!ensure_segment()) return false;
    if (segments_->append(type, payload)) return true;
    last_error_ = segments_->last_error();
    return false;
}

bool LogFile::append(const std::vector<Record>& fresh) {
    if (fresh.empty()) return true;
    kept::Records all;
    for (const Record& one : fresh) write(one, *all.add_record());
    return append_entry(records, all.SerializeAsString());
}

bool LogFile::truncate(std::uint64_t number) {
    kept::Records all;
    all.add_record()->set_number(number);
    return append_entry(truncated, all.SerializeAsString());
}

// Begins the new segment first: after a crash in between, the old snapshot with all segments yields the
// same log as the new snapshot with the segments from its own on.
bool LogFile::replace(const Log& log, std::uint64_t committed) {
    if (!segments_->begin()) {
        last_error_ = segments_->last_error();
        return false;
    }
    kept::Snapshot snapshot;
    snapshot.set_number(log.base().number);
    snapshot.set_chain(log.base().chain);
    snapshot.set_term(log.base_term());
    for (const auto& [key, value] : log.base_state()) {
        kept::Entry& one = *snapshot.add_entry();
        one.set_key(key);
        one.set_value(value);
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
        segments_->drop(segments_->segments().begin()->first);
    return true;
}

// Homes. ----------------------------------------------------------------------------------------------

FollowerFileStorage::FollowerFileStorage(const std::string& directory, storage::SegmentedLog::Writer writer)
    : file_(directory, "follower", std::move(writer)) {
    file_.rewrite_if_damaged();   // if this fails, so does the next write
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
    // Evaluated before the files are rewritten, so that a later start does not take a part for intact.
    if (promise.remembers() && !storage_intact_ && !save_promise(promised_, false)) return;
    file_.rewrite_if_damaged();
}

ReplicaStored ReplicaFileStorage::take_stored() {
    return {storage_intact_, promised_, file_.commit_index(), file_.take_log()};
}

bool ReplicaFileStorage::save_promise(std::uint64_t term, bool remembers) {
    if (remembers && !file_.has_snapshot()) return false;
    kept::Promise promise;
    promise.set_term(term);
    promise.set_remembers(remembers);
    return storage::write_checked_file(directory_, kPromiseFile, kPromiseMagic, promise.SerializeAsString(),
                                       last_error_);
}

}   // namespace slatejunction::rollout
