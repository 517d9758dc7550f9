// Each recorded exchange in exchanges/ is a test case of its own, named after its file.
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "player.hpp"

namespace {

class Exchange final : public Catch::ITestInvoker {
  public:
    explicit Exchange(std::string file) : file_(std::move(file)) {}
    void invoke() const override { play_exchange(file_); }

  private:
    const std::string file_;
};

// Called before main(), as TEST_CASE does. Catch2 owns the invoker from here on.
int register_exchanges() {
    int count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(EXCHANGES)) {
        if (entry.path().extension() != ".txt") continue;
        const std::string name = "exchange " + entry.path().stem().string();
        Catch::AutoReg(new Exchange(entry.path()), CATCH_INTERNAL_LINEINFO, Catch::StringRef(),
                       Catch::NameAndTags(name, "[exchange]"));
        ++count;
    }
    return count;
}

const int registered = register_exchanges();

}   // namespace

TEST_CASE("recorded exchanges are found") { REQUIRE(registered > 50); }
