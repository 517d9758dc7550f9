// The part of the log that a node holds: the state at one version, the base, and every record after it. No
// I/O and no clock. Invariants: numbers are consecutive, terms never fall, and every record is valid().
#pragma once

#include <deque>
#include <memory>

#include "rollout/record.hpp"

namespace slatejunction::rollout {

class Log {
  public:
    Log() = default;   // an empty log at version 0
    /// `term`: the term of the record at version `base`. `state`: the state at that version.
    Log(const Version& base, std::uint64_t term, State state)
        : base_(base), base_term_(term), state_(std::move(state)) {}

    const Version& base() const { return base_; }
    std::uint64_t base_term() const { return base_term_; }
    const State& base_state() const { return state_; }
    Version last() const { return entries_.empty() ? base_ : entries_.back().version; }
    std::uint64_t last_term() const { return entries_.empty() ? base_term_ : entries_.back().record->term; }
    std::size_t size() const { return entries_.size(); }
    std::size_t bytes() const { return bytes_; }

    /// Whether base().number <= number <= last().number.
    bool contains_number(std::uint64_t number) const {
        return number >= base_.number && number <= last().number;
    }
    /// Requires contains_number(number).
    Version version(std::uint64_t number) const;
    /// Requires contains_number(number) and number > base().number.
    const Record& record(std::uint64_t number) const;
    /// The term of the record with this number. Requires contains_number(number).
    std::uint64_t term(std::uint64_t number) const {
        return number > base_.number ? record(number).term : base_term_;
    }
    /// Whether the log contains this version, with the same number and chain.
    bool contains(const Version& version) const {
        return contains_number(version.number) && this->version(version.number) == version;
    }

    /// Appends the record if it has the next number, is valid, and its term is not below the last one.
    /// Returns false and changes nothing otherwise.
    bool push(const Record& record);
    /// Drops all records after this number. Requires contains_number(number).
    void truncate(std::uint64_t number);
    /// Advances the base until at most `max_records` and `max_bytes` are left, but not beyond `number`.
    void trim(std::size_t max_records, std::size_t max_bytes, std::uint64_t number);

    /// Requires contains_number(number). Takes time linear in the size of the state and the records.
    State state_at(std::uint64_t number) const;
    /// The number of the record in this log that reverts `number`, or 0 if there is none.
    std::uint64_t reverted_by(std::uint64_t number) const;
    /// Returns the record that reverts `number`, without its own number and term. Returns nullopt if
    /// `number` is not in the log, is itself a revert or a no-op, or is already reverted, or if the value
    /// before it is no longer known.
    std::optional<Record> revert_of(std::uint64_t number) const;
    /// Returns the highest consistent number up to `number`. A number is consistent if it lies in no
    /// reverted range. A reverted range begins with a record that is reverted and ends before the record
    /// that reverts it; reverts after `log_end` are ignored.
    std::uint64_t highest_consistent(std::uint64_t number, std::uint64_t log_end) const;

  private:
    struct Entry {
        std::shared_ptr<const Record> record;   // shared by copies of a log
        Version version;
    };
    const Entry& entry(std::uint64_t number) const { return entries_[number - base_.number - 1]; }

    Version base_;
    std::uint64_t base_term_ = 0;
    State state_;   // at base_
    std::deque<Entry> entries_;
    std::map<std::uint64_t, std::uint64_t> reverts_;   // number of a reverted record -> of its revert
    std::size_t bytes_ = 0;
};

}   // namespace slatejunction::rollout
