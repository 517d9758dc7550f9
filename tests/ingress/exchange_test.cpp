// Every file of exchanges/ is one test.
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <vector>

#include "player.hpp"

TEST_CASE("recorded exchanges") {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(EXCHANGES))
        if (entry.path().extension() == ".txt") files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    REQUIRE(files.size() > 0);
    for (const std::string& file : files) {
        DYNAMIC_SECTION(file) { play(file); }
    }
}
