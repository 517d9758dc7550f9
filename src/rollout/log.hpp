// The part of the log that a node has: a state at some version (the base) and every record after it. Pure.
// Invariants: numbers are consecutive, terms never fall, and every record is valid().
#pragma once

#include <deque>
#include <memory>

#include "rollout/record.hpp"

namespace slatejunction::rollout {

class Log {
  public:
    Log() = default;   // version 0, empty
    /// `term`: of the record of version `base`.
    Log(const Version& base, std::uint64_t term, State state)
        : base_(base), base_term_(term), state_(std::move(state)) {}

    const Version& base() const { return base_; }
    std::uint64_t base_term() const { return base_term_; }
    const State& base_state() const { return state_; }
    Version last() const { return entries_.empty() ? base_ : entries_.back().version; }
    std::uint64_t last_term() const { return entries_.empty() ? base_term_ : entries_.back().record->term; }
    std::size_t size() const { return entries_.size(); }
    std::size_t bytes() const { return bytes_; }

    /// Whether the number lies in base().number to last().number.
    bool contains_number(std::uint64_t number) const {
        return number >= base_.number && number <= last().number;
    }
    Version version(std::uint64_t number) const;   // requires contains_number(number)
    const Record& record(
        std::uint64_t number) const;   // requires number > base().number, contains_number(number)
    std::uint64_t term(std::uint64_t number) const {   // of that record; requires contains_number(number)
        return number > base_.number ? record(number).term : base_term_;
    }
    bool contains(const Version& version) const {   // this very version, number and chain
        return contains_number(version.number) && this->version(version.number) == version;
    }

    /// Appends the record if it is the next one, valid, and its term does not fall. False: nothing is
    /// changed.
    bool push(const Record& record);
    void truncate(
        std::uint64_t number);   // drops all records after this number; requires contains_number(number)
    /// Moves the base up until at most `records` and `bytes` are left, but not beyond `number`.
    void trim(std::size_t records, std::size_t bytes, std::uint64_t number);

    State state_at(std::uint64_t number) const;   // requires contains_number(number); linear in the records
    /// The number of the record that reverts this one; 0: none in the log.
    std::uint64_t reverted_by(std::uint64_t number) const;
    /// The record that reverts `number`, without number and term. Nullopt: it is not in the log, is itself
    /// a revert, changes nothing, or is reverted already.
    std::optional<Record> revert_of(std::uint64_t number) const;
    /// The highest consistent number up to `number`: in no reverted stretch, which begins with a record and
    /// ends before the record (up to number `seen`) that reverts it.
    std::uint64_t highest_consistent(std::uint64_t number, std::uint64_t seen) const;

  private:
    struct Entry {
        std::shared_ptr<const Record> record;   // shared by copies of a log
        Version version;
    };
    const Entry& entry(std::uint64_t number) const { return entries_[number - base_.number - 1]; }

    Version base_;
    std::uint64_t base_term_ = 0;
    State state_;   // at the base
    std::deque<Entry> entries_;
    std::map<std::uint64_t, std::uint64_t> reverts_;   // by the number reverted: the reverting one
    std::size_t bytes_ = 0;
};

}   // namespace slatejunction::rollout
