#include "rollout/message.hpp"

#include <algorithm>

#include "rollout.pb.h"

namespace slatejunction::rollout {
namespace {

void write(const Record& from, wire::Record& to) {
    to.set_number(from.number);
    to.set_term(from.term);
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_key(from.key);
    to.set_value(from.value);
    to.set_reverts(from.reverts);
}
void write(const Version& from, wire::Version& to) {
    to.set_number(from.number);
    to.set_chain(from.chain);
}
void write(const Staging& from, wire::Staging& to) {
    to.set_term(from.term);
    to.set_cleared(from.cleared);
    to.set_canary_below(from.canary_below);
}
void write(const FollowerStatus& from, wire::Standing& to) {
    to.set_name(from.name);
    to.set_in_force(from.active);
    to.set_trouble(static_cast<std::uint32_t>(from.fault));
}
void write(const Report& from, wire::Report& to) {
    to.set_counted(from.counted);
    to.set_lowest(from.lowest);
    to.set_behind(from.behind);
    to.set_silent(from.silent);
    to.set_refused(from.refused);
    for (const FollowerStatus& status : from.behind_names) write(status, *to.add_behind_name());
    for (const FollowerStatus& status : from.silent_names) write(status, *to.add_silent_name());
    for (const FollowerStatus& status : from.canaries) write(status, *to.add_canary());
    for (const Refusal& refusal : from.refusals) {
        wire::Refusal& encoded = *to.add_refusal();
        encoded.set_number(refusal.number);
        encoded.set_name(refusal.name);
        encoded.set_reason(refusal.reason);
    }
}
template <class Wire>
void write_records(const std::vector<Record>& from, Wire& to) {
    for (const Record& record : from) write(record, *to.add_record());
}

void write(const Pull& from, wire::Pull& to) {
    to.set_name(from.name);
    write(from.have, *to.mutable_have());
    to.set_in_force(from.active);
    to.set_refused(from.refused);
    to.set_reason(from.reason);
    to.set_trouble(static_cast<std::uint32_t>(from.fault));
    to.set_leaving(from.leaving);
    if (from.subtree) write(*from.subtree, *to.mutable_subtree());
}
void write(const Announcement& from, wire::Offer& to) {
    write(from.staging, *to.mutable_staging());
    write(from.previous, *to.mutable_previous());
    write_records(from.records, to);
    to.set_limit(from.activation_limit);
    to.set_more(from.more);
    to.set_diverged(from.diverged);
    to.set_left(from.leave_acknowledged);
}
void write(const SnapshotPartRequest& from, wire::PartPull& to) {
    write(from.version, *to.mutable_version());
    to.set_from(from.from);
    to.set_count(from.count);
}
void write(const SnapshotPart& from, wire::SnapshotPart& to) {
    write(from.version, *to.mutable_version());
    to.set_term(from.term);
    to.set_check(from.checksum);
    to.set_index(from.index);
    to.set_parts(from.parts);
    for (const auto& [key, value] : from.entries) {
        wire::Entry& entry = *to.add_entry();
        entry.set_key(key);
        entry.set_value(value);
    }
    write(from.staging, *to.mutable_staging());
}
void write(const Prepare& from, wire::Prepare& to) {
    to.set_term(from.term);
    to.set_nonce(from.nonce);
}
void write(const Promise& from, wire::Promise& to) {
    to.set_term(from.term);
    to.set_promised(from.promised);
    to.set_process(from.process);
    to.set_remembers(from.storage_intact);
    to.set_granted(from.granted);
}
void write(const LogStatusRequest& from, wire::Inspect& to) { to.set_term(from.term); }
void write(const LogStatus& from, wire::Holding& to) {
    to.set_term(from.term);
    to.set_process(from.process);
    to.set_remembers(from.storage_intact);
    write(from.last, *to.mutable_last());
    to.set_last_term(from.last_term);
    to.set_committed(from.committed);
    to.set_base(from.base);
    to.set_cleared(from.cleared);
}
void write(const FetchRequest& from, wire::Fetch& to) {
    to.set_term(from.term);
    to.set_after(from.after);
}
void write(const FetchReply& from, wire::Fetched& to) {
    to.set_term(from.term);
    write(from.previous, *to.mutable_previous());
    write_records(from.records, to);
    to.set_end(from.end);
}
void write(const Append& from, wire::Append& to) {
    to.set_term(from.term);
    write(from.previous, *to.mutable_previous());
    write_records(from.records, to);
    to.set_committed(from.committed);
    write(from.staging, *to.mutable_staging());
    to.set_admit(from.admit);
}
void write(const AppendReply& from, wire::Appended& to) {
    to.set_term(from.term);
    to.set_promised(from.promised);
    to.set_process(from.process);
    to.set_remembers(from.storage_intact);
    to.set_matches(from.matches);
    write(from.last, *to.mutable_last());
    to.set_committed(from.committed);
    to.set_disk_failed(from.disk_failed);
}

// The read() functions that return bool return false if a field is outside its limits.
bool is_name(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameBytes &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 127; });
}
// Truncates a reason to kMaxReasonBytes and replaces control characters, as it is shown to operators.
std::string printable(std::string text) {
    if (text.size() > kMaxReasonBytes) text.resize(kMaxReasonBytes);
    for (char& c : text)
        if (c < ' ' || c == 127) c = '?';
    return text;
}
Version read(const wire::Version& in) { return {in.number(), in.chain()}; }
Staging read(const wire::Staging& in) { return {in.term(), in.cleared(), in.canary_below()}; }
bool read(const wire::Record& in, Record& out) {
    out.number = in.number();
    out.term = in.term();
    out.kind = static_cast<RecordKind>(in.kind());
    out.key = in.key();
    out.value = in.value();
    out.reverts = in.reverts();
    return valid(out);
}
template <class Wire>
bool read_records(const Wire& in, const Version& previous, std::vector<Record>& out) {
    std::uint64_t number = previous.number;
    for (const wire::Record& encoded : in.record()) {
        Record record;
        if (!read(encoded, record) || record.number != ++number) return false;
        out.push_back(std::move(record));
    }
    return true;
}
bool read(const wire::Standing& in, FollowerStatus& out) {
    if (!is_name(in.name()) || in.trouble() > static_cast<std::uint32_t>(FollowerFault::refused))
        return false;
    out = {in.name(), in.in_force(), static_cast<FollowerFault>(in.trouble())};
    return true;
}
template <class Repeated>
bool read(const Repeated& in, std::size_t max_size, std::vector<FollowerStatus>& out) {
    if (static_cast<std::size_t>(in.size()) > max_size) return false;
    for (const wire::Standing& encoded : in) {
        out.emplace_back();
        if (!read(encoded, out.back())) return false;
    }
    return true;
}
bool read(const wire::Report& in, Report& out) {
    out.counted = in.counted();
    out.lowest = in.lowest();
    out.behind = in.behind();
    out.silent = in.silent();
    out.refused = in.refused();
    if (static_cast<std::size_t>(in.refusal_size()) > kMaxReportedRefusals) return false;
    for (const wire::Refusal& refusal : in.refusal()) {
        if (!is_name(refusal.name()) || refusal.number() == 0) return false;
        out.refusals.push_back({refusal.number(), refusal.name(), printable(refusal.reason())});
    }
    return read(in.behind_name(), kMaxReportedNames, out.behind_names) &&
           read(in.silent_name(), kMaxReportedNames, out.silent_names) &&
           read(in.canary(), kMaxCanaries, out.canaries);
}

bool read(const wire::Pull& in, Pull& out) {
    if (!is_name(in.name()) || in.trouble() > static_cast<std::uint32_t>(FollowerFault::refused))
        return false;
    out.name = in.name();
    out.have = read(in.have());
    out.active = in.in_force();
    out.refused = in.refused();
    out.reason = printable(in.reason());
    out.fault = static_cast<FollowerFault>(in.trouble());
    out.leaving = in.leaving();
    if (in.has_subtree()) return read(in.subtree(), out.subtree.emplace());
    return true;
}
bool read(const wire::Offer& in, Announcement& out) {
    out.staging = read(in.staging());
    out.previous = read(in.previous());
    out.activation_limit = in.limit();
    out.more = in.more();
    out.diverged = in.diverged();
    out.leave_acknowledged = in.left();
    return read_records(in, out.previous, out.records);
}
bool read(const wire::PartPull& in, SnapshotPartRequest& out) {
    out = {read(in.version()), in.from(), in.count()};
    return true;
}
bool read(const wire::SnapshotPart& in, SnapshotPart& out) {
    out.version = read(in.version());
    out.term = in.term();
    out.checksum = in.check();
    out.index = in.index();
    out.parts = in.parts();
    out.staging = read(in.staging());
    for (const wire::Entry& entry : in.entry()) {
        if (entry.key().empty() || entry.key().size() > kMaxKeyBytes ||
            entry.value().size() > kMaxValueBytes)
            return false;
        out.entries.emplace_back(entry.key(), entry.value());
    }
    return out.index < out.parts;
}
bool read(const wire::Prepare& in, Prepare& out) {
    out = {in.term(), in.nonce()};
    return in.term() != 0;
}
bool read(const wire::Promise& in, Promise& out) {
    out = {in.term(), in.promised(), in.process(), in.remembers(), in.granted()};
    return true;
}
bool read(const wire::Inspect& in, LogStatusRequest& out) {
    out.term = in.term();
    return in.term() != 0;
}
bool read(const wire::Holding& in, LogStatus& out) {
    out = {in.term(),      in.process(),   in.remembers(), read(in.last()),
           in.last_term(), in.committed(), in.base(),      in.cleared()};
    return true;
}
bool read(const wire::Fetch& in, FetchRequest& out) {
    out = {in.term(), in.after()};
    return in.term() != 0;
}
bool read(const wire::Fetched& in, FetchReply& out) {
    out.term = in.term();
    out.previous = read(in.previous());
    out.end = in.end();
    return read_records(in, out.previous, out.records);
}
bool read(const wire::Append& in, Append& out) {
    out.term = in.term();
    out.previous = read(in.previous());
    out.committed = in.committed();
    out.staging = read(in.staging());
    out.admit = in.admit();
    return in.term() != 0 && read_records(in, out.previous, out.records);
}
bool read(const wire::Appended& in, AppendReply& out) {
    out = {in.term(),    in.promised(),   in.process(),   in.remembers(),
           in.matches(), read(in.last()), in.committed(), in.disk_failed()};
    return true;
}

template <class Typed, class Wire>
std::optional<Message> decode_as(const Wire& in) {
    Typed out;
    if (!read(in, out)) return {};
    return Message(std::move(out));
}

struct Writer {
    wire::Message& out;
    void operator()(const Pull& message) { write(message, *out.mutable_pull()); }
    void operator()(const Announcement& message) { write(message, *out.mutable_offer()); }
    void operator()(const SnapshotPartRequest& message) { write(message, *out.mutable_part_pull()); }
    void operator()(const SnapshotPart& message) { write(message, *out.mutable_snapshot_part()); }
    void operator()(const Prepare& message) { write(message, *out.mutable_prepare()); }
    void operator()(const Promise& message) { write(message, *out.mutable_promise()); }
    void operator()(const LogStatusRequest& message) { write(message, *out.mutable_inspect()); }
    void operator()(const LogStatus& message) { write(message, *out.mutable_holding()); }
    void operator()(const FetchRequest& message) { write(message, *out.mutable_fetch()); }
    void operator()(const FetchReply& message) { write(message, *out.mutable_fetched()); }
    void operator()(const Append& message) { write(message, *out.mutable_append()); }
    void operator()(const AppendReply& message) { write(message, *out.mutable_appended()); }
    void operator()(const FollowerReport& message) {
        write(message.report, *out.mutable_told()->mutable_report());
    }
};

// Bytes of the tag and length of a field of up to 16,383 bytes.
constexpr std::size_t kFieldOverheadBytes = 3;

}   // namespace

void Staging::merge(const Staging& other) {
    cleared = std::max(cleared, other.cleared);
    if (other.term < term) return;
    term = other.term;
    canary_below = other.canary_below;
}

std::string encode(const Message& message) {
    wire::Message out;
    std::visit(Writer{out}, message);
    return out.SerializeAsString();
}

std::optional<Message> decode(std::string_view bytes) {
    wire::Message in;
    if (bytes.size() > kMaxBodyBytes || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    switch (in.kind_case()) {
        case wire::Message::kPull:
            return decode_as<Pull>(in.pull());
        case wire::Message::kOffer:
            return decode_as<Announcement>(in.offer());
        case wire::Message::kPartPull:
            return decode_as<SnapshotPartRequest>(in.part_pull());
        case wire::Message::kSnapshotPart:
            return decode_as<SnapshotPart>(in.snapshot_part());
        case wire::Message::kPrepare:
            return decode_as<Prepare>(in.prepare());
        case wire::Message::kPromise:
            return decode_as<Promise>(in.promise());
        case wire::Message::kInspect:
            return decode_as<LogStatusRequest>(in.inspect());
        case wire::Message::kHolding:
            return decode_as<LogStatus>(in.holding());
        case wire::Message::kFetch:
            return decode_as<FetchRequest>(in.fetch());
        case wire::Message::kFetched:
            return decode_as<FetchReply>(in.fetched());
        case wire::Message::kAppend:
            return decode_as<Append>(in.append());
        case wire::Message::kAppended:
            return decode_as<AppendReply>(in.appended());
        case wire::Message::kTold: {
            FollowerReport report;
            if (!read(in.told().report(), report.report)) return {};
            return Message(std::move(report));
        }
        case wire::Message::KIND_NOT_SET:
            return {};
    }
    return {};
}

std::size_t encoded_size(const Record& record) {
    wire::Record out;
    write(record, out);
    return out.ByteSizeLong() + kFieldOverheadBytes;
}
std::size_t encoded_size(const std::string& key, const std::string& value) {
    return key.size() + value.size() + 3 * kFieldOverheadBytes;
}
std::size_t encoded_size(const Report& report) {
    wire::Report out;
    write(report, out);
    return out.ByteSizeLong() + kFieldOverheadBytes;
}

}   // namespace slatejunction::rollout
