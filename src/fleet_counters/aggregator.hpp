// Sums the fleet's counters period by period, for the holder of the lease.
//
// Rule: at the end of a period and a grace the reports received are added to the pages; once a
// majority of the acceptors has all pages, the period's row is added to the totals; once it has the
// totals, the row is published and the reports in it are acknowledged.
// Inputs: reports, register messages, `now` in s (boot_clock.hpp), `unix_s` of the wall clock.
// Output: rows to write, acknowledgements, register messages.
// Invariants: each period has one row, and it is written outside only after a majority of the
// acceptors has it; a later holder continues from there. So a row may be written twice (by the old
// holder and the new one, bit for bit the same), and none is missing. Where a majority of the
// acceptors lost its state (RegisterClient::lost) the rows between are skipped and the counters begin
// at 0.
// Reason: a counter must not run back or count an increment twice when the holder changes.
// From: RAMBO for the registers (lease/replicated_register.hpp); docs/design/fleet.md.
// Seen in: skipped_periods() as a measure; a reset in the log line "fleet_sums: a majority ...".
// Never does: I/O, reading a clock. Driver owns it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet_counters/reporter.hpp"
#include "lease/replicated_register.hpp"

namespace slatejunction::fleet_counters {

inline constexpr std::size_t kPageCount = 10;   ///< registers of entries: enough for 300 processes twice
inline constexpr std::size_t kMaxRetainedRows = 14;   ///< in the totals: what the receiver may be behind
inline constexpr std::size_t kMaxPageEntries = 85;    ///< so that a page fits into one register

struct Settings {
    double period_s = 0;
    double grace_s = 1;   ///< after a period's end, until the reports received are summed
};

/// Longest delay in s from a period's end until its row is handed to the receiver, while a majority of the
/// acceptors and the holder hear one another: the grace, then three register rounds (pages, totals; one
/// more after a change of holder).
double row_delay_bound_s(const Settings& settings, const lease::LeaseTimes& times, double round_trip_s);
/// The same after the holder died: the next one must be elected first.
double row_delay_bound_after_failover_s(const Settings& settings, const lease::LeaseTimes& times,
                                        double round_trip_s, int candidates);

/// The fleet's counters at the end of a period.
struct Row {
    std::uint64_t period = 0;
    CounterValues values{};
    std::uint64_t process_count = 0;   ///< counted up to this very period
};

class Aggregator {
  public:
    Aggregator(const Settings& settings, const lease::LeaseTimes& times,
               const lease::AcceptorSet& acceptors, std::uint64_t seed);

    /// The lease is held under this token from now on.
    void begin_term(double now, double unix_s, std::uint64_t fencing_token);
    void end_term();
    void set_acceptors(double now, const lease::AcceptorSet& acceptors) {
        registers_.set_acceptors(now, acceptors);
    }
    void on_register_message(double now, double unix_s, const std::string& acceptor,
                             const lease::RegisterMessage& message);
    /// False: ignored, as the lease is not held or the report is too old.
    bool on_report(double now, double unix_s, const std::string& from, const Report& report);
    /// The receiver has accepted the rows up to this period.
    void on_rows_delivered(std::uint64_t period) {
        delivered_period_ = std::max(delivered_period_, period);
    }
    void on_timer(double now, double unix_s);
    /// s on the clock of `now`.
    double next_deadline(double now, double unix_s) const;

    std::vector<lease::RegisterClient::OutgoingMessage> take_register_messages() {
        return registers_.take_outgoing();
    }
    /// To be written, oldest first, while the lease permits it.
    std::vector<Row> take_rows() { return std::exchange(rows_, {}); }
    struct Acknowledgement {
        std::string to;
        Report report;
    };
    std::vector<Acknowledgement> take_acknowledgements() { return std::exchange(acknowledgements_, {}); }

    bool has_term() const { return registers_.has_term(); }
    std::uint64_t last_committed_period() const {
        return retained_rows_.empty() ? 0 : retained_rows_.back().period;
    }
    /// Periods without a row, as acceptors had lost their state.
    std::uint64_t skipped_periods() const { return skipped_periods_; }
    /// Times that the counters began at 0.
    std::uint64_t resets() const { return resets_; }
    /// Reports of processes beyond kMaxPageEntries.
    std::uint64_t rejected_reports() const { return rejected_reports_; }

  private:
    // Reading the registers; writing them under the new token; between periods; writing a period.
    enum class Stage { off, reading, adopting, idle, writing_pages, writing_totals };
    // Processes are spread over pages, a register each.
    struct Page {
        std::uint64_t period = 0;
        CounterValues values{};                           // sum of all that was ever counted
        std::map<std::uint64_t, std::uint64_t> entries;   // by process: its last counted period
    };
    struct ReceivedReport {
        std::string from;
        Report report;
    };
    // The registers' names are on the wire and in the acceptors' files.
    static std::string page_name(std::size_t page) { return "sums." + std::to_string(page); }
    static constexpr const char* kTotalsRegister = "sums";
    static std::vector<std::string> register_names();
    static std::size_t page_of(std::uint64_t process) { return process % kPageCount; }

    std::uint64_t last_ended_period(double unix_s) const;
    double next_period_due_at_unix_s() const;
    void advance(double now, double unix_s);
    void adopt_registers(double now, double unix_s);
    void begin_period(double now);
    void write_totals(double now);
    void publish_rows();
    bool all_committed() const;

    void load_registers(double unix_s);
    bool load_totals(std::uint64_t& delivered_period);
    bool load_page(std::size_t index);
    void reset(std::uint64_t period);

    void add_reports(std::size_t index, std::uint64_t period);
    void add_report(Page& page, std::uint64_t process, const std::vector<PeriodCounters>& cuts);
    std::string encode_page(const Page& page) const;
    std::string encode_totals() const;
    void acknowledge(std::uint64_t process, const ReceivedReport& received);

    const Settings settings_;
    lease::RegisterClient registers_;
    Stage stage_ = Stage::off;
    double term_began_unix_s_ = 0;
    std::array<Page, kPageCount> pages_;
    std::deque<Row> retained_rows_;
    std::uint64_t delivered_period_ = 0;                // accepted by the receiver
    std::uint64_t published_period_ = 0;                // of the last row handed out
    std::map<std::uint64_t, ReceivedReport> reports_;   // by process
    std::vector<Row> rows_;
    std::vector<Acknowledgement> acknowledgements_;
    std::uint64_t skipped_periods_ = 0, resets_ = 0, rejected_reports_ = 0;
};

}   // namespace slatejunction::fleet_counters
