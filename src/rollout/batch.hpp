// Batches of log records that fit into one message.
#pragma once

#include <cstdint>
#include <vector>

#include "rollout/log.hpp"
#include "rollout/message.hpp"

namespace slatejunction::rollout {

/// Returns the records after number `after` up to `last`, in order, as many as fit into
/// kRecordsBudgetBytes. Every valid record fits, so the batch is empty only if there is no such record.
/// Requires log.contains_number() for both numbers.
inline std::vector<Record> next_batch(const Log& log, std::uint64_t after, std::uint64_t last) {
    std::vector<Record> records;
    std::size_t budget = kRecordsBudgetBytes;
    for (std::uint64_t number = after + 1; number <= last; ++number) {
        const Record& next = log.record(number);
        const std::size_t size = encoded_size(next);
        if (size > budget) break;
        budget -= size;
        records.push_back(next);
    }
    return records;
}

}   // namespace slatejunction::rollout
