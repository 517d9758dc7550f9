// Persistent counters: killed processes, truncated and corrupted files, other versions, and the lock of the
// state directory.
#include "storage/persistent_counters.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <random>
#include <string>
#include <vector>

#include "files.hpp"

using slatejunction::storage::Error;
using slatejunction::storage::PersistentCounters;
using slatejunction::storage::StateDirectory;

namespace {

std::vector<std::string> names(std::size_t count) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < count; ++i) all.push_back("name " + std::to_string(i));
    return all;
}

}   // namespace

TEST_CASE("counters continue by name, new ones start at 0 and others are dropped") {
    const Folder folder;
    const std::string path = folder.file("cells");
    {
        PersistentCounters counters(path, {"a", "b", "c"}, 100);
        const std::array<PersistentCounters::Change, 2> changes{{{0, 1.5}, {2, 3}}};
        counters.apply(changes);
        counters.set(1, 7);
        CHECK(counters.created_ms() == 100);
    }
    PersistentCounters counters(path, {"c", "d", "a"}, 200);
    CHECK(counters.get(0) == 3);
    CHECK(counters.get(1) == 0);
    CHECK(counters.get(2) == 1.5);
    CHECK(counters.created_ms() == 100);
    CHECK(counters.dropped() == 1);
    CHECK(counters.broken().empty());
}

TEST_CASE("a process killed at any point leaves all of an update or nothing, 100 times") {
    const Folder folder;
    const std::string path = folder.file("cells");
    std::mt19937 random(20261201);
    double counted = 0;
    for (int round = 0; round < 100; ++round) {
        int ends[2];
        REQUIRE(::pipe(ends) == 0);
        const ::pid_t child = ::fork();
        REQUIRE(child >= 0);
        if (child == 0) {
            PersistentCounters counters(path, names(40), 1);
            char ready = 1;
            if (::write(ends[1], &ready, 1) != 1) ::_exit(1);
            // Adds 1 to each of 12 counters and reports progress every 64 updates.
            for (std::uint64_t i = 1;; ++i) {
                std::array<PersistentCounters::Change, 12> changes;
                for (std::uint32_t k = 0; k < changes.size(); ++k) changes[k] = {3 * k, 1};
                counters.apply(changes);
                if (i % 64 == 0 && ::write(ends[1], &ready, 1) != 1) ::_exit(1);
            }
        }
        ::close(ends[1]);
        char byte;
        REQUIRE(::read(ends[0], &byte, 1) == 1);
        ::usleep(random() % 2000);
        ::kill(child, SIGKILL);
        int status = 0;
        ::waitpid(child, &status, 0);
        REQUIRE(WIFSIGNALED(status));
        double reported = 0;
        while (::read(ends[0], &byte, 1) == 1) reported += 64;
        ::close(ends[0]);
        PersistentCounters counters(path, names(40), 2);
        REQUIRE(counters.broken().empty());
        REQUIRE(counters.get(0) >= counted + reported);
        counted = counters.get(0);
        for (std::size_t k = 0; k < 12; ++k) REQUIRE(counters.get(3 * k) == counted);
        REQUIRE(counters.get(1) == 0);
    }
    CHECK(counted > 0);
}

TEST_CASE("a file truncated at any length is set aside and its values are not used") {
    const Folder folder;
    const std::string path = folder.file("cells");
    { PersistentCounters(path, names(5), 1).set(2, 9); }
    const std::string intact = folder.read("cells");
    for (std::size_t size = 0; size < intact.size(); ++size) {
        folder.write("cells", intact.substr(0, size));
        const PersistentCounters counters(path, names(5), 50);
        REQUIRE(counters.broken() == path + ".broken-1");
        REQUIRE(counters.get(2) == 0);
        REQUIRE(counters.created_ms() == 50);
        REQUIRE(folder.read("cells.broken-1").size() == size);
        std::filesystem::remove(counters.broken());
    }
}

TEST_CASE("a file with a flipped bit in any byte is set aside, or no counter is affected") {
    const Folder folder;
    const std::string path = folder.file("cells");
    {
        PersistentCounters counters(path, names(5), 1);
        for (std::uint32_t i = 0; i < 5; ++i) counters.set(i, 10.0 + i);
    }
    const std::string intact = folder.read("cells");
    std::size_t found = 0;
    for (std::size_t at = 0; at < intact.size(); ++at) {
        std::string flipped = intact;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
        folder.write("cells", flipped);
        const PersistentCounters counters(path, names(5), 50);
        if (counters.broken().empty()) {
            for (std::size_t i = 0; i < 5; ++i) REQUIRE(counters.get(i) == 10.0 + static_cast<double>(i));
            continue;
        }
        ++found;
        REQUIRE(counters.get(2) == 0);
        std::filesystem::remove(counters.broken());
    }
    // Undetected are only the count, checksum and entries of the redo log, which are unused while it is not
    // armed.
    CHECK(found == intact.size() - (64 * 16 + 16));
}

TEST_CASE("a file of another version is an error and is left unchanged") {
    const Folder folder;
    const std::string path = folder.file("cells");
    { PersistentCounters counters(path, names(3), 1); }
    std::string bytes = folder.read("cells");
    bytes[8] = 2;
    const std::uint64_t check = slatejunction::storage::checksum(bytes.data(), 16);
    bytes.replace(16, 8, reinterpret_cast<const char*>(&check), 8);
    folder.write("cells", bytes);
    CHECK_THROWS_WITH(PersistentCounters(path, names(3), 1),
                      path + " has version 2; this program supports 1");
    CHECK(folder.read("cells") == bytes);
}

TEST_CASE("a state directory is locked by one owner and has to be writable") {
    const Folder folder;
    {
        const StateDirectory first(folder.path());
        CHECK_THROWS_WITH(StateDirectory(folder.path()), folder.path() + " is in use by another process");
    }
    CHECK_NOTHROW(StateDirectory(folder.path()));
    CHECK_THROWS_AS(StateDirectory(folder.file("absent")), Error);
    folder.write("file", "");
    CHECK_THROWS_AS(PersistentCounters(folder.file("file/cells"), names(3), 1), Error);
}
