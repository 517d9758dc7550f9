// Sums the counters of all ingresses, one row per period. Runs on the ingress that holds the lease.
//
// A period is summed in steps: once the period and a grace time have passed, the received reports are added
// to the pages; once a majority of the acceptors has stored all pages, the row of the period is added to
// the totals; once a majority has stored the totals, the row is published and the reports in it are
// acknowledged. Pages and totals are replicated registers (lease/replicated_register.hpp).
//
// - Inputs: reports, register messages, `now` in s (boot_clock.hpp), and `unix_s` of the wall clock.
// - Outputs: rows to be written, acknowledgements, register messages.
// - Observability: skipped_periods() as a metric, and a reset in the log line "fleet_sums: a majority ...".
//
// Invariants:
// - Each period has one row, which is published only after a majority of the acceptors has stored it. A
//   later holder continues from the stored state, so a row may be written by two holders, with identical
//   values, and no row is missing.
// - If a majority of the acceptors has lost its state (RegisterClient::may_have_lost_values), the periods
//   in between are skipped and the counters restart at 0.
// Without these a change of holder could make a counter fall or count an increment twice.
//
// The code does no I/O and reads no clock. Driver owns it. See docs/design/fleet.md.
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

/// Number of pages, each in a register of its own: enough for twice 300 processes, the maximum of members.
inline constexpr std::size_t kPageCount = 10;
/// Rows kept in the totals. If the receiver is further behind, a new holder skips the periods before them.
inline constexpr std::size_t kMaxRetainedRows = 14;
/// Entries of a page, so that it fits into one register.
inline constexpr std::size_t kMaxPageEntries = 85;

struct Settings {
    double period_s = 0;
    double grace_s = 1;   ///< from the end of a period until the received reports are summed
};

/// Returns the longest time in s from the end of a period until its row is handed to the receiver, while
/// the holder and a majority of the acceptors can communicate: the grace time and three register rounds
/// (pages, totals, and one more after a change of holder).
double row_delay_bound_s(const Settings& settings, const lease::LeaseTimes& times, double round_trip_s);
/// Returns the same bound if the holder has failed, so that another one must be elected first.
double row_delay_bound_after_failover_s(const Settings& settings, const lease::LeaseTimes& times,
                                        double round_trip_s, int candidates);

/// The sums of the fleet's counters at the end of a period.
struct Row {
    std::uint64_t period = 0;
    CounterValues values{};
    std::uint64_t process_count = 0;   ///< processes whose counters of this period are included
};

class Aggregator {
  public:
    Aggregator(const Settings& settings, const lease::LeaseTimes& times,
               const lease::AcceptorSet& acceptors, std::uint64_t seed);

    /// Begins a term, in which the lease is held under this token.
    void begin_term(double now, double unix_s, std::uint64_t fencing_token);
    void end_term();
    void set_acceptors(double now, const lease::AcceptorSet& acceptors) {
        registers_.set_acceptors(now, acceptors);
    }
    void on_register_message(double now, double unix_s, const std::string& acceptor,
                             const lease::RegisterMessage& message);
    /// Returns false if the report was ignored, as it is too old or the lease is not held.
    bool on_report(double now, double unix_s, const std::string& from, const Report& report);
    /// To be called when the receiver has accepted the rows up to `period`.
    void on_rows_delivered(std::uint64_t period) {
        delivered_period_ = std::max(delivered_period_, period);
    }
    void on_timer(double now, double unix_s);
    /// Returns when on_timer() is due, in s on the clock of `now`.
    double next_deadline(double now, double unix_s) const;

    std::vector<lease::RegisterClient::OutgoingMessage> take_register_messages() {
        return registers_.take_outgoing();
    }
    /// Returns the rows to be written, oldest first. They may be written only while the lease permits it.
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
    /// Periods that have no row, because acceptors had lost their state or because the receiver was behind
    /// by more than kMaxRetainedRows when the holder changed.
    std::uint64_t skipped_periods() const { return skipped_periods_; }
    /// How many times the counters restarted at 0.
    std::uint64_t resets() const { return resets_; }
    /// Reports rejected because their page already had kMaxPageEntries processes.
    std::uint64_t rejected_reports() const { return rejected_reports_; }

  private:
    // In order: no term; reading the registers; writing them back under the new token; waiting for the next
    // period; writing the pages, then the totals of a period.
    enum class Stage { off, reading, adopting, idle, writing_pages, writing_totals };
    // A partition of the processes, stored in one register.
    struct Page {
        std::uint64_t period = 0;
        CounterValues values{};                           // sums of everything counted so far
        std::map<std::uint64_t, std::uint64_t> entries;   // last counted period by process
    };
    struct ReceivedReport {
        std::string from;
        Report report;
    };
    // The names of the registers are part of the wire format and of the files of the acceptors.
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
    void add_report(Page& page, std::uint64_t process, const std::vector<PeriodCounters>& reported);
    std::string encode_page(const Page& page) const;
    std::string encode_totals() const;
    void acknowledge(std::uint64_t process, const ReceivedReport& received);

    const Settings settings_;
    lease::RegisterClient registers_;
    Stage stage_ = Stage::off;
    double term_began_unix_s_ = 0;
    std::array<Page, kPageCount> pages_;
    std::deque<Row> retained_rows_;
    std::uint64_t delivered_period_ = 0;                // last row that the receiver has accepted
    std::uint64_t published_period_ = 0;                // of the last row put out for take_rows()
    std::map<std::uint64_t, ReceivedReport> reports_;   // by process
    std::vector<Row> rows_;
    std::vector<Acknowledgement> acknowledgements_;
    std::uint64_t skipped_periods_ = 0, resets_ = 0, rejected_reports_ = 0;
};

}   // namespace slatejunction::fleet_counters
