// Sums the fleet's counters period by period, for whoever holds the lease. A decision room: reports, what
// the voters say of notes, and the time in; rows to write, what was counted, and notes out.
//
// Every period has one row, once and for all: it is written outside only after a majority of the voters has
// it in a note, and a later holder goes on from there. So a row may be written twice (by the old holder and
// by the new one, equal to the bit), and none is missing. Where a majority of the voters has forgotten
// (NoteBook::lost) the rows of the periods between are not written, and the sums begin at 0 anew.
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

inline constexpr std::size_t kPageCount =
    10;   // notes of entries, so that 300 processes and their heirs fit
inline constexpr std::size_t kMaxRetainedRows =
    14;   // rows in the totals' note: what a receiver may be behind
inline constexpr std::size_t kMaxPageEntries = 85;   // a page

struct Settings {
    double period_s = 0;   // a period
    double grace_s = 1;    // after a period's end, until what has come is summed
};

// How late a period's row is handed to the receiver at most, after its end, while a majority of the voters
// and the holder hear one another: the grace, then three rounds of notes (pages, totals; one more after a
// change of holder).
double row_delay_bound_s(const Settings& settings, const lease::LeaseTimes& times, double round_trip_s);
// After a holder's death the next one must first be found, and hears everybody's reports for a grace.
double row_delay_bound_after_failover_s(const Settings& settings, const lease::LeaseTimes& times,
                                        double round_trip_s, int seekers);

struct Row {
    std::uint64_t period = 0;
    Values values{};
    std::uint64_t processes = 0;   // counted in it
};

class Aggregator {
  public:
    Aggregator(const Settings& settings, const lease::LeaseTimes& times, const lease::AcceptorSet& voters,
               std::uint64_t seed);

    // Times: `now` s of the leases' clock, `unix_s` the wall clock's.
    void begin_term(double now, double unix_s, std::uint64_t number);
    void end_term();
    void set_acceptors(double now, const lease::AcceptorSet& voters) {
        registers_.set_acceptors(now, voters);
    }
    void on_register_message(double now, double unix_s, const std::string& voter,
                             const lease::RegisterMessage& message);
    // Whether anything came of it: who does not hold the lease sums nothing.
    bool on_report(double now, double unix_s, const std::string& from, const Report& report);
    // Rows up to this period have been taken by the receiver.
    void on_rows_delivered(std::uint64_t period) {
        delivered_period_ = std::max(delivered_period_, period);
    }
    void on_timer(double now, double unix_s);
    double next_deadline(double now, double unix_s) const;   // of the leases' clock

    std::vector<lease::RegisterClient::OutgoingMessage> take_register_messages() {
        return registers_.take_outgoing();
    }
    // To be written, oldest first, if the lease still permits it.
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
    std::uint64_t skipped_periods() const {
        return skipped_periods_;
    }                                                  // periods without a row, as voters had forgotten
    std::uint64_t resets() const { return resets_; }   // times that the sums began at 0
    std::uint64_t rejected_reports() const {
        return rejected_reports_;
    }   // reports of processes over kEntriesMost

  private:
    // Reading the notes; taking them over under the new number; between periods; writing one.
    enum class Stage { off, reading, adopting, idle, writing_pages, writing_totals };
    struct Page {
        std::uint64_t period = 0;
        Values values{};
        std::map<std::uint64_t, std::uint64_t> entries;   // by process: what is counted
    };
    struct ReceivedReport {
        std::string from;
        Report report;
        double received_at = 0;
    };
    static std::string page_name(std::size_t page) { return "sums." + std::to_string(page); }
    static constexpr const char* kTotalsRegister = "sums";
    static std::vector<std::string> register_names();   // of all notes
    static std::size_t page_of(std::uint64_t process) { return process % kPageCount; }

    std::uint64_t last_ended_period(double unix_s) const;   // the last one that has ended
    void load_registers(double unix_s);
    void advance(double now, double unix_s);
    void begin_period(double now, std::uint64_t period);
    void add_reports(Page& page, std::uint64_t period);
    std::string encode_page(const Page& page) const;
    std::string encode_totals() const;
    bool all_committed() const;
    void publish_rows();
    void acknowledge(std::uint64_t process, const ReceivedReport& heard);

    const Settings settings_;
    const lease::LeaseTimes times_;
    lease::RegisterClient registers_;
    Stage stage_ = Stage::off;
    double term_began_unix_s_ = 0;
    std::array<Page, kPageCount> pages_;
    std::deque<Row> retained_rows_;
    std::uint64_t delivered_period_ = 0, published_period_ = 0;   // the last row handed out
    std::map<std::uint64_t, ReceivedReport> reports_;             // by process
    std::vector<Row> rows_;
    std::vector<Acknowledgement> acknowledgements_;
    std::uint64_t skipped_periods_ = 0, resets_ = 0, rejected_reports_ = 0;
};

}   // namespace slatejunction::fleet_counters
