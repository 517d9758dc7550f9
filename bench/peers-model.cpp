// What membership costs and how soon it knows, on a simulated net: slatejunction-peers-model [SEEDS].
// Prints a table: members by loss, beside heartbeats of all to all. Interval 1 s.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "membership/simulation.hpp"

namespace {

using membership_simulation::Simulation;

struct Row {
    std::vector<double> first, all;   // s from a death until the first and the last knew
    double false_an_hour = 0, bytes = 0, datagrams = 0, most_joined = 0;
    bool within = true;
};

Row look(std::size_t members, double loss, bool starved, std::uint64_t seeds) {
    Row row;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        membership_simulation::Scenario plan;
        plan.members = members;
        plan.loss_probability = loss;
        Simulation net(plan, seed);
        net.run_until(120, [&] { return net.all_alive(); });
        row.most_joined = std::max(row.most_joined, net.now());
        if (starved) net.starve(members - 1, 2.5);
        const std::uint64_t bytes = net.sent_bytes(), datagrams = net.sent_datagrams(),
                            wrong = net.false_deaths();
        const double quiet = members > 100 ? 60 : 600, from = net.now();
        net.run(from + quiet);
        row.bytes += static_cast<double>(net.sent_bytes() - bytes) / quiet / static_cast<double>(members);
        row.datagrams +=
            static_cast<double>(net.sent_datagrams() - datagrams) / quiet / static_cast<double>(members);
        // A false death counts once, however many came to believe it.
        row.false_an_hour += static_cast<double>(net.false_deaths() - wrong) /
                             static_cast<double>(members - 1) * 3600 / quiet;
        if (starved) continue;
        for (std::size_t deaths = 0; deaths < 2; ++deaths) {
            net.run_until(60, [&] { return net.all_alive(); });
            const std::size_t who = deaths + 1;
            const double at = net.now();
            net.kill(who);
            double first = 0;
            const bool known = net.run_until(200, [&] {
                for (std::size_t i = 0; i < members && first == 0; ++i)
                    if (net.is_running(i) && net.sees(i, who, slatejunction::membership::MemberState::gone))
                        first = net.now() - at;
                return net.all_see(who, slatejunction::membership::MemberState::gone);
            });
            row.first.push_back(first);
            row.all.push_back(known ? net.now() - at : 200);
            if (row.all.back() > slatejunction::membership::detection_bound_s(members, 1))
                row.within = false;
            net.start(who);
        }
    }
    const auto n = static_cast<double>(seeds);
    row.bytes /= n, row.datagrams /= n, row.false_an_hour /= n;
    std::sort(row.first.begin(), row.first.end());
    std::sort(row.all.begin(), row.all.end());
    return row;
}

}   // namespace

int main(int argc, char** argv) {
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 4;
    std::printf(
        "| members | loss | first knows p50 s | all know p50 s | worst s | stated s | false deaths an hour "
        "| "
        "datagrams/s | bytes/s | heartbeats: datagrams/s | bytes/s | false deaths an hour |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t members : {std::size_t{5}, std::size_t{50}, std::size_t{300}})
        for (const double loss : {0.0, 0.05, 0.2, -1.0}) {
            const std::uint64_t runs = members > 100 ? std::max<std::uint64_t>(1, seeds / 4) : seeds;
            const Row row = look(members, std::max(0.0, loss), loss < 0, runs);
            // All to all: one datagram of 60 bytes a second to each other; dead after 4 s of silence, by
            // each for itself: false when four in a row are lost.
            const double n = static_cast<double>(members), p = std::max(0.0, loss);
            const double beats = n - 1, wrong = p * p * p * p * (n - 1) * n * 3600 * (1 - p);
            std::printf(
                "| %zu | %s | %.1f | %.1f | %.1f | %.1f%s | %.2f | %.1f | %.0f | %.0f | %.0f | %.1f |\n",
                members,
                loss < 0 ? "one starved" : (std::to_string(static_cast<int>(loss * 100)) + "%").c_str(),
                row.first.empty() ? 0 : row.first[row.first.size() / 2],
                row.all.empty() ? 0 : row.all[row.all.size() / 2], row.all.empty() ? 0 : row.all.back(),
                slatejunction::membership::detection_bound_s(members, 1), row.within ? "" : " MISSED",
                row.false_an_hour, row.datagrams, row.bytes, beats, beats * (60 + 44), wrong);
            std::fflush(stdout);
        }
    return 0;
}
