#include "storage/segmented_log.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>

namespace slatejunction::storage {
namespace {

constexpr std::uint64_t kMagic = 0x4c4e524a4c4a4c53ULL;   // "SLJLJRNL"
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kRecordMost = 16 << 20;   // bytes; a larger size is a broken one

struct Header {
    std::uint64_t magic, version, check;   // check: of the two before it
};

struct Frame {
    std::uint32_t size, type;
    std::uint64_t check;   // of size, type and payload, seeded with the segment's number
};

std::uint64_t check_record(std::uint64_t number, std::uint32_t type, std::string_view payload) {
    const std::uint32_t both[2] = {static_cast<std::uint32_t>(payload.size()), type};
    return checksum(payload.data(), payload.size(), checksum(both, sizeof both, number));
}

}   // namespace

SegmentedLog::SegmentedLog(std::string path, std::string name, std::size_t segment_bytes,
                           const std::function<void(std::uint64_t, std::uint32_t, std::string_view)>& visit,
                           Found& found, Writer writer)
    : path_(std::move(path)),
      name_(std::move(name)),
      segment_bytes_(segment_bytes),
      writer_(std::move(writer)) {
    const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(path_.c_str()), ::closedir);
    if (!folder) throw Error(path_ + " can't be read: " + std::strerror(errno));
    while (const dirent* entry = ::readdir(folder.get())) {
        const std::string_view file = entry->d_name;
        if (!file.starts_with(name_ + "-")) continue;
        const std::string_view digits = file.substr(name_.size() + 1);
        std::uint64_t number = 0;
        const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (fault == std::errc() && end == digits.data() + digits.size()) segments_[number] = 0;
    }
    for (auto at = segments_.begin(); at != segments_.end();) {
        const std::uint64_t number = at->first;
        std::ifstream in(path_of(number), std::ios::binary);
        std::stringstream all;
        all << in.rdbuf();
        const std::string bytes = all.str();
        Header header{};
        std::memcpy(&header, bytes.data(), std::min(bytes.size(), sizeof header));
        newest_ = std::max(newest_, number);
        if (bytes.size() < sizeof header || header.magic != kMagic ||
            header.check != checksum(&header, 16)) {
            found.broken.push_back(set_aside(path_of(number)));
            at = segments_.erase(at);
            continue;
        }
        if (header.version != kVersion)
            throw Error(path_of(number) + " has version " + std::to_string(header.version) +
                        "; this program knows " + std::to_string(kVersion));
        std::size_t place = sizeof header;
        Frame one{};
        while (bytes.size() - place >= sizeof one) {
            std::memcpy(&one, bytes.data() + place, sizeof one);
            if (one.size > kRecordMost || bytes.size() - place - sizeof one < one.size) break;
            const std::string_view payload(bytes.data() + place + sizeof one, one.size);
            if (one.check != check_record(number, one.type, payload)) break;
            visit(number, one.type, payload);
            ++found.records;
            place += sizeof one + one.size;
        }
        found.cut_bytes += bytes.size() - place;
        at->second = bytes.size();
        ++at;
    }
}

std::string SegmentedLog::path_of(std::uint64_t number) const {
    return path_ + "/" + name_ + "-" + std::to_string(number);
}

std::string SegmentedLog::header() {
    Header header{kMagic, kVersion, 0};
    header.check = checksum(&header, 16);
    return {reinterpret_cast<const char*>(&header), sizeof header};
}

void SegmentedLog::frame(std::string& out, std::uint64_t number, std::uint32_t type,
                         std::string_view payload) {
    const Frame one{static_cast<std::uint32_t>(payload.size()), type, check_record(number, type, payload)};
    out.append(reinterpret_cast<const char*>(&one), sizeof one);
    out += payload;
}

bool SegmentedLog::put(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const std::int64_t done =
            writer_ ? writer_(fd, bytes.data(), bytes.size()) : ::write(fd, bytes.data(), bytes.size());
        if (done < 0 && errno == EINTR) continue;
        if (done <= 0) {
            why_ = std::strerror(done < 0 ? errno : ENOSPC);
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(done));
    }
    return true;
}

bool SegmentedLog::begin() {
    const std::uint64_t number = newest_ + 1;
    File file(::open(path_of(number).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    if (!file) {
        why_ = std::strerror(errno);
        return false;
    }
    const std::string bytes = header();
    if (!put(file.get(), bytes)) {
        ::unlink(path_of(number).c_str());
        return false;
    }
    file_ = std::move(file);
    newest_ = number;
    segments_[number] = newest_size_ = bytes.size();
    return true;
}

bool SegmentedLog::append(std::uint32_t type, std::string_view payload) {
    if (!file_) return false;
    std::string bytes;
    frame(bytes, newest_, type, payload);
    if (!put(file_.get(), bytes)) {
        // Half a record would hide all that follows it.
        if (::ftruncate(file_.get(), static_cast<off_t>(newest_size_)) != 0) file_ = File();
        return false;
    }
    segments_[newest_] = newest_size_ += bytes.size();
    return true;
}

bool SegmentedLog::replace(std::uint64_t number, const std::vector<Record>& records) {
    if (number == newest_ || !segments_.contains(number)) return false;
    std::string bytes = header();
    for (const Record& one : records) frame(bytes, number, one.type, one.payload);
    const std::string fresh = path_of(number) + ".new";
    File file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file) why_ = std::strerror(errno);
    if (!file || !put(file.get(), bytes) || std::rename(fresh.c_str(), path_of(number).c_str()) != 0) {
        ::unlink(fresh.c_str());
        return false;
    }
    segments_[number] = bytes.size();
    return true;
}

void SegmentedLog::drop(std::uint64_t number) {
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
