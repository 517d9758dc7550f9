// Configuration files drawn at random, from a seed: most fields as they should be, some missing, some odd.
#pragma once

#include <random>
#include <string>
#include <utility>
#include <vector>

namespace drawn {

// Draws one file: each field is as it should be, missing, or something else altogether.
class Drawer {
  public:
    explicit Drawer(std::uint32_t seed) : random_(seed) {
        rate_ = std::vector<std::size_t>{0, 500, 100, 20}[seed % 4];
    }
    std::string draw() {
        return object({{"name", text()},
                       {"listen", text()},
                       {"seed", word({"\"8c1f\"", "\"\""}, one({"\"g\"", "\"10000000000000000\""}))},
                       {"admin_addr", text()},
                       {"counter", one({"\"127.0.0.1:7\"", "\"\"", "null"})},
                       {"limits", object({{"sockets", one({"64", "256", "1e308", "63.9"})},
                                          {"memory_mb", needed()}})},
                       {"known", known()},
                       {"settings", settings()}});
    }

  private:
    using Fields = std::vector<std::pair<std::string, std::string>>;
    std::size_t below(std::size_t most) { return random_() % most; }
    std::string one(const std::vector<std::string>& all) { return all[below(all.size())]; }
    // Whether something is to be amiss here; in some files seldom, in some never.
    bool amiss() { return rate_ > 0 && below(rate_) == 0; }
    std::string odd() {
        return one({"null", "true", "\"NaN\"", "-1", "0", "1e308", "-1e308", "9223372036854775808",
                    "18446744073709551616", "1e-320", "[]", "{}", "[[[]]]", "\"\"",
                    "\"" + std::string(200, 'x') + "\"", "\"h\xc3\xa9\xe2\x82\xac\"", "\"a\\u0000b\""});
    }
    std::string number() {
        if (amiss()) return odd();
        return one({"1", "0.25", "3", "1000", "0", "-2", "1e18", "1e308", "-1e308", "1e-320", "null",
                    "9223372036854775808", "18446744073709551616"});
    }
    std::string needed() {   // a figure above 0
        if (amiss()) return odd();
        return one({"1", "0.25", "64", "256", "1e15", "1e18", "1e308", "18446744073709551616"});
    }
    std::string text() {
        if (amiss()) return odd();
        return one({"\"r\"", "\"w\"", "\"x y\"", "\"\xc3\xa9\"", "\"" + std::string(200, 'x') + "\"",
                    "\"a\\u0000b\""});
    }
    // One of a few words; `wrong` seldom.
    std::string word(const std::vector<std::string>& good, const std::string& wrong) {
        return amiss() ? wrong : one(good);
    }
    std::string object(const Fields& fields) {
        if (amiss()) return odd();
        std::string all;
        for (const auto& [name, value] : fields) {
            if (amiss()) continue;
            all += (all.empty() ? "\"" : ",\"") + name + "\":" + value;
        }
        return "{" + all + (all.empty() ? "" : ",") + "\"unknown\":" + odd() + "}";
    }
    template <class Make>
    std::string list(std::size_t most, Make make) {
        std::string all;
        for (std::size_t left = 1 + below(most); left > 0; --left) all += make() + (left > 1 ? "," : "");
        return "[" + all + "]";
    }
    std::string known() {
        return object({{"revision", number()},
                       {"complete", word({"true", "false"}, "0")},
                       {"members", list(4, [this] {
                            return object({{"id", text()},
                                           {"host_port", one({"\"127.0.0.1:9\"", "\"::1\"", "7"})},
                                           {"phase", one({"\"Ready\"", "\"Gone\"", "\"?\""})},
                                           {"cell", number()},
                                           {"size", number()},
                                           {"up_since_ms", number()}});
                        })}});
    }
    std::string settings() {
        const auto service = [this] {
            return object({{"Name", text()},
                           {"AimS", needed()},
                           {"DeadlineS", number()},
                           {"Effect", word({"\"pure\"", "\"token\"", "\"side_effect\""}, "\"\"")},
                           {"Group", word({"\"all\"", "\"zone\"", "\"cell\"", "\"\""}, "\"?\"")},
                           {"WindowS", number()},
                           {"Stream", word({"true", "false"}, "1")},
                           {"Worth", number()}});
        };
        const auto plan = [this] {
            return object({{"Name", text()},
                           {"UnitsPerS", number()},
                           {"Depth", number()},
                           {"CeilingRate", number()},
                           {"MaxOut", number()},
                           {"Price", number()}});
        };
        return object(
            {{"Services", list(below(8) == 0 ? 61 : 3, service)},
             {"Contracts", list(4, plan)},
             {"Balancers", needed()},
             {"MyNumber", number()},
             {"QuantumS", number()},
             {"Discovery", word({"\"automatic\"", "\"subscribe\"", "\"\""}, "\"?\"")},
             {"Telemetry", object({{"How", text()}, {"Fields", list(3, [&] { return text(); })}})},
             {"FamilyInfo", object({{"MeterPeriodS", number()}, {"UnitsTop", number()}})},
             {"Limits", object({{"AttemptsCap", needed()},
                                {"MaxRetryAfterS", number()},
                                {"MaxOpen", number()},
                                {"DialTimeoutS", needed()},
                                {"KeepaliveS", needed()}})},
             {"Rules", object({{"ColdFrom", number()}, {"FallS", number()}})}});
    }
    std::mt19937 random_;
    std::size_t rate_ = 0;   // one in so many is amiss; 0: none
};

}   // namespace drawn
