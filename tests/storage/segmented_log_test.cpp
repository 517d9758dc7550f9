// Records in segments: cut at every length, flipped at every byte, a disk that is full, other versions.
#include "storage/segmented_log.hpp"

#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <vector>

#include "files.hpp"

using slatejunction::storage::SegmentedLog;

namespace {

struct Read {
    std::vector<std::string> payloads;
    SegmentedLog::Found found;
};

std::unique_ptr<SegmentedLog> open(const Folder& folder, Read& read, SegmentedLog::Writer writer = {}) {
    return std::make_unique<SegmentedLog>(
        folder.path(), "j", 64,
        [&](std::uint64_t, std::uint32_t type, std::string_view payload) {
            read.payloads.push_back(std::to_string(type) + std::string(payload));
        },
        read.found, std::move(writer));
}

}   // namespace

TEST_CASE("records come back in order over segments, and dropped segments are gone") {
    const Folder folder;
    Read read;
    {
        const auto journal = open(folder, read);
        CHECK_FALSE(journal->append(1, "no segment yet"));
        for (int i = 0; i < 9; ++i) {
            if (!journal->open() || journal->full()) REQUIRE(journal->begin_segment());
            REQUIRE(journal->append(7, "record " + std::to_string(i)));
        }
        REQUIRE(journal->segments().size() == 5);
        journal->remove_segment(2);
        REQUIRE(journal->replace_segment(3, {{8, "instead"}}));
        CHECK_FALSE(journal->replace_segment(5, {}));   // the newest is appended to
    }
    const auto journal = open(folder, read);
    CHECK(read.payloads == std::vector<std::string>{"7record 0", "7record 1", "8instead", "7record 6",
                                                    "7record 7", "7record 8"});
    CHECK(read.found.cut_bytes == 0);
    CHECK(journal->begin_segment());
    CHECK(journal->newest() == 6);
}

TEST_CASE("a segment cut at any length gives the whole records before the cut") {
    const Folder folder;
    Read first;
    {
        const auto journal = open(folder, first);
        REQUIRE(journal->begin_segment());
        for (const char* text : {"a", "bb", "ccc"}) REQUIRE(journal->append(1, text));
    }
    const std::string whole = folder.read("j-1");
    const std::vector<std::size_t> ends{24, 24 + 17, 24 + 17 + 18, 24 + 17 + 18 + 19};
    REQUIRE(whole.size() == ends.back());
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        folder.write("j-1", whole.substr(0, size));
        Read read;
        open(folder, read);
        std::size_t records = 0;
        for (std::size_t i = 1; i < ends.size(); ++i) records += size >= ends[i];
        REQUIRE(read.payloads.size() == records);
        REQUIRE(read.found.broken.size() == (size < 24 ? 1 : 0));
        if (size >= 24) REQUIRE(read.found.cut_bytes == size - ends[records]);
        for (const std::string& path : read.found.broken) std::filesystem::remove(path);
    }
}

TEST_CASE("a byte flipped anywhere never gives a record that was not written") {
    const Folder folder;
    Read first;
    {
        const auto journal = open(folder, first);
        REQUIRE(journal->begin_segment());
        for (const char* text : {"a", "bb", "ccc"}) REQUIRE(journal->append(1, text));
    }
    const std::string whole = folder.read("j-1");
    const std::vector<std::string> written{"1a", "1bb", "1ccc"};
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string flipped = whole;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x04);
        folder.write("j-1", flipped);
        Read read;
        open(folder, read);
        REQUIRE(read.payloads.size() < 3);
        for (std::size_t i = 0; i < read.payloads.size(); ++i) REQUIRE(read.payloads[i] == written[i]);
        REQUIRE(read.found.broken.size() + read.found.cut_bytes > 0);
        for (const std::string& path : read.found.broken) std::filesystem::remove(path);
    }
}

TEST_CASE("a full disk leaves no half record, and appending goes on once there is room") {
    const Folder folder;
    std::int64_t room = 60;
    const SegmentedLog::Writer writer = [&](int fd, const void* data, std::size_t size) -> std::int64_t {
        if (room == 0) return errno = ENOSPC, -1;
        const auto some = std::min<std::size_t>(size, static_cast<std::size_t>(room));
        room -= static_cast<std::int64_t>(some);
        return ::write(fd, data, some);
    };
    Read read;
    {
        const auto journal = open(folder, read, writer);
        REQUIRE(journal->begin_segment());
        REQUIRE(journal->append(1, "first"));
        CHECK_FALSE(journal->append(1, "a record longer than the room"));
        CHECK(journal->last_error() == "No space left on device");
        CHECK_FALSE(journal->begin_segment());
        room = 1000;
        REQUIRE(journal->append(1, "second"));
    }
    open(folder, read);
    CHECK(read.payloads == std::vector<std::string>{"1first", "1second"});
    CHECK(read.found.cut_bytes == 0);
}
