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

struct Signals {
    const int fd;
    slatejunction::ingress::Ingress& ingress;
    slatejunction::Log& log;
    const slatejunction::directory::UnixClock& clock;
    const std::string& config_path;

    // SIGHUP: the file has changed. Guards against a file that is broken or half written: the running
    // configuration stays in force.
    void reload() {
        using namespace slatejunction;
        try {
            ingress.reload(config::load(config_path, clock, config::Moment::reload));
        } catch (const std::exception& bad) {
            log.write(Log::Level::error, net::now(), "reload refused, nothing changes: %s", bad.what());
        }
    }

    static gboolean on_signal(gint, GIOCondition, gpointer data) {
        auto& self = *static_cast<Signals*>(data);
        signalfd_siginfo info;
        if (read(self.fd, &info, sizeof info) != sizeof info) return G_SOURCE_CONTINUE;
        if (info.ssi_signo == SIGHUP)
            self.reload();
        else
            self.ingress.stop();
        return G_SOURCE_CONTINUE;
    }
};

int serve(const std::string& config_path) {
    using namespace slatejunction;
    // A descriptor of its own for signals: GLib's way would start a thread, and make every wake-up cost
    // more. Blocked first of all, so that none can end the program while it is starting.
    sigset_t numbers;
    sigemptyset(&numbers);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&numbers, number);
    sigprocmask(SIG_BLOCK, &numbers, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const directory::UnixClock clock;
    Log log;
    const net::Loop loop(g_main_loop_new(nullptr, FALSE));
    config::Config config = config::load(config_path, clock);
    config::hold_descriptors(config);
    ingress::Ingress ingress(std::move(config), clock, log, [&loop] { g_main_loop_quit(loop.get()); });
    Signals signals{signalfd(-1, &numbers, SFD_CLOEXEC | SFD_NONBLOCK), ingress, log, clock, config_path};
    const net::Source source(g_unix_fd_source_new(signals.fd, G_IO_IN));
    g_source_set_callback(source.get(), G_SOURCE_FUNC(&Signals::on_signal), &signals, nullptr);
    net::attach(source.get());
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
