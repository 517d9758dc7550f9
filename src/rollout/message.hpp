// Typed messages between the nodes of a rollout and their encoding (rollout.proto). No I/O and no clock.
//
// Only message.cpp maps the names of the protobuf schema to the terms of the code: `trouble` is fault,
// `Offer` is Announcement, `in_force` is active, `remembers` is storage_intact, `holding` is LogStatus,
// `told` is FollowerReport.
//
// Every message is authenticated for one process (membership::DatagramAuth), so that a message sent to an
// earlier process of a node is never delivered to a later one. Replica and Leader rely on that.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rollout/report.hpp"

namespace slatejunction::rollout {

inline constexpr std::size_t kMaxBodyBytes = 1000;   // of an encoded message

/// The progress of the staged release, as announced by a leader. `cleared` never falls; the other fields
/// are those of the highest term.
struct Staging {
    std::uint64_t term = 0;
    std::uint64_t cleared = 0;        // every follower may activate versions up to this number
    std::uint64_t canary_below = 0;   // followers with hash_of(name) below it are canaries
    bool operator==(const Staging&) const = default;
    void merge(const Staging& other);
    /// Whether the follower of this name is a canary, which activates versions once they are committed.
    bool canary(std::string_view name) const { return hash_of(name) < canary_below; }
};

// --- Messages between a publisher and its children.

/// Reports the version and status of a child and requests the records after that version.
struct Pull {
    std::string name;
    Version have;                // the last record received
    std::uint64_t active = 0;    // number of the active version, <= have.number
    std::uint64_t refused = 0;   // number of the change that it refuses; 0: none
    std::string reason;          // of the refusal
    FollowerFault fault = FollowerFault::none;
    bool leaving = false;            // the child has switched to another parent
    std::optional<Report> subtree;   // of a relay: the report of its children
    bool operator==(const Pull&) const = default;
};
/// The records after `previous`; none if nothing is new.
struct Announcement {
    Staging staging;
    Version previous;
    std::vector<Record> records;
    std::uint64_t activation_limit = 0;   // the highest number that this child may activate
    bool more = false;                    // more records follow; the child pulls again at once
    bool diverged = false;                // the child's version is not part of the publisher's log
    bool leave_acknowledged = false;      // answers a pull with `leaving`
    bool operator==(const Announcement&) const = default;
};
/// Requests `count` parts of a snapshot, beginning with index `from`.
struct SnapshotPartRequest {
    Version version;
    std::uint32_t from = 0, count = 0;
    bool operator==(const SnapshotPartRequest&) const = default;
};
/// One part of the state at a version. An unrequested part announces a snapshot.
struct SnapshotPart {
    Version version;
    std::uint64_t term = 0;       // of the record at that version
    std::uint64_t checksum = 0;   // snapshot_checksum() of the complete state
    std::uint32_t index = 0, parts = 1;
    std::vector<std::pair<std::string, std::string>> entries;
    Staging staging;
    bool operator==(const SnapshotPart&) const = default;
};

// --- Messages between a leader and the replicas.

/// Requests the promise to accept no append of a lower term (Paxos, phase 1a).
struct Prepare {
    std::uint64_t term = 0;
    std::uint64_t nonce = 0;   // identifies the leader: two processes may use the same fencing token
    bool operator==(const Prepare&) const = default;
};
struct Promise {
    std::uint64_t term = 0;       // of the Prepare
    std::uint64_t promised = 0;   // the highest promised term
    std::uint64_t process = 0;
    bool storage_intact = false;
    bool granted = false;
    bool operator==(const Promise&) const = default;
};
/// Requests the LogStatus of a replica.
struct LogStatusRequest {
    std::uint64_t term = 0;
    bool operator==(const LogStatusRequest&) const = default;
};
/// Describes a replica's log; `committed`, `base` and `cleared` are record numbers.
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
/// Records after `previous`, in answer to a FetchRequest.
struct FetchReply {
    std::uint64_t term = 0;
    Version previous;
    std::vector<Record> records;
    bool end = false;   // whether this is the last reply to a request
    bool operator==(const FetchReply&) const = default;
};
/// Appends the records after `previous`, and announces the commit index and the staging.
struct Append {
    std::uint64_t term = 0;
    Version previous;
    std::vector<Record> records;   // none: a heartbeat
    std::uint64_t committed = 0;
    Staging staging;
    bool admit = false;   // a learner whose log matches this append counts in majorities again
    bool operator==(const Append&) const = default;
};
struct AppendReply {
    std::uint64_t term = 0;       // of the Append
    std::uint64_t promised = 0;   // the highest promised term; above `term`: the append is rejected
    std::uint64_t process = 0;
    bool storage_intact = false;
    bool matches = false;   // the log matches the append (log matching)
    // If it matches, the last version that matches; otherwise where the leader is to probe next.
    Version last;
    std::uint64_t committed = 0;
    bool disk_failed = false;
    bool operator==(const AppendReply&) const = default;
};
/// Reports the followers below a control machine to the leader.
struct FollowerReport {
    Report report;
    bool operator==(const FollowerReport&) const = default;
};

using Message =
    std::variant<Pull, Announcement, SnapshotPartRequest, SnapshotPart, Prepare, Promise, LogStatusRequest,
                 LogStatus, FetchRequest, FetchReply, Append, AppendReply, FollowerReport>;

/// The result has at most kMaxBodyBytes if records and entries keep to the budgets below.
std::string encode(const Message& message);
/// Returns nullopt if the bytes are not a valid message or a field is outside its limits.
std::optional<Message> decode(std::string_view bytes);

/// The bytes that a record, an entry or a report takes in a message, including tag and length.
std::size_t encoded_size(const Record& record);
std::size_t encoded_size(const std::string& key, const std::string& value);
std::size_t encoded_size(const Report& report);
/// The bytes available for records in an Announcement, FetchReply or Append, and for entries in a
/// SnapshotPart.
inline constexpr std::size_t kRecordsBudgetBytes = 860;
inline constexpr std::size_t kEntriesBudgetBytes = 860;

/// An encoded message. Several outgoing messages may share one.
using Body = std::shared_ptr<const std::string>;
inline Body body_of(const Message& message) { return std::make_shared<const std::string>(encode(message)); }
/// A message to the latest process of the node named `to`.
struct OutgoingMessage {
    std::string to;
    Body body;
};

}   // namespace slatejunction::rollout
