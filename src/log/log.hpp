// The program's log, based on spdlog: rate-limited lines, records of finished requests and event records,
// all written to standard error. No call except flush() blocks on the reader of the log.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "log/settings.hpp"

namespace spdlog {
class logger;
}

namespace slatejunction {

/// A finished request, for `[log] requests`. The views need to be valid only during the call to record().
struct RequestRecord {
    std::string_view id, service_class, plan, result, reason, backend;
    std::uint64_t customer = 0;
    std::uint64_t attempts = 0;
    double seconds = 0;         // from the request's last byte to its final answer
    double earned_weight = 0;   // weight that the answer earned; 0 for a rejected or failed request
    // Name and value of each tag.
    std::span<const std::pair<std::string_view, std::string_view>> tags = {};
};

class Log {
  public:
    enum class Level { info, warning, error };

    explicit Log(const logging::Settings& settings = {}, int fd = 2);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;
    void configure(const logging::Settings& settings);

    /// Writes a line. `now` is the time of net::now() (s). A line over the rate limit is dropped and
    /// counted; the count is logged before the next line that is written.
    __attribute__((format(printf, 4, 5))) void write(Level level, double now, const char* format, ...);

    /// Writes a JSON event record of a fleet component, for programs that check the event
    /// history; only when `[log] events` is on. The timestamp is CLOCK_MONOTONIC_RAW, which all processes
    /// of a machine share. Not rate-limited.
    void event(std::string_view name, std::span<const std::pair<std::string_view, std::string>> fields);

    /// Whether a request that was served or not is to be recorded. Records are not rate-limited: their
    /// number is bounded by that of requests, and by `buffer_kb` when the reader is slow.
    bool wants_record(bool served) const {
        return records_ != logging::Requests::off && (!served || records_ == logging::Requests::all);
    }
    void record(const RequestRecord& record);

    /// Writes buffered lines as far as that does not block. Called periodically.
    void drain();
    /// Writes buffered lines at the end of the program; blocks for up to `max_wait_s` (s).
    void flush(double max_wait_s);
    std::uint64_t suppressed() const { return suppressed_total_; }   // lines over the rate limit
    std::uint64_t lost() const;   // lines and records dropped because the buffer was full

  private:
    // The token bucket of write(): a burst of lines, then a constant rate.
    static constexpr double kBurstLines = 40;
    static constexpr double kLinesPerS = 5;
    class Sink;
    void put(Level level, std::string_view text);

    std::shared_ptr<Sink> sink_;
    std::shared_ptr<spdlog::logger> logger_;
    logging::Requests records_ = logging::Requests::off;
    Level min_level_ = Level::info;
    bool json_ = false, events_ = false;
    double tokens_ = kBurstLines;
    double refilled_at_ = 0;         // s; time of the last refill of tokens_
    std::uint64_t suppressed_ = 0;   // since the last report in the log
    std::uint64_t suppressed_total_ = 0;
};

}   // namespace slatejunction
