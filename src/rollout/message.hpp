// What nodes of a rollout say to one another, as typed messages, and their bytes. Pure.
//
// Every message is carried sealed for one process (membership::Seal): what was sent to an earlier process
// of a name never reaches a later one. Replica and Source rest on that.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rollout/report.hpp"

namespace slatejunction::rollout {

inline constexpr std::size_t kMaxBodyBytes = 1000;   // bytes of a message

// How far the rollout of committed records has come, as a source said it. `cleared` never falls; for the
// rest the higher term counts.
struct Staging {
    std::uint64_t term = 0;
    std::uint64_t cleared = 0;        // every follower may have it in force
    std::uint64_t canary_below = 0;   // followers whose hash_of(name) is below it take what is committed
    bool operator==(const Staging&) const = default;
    void merge(const Staging& other);
    bool canary(std::string_view name) const { return hash_of(name) < canary_below; }
};

// --- between a feeder and its children

// A child says what it has, and asks for what comes after it.
struct Pull {
    std::string name;
    Version have;                // the last record it holds
    std::uint64_t active = 0;    // <= have.number
    std::uint64_t refused = 0;   // a number that it can't use; 0: none
    std::string reason;          // of the refusal
    FollowerFault fault = FollowerFault::none;
    bool leaving = false;            // it has another parent now
    std::optional<Report> subtree;   // of a relay: all below it
    bool operator==(const Pull&) const = default;
};
// Records after `previous`; none: an answer that there is nothing new.
struct Offer {
    Staging staging;
    Version previous;
    std::vector<Record> records;
    std::uint64_t activation_limit =
        0;                   // what this child may have in force, and a version that is meant to be
    bool more = false;       // there is more after these; pull again at once
    bool diverged = false;   // the child's version is none of this sequence
    bool leave_acknowledged = false;   // answers a `leaving`
    bool operator==(const Offer&) const = default;
};
// Wants parts of a snapshot, `count` from index `from` on.
struct SnapshotPartRequest {
    Version version;
    std::uint32_t from = 0, count = 0;
    bool operator==(const SnapshotPartRequest&) const = default;
};
// One part of the state at a version; the first one tells that a snapshot is to be taken.
struct SnapshotPart {
    Version version;
    std::uint64_t term = 0;       // of the record of that version
    std::uint64_t checksum = 0;   // check_of() the whole state
    std::uint32_t index = 0, parts = 1;
    std::vector<std::pair<std::string, std::string>> entries;
    Staging staging;
    bool operator==(const SnapshotPart&) const = default;
};

// --- between a source and the replicas

// Asks for the promise to take no append under a lower term.
struct Prepare {
    std::uint64_t term = 0;
    std::uint64_t nonce = 0;   // of this hold of the lease: two processes may hold it under one number
    bool operator==(const Prepare&) const = default;
};
struct Promise {
    std::uint64_t term = 0;       // of the Prepare
    std::uint64_t promised = 0;   // the highest
    std::uint64_t process = 0;
    bool storage_intact = false;
    bool granted = false;
    bool operator==(const Promise&) const = default;
};
struct LogStatusRequest {
    std::uint64_t term = 0;
    bool operator==(const LogStatusRequest&) const = default;
};
struct LogStatus {
    std::uint64_t term = 0, process = 0;
    bool storage_intact = false;
    Version last;
    std::uint64_t last_term = 0, committed = 0, base = 0, cleared = 0;
    bool operator==(const LogStatus&) const = default;
};
// Asks for the records after a number.
struct FetchRequest {
    std::uint64_t term = 0, after = 0;
    bool operator==(const FetchRequest&) const = default;
};
struct FetchReply {
    std::uint64_t term = 0;
    Version previous;
    std::vector<Record> records;
    bool end = false;   // the last of those that answer one Fetch
    bool operator==(const FetchReply&) const = default;
};
struct Append {
    std::uint64_t term = 0;
    Version previous;
    std::vector<Record> records;   // none: a heartbeat
    std::uint64_t committed = 0;
    Staging staging;
    bool admit = false;   // a replica that had lost its disk counts again once it matches this
    bool operator==(const Append&) const = default;
};
struct AppendReply {
    std::uint64_t term = 0;       // of the Append
    std::uint64_t promised = 0;   // above `term`: refused
    std::uint64_t process = 0;
    bool storage_intact = false;
    bool matches = false;   // `last` agrees with the source's log up to last.number
    Version last;           // matches: what is agreed on; else the last record it has
    std::uint64_t committed = 0;
    bool disk_failed = false;
    bool operator==(const AppendReply&) const = default;
};
// A control machine tells the source of the followers that it feeds.
struct FollowerReport {
    Report report;
    bool operator==(const FollowerReport&) const = default;
};

using Message =
    std::variant<Pull, Offer, SnapshotPartRequest, SnapshotPart, Prepare, Promise, LogStatusRequest,
                 LogStatus, FetchRequest, FetchReply, Append, AppendReply, FollowerReport>;

// At most kBodyMost bytes where records() or parts were filled by the helpers below.
std::string encode(const Message& message);
// None: the bytes are no message, or a field is outside of what is allowed.
std::optional<Message> decode(std::string_view bytes);

// Bytes of a record, of an entry in a message, with its tag and length.
std::size_t encoded_size(const Record& record);
std::size_t encoded_size(const std::string& key, const std::string& value);
std::size_t encoded_size(const Report& report);
// Room for records in an Offer, Fetched or Append, and for entries in a SnapshotPart.
inline constexpr std::size_t kRecordsBudgetBytes = 860;
inline constexpr std::size_t kEntriesBudgetBytes = 860;

using Body = std::shared_ptr<const std::string>;
inline Body body_of(const Message& message) { return std::make_shared<const std::string>(encode(message)); }
// To be sent to the node of this name (its process that was heard last). Several posts share one body.
struct OutgoingMessage {
    std::string to;
    Body body;
};

}   // namespace slatejunction::rollout
