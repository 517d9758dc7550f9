// The homes' files: whole after a kill, cut at every length, flipped at every byte, a disk that is full.
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

// A disk that takes so many bytes and no more.
struct Disk {
    std::int64_t room = 1 << 20;
    slatejunction::storage::SegmentedLog::Writer writer() {
        return [this](int fd, const void* data, std::size_t size) -> std::int64_t {
            if (room == 0) return errno = ENOSPC, -1;
            const auto some = std::min<std::size_t>(size, static_cast<std::size_t>(room));
            room -= static_cast<std::int64_t>(some);
            return ::write(fd, data, some);
        };
    }
};

// Each file of a folder but its lock, in the order of names.
std::vector<std::string> files_of(const Folder& folder) {
    std::vector<std::string> all;
    for (const auto& one : std::filesystem::directory_iterator(folder.path()))
        all.push_back(one.path().filename().string());
    std::sort(all.begin(), all.end());
    return all;
}

// A follower's folder with a snapshot up to 3, then versions 4, 5 to 6 (one batch) and 7.
void write_follower(const Folder& folder) {
    FollowerFileStorage files(folder.path());
    REQUIRE(files.replace(log_of(3)));
    REQUIRE(files.append({put(4, "v4")}));
    REQUIRE(files.append({put(5, "v5"), put(6, "v6")}));
    REQUIRE(files.append({put(7, "v7")}));
}

}   // namespace

TEST_CASE("a follower finds the last version that it kept, and goes on from there", "[rollout]") {
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

TEST_CASE("a follower's files cut at any length or flipped at any byte give whole versions only",
          "[rollout]") {
    const std::set<std::uint64_t> whole{0, 3, 4, 6, 7};
    const Folder first;
    write_follower(first);
    for (const std::string& name : files_of(first)) {
        const std::string bytes = first.read(name);
        for (std::size_t at = 0; at <= bytes.size(); ++at) {
            for (const bool cut : {true, false}) {
                std::string spoilt = cut ? bytes.substr(0, at) : bytes;
                if (!cut && at == bytes.size()) continue;
                if (!cut) spoilt[at] = static_cast<char>(spoilt[at] ^ 0x04);
                const Folder folder;
                for (const std::string& other : files_of(first)) folder.write(other, first.read(other));
                folder.write(name, spoilt);
                Version found;
                {
                    FollowerFileStorage files(folder.path());
                    const FollowerStored stored = files.take_stored();
                    found = stored.log.last();
                    INFO(name << " at " << at << (cut ? " cut" : " flipped"));
                    REQUIRE(whole.contains(found.number));
                    REQUIRE(found == log_of(found.number).last());
                    REQUIRE(stored.log.state_at(found.number) ==
                            log_of(found.number).state_at(found.number));
                    REQUIRE(files.append({put(found.number + 1, "v" + std::to_string(found.number + 1))}));
                }
                // What was kept after that is found, whatever lay there.
                REQUIRE(FollowerFileStorage(folder.path()).take_stored().log.last() ==
                        log_of(found.number + 1).last());
            }
        }
    }
}

TEST_CASE("a follower's full disk keeps what was kept, and goes on once there is room", "[rollout]") {
    const Folder folder;
    Disk disk;
    {
        FollowerFileStorage files(folder.path(), disk.writer());
        REQUIRE(files.append({put(1, "v1")}));
        disk.room = 10;
        CHECK_FALSE(files.append({put(2, "v2")}));
        CHECK(files.file().last_error() == "No space left on device");
        CHECK_FALSE(files.replace(log_of(2)));
    }
    CHECK(FollowerFileStorage(folder.path()).take_stored().log.last() == log_of(1).last());
    disk.room = 1 << 20;
    {
        FollowerFileStorage files(folder.path(), disk.writer());
        REQUIRE(files.append({put(2, "v2")}));
    }
    CHECK(FollowerFileStorage(folder.path()).take_stored().log.last() == log_of(2).last());
}

TEST_CASE("a replica remembers what it promised and took, and what it dropped stays dropped", "[rollout]") {
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

TEST_CASE("a replica whose files are cut, flipped or gone never says that it remembers", "[rollout]") {
    const Folder first;
    {
        ReplicaFileStorage files(first.path());
        REQUIRE(files.append({put(1, "v1"), put(2, "v2")}));
        REQUIRE(files.append({put(3, "v3")}));
        REQUIRE(files.save_promise(9, true));
    }
    for (const std::string& name : files_of(first)) {
        const std::string bytes = first.read(name);
        // The last step: the file is gone.
        for (std::size_t at = 0; at <= bytes.size(); ++at) {
            const bool gone = at == bytes.size();
            for (const bool cut : {true, false}) {
                std::string spoilt = cut ? bytes.substr(0, at) : bytes;
                if (!cut && gone) continue;
                if (!cut) spoilt[at] = static_cast<char>(spoilt[at] ^ 0x04);
                const Folder folder;
                for (const std::string& other : files_of(first)) folder.write(other, first.read(other));
                folder.write(name, spoilt);
                if (gone) std::filesystem::remove(folder.file(name));
                // A record cut off right behind another one can't be told from one that never was.
                ReplicaStored stored;
                {
                    ReplicaFileStorage files(folder.path());
                    stored = files.take_stored();
                }
                INFO(name << " at " << at << (gone ? " gone" : cut ? " cut" : " flipped"));
                const bool clean_end = cut && !gone && stored.log.last().number < 3 &&
                                       name.starts_with("replica-") && stored.storage_intact;
                if (!clean_end) REQUIRE_FALSE(stored.storage_intact);
                REQUIRE(stored.log.last() == log_of(stored.log.last().number).last());
                // Nor at any later start, though the files have been mended.
                if (!clean_end)
                    REQUIRE_FALSE(ReplicaFileStorage(folder.path()).take_stored().storage_intact);
            }
        }
    }
}

TEST_CASE("a replica's full disk: nothing is promised or taken that is not found again", "[rollout]") {
    const Folder folder;
    Disk disk;
    ReplicaFileStorage files(folder.path(), disk.writer());
    REQUIRE(files.append({put(1, "v1")}));
    REQUIRE(files.save_promise(3, true));
    disk.room = 5;
    CHECK_FALSE(files.append({put(2, "v2")}));
    CHECK_FALSE(files.truncate(0));
    CHECK_FALSE(files.replace(log_of(2), 2));
    CHECK(files.last_error() == "No space left on device");
    disk.room = 1 << 20;
    REQUIRE(files.append({put(2, "v2")}));
    ReplicaFileStorage later(folder.path());
    const ReplicaStored stored = later.take_stored();
    CHECK(stored.storage_intact);
    CHECK(stored.log.last() == log_of(2).last());
}
