// Figures in a file: killed processes, cut and flipped files, other versions, two owners.
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

TEST_CASE("figures go on by name, new ones begin at 0 and others are dropped") {
    const Folder folder;
    const std::string path = folder.file("cells");
    {
        PersistentCounters cells(path, {"a", "b", "c"}, 100);
        const std::array<PersistentCounters::Change, 2> changes{{{0, 1.5}, {2, 3}}};
        cells.apply(changes);
        cells.set(1, 7);
        CHECK(cells.created_ms() == 100);
    }
    PersistentCounters cells(path, {"c", "d", "a"}, 200);
    CHECK(cells.get(0) == 3);
    CHECK(cells.get(1) == 0);
    CHECK(cells.get(2) == 1.5);
    CHECK(cells.created_ms() == 100);
    CHECK(cells.dropped() == 1);
    CHECK(cells.broken().empty());
}

TEST_CASE("a process killed anywhere has counted all of an update or nothing, a hundred times") {
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
            PersistentCounters cells(path, names(40), 1);
            char ready = 1;
            if (::write(ends[1], &ready, 1) != 1) ::_exit(1);
            for (std::uint64_t i = 1;; ++i) {   // each update: the same to 12 figures; what is done is told
                std::array<PersistentCounters::Change, 12> changes;
                for (std::uint32_t k = 0; k < changes.size(); ++k) changes[k] = {3 * k, 1};
                cells.apply(changes);
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
        double told = 0;
        while (::read(ends[0], &byte, 1) == 1) told += 64;
        ::close(ends[0]);
        PersistentCounters cells(path, names(40), 2);
        REQUIRE(cells.broken().empty());
        REQUIRE(cells.get(0) >= counted + told);
        counted = cells.get(0);
        for (std::size_t k = 0; k < 12; ++k) REQUIRE(cells.get(3 * k) == counted);
        REQUIRE(cells.get(1) == 0);
    }
    CHECK(counted > 0);
}

TEST_CASE("a file cut at any length is set aside and never read as figures") {
    const Folder folder;
    const std::string path = folder.file("cells");
    { PersistentCounters(path, names(5), 1).set(2, 9); }
    const std::string whole = folder.read("cells");
    for (std::size_t size = 0; size < whole.size(); ++size) {
        folder.write("cells", whole.substr(0, size));
        const PersistentCounters cells(path, names(5), 50);
        REQUIRE(cells.broken() == path + ".broken-1");
        REQUIRE(cells.get(2) == 0);
        REQUIRE(cells.created_ms() == 50);
        REQUIRE(folder.read("cells.broken-1").size() == size);
        std::filesystem::remove(cells.broken());
    }
}

TEST_CASE("a file flipped at any byte is set aside, or the flip is in no figure") {
    const Folder folder;
    const std::string path = folder.file("cells");
    {
        PersistentCounters cells(path, names(5), 1);
        for (std::uint32_t i = 0; i < 5; ++i) cells.set(i, 10.0 + i);
    }
    const std::string whole = folder.read("cells");
    std::size_t found = 0;
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string flipped = whole;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
        folder.write("cells", flipped);
        const PersistentCounters cells(path, names(5), 50);
        if (cells.broken().empty()) {
            for (std::size_t i = 0; i < 5; ++i) REQUIRE(cells.get(i) == 10.0 + static_cast<double>(i));
            continue;
        }
        ++found;
        REQUIRE(cells.get(2) == 0);
        std::filesystem::remove(cells.broken());
    }
    // All but the entries of the redo list, which mean nothing while it is not armed.
    CHECK(found == whole.size() - (64 * 16 + 16));
}

TEST_CASE("a file of another version is told of and left alone") {
    const Folder folder;
    const std::string path = folder.file("cells");
    { PersistentCounters cells(path, names(3), 1); }
    std::string bytes = folder.read("cells");
    bytes[8] = 2;
    const std::uint64_t check = slatejunction::storage::checksum(bytes.data(), 16);
    bytes.replace(16, 8, reinterpret_cast<const char*>(&check), 8);
    folder.write("cells", bytes);
    CHECK_THROWS_WITH(PersistentCounters(path, names(3), 1), path + " has version 2; this program knows 1");
    CHECK(folder.read("cells") == bytes);
}

TEST_CASE("a state directory has one owner, and has to be one that can be written") {
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
