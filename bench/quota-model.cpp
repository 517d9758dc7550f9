// Runs SharedQuota against the model of tests/quota/model.hpp: quota-model COUNT [FIRST_SEED]. Prints each
// breach of the stated error with its seed, and a table by kind of fault. Exits with 1 on a breach.
// quota-model site: the mix of a site, healthy and under each fault, beside an even split; CREDIT, FREE_PART
// and FREE_UNITS set these.
#include <cstdio>
#include <cstdlib>
#include <map>

#include "quota/model.hpp"

namespace {

int site() {
    using Kind = model::Fault::Kind;
    struct Case {
        const char* name;
        std::vector<model::Fault> faults;
    };
    const std::vector<Case> cases{
        {"healthy", {}},
        {"slow tenfold, 60 s", {{Kind::slow, 30, 90, 0}}},
        {"down, 60 s", {{Kind::down, 30, 90, 0}}},
        {"refusing, 60 s", {{Kind::refuse, 30, 90, 0}}},
        {"one cut off, 60 s", {{Kind::split, 30, 90, 1}}},
        {"down 20 s, empty again", {{Kind::down, 30, 50, 0}, {Kind::empty, 50, 50, 0}}},
        {"empty twice", {{Kind::empty, 50, 50, 0}, {Kind::empty, 52, 52, 0}}},
        {"an ingress restarted", {{Kind::restart, 50, 50, 1}}}};
    std::printf(
        "| mode | calls a request | refused with room | inside, of a perfect store's | even split's | "
        "beyond, of what passed | worst below an empty store, units |\n|---|---|---|---|---|---|---|\n");
    for (const Case& one : cases) {
        model::Plan plan = model::site_plan(150);
        plan.faults = one.faults;
        const auto number = [](const char* name, double& value) {
            if (const char* text = std::getenv(name)) value = std::strtod(text, nullptr);
        };
        number("CREDIT", plan.settings.max_unreported_units);
        number("FREE_PART", plan.settings.local_fraction);
        number("FREE_UNITS", plan.settings.min_local_burst);
        const auto run = [&](bool even) {
            model::World world(plan, 5);
            world.even_split = even;
            return world.run();
        };
        const auto ours = run(false), even = run(true);
        const auto part = [](std::uint64_t a, std::uint64_t b) {
            return static_cast<double>(a) / static_cast<double>(b);
        };
        std::printf("| %s | %.3f | %.4f | %.3f | %.3f | %.4f | %.1f |\n", one.name,
                    part(ours.calls, ours.asked), part(ours.refused_with_room, ours.asked),
                    part(ours.good, ours.inside), part(even.good, even.inside),
                    part(ours.passed - ours.good, ours.passed), ours.worst);
    }
    return 0;
}

}   // namespace

int main(int count, char** words) {
    if (count > 1 && std::string(words[1]) == "site") return site();
    const std::uint64_t runs = count > 1 ? std::strtoull(words[1], nullptr, 10) : 10'000;
    const std::uint64_t first = count > 2 ? std::strtoull(words[2], nullptr, 10) : 1;
    static constexpr const char* kNames[] = {"down",  "refuse", "slow",    "split",    "empty",
                                             "older", "noise",  "restart", "duplicate"};
    struct Row {
        std::uint64_t runs = 0, breaches = 0;
        double closest = 0;   // worst / allowed
    };
    std::map<std::string, Row> rows;
    std::uint64_t breaches = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const model::Plan plan = model::random_plan(seed);
        const model::Result result = model::World(plan, seed).run();
        std::string kinds;
        for (const auto& fault : plan.faults)
            kinds += std::string(kNames[static_cast<int>(fault.kind)]) + " ";
        breaches += result.breach();
        if (result.breach() && breaches <= 20)
            std::printf("breach: seed %llu, %.2f units over, stated %.2f; %s%s\n",
                        static_cast<unsigned long long>(seed), result.worst, result.allowed, kinds.c_str(),
                        plan.clock.empty() ? "" : "clocks");
        const auto add = [&](const std::string& name) {
            Row& row = rows[name];
            ++row.runs;
            row.breaches += result.breach();
            row.closest = std::max(row.closest, result.worst / result.allowed);
        };
        if (plan.faults.empty()) add(plan.clock.empty() ? "none" : "none, clocks of other rates");
        if (plan.faults.size() == 1) add("one: " + kinds);
        if (plan.faults.size() > 1) add("more");
    }
    std::printf("%llu schedules, %llu breaches\n", static_cast<unsigned long long>(runs),
                static_cast<unsigned long long>(breaches));
    for (const auto& [name, row] : rows)
        std::printf("%-32s %7llu runs %4llu breaches, worst %.2f of what is stated\n", name.c_str(),
                    static_cast<unsigned long long>(row.runs),
                    static_cast<unsigned long long>(row.breaches), row.closest);
    return breaches > 0;
}
