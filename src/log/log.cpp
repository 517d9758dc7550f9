#include "log/log.hpp"

#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <string>

namespace slatejunction {
namespace {

// A pipe that polls as writable accepts this many bytes without blocking (POSIX: PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4096;

const char* name_of(Log::Level level) {
    return level == Log::Level::info ? "info" : level == Log::Level::warning ? "warning" : "error";
}

spdlog::level::level_enum level_of(Log::Level level) {
    return level == Log::Level::info      ? spdlog::level::info
           : level == Log::Level::warning ? spdlog::level::warn
                                          : spdlog::level::err;
}

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

void put_text(Json& json, const char* key, std::string_view text) {
    json.Key(key);
    if (text.empty()) return void(json.String(""));
    // Clients may send arbitrary bytes, but JSON text has to be valid UTF-8.
    const std::unique_ptr<char, decltype(&g_free)> valid(
        g_utf8_make_valid(text.data(), static_cast<gssize>(text.size())), &g_free);
    json.String(valid.get());
}

// Appends KEY=VALUE. A value with blanks, quotes, backslashes, '=' or bytes outside of printable ASCII is
// quoted and escaped, and so is an empty one.
void append_field(std::string& line, const char* key, std::string_view text) {
    line += ' ';
    line += key;
    line += '=';
    const bool plain = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > 0x20 && c < 0x7f && c != '"' && c != '\\' && c != '=';
    });
    if (plain) {
        line += text;
        return;
    }
    line += '"';
    for (const unsigned char c : text) {
        char escaped[8];
        if (c == '"' || c == '\\')
            std::snprintf(escaped, sizeof escaped, "\\%c", c);
        else if (c < 0x20 || c >= 0x7f)
            std::snprintf(escaped, sizeof escaped, "\\x%02x", c);
        else
            std::snprintf(escaped, sizeof escaped, "%c", c);
        line += escaped;
    }
    line += '"';
}

double unix_s() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}   // namespace

// Protects the program from a stalled reader of the log: a write that would block is not started. Lines
// that can't be written are buffered in order up to a limit; beyond it lines are dropped and counted, and
// the count is logged once the buffer is empty again.
class Log::Sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    explicit Sink(int fd)
        : reopened_fd_(reopen_nonblocking(fd)), fd_(reopened_fd_ >= 0 ? reopened_fd_ : fd) {}
    ~Sink() override {
        if (reopened_fd_ >= 0) ::close(reopened_fd_);
    }
    Sink(const Sink&) = delete;
    Sink& operator=(const Sink&) = delete;
    void set_max_buffered(std::size_t bytes) { max_buffered_ = bytes; }
    std::uint64_t lost() const { return lost_; }

    bool drain(int wait_ms = 0) {
        while (written_ < buffered_.size()) {
            const std::size_t size = std::min(kMaxWriteBytes, buffered_.size() - written_);
            const ssize_t done = write_some(buffered_.data() + written_, size, wait_ms);
            if (done <= 0) break;
            written_ += static_cast<std::size_t>(done);
        }
        if (written_ == buffered_.size()) {
            buffered_.clear();
            written_ = 0;
        } else if (written_ > buffered_.size() / 2) {
            buffered_.erase(0, written_);
            written_ = 0;
        }
        return buffered_.empty();
    }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (lost_ > reported_lost_ && drain()) {
            const std::string text = "warning: " + std::to_string(lost_ - reported_lost_) +
                                     " log lines dropped: the reader of the log was too slow\n";
            reported_lost_ = lost_;
            put(text.data(), text.size());
        }
        put(line.data(), line.size());
    }
    void flush_() override { drain(); }

  private:
    // Another program that writes to the same pipe may fill it between poll() and write(), which would then
    // block. Reopening the pipe gives a separate open file description with O_NONBLOCK, so that the other
    // programs' descriptors keep their mode. Returns a negative value if `fd` is not a pipe or can't be
    // reopened.
    static int reopen_nonblocking(int fd) {
        struct stat file {};
        if (::fstat(fd, &file) != 0 || !S_ISFIFO(file.st_mode)) return -1;
        const std::string path = "/proc/self/fd/" + std::to_string(fd);
        return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    }
    ssize_t write_some(const char* data, std::size_t size, int wait_ms) {
        pollfd poll_fd{fd_, POLLOUT, 0};
        if (::poll(&poll_fd, 1, wait_ms) != 1 || !(poll_fd.revents & POLLOUT)) return 0;
        return ::write(fd_, data, size);
    }
    void put(const char* data, std::size_t size) {
        std::size_t done = 0;
        if (buffered_.empty() || drain()) {
            while (done < size) {
                const ssize_t some = write_some(data + done, std::min(kMaxWriteBytes, size - done), 0);
                if (some <= 0) break;
                done += static_cast<std::size_t>(some);
            }
        }
        if (done == size) return;
        // A partly written line is buffered even above the limit: a truncated line would corrupt the next
        // one.
        if (done == 0 && buffered_.size() - written_ + size > max_buffered_)
            ++lost_;
        else
            buffered_.append(data + done, size - done);
    }

    const int reopened_fd_;   // owned; negative: none
    const int fd_;            // not owned unless it is reopened_fd_
    std::size_t max_buffered_ = std::size_t{256} * 1024;
    std::string buffered_;
    std::size_t written_ = 0;
    std::uint64_t lost_ = 0, reported_lost_ = 0;
};

Log::Log(const logging::Settings& settings, int fd)
    : sink_(std::make_shared<Sink>(fd)), logger_(std::make_shared<spdlog::logger>("", sink_)) {
    configure(settings);
}

Log::~Log() = default;

void Log::configure(const logging::Settings& settings) {
    records_ = settings.records();
    events_ = settings.events == 1;
    json_ = settings.line_format() == logging::Format::json;
    sink_->set_max_buffered(static_cast<std::size_t>(settings.buffer_kb) * 1024);
    // Applied by put(); records have a setting of their own.
    min_level_ = static_cast<Level>(settings.level);
    // A text line is `LEVEL: TEXT`; a JSON line arrives here completely formatted.
    logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        json_ ? "%v" : "%l: %v", spdlog::pattern_time_type::local, "\n"));
}

std::uint64_t Log::lost() const { return sink_->lost(); }
void Log::drain() { sink_->drain(); }

void Log::flush(double max_wait_s) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(max_wait_s);
    while (!sink_->drain(20) && std::chrono::steady_clock::now() < until) {
    }
}

void Log::put(Level level, std::string_view text) {
    if (level < min_level_) return;
    if (!json_) {
        logger_->log(level_of(level), spdlog::string_view_t(text.data(), text.size()));
        return;
    }
    rapidjson::StringBuffer line;
    Json json(line);
    json.StartObject();
    json.Key("time");
    json.Double(unix_s());
    put_text(json, "level", name_of(level));
    put_text(json, "text", text);
    json.EndObject();
    logger_->log(level_of(level), spdlog::string_view_t(line.GetString(), line.GetSize()));
}

void Log::write(Level level, double now, const char* format, ...) {
    tokens_ = std::min(kBurstLines, tokens_ + std::max(0.0, now - refilled_at_) * kLinesPerS);
    refilled_at_ = std::max(refilled_at_, now);
    if (tokens_ < 1) {
        ++suppressed_, ++suppressed_total_;
        return;
    }
    tokens_ -= 1;
    if (suppressed_ > 0) {
        put(Level::warning, std::to_string(suppressed_) + " log lines suppressed");
        suppressed_ = 0;
    }
    char line[512];
    va_list args;
    va_start(args, format);
    std::vsnprintf(line, sizeof line, format, args);
    va_end(args);
    put(level, line);
}

void Log::event(std::string_view name, std::span<const std::pair<std::string_view, std::string>> fields) {
    if (!events_) return;
    timespec at{};
    clock_gettime(CLOCK_MONOTONIC_RAW, &at);
    rapidjson::StringBuffer line;
    Json json(line);
    json.StartObject();
    json.Key("at_ns");
    json.Int64(static_cast<std::int64_t>(at.tv_sec) * 1'000'000'000 + at.tv_nsec);
    put_text(json, "event", name);
    for (const auto& [field, value] : fields) put_text(json, std::string(field).c_str(), value);
    json.EndObject();
    logger_->log(spdlog::level::info, spdlog::string_view_t(line.GetString(), line.GetSize()));
}

void Log::record(const RequestRecord& r) {
    char customer[24];
    std::snprintf(customer, sizeof customer, "%016llx", static_cast<unsigned long long>(r.customer));
    if (json_) {
        rapidjson::StringBuffer line;
        Json json(line);
        json.StartObject();
        json.Key("time");
        json.Double(unix_s());
        put_text(json, "level", "info");
        put_text(json, "text", "request");
        put_text(json, "id", r.id);
        put_text(json, "class", r.service_class);
        put_text(json, "plan", r.plan);
        put_text(json, "customer", customer);
        put_text(json, "outcome", r.result);
        put_text(json, "reason", r.reason);
        put_text(json, "provider", r.backend);
        json.Key("attempts");
        json.Uint64(r.attempts);
        json.Key("seconds");
        json.Double(r.seconds);
        json.Key("worth");
        json.Double(r.earned_weight);
        for (const auto& [name, value] : r.tags)
            put_text(json, ("tag_" + std::string(name)).c_str(), value);
        json.EndObject();
        logger_->log(spdlog::level::info, spdlog::string_view_t(line.GetString(), line.GetSize()));
        return;
    }
    std::string line = "request";
    append_field(line, "id", r.id);
    append_field(line, "class", r.service_class);
    append_field(line, "plan", r.plan);
    append_field(line, "customer", customer);
    append_field(line, "outcome", r.result);
    append_field(line, "reason", r.reason);
    append_field(line, "provider", r.backend);
    char numbers[96];
    std::snprintf(numbers, sizeof numbers, " attempts=%llu seconds=%.6f worth=%.6f",
                  static_cast<unsigned long long>(r.attempts), r.seconds, r.earned_weight);
    line += numbers;
    for (const auto& [name, value] : r.tags)
        append_field(line, ("tag_" + std::string(name)).c_str(), value);
    logger_->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

}   // namespace slatejunction
