// The segmented log: order of records, segments truncated at every length, a flipped bit in every byte, and
// a full disk.
#include "storage/segmented_log.hpp"

#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <vector>

#include "files.hpp"

using slatejunction::storage::SegmentedLog;

namespace {

struct ReadResult {
    std::vector<std::string> payloads;
    SegmentedLog::Found found;
};

std::unique_ptr<SegmentedLog> open(const Folder& folder, ReadResult& result,
                                   SegmentedLog::Writer writer = {}) {
    return std::make_unique<SegmentedLog>(
        folder.path(), "j", 64,
        [&](std::uint64_t, std::uint32_t type, std::string_view payload) {
            result.payloads.push_back(std::to_string(type) + std::string(payload));
        },
        result.found, std::move(writer));
}

}   // namespace

TEST_CASE("records are read in order across segments, without those of removed segments") {
    const Folder folder;
    ReadResult result;
    {
        const auto log = open(folder, result);
        CHECK_FALSE(log->append(1, "no segment yet"));
        for (int i = 0; i < 9; ++i) {
            if (!log->open() || log->full()) REQUIRE(log->begin_segment());
            REQUIRE(log->append(7, "record " + std::to_string(i)));
        }
        REQUIRE(log->segments().size() == 5);
        log->remove_segment(2);
        REQUIRE(log->replace_segment(3, {{8, "instead"}}));
        CHECK_FALSE(log->replace_segment(5, {}));   // the newest is appended to
    }
    const auto log = open(folder, result);
    CHECK(result.payloads == std::vector<std::string>{"7record 0", "7record 1", "8instead", "7record 6",
                                                      "7record 7", "7record 8"});
    CHECK(result.found.cut_bytes == 0);
    CHECK(log->begin_segment());
    CHECK(log->newest() == 6);
}

TEST_CASE("a segment truncated at any length gives the complete records before the cut") {
    const Folder folder;
    ReadResult first;
    {
        const auto log = open(folder, first);
        REQUIRE(log->begin_segment());
        for (const char* text : {"a", "bb", "ccc"}) REQUIRE(log->append(1, text));
    }
    const std::string intact = folder.read("j-1");
    const std::vector<std::size_t> ends{24, 24 + 17, 24 + 17 + 18, 24 + 17 + 18 + 19};
    REQUIRE(intact.size() == ends.back());
    for (std::size_t size = 0; size <= intact.size(); ++size) {
        folder.write("j-1", intact.substr(0, size));
        ReadResult result;
        open(folder, result);
        std::size_t records = 0;
        for (std::size_t i = 1; i < ends.size(); ++i) records += size >= ends[i];
        REQUIRE(result.payloads.size() == records);
        REQUIRE(result.found.broken.size() == (size < 24 ? 1 : 0));
        if (size >= 24) REQUIRE(result.found.cut_bytes == size - ends[records]);
        for (const std::string& path : result.found.broken) std::filesystem::remove(path);
    }
}

TEST_CASE("a flipped bit in any byte never gives a record that was not written") {
    const Folder folder;
    ReadResult first;
    {
        const auto log = open(folder, first);
        REQUIRE(log->begin_segment());
        for (const char* text : {"a", "bb", "ccc"}) REQUIRE(log->append(1, text));
    }
    const std::string intact = folder.read("j-1");
    const std::vector<std::string> written{"1a", "1bb", "1ccc"};
    for (std::size_t at = 0; at < intact.size(); ++at) {
        std::string flipped = intact;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x04);
        folder.write("j-1", flipped);
        ReadResult result;
        open(folder, result);
        REQUIRE(result.payloads.size() < 3);
        for (std::size_t i = 0; i < result.payloads.size(); ++i) REQUIRE(result.payloads[i] == written[i]);
        REQUIRE(result.found.broken.size() + result.found.cut_bytes > 0);
        for (const std::string& path : result.found.broken) std::filesystem::remove(path);
    }
}

TEST_CASE("a full disk leaves no partial record, and appending continues once there is space") {
    const Folder folder;
    std::int64_t space = 60;
    const SegmentedLog::Writer writer = [&](int fd, const void* data, std::size_t size) -> std::int64_t {
        if (space == 0) return errno = ENOSPC, -1;
        const auto some = std::min<std::size_t>(size, static_cast<std::size_t>(space));
        space -= static_cast<std::int64_t>(some);
        return ::write(fd, data, some);
    };
    ReadResult result;
    {
        const auto log = open(folder, result, writer);
        REQUIRE(log->begin_segment());
        REQUIRE(log->append(1, "first"));
        CHECK_FALSE(log->append(1, "a record longer than the space"));
        CHECK(log->last_error() == "No space left on device");
        CHECK_FALSE(log->begin_segment());
        space = 1000;
        REQUIRE(log->append(1, "second"));
    }
    open(folder, result);
    CHECK(result.payloads == std::vector<std::string>{"1first", "1second"});
    CHECK(result.found.cut_bytes == 0);
}
