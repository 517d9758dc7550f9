// Tests of the stored files of followers and replicas: after a kill, truncated at every length, corrupted
// at every byte, and on a full disk.
#include "rollout/file_storage.hpp"

#include <catch2/catch.hpp>
#include <cerrno>
#include <set>
#include <string>
#include <vector>

#include "files.hpp"

using namespace slatejunction::rollout;

namespace {

Record put(std::uint64_t number, const std::string& value, std::uint64_t term = 1) {
    return {number, term, RecordKind::put, "limit a", value, 0};
}

Log log_of(std::uint64_t records) {
    Log log;
    for (std::uint64_t i = 1; i <= records; ++i) REQUIRE(log.push(put(i, "v" + std::to_string(i))));
    return log;
}

// A disk with limited space, in bytes.
struct Disk {
    std::int64_t space = 1 << 20;
    slatejunction::storage::SegmentedLog::Writer writer() {
        return [this](int fd, const void* data, std::size_t size) -> std::int64_t {
            if (space == 0) return errno = ENOSPC, -1;
            const auto written = std::min<std::size_t>(size, static_cast<std::size_t>(space));
            space -= static_cast<std::int64_t>(written);
            return ::write(fd, data, written);
        };
    }
};

// Returns the names of all files of a directory in order.
std::vector<std::string> files_of(const Folder& folder) {
    std::vector<std::string> all;
    for (const auto& entry : std::filesystem::directory_iterator(folder.path()))
        all.push_back(entry.path().filename().string());
    std::sort(all.begin(), all.end());
    return all;
}

// Stores a follower's snapshot at version 3, then records 4, 5 and 6 (in one append), and 7.
void write_follower(const Folder& folder) {
    FollowerFileStorage files(folder.path());
    REQUIRE(files.replace(log_of(3)));
    REQUIRE(files.append({put(4, "v4")}));
    REQUIRE(files.append({put(5, "v5"), put(6, "v6")}));
    REQUIRE(files.append({put(7, "v7")}));
}

}   // namespace

TEST_CASE("a follower restores its last stored version and appends to it", "[rollout]") {
    const Folder folder;
    write_follower(folder);
    {
        FollowerFileStorage files(folder.path());
        CHECK(files.file().set_aside().empty());
        const FollowerStored stored = files.take_stored();
        CHECK(stored.log.last() == log_of(7).last());
        CHECK(stored.log.state_at(7) == State{{"limit a", "v7"}});
        REQUIRE(files.append({put(8, "v8")}));
    }
    CHECK(FollowerFileStorage(folder.path()).take_stored().log.last() == log_of(8).last());
}

TEST_CASE("a follower's files, truncated or corrupted at any byte, yield complete versions only",
          "[rollout]") {
    const std::set<std::uint64_t> complete{0, 3, 4, 6, 7};
    const Folder first;
    write_follower(first);
    for (const std::string& name : files_of(first)) {
        const std::string bytes = first.read(name);
        for (std::size_t at = 0; at <= bytes.size(); ++at) {
            for (const bool truncated : {true, false}) {
                std::string damaged = truncated ? bytes.substr(0, at) : bytes;
                if (!truncated && at == bytes.size()) continue;
                if (!truncated) damaged[at] = static_cast<char>(damaged[at] ^ 0x04);
                const Folder folder;
                for (const std::string& other : files_of(first)) folder.write(other, first.read(other));
                folder.write(name, damaged);
                Version found;
                {
                    FollowerFileStorage files(folder.path());
                    const FollowerStored stored = files.take_stored();
                    found = stored.log.last();
                    INFO(name << " at " << at << (truncated ? " truncated" : " corrupted"));
                    REQUIRE(complete.contains(found.number));
                    REQUIRE(found == log_of(found.number).last());
                    REQUIRE(stored.log.state_at(found.number) ==
                            log_of(found.number).state_at(found.number));
                    REQUIRE(files.append({put(found.number + 1, "v" + std::to_string(found.number + 1))}));
                }
                // A record appended afterwards is found at the next start.
                REQUIRE(FollowerFileStorage(folder.path()).take_stored().log.last() ==
                        log_of(found.number + 1).last());
            }
        }
    }
}

TEST_CASE(
    "a follower keeps its stored versions while the disk is full, and stores more once there is space",
    "[rollout]") {
    const Folder folder;
    Disk disk;
    {
        FollowerFileStorage files(folder.path(), disk.writer());
        REQUIRE(files.append({put(1, "v1")}));
        disk.space = 10;
        CHECK_FALSE(files.append({put(2, "v2")}));
        CHECK(files.file().last_error() == "No space left on device");
        CHECK_FALSE(files.replace(log_of(2)));
    }
    CHECK(FollowerFileStorage(folder.path()).take_stored().log.last() == log_of(1).last());
    disk.space = 1 << 20;
    {
        FollowerFileStorage files(folder.path(), disk.writer());
        REQUIRE(files.append({put(2, "v2")}));
    }
    CHECK(FollowerFileStorage(folder.path()).take_stored().log.last() == log_of(2).last());
}

TEST_CASE("a replica restores its promise and log, and truncated records stay removed", "[rollout]") {
    const Folder folder;
    {
        ReplicaFileStorage files(folder.path());
        const ReplicaStored stored = files.take_stored();
        CHECK_FALSE(stored.storage_intact);   // a new disk
        CHECK(stored.promised == 0);
        REQUIRE(files.append({put(1, "v1"), put(2, "v2"), put(3, "x")}));
        REQUIRE(files.truncate(2));
        REQUIRE(files.append({put(3, "v3")}));
        REQUIRE(files.save_promise(9, true));
    }
    ReplicaFileStorage files(folder.path());
    const ReplicaStored stored = files.take_stored();
    CHECK(stored.storage_intact);
    CHECK(stored.promised == 9);
    CHECK(stored.log.last() == log_of(3).last());
    REQUIRE(files.replace(log_of(5), 4));
    ReplicaFileStorage later(folder.path());
    CHECK(later.take_stored().commit_index == 4);
}

TEST_CASE("a replica with truncated, corrupted or missing files never reports intact storage",
          "[rollout]") {
    const Folder first;
    {
        ReplicaFileStorage files(first.path());
        REQUIRE(files.append({put(1, "v1"), put(2, "v2")}));
        REQUIRE(files.append({put(3, "v3")}));
        REQUIRE(files.save_promise(9, true));
    }
    for (const std::string& name : files_of(first)) {
        const std::string bytes = first.read(name);
        // In the last step the file is missing.
        for (std::size_t at = 0; at <= bytes.size(); ++at) {
            const bool missing = at == bytes.size();
            for (const bool truncated : {true, false}) {
                std::string damaged = truncated ? bytes.substr(0, at) : bytes;
                if (!truncated && missing) continue;
                if (!truncated) damaged[at] = static_cast<char>(damaged[at] ^ 0x04);
                const Folder folder;
                for (const std::string& other : files_of(first)) folder.write(other, first.read(other));
                folder.write(name, damaged);
                if (missing) std::filesystem::remove(folder.file(name));
                // A segment that ends cleanly after a record cannot be told from one that was never longer.
                ReplicaStored stored;
                {
                    ReplicaFileStorage files(folder.path());
                    stored = files.take_stored();
                }
                INFO(name << " at " << at
                          << (missing     ? " missing"
                              : truncated ? " truncated"
                                          : " corrupted"));
                const bool clean_end = truncated && !missing && stored.log.last().number < 3 &&
                                       name.starts_with("replica-") && stored.storage_intact;
                if (!clean_end) REQUIRE_FALSE(stored.storage_intact);
                REQUIRE(stored.log.last() == log_of(stored.log.last().number).last());
                // The same holds at the next start, although the files have been rewritten.
                if (!clean_end)
                    REQUIRE_FALSE(ReplicaFileStorage(folder.path()).take_stored().storage_intact);
            }
        }
    }
}

TEST_CASE("a replica's failed writes to a full disk leave its stored log unchanged", "[rollout]") {
    const Folder folder;
    Disk disk;
    ReplicaFileStorage files(folder.path(), disk.writer());
    REQUIRE(files.append({put(1, "v1")}));
    REQUIRE(files.save_promise(3, true));
    disk.space = 5;
    CHECK_FALSE(files.append({put(2, "v2")}));
    CHECK_FALSE(files.truncate(0));
    CHECK_FALSE(files.replace(log_of(2), 2));
    CHECK(files.last_error() == "No space left on device");
    disk.space = 1 << 20;
    REQUIRE(files.append({put(2, "v2")}));
    ReplicaFileStorage later(folder.path());
    const ReplicaStored stored = later.take_stored();
    CHECK(stored.storage_intact);
    CHECK(stored.log.last() == log_of(2).last());
}
