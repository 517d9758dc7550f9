#include "rules/settings.hpp"

#include <sstream>

namespace slatejunction::rules {

std::vector<std::string> split_words(const std::string& text) {
    std::vector<std::string> words;
    std::istringstream rest(text);
    for (std::string word; std::getline(rest, word, ',');) {
        word.erase(0, word.find_first_not_of(" \t"));
        word.erase(word.find_last_not_of(" \t") + 1);
        if (!word.empty()) words.push_back(word);
    }
    return words;
}

ini::Section Settings::section() {
    ini::Section section("expressions", "Rules are expressions: docs/rules.md. None is set here.");
    section.integer("max_cost", max_cost, 100, 100'000'000, "units",
                    "an expression that may cost more is refused when it is loaded");
    return section;
}

std::vector<ini::Family> Settings::families() {
    const auto needs = [](ini::Section& section, const char* key, const std::string& value) {
        section.whole(
            [key, &value] { return value.empty() ? std::string(key) + ": is missing" : std::string(); });
    };
    std::vector<ini::Family> all;
    all.push_back({"subset", "A named part of the fleet, worked out when the directory's list changes.",
                   [this, needs](const std::string& name) {
                       SubsetSettings& one = subsets.emplace_back();
                       one.name = name;
                       ini::Section section("subset " + name, "");
                       section.lines("providers", one.condition, "a condition on provider.* and gateway.*");
                       section.integer("least", one.min_backends, 1, 1'000'000, "providers",
                                       "with fewer ready ones it counts as empty");
                       needs(section, "providers", one.condition);
                       return section;
                   }});
    all.push_back(
        {"route", "Requests that go to a subset; of those that match the first by order, then by place.",
         [this, needs](const std::string& name) {
             RouteSettings& one = routes.emplace_back();
             one.name = name;
             ini::Section section("route " + name, "");
             section.lines("when", one.when, "a condition on request.* and gateway.*");
             section.text("subset", one.subset, "the subset's name; empty: the whole fleet");
             section.choice("spill", one.fallback, {"never", "empty", "pressed"},
                            "when requests may go to the whole fleet instead");
             section.integer("order", one.order, -1'000'000, 1'000'000, "", "lower ones are tried first");
             needs(section, "when", one.when);
             return section;
         }});
    all.push_back(
        {"limit", "A limit for each value of a key, at this gateway or over the fleet.",
         [this, needs](const std::string& name) {
             LimitSettings& one = limits.emplace_back();
             one.name = name;
             ini::Section section("limit " + name, "");
             section.lines("when", one.when, "a condition on request.* and gateway.*; empty: all requests");
             section.lines("key", one.key, "a string, int, uint, bool or a list of one of them");
             section.real("rate", one.rate, 0, 1e9, "a second", "of each key; 0: no limit of the rate");
             section.real("burst", one.burst, 1, 1e9, "", "what a key that was idle may take at once");
             section.choice("count", one.count, {"requests", "units"}, "what rate and burst count");
             section.choice("scope", one.scope, {"gateway", "fleet"},
                            "whether each gateway keeps it alone, or all together: wants [peers] members");
             section.integer("max_out", one.max_in_flight, 0, 1'000'000, "requests",
                             "of a key open at once; 0: no such limit");
             section.integer("keys_max", one.max_keys, 16, 10'000'000, "keys",
                             "held at once; beyond it the coldest are forgotten");
             section.whole([&one]() -> std::string {
                 if (one.key.empty()) return "key: is missing";
                 if (one.scope == kFleetScope && one.rate <= 0) return "scope: fleet wants a rate";
                 if (one.scope == kFleetScope && one.max_in_flight > 0)
                     return "max_out: is kept at each gateway alone, in a limit of its own";
                 return {};
             });
             return section;
         }});
    all.push_back({"tag", "A word in the request log, and a label of a metric where its values are named.",
                   [this, needs](const std::string& name) {
                       TagSettings& one = tags.emplace_back();
                       one.name = name;
                       ini::Section section("tag " + name, "");
                       section.lines("when", one.when,
                                     "a condition on request.* and gateway.*; empty: all requests");
                       section.lines("value", one.value, "a string");
                       section.text("values", one.values, "those counted under their own name, by commas");
                       needs(section, "value", one.value);
                       return section;
                   }});
    return all;
}

}   // namespace slatejunction::rules
