// The operator's [metrics] and [state] sections.
#pragma once

#include <string>

#include "ini/ini.hpp"

namespace slatejunction::metrics {

struct Settings {
    int collect = 0;         // 0: only when remote write is on; 1: always
    std::string directory;   // [state]; empty: counters start at 0 with each process

    ini::Section section() {
        ini::Section metrics("metrics",
                             "Measures are collected for remote write, and without it if asked for.");
        metrics.choice("collect", collect, {"auto", "on"}, "auto: when remote_write has a url");
        return metrics;
    }
    ini::Section state() {
        ini::Section state("state", "Where counters outlive the process.");
        state.text("directory", directory, "an existing folder of this process alone; empty: nowhere");
        return state;
    }
};

}   // namespace slatejunction::metrics
