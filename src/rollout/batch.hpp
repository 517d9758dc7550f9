// The records of a log that go in one message.
#pragma once

#include <cstdint>
#include <vector>

#include "rollout/log.hpp"
#include "rollout/message.hpp"

namespace slatejunction::rollout {

// Those after `after` up to `last`, in order, as many as kRecordsRoom holds: one at least where there is
// one. Wants log.knows() of both.
inline std::vector<Record> next_batch(const Log& log, std::uint64_t after, std::uint64_t last) {
    std::vector<Record> records;
    std::size_t room = kRecordsBudgetBytes;
    for (std::uint64_t number = after + 1; number <= last; ++number) {
        const Record& next = log.record(number);
        const std::size_t size = encoded_size(next);
        if (size > room) break;
        room -= size;
        records.push_back(next);
    }
    return records;
}

}   // namespace slatejunction::rollout
