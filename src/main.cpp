// The ingress as a program: its command line, and the loop that everything runs on.
#include <glib-unix.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <string>

#include "config/config.hpp"
#include "ingress/ingress.hpp"
#include "log/log.hpp"

namespace {

constexpr int kBadUse = 2;   // exit status for a bad command line, configuration or environment

int fail(const std::string& why) {
    std::fprintf(stderr, "error: %s\n", why.c_str());
    return kBadUse;
}

int serve(const std::string& config_path) {
    using namespace slatejunction;
    const directory::UnixClock clock;
    Log log;
    const net::Loop loop(g_main_loop_new(nullptr, FALSE));
    ingress::Ingress ingress(config::load(config_path, clock), clock, log,
                             [&loop] { g_main_loop_quit(loop.get()); });
    std::signal(SIGPIPE, SIG_IGN);
    // A descriptor of its own for signals: GLib's way would start a thread, and make every wake-up cost
    // more.
    sigset_t numbers;
    sigemptyset(&numbers);
    sigaddset(&numbers, SIGTERM);
    sigaddset(&numbers, SIGINT);
    sigprocmask(SIG_BLOCK, &numbers, nullptr);
    const int fd = signalfd(-1, &numbers, SFD_CLOEXEC | SFD_NONBLOCK);
    const GUnixFDSourceFunc on_signal = [](gint from, GIOCondition, gpointer self) -> gboolean {
        signalfd_siginfo info;
        if (read(from, &info, sizeof info) == sizeof info) static_cast<ingress::Ingress*>(self)->stop();
        return G_SOURCE_CONTINUE;
    };
    const net::Source signals(g_unix_fd_source_new(fd, G_IO_IN));
    g_source_set_callback(signals.get(), G_SOURCE_FUNC(on_signal), &ingress, nullptr);
    net::attach(signals.get());
    std::string why;
    if (!ingress.start(why)) return fail("NODE_LISTEN can't be listened on: " + why);
    g_main_loop_run(loop.get());
    return 0;
}

}   // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("slatejunction", "An HTTP ingress that shares quotas and load over a fleet.");
    options.positional_help("[serve|check-config|version]");
    options.add_options()("command", "what to do", cxxopts::value<std::string>()->default_value("serve"))(
        "config", "the configuration file, in place of NODE_CONFIG",
        cxxopts::value<std::string>()->default_value(""))("help", "this text");
    options.parse_positional({"command"});
    try {
        const auto asked = options.parse(argc, argv);
        const auto command = asked["command"].as<std::string>();
        const auto config = asked["config"].as<std::string>();
        if (asked.count("help")) {
            std::printf("%s\n", options.help().c_str());
            return 0;
        }
        if (command == "version") {
            std::printf("slatejunction %s\n", SLATEJUNCTION_VERSION);
            return 0;
        }
        if (command == "check-config") {
            const auto read = slatejunction::config::load(config, slatejunction::directory::UnixClock());
            std::printf("configuration of %s is good: %zu classes, %zu plans, %zu providers known\n",
                        read.name.c_str(), read.settings.classes.size(), read.settings.plans.size(),
                        read.known.update.entries.size());
            return 0;
        }
        if (command == "serve") return serve(config);
        return fail("unknown command '" + command + "'; see --help");
    } catch (const std::exception& fault) {
        return fail(fault.what());
    }
}
