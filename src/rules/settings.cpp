#include "rules/settings.hpp"

#include <sstream>

namespace slatejunction::rules {

std::vector<std::string> split_words(const std::string& text) {
    std::vector<std::string> words;
    std::istringstream stream(text);
    for (std::string word; std::getline(stream, word, ',');) {
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

namespace {

// Makes the section fail to load if the key's value is empty. `value` must outlive the section.
void require_key(ini::Section& section, const char* key, const std::string& value) {
    section.whole(
        [key, &value] { return value.empty() ? std::string(key) + ": is missing" : std::string(); });
}

template <class Entries>
typename Entries::value_type& add_named(Entries& entries, const std::string& name) {
    auto& entry = entries.emplace_back();
    entry.name = name;
    return entry;
}

ini::Section subset_section(SubsetSettings& subset) {
    ini::Section section("subset " + subset.name, "");
    section.lines("providers", subset.condition, "a condition on provider.* and gateway.*");
    section.integer("least", subset.min_backends, 1, 1'000'000, "providers",
                    "with fewer ready ones it counts as empty");
    require_key(section, "providers", subset.condition);
    return section;
}

ini::Section route_section(RouteSettings& route) {
    ini::Section section("route " + route.name, "");
    section.lines("when", route.when, "a condition on request.* and gateway.*");
    section.text("subset", route.subset, "the subset's name; empty: the whole fleet");
    section.choice("spill", route.fallback, {"never", "empty", "pressed"},
                   "when requests may go to the whole fleet instead");
    section.integer("order", route.order, -1'000'000, 1'000'000, "", "lower ones are tried first");
    require_key(section, "when", route.when);
    return section;
}

ini::Section limit_section(LimitSettings& limit) {
    ini::Section section("limit " + limit.name, "");
    section.lines("when", limit.when, "a condition on request.* and gateway.*; empty: all requests");
    section.lines("key", limit.key, "a string, int, uint, bool or a list of one of them");
    section.real("rate", limit.rate, 0, 1e9, "a second", "of each key; 0: no limit of the rate");
    section.real("burst", limit.burst, 1, 1e9, "", "what a key that was idle may take at once");
    section.choice("count", limit.count, {"requests", "units"}, "what rate and burst count");
    section.choice("scope", limit.scope, {"gateway", "fleet"},
                   "whether each gateway keeps it alone, or all together: wants [peers] members");
    section.integer("max_out", limit.max_in_flight, 0, 1'000'000, "requests",
                    "of a key open at once; 0: no such limit");
    section.integer("keys_max", limit.max_keys, 16, 10'000'000, "keys",
                    "held at once; beyond it the coldest are forgotten");
    section.whole([&limit]() -> std::string {
        if (limit.key.empty()) return "key: is missing";
        if (limit.scope == kFleetScope && limit.rate <= 0) return "scope: fleet requires a rate";
        if (limit.scope == kFleetScope && limit.max_in_flight > 0)
            return "max_out: is not supported with scope = fleet; use a separate limit with scope = "
                   "gateway";
        return {};
    });
    return section;
}

ini::Section tag_section(TagSettings& tag) {
    ini::Section section("tag " + tag.name, "");
    section.lines("when", tag.when, "a condition on request.* and gateway.*; empty: all requests");
    section.lines("value", tag.value, "a string");
    section.text("values", tag.values, "those counted under their own name, by commas");
    require_key(section, "value", tag.value);
    return section;
}

}   // namespace

std::vector<ini::Family> Settings::families() {
    return {
        {"subset", "A named part of the fleet, worked out when the directory's list changes.",
         [this](const std::string& name) { return subset_section(add_named(subsets, name)); }},
        {"route", "Requests that go to a subset; of those that match the first by order, then by place.",
         [this](const std::string& name) { return route_section(add_named(routes, name)); }},
        {"limit", "A limit for each value of a key, at this gateway or over the fleet.",
         [this](const std::string& name) { return limit_section(add_named(limits, name)); }},
        {"tag", "A word in the request log, and a label of a metric where its values are named.",
         [this](const std::string& name) { return tag_section(add_named(tags, name)); }}};
}

}   // namespace slatejunction::rules
