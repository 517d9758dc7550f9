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

inline constexpr std::size_t kPages = 10;   // notes of entries, so that 300 processes and their heirs fit
inline constexpr std::size_t kRowsKept = 14;      // rows in the totals' note: what a receiver may be behind
inline constexpr std::size_t kEntriesMost = 85;   // a page

struct Settings {
    double every_s = 0;   // a period
    double grace_s = 1;   // after a period's end, until what has come is summed
};

// How late a period's row is handed to the receiver at most, after its end, while a majority of the voters
// and the holder hear one another: the grace, then three rounds of notes (pages, totals; one more after a
// change of holder).
double row_within_s(const Settings& settings, const lease::LeaseTimes& times, double round_trip_s);
// After a holder's death the next one must first be found, and hears everybody's reports for a grace.
double row_within_after_death_s(const Settings& settings, const lease::LeaseTimes& times,
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
    void hold(double now, double unix_s, std::uint64_t number);
    void lose();
    void set_voters(double now, const lease::AcceptorSet& voters) { book_.set_acceptors(now, voters); }
    void on_note(double now, double unix_s, const std::string& voter,
                 const lease::RegisterMessage& message);
    // Whether anything came of it: who does not hold the lease sums nothing.
    bool on_report(double now, double unix_s, const std::string& from, const Report& report);
    // Rows up to this period have been taken by the receiver.
    void on_sent(std::uint64_t period) { sent_ = std::max(sent_, period); }
    void wake(double now, double unix_s);
    double due(double now, double unix_s) const;   // of the leases' clock

    std::vector<lease::RegisterClient::OutgoingMessage> take_posts() { return book_.take_outgoing(); }
    // To be written, oldest first, if the lease still permits it.
    std::vector<Row> take_rows() { return std::exchange(rows_, {}); }
    struct Answer {
        std::string to;
        Report report;
    };
    std::vector<Answer> take_answers() { return std::exchange(answers_, {}); }

    bool holds() const { return book_.has_term(); }
    std::uint64_t done() const { return rows_kept_.empty() ? 0 : rows_kept_.back().period; }
    std::uint64_t skipped() const { return skipped_; }   // periods without a row, as voters had forgotten
    std::uint64_t anew() const { return anew_; }         // times that the sums began at 0
    std::uint64_t turned_away() const { return turned_away_; }   // reports of processes over kEntriesMost

  private:
    // Reading the notes; taking them over under the new number; between periods; writing one.
    enum class Stage { off, reading, taking, idle, pages, totals };
    struct Page {
        std::uint64_t period = 0;
        Values values{};
        std::map<std::uint64_t, std::uint64_t> entries;   // by process: what is counted
    };
    struct Heard {
        std::string from;
        Report report;
        double at = 0;
    };
    static std::string page_name(std::size_t page) { return "sums." + std::to_string(page); }
    static constexpr const char* kTotals = "sums";
    static std::vector<std::string> names();   // of all notes
    static std::size_t page_of(std::uint64_t process) { return process % kPages; }

    std::uint64_t period_at(double unix_s) const;   // the last one that has ended
    void load(double unix_s);
    void step(double now, double unix_s);
    void begin(double now, std::uint64_t period);
    void add(Page& page, std::uint64_t period);
    std::string pack(const Page& page) const;
    std::string pack_totals() const;
    bool all_settled() const;
    void finish();
    void answer(std::uint64_t process, const Heard& heard);

    const Settings settings_;
    const lease::LeaseTimes times_;
    lease::RegisterClient book_;
    Stage stage_ = Stage::off;
    double held_unix_ = 0;
    std::array<Page, kPages> pages_;
    std::deque<Row> rows_kept_;
    std::uint64_t sent_ = 0, told_ = 0;      // the last row handed out
    std::map<std::uint64_t, Heard> heard_;   // by process
    std::vector<Row> rows_;
    std::vector<Answer> answers_;
    std::uint64_t skipped_ = 0, anew_ = 0, turned_away_ = 0;
};

}   // namespace slatejunction::fleet_counters
