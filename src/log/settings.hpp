// The operator's [log] section.
#pragma once

#include "ini/ini.hpp"

namespace slatejunction::logging {

enum class Format { text, json };
enum class Requests { off, refused, all };

struct Settings {
    int format = 0;     // Format
    int level = 0;      // Log::Level: lines below it are not written
    int requests = 0;   // Requests: which finished requests are recorded
    int events = 0;     // 1: write event records of fleet components
    std::int64_t buffer_kb = 256;
    Format line_format() const { return static_cast<Format>(format); }
    Requests records() const { return static_cast<Requests>(requests); }

    ini::Section section() {
        ini::Section log("log", "What is written to standard error, and how.");
        log.choice("format", format, {"text", "json"}, "form of a line");
        log.choice("level", level, {"info", "warning", "error"}, "the least that is written");
        log.choice("requests", requests, {"off", "refused", "all"},
                   "one record for each finished request: none, those not served, or all");
        log.choice("events", events, {"off", "on"},
                   "a JSON record for each lease gained and lost and each act");
        log.integer("buffer_kb", buffer_kb, 4, 4096, "KiB",
                    "lines kept for a reader that is slow; more are left out and counted");
        return log;
    }
};

}   // namespace slatejunction::logging
