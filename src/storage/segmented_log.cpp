#include "storage/segmented_log.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>

namespace slatejunction::storage {
namespace {

constexpr std::uint64_t kMagic = 0x4c4e524a4c4a4c53ULL;   // "SLJLJRNL"
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kMaxRecordBytes = 16 << 20;   // a larger size is treated as damage

constexpr std::size_t kCheckedHeaderBytes = 16;   // magic and version

struct Header {
    std::uint64_t magic, version, check;   // check: of the two before it
};

struct RecordHeader {
    std::uint32_t size, type;
    std::uint64_t check;   // of size, type and payload, seeded with the segment's number
};

std::uint64_t record_checksum(std::uint64_t number, std::uint32_t type, std::string_view payload) {
    const std::uint32_t size_and_type[2] = {static_cast<std::uint32_t>(payload.size()), type};
    return checksum(payload.data(), payload.size(), checksum(size_and_type, sizeof size_and_type, number));
}

}   // namespace

SegmentedLog::SegmentedLog(std::string path, std::string name, std::size_t segment_bytes,
                           const std::function<void(std::uint64_t, std::uint32_t, std::string_view)>& visit,
                           Found& found, Writer writer)
    : path_(std::move(path)),
      name_(std::move(name)),
      segment_bytes_(segment_bytes),
      writer_(std::move(writer)) {
    find_segments();
    for (auto at = segments_.begin(); at != segments_.end();) {
        newest_ = std::max(newest_, at->first);
        at = read_segment(at->first, visit, found) ? std::next(at) : segments_.erase(at);
    }
}

void SegmentedLog::find_segments() {
    const std::unique_ptr<DIR, int (*)(DIR*)> directory(::opendir(path_.c_str()), ::closedir);
    if (!directory) throw Error(path_ + " can't be read: " + std::strerror(errno));
    while (const dirent* entry = ::readdir(directory.get())) {
        const std::string_view file = entry->d_name;
        if (!file.starts_with(name_ + "-")) continue;
        const std::string_view digits = file.substr(name_.size() + 1);
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (error == std::errc() && end == digits.data() + digits.size()) segments_[number] = 0;
    }
}

bool SegmentedLog::read_segment(std::uint64_t number, const Visitor& visit, Found& found) {
    std::ifstream in(path_of(number), std::ios::binary);
    std::stringstream all;
    all << in.rdbuf();
    const std::string bytes = all.str();
    Header header{};
    std::memcpy(&header, bytes.data(), std::min(bytes.size(), sizeof header));
    if (bytes.size() < sizeof header || header.magic != kMagic ||
        header.check != checksum(&header, kCheckedHeaderBytes)) {
        found.broken.push_back(set_aside(path_of(number)));
        return false;
    }
    if (header.version != kVersion)
        throw Error(path_of(number) + " has version " + std::to_string(header.version) +
                    "; this program supports " + std::to_string(kVersion));
    std::size_t offset = sizeof header;
    RecordHeader record_header{};
    while (bytes.size() - offset >= sizeof record_header) {
        std::memcpy(&record_header, bytes.data() + offset, sizeof record_header);
        if (record_header.size > kMaxRecordBytes ||
            bytes.size() - offset - sizeof record_header < record_header.size)
            break;
        const std::string_view payload(bytes.data() + offset + sizeof record_header, record_header.size);
        if (record_header.check != record_checksum(number, record_header.type, payload)) break;
        visit(number, record_header.type, payload);
        ++found.records;
        offset += sizeof record_header + record_header.size;
    }
    found.cut_bytes += bytes.size() - offset;
    segments_[number] = bytes.size();
    return true;
}

std::string SegmentedLog::path_of(std::uint64_t number) const {
    return path_ + "/" + name_ + "-" + std::to_string(number);
}

std::string SegmentedLog::header() {
    Header header{kMagic, kVersion, 0};
    header.check = checksum(&header, kCheckedHeaderBytes);
    return {reinterpret_cast<const char*>(&header), sizeof header};
}

void SegmentedLog::append_record(std::string& out, std::uint64_t number, std::uint32_t type,
                                 std::string_view payload) {
    const RecordHeader record_header{static_cast<std::uint32_t>(payload.size()), type,
                                     record_checksum(number, type, payload)};
    out.append(reinterpret_cast<const char*>(&record_header), sizeof record_header);
    out += payload;
}

bool SegmentedLog::write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const std::int64_t written =
            writer_ ? writer_(fd, bytes.data(), bytes.size()) : ::write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) {
            last_error_ = std::strerror(written < 0 ? errno : ENOSPC);
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool SegmentedLog::begin_segment() {
    const std::uint64_t number = newest_ + 1;
    File file(::open(path_of(number).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    if (!file) {
        last_error_ = std::strerror(errno);
        return false;
    }
    const std::string bytes = header();
    if (!write_all(file.get(), bytes)) {
        ::unlink(path_of(number).c_str());
        return false;
    }
    file_ = std::move(file);
    newest_ = number;
    newest_size_ = bytes.size();
    segments_[number] = newest_size_;
    return true;
}

bool SegmentedLog::append(std::uint32_t type, std::string_view payload) {
    if (!file_) return false;
    std::string bytes;
    append_record(bytes, newest_, type, payload);
    if (!write_all(file_.get(), bytes)) {
        // An incomplete record would make all later records unreadable.
        if (::ftruncate(file_.get(), static_cast<off_t>(newest_size_)) != 0) file_ = File();
        return false;
    }
    newest_size_ += bytes.size();
    segments_[newest_] = newest_size_;
    return true;
}

bool SegmentedLog::replace_segment(std::uint64_t number, const std::vector<Record>& records) {
    if (number == newest_ || !segments_.contains(number)) return false;
    std::string bytes = header();
    for (const Record& record : records) append_record(bytes, number, record.type, record.payload);
    const std::string new_path = path_of(number) + ".new";
    File file(::open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file) last_error_ = std::strerror(errno);
    if (!file || !write_all(file.get(), bytes) ||
        std::rename(new_path.c_str(), path_of(number).c_str()) != 0) {
        ::unlink(new_path.c_str());
        return false;
    }
    segments_[number] = bytes.size();
    return true;
}

void SegmentedLog::remove_segment(std::uint64_t number) {
    if (number == newest_ && file_) file_ = File();
    ::unlink(path_of(number).c_str());
    segments_.erase(number);
}

std::size_t SegmentedLog::bytes() const {
    std::size_t all = 0;
    for (const auto& [number, size] : segments_) all += size;
    return all;
}

}   // namespace slatejunction::storage
