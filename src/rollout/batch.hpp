// The records of a log that fit into one message.
#pragma once

#include <cstdint>
#include <vector>

#include "rollout/log.hpp"
#include "rollout/message.hpp"

namespace slatejunction::rollout {

/// Records after number `after` up to `last`, in order, as many as kRecordsBudgetBytes holds; at least one
/// if there is one. Requires log.contains_number() of both.
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
