#include "command.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>

#include "meter.hpp"

namespace slatejunction::scale {

int command(const Duties& duties, int argc, char** argv) {
    const auto duty = duties.find(argc > 2 ? argv[1] : "");
    if (duty == duties.end()) {
        std::fprintf(stderr,
                     "%s DUTY DIRECTORY [--quick] [--most SIZE] [--wall SECONDS]; duties:", argv[0]);
        for (const auto& [name, call] : duties) std::fprintf(stderr, " %s", name.c_str());
        std::fprintf(stderr, "\n");
        return 2;
    }
    Run run;
    run.directory = argv[2];
    for (int i = 3; i < argc; ++i) {
        const std::string word = argv[i];
        if (word == "--quick") run.quick = true, run.wall_s = 120;
        if (word == "--most" && i + 1 < argc) run.most = std::strtoul(argv[++i], nullptr, 10);
        if (word == "--wall" && i + 1 < argc) run.wall_s = std::strtod(argv[++i], nullptr);
    }
    const double from = wall_s();
    try {
        duty->second(run);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s: %s\n", argv[1], error.what());
        return 1;
    }
    std::fprintf(stderr, "%s: %.1f s, %.0f MB resident\n", argv[1], wall_s() - from,
                 static_cast<double>(resident()) / 1e6);
    return 0;
}

}   // namespace slatejunction::scale
