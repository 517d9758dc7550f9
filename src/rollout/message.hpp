// Messages between the nodes of a rollout, typed, and their encoding (rollout.proto). Pure.
//
// The names of protobuf fields are mapped to the code's terms here only: `trouble` = fault, `in_force` =
// active, `remembers` = storage_intact, `holding` = LogStatus, `told` = FollowerReport. Every message is
// authenticated for one process (membership::DatagramAuth): what was sent to an earlier process of a name
// never reaches a later one. Replica and Leader rely on that.
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

/// How far the staged release has come, as announced by a leader. `cleared` never falls; for the rest the
/// higher term counts.
struct Staging {
    std::uint64_t term = 0;
    std::uint64_t cleared = 0;        // every follower may activate up to it
    std::uint64_t canary_below = 0;   // followers with hash_of(name) below it activate what is committed
    bool operator==(const Staging&) const = default;
    void merge(const Staging& other);
    bool canary(std::string_view name) const { return hash_of(name) < canary_below; }
};

// --- Between a publisher and its children.

/// A child reports its version and requests the records after it.
struct Pull {
    std::string name;
    Version have;                // the last record received
    std::uint64_t active = 0;    // <= have.number
    std::uint64_t refused = 0;   // the change that it refuses; 0: none
    std::string reason;          // of the refusal
    FollowerFault fault = FollowerFault::none;
    bool leaving = false;            // it uses another parent now
    std::optional<Report> subtree;   // of a relay
    bool operator==(const Pull&) const = default;
};
/// Records after `previous`; none: nothing is new.
struct Offer {
    Staging staging;
    Version previous;
    std::vector<Record> records;
    std::uint64_t activation_limit = 0;   // the highest number that this child may activate
    bool more = false;                    // more records follow; the child pulls again at once
    bool diverged = false;                // the child's version is not in this sequence
    bool leave_acknowledged = false;      // answers a `leaving`
    bool operator==(const Offer&) const = default;
};
/// Requests `count` parts of a snapshot from index `from` on.
struct SnapshotPartRequest {
    Version version;
    std::uint32_t from = 0, count = 0;
    bool operator==(const SnapshotPartRequest&) const = default;
};
/// One part of the state at a version; an unrequested one announces a snapshot.
struct SnapshotPart {
    Version version;
    std::uint64_t term = 0;       // of the record of that version
    std::uint64_t checksum = 0;   // snapshot_checksum()
    std::uint32_t index = 0, parts = 1;
    std::vector<std::pair<std::string, std::string>> entries;
    Staging staging;
    bool operator==(const SnapshotPart&) const = default;
};

// --- Between a leader and the replicas.

/// Requests the promise to accept no append of a lower term (Paxos, phase 1a).
struct Prepare {
    std::uint64_t term = 0;
    std::uint64_t nonce = 0;   // of this leader: two processes may hold the lease under one token
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
/// Requests the records after a number.
struct FetchRequest {
    std::uint64_t term = 0, after = 0;
    bool operator==(const FetchRequest&) const = default;
};
struct FetchReply {
    std::uint64_t term = 0;
    Version previous;
    std::vector<Record> records;
    bool end = false;   // the last reply to one request
    bool operator==(const FetchReply&) const = default;
};
struct Append {
    std::uint64_t term = 0;
    Version previous;
    std::vector<Record> records;   // none: a heartbeat
    std::uint64_t committed = 0;
    Staging staging;
    bool admit = false;   // a learner counts again once its log matches this
    bool operator==(const Append&) const = default;
};
struct AppendReply {
    std::uint64_t term = 0;       // of the Append
    std::uint64_t promised = 0;   // above `term`: refused
    std::uint64_t process = 0;
    bool storage_intact = false;
    bool matches = false;   // the log agrees with the leader's up to last.number
    Version last;           // if it matches, up to here; else its last record
    std::uint64_t committed = 0;
    bool disk_failed = false;
    bool operator==(const AppendReply&) const = default;
};
/// A control machine reports the followers below it to the leader.
struct FollowerReport {
    Report report;
    bool operator==(const FollowerReport&) const = default;
};

using Message =
    std::variant<Pull, Offer, SnapshotPartRequest, SnapshotPart, Prepare, Promise, LogStatusRequest,
                 LogStatus, FetchRequest, FetchReply, Append, AppendReply, FollowerReport>;

/// At most kMaxBodyBytes if records and parts keep to the budgets below.
std::string encode(const Message& message);
/// Nullopt: the bytes are no message, or a field is outside its limits.
std::optional<Message> decode(std::string_view bytes);

/// Bytes of a record, an entry or a report in a message, with tag and length.
std::size_t encoded_size(const Record& record);
std::size_t encoded_size(const std::string& key, const std::string& value);
std::size_t encoded_size(const Report& report);
/// Bytes for records in an Offer, FetchReply or Append, and for entries in a SnapshotPart.
inline constexpr std::size_t kRecordsBudgetBytes = 860;
inline constexpr std::size_t kEntriesBudgetBytes = 860;

using Body = std::shared_ptr<const std::string>;
inline Body body_of(const Message& message) { return std::make_shared<const std::string>(encode(message)); }
/// To the latest process of the node of this name. Several messages may share one body.
struct OutgoingMessage {
    std::string to;
    Body body;
};

}   // namespace slatejunction::rollout
