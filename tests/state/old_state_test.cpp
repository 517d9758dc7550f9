// State on disk outlives the version that wrote it: the folders of tests/state/data were written by an
// earlier version (generate_state.cpp), and this one has to find in each all that lies there. Every value
// is written out below; none is taken from what the present classes would write. Bytes lie in the order of
// a little-endian machine, as the formats are the machine's own.
//
// A test that fails here means that an upgrade loses state. The data is not written anew then: what reads
// it learns the older form.
#include <algorithm>
#include <bit>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <map>

#include "files.hpp"
#include "lease/acceptor_storage.hpp"
#include "log/log.hpp"
#include "metrics/measures.hpp"
#include "remotewrite/backlog.hpp"
#include "rollout/file_storage.hpp"
#include "rules/bucket_storage.hpp"
#include "state/state.hpp"

using namespace slatejunction;

namespace {

// A copy of a kind's folder.
struct Copy : Folder {
    explicit Copy(const std::string& kind) {
        for (const auto& one : std::filesystem::directory_iterator(SOURCE "/tests/state/data/" + kind)) {
            const std::string name = one.path().filename().string();
            REQUIRE(std::filesystem::copy_file(one, file(name)));
        }
    }
    std::size_t files() const {
        const std::filesystem::directory_iterator all(path());
        return static_cast<std::size_t>(std::distance(begin(all), end(all)));
    }
    // Something was set aside: it was not understood.
    bool broken() const {
        for (const auto& one : std::filesystem::directory_iterator(path()))
            if (one.path().filename().string().find(".broken-") != std::string::npos) return true;
        return false;
    }
};

using Counts = std::map<std::string, double>;

// Those that are not 0, each with its labels.
Counts sampled(const metrics::Measures& measures) {
    std::vector<double> values;
    measures.sample(values);
    Counts all;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const metrics::Series& one = measures.series()[i];
        if (values[i] == 0 || metrics::family(one.family).type == metrics::Type::gauge) continue;
        std::string name = one.name;
        for (const auto& [label, value] : one.labels) name += " " + label + "=" + value;
        all[name] = values[i];
    }
    return all;
}

void check_same(const Counts& found, const Counts& expected) {
    CHECK(found.size() == expected.size());
    for (const auto& [name, value] : expected) {
        INFO(name);
        REQUIRE(found.contains(name));
        CHECK(found.at(name) == value);
    }
}

// Served in 0.25 s (three) and 2 s, refused in 0.125 s (two), failed in 3.5 s; each bucket counts those
// below it too.
void add_buckets(Counts& all, const std::string& outcome, const std::map<std::string, double>& by_le) {
    for (const auto& [le, count] : by_le)
        all["slatejunction_request_duration_seconds_bucket class=read outcome=" + outcome + " le=" + le] =
            count;
}

Counts counts_expected() {
    Counts all{
        {"slatejunction_requests_total class=read plan=plus outcome=served", 4},
        {"slatejunction_requests_total class=read plan=basis outcome=refused", 2},
        {"slatejunction_requests_total class=read plan=basis outcome=failed", 1},
        {"slatejunction_refusals_total class=read plan=basis reason=quota", 1},
        {"slatejunction_refusals_total class=read plan=basis reason=open_limit", 1},
        {"slatejunction_worth_offered_total class=read plan=plus", 21},   // 3 x 3 + 12
        {"slatejunction_worth_served_total class=read plan=plus", 12},    // 3 x 3 + 12 / 4
        {"slatejunction_worth_lost_total class=read plan=plus", 9},
        {"slatejunction_worth_offered_total class=read plan=basis", 3},
        {"slatejunction_worth_lost_total class=read plan=basis", 3},
        {"slatejunction_request_duration_seconds_sum class=read outcome=served", 2.75},
        {"slatejunction_request_duration_seconds_count class=read outcome=served", 4},
        {"slatejunction_request_duration_seconds_sum class=read outcome=refused", 0.25},
        {"slatejunction_request_duration_seconds_count class=read outcome=refused", 2},
        {"slatejunction_request_duration_seconds_sum class=read outcome=failed", 3.5},
        {"slatejunction_request_duration_seconds_count class=read outcome=failed", 1},
        {"slatejunction_attempts_total outcome=ok", 123456789},
        {"slatejunction_attempts_total outcome=moot", 2},
        {"slatejunction_bad_requests_total", 17},
        {"slatejunction_remote_write_samples_sent_total", 9007199254740991.0},
        {"slatejunction_remote_write_samples_dropped_total reason=backlog_full", 0.5},
        {"slatejunction_limit_refusals_total limit=hour", 5},
        {"slatejunction_tagged_requests_total tag=kind value=other", 6},
    };
    add_buckets(all, "served",
                {{"0.25", 3}, {"0.5", 3}, {"1", 3}, {"2.5", 4}, {"4", 4}, {"10", 4}, {"+Inf", 4}});
    add_buckets(all, "refused",
                {{"0.25", 2}, {"0.5", 2}, {"1", 2}, {"2.5", 2}, {"4", 2}, {"10", 2}, {"+Inf", 2}});
    add_buckets(all, "failed", {{"4", 1}, {"10", 1}, {"+Inf", 1}});
    return all;
}

}   // namespace

TEST_CASE("old state: every counter goes on from its value", "[old]") {
    const Copy folder("counters");
    const std::string path = folder.file("counters");
    const auto stored = storage::PersistentCounters::read(path);
    CHECK(stored.size() == 124);
    CHECK(std::count_if(stored.begin(), stored.end(), [](const auto& one) { return one.second != 0; }) ==
          25);
    CHECK(stored.back() == std::pair<std::string, double>{"last sample ms", 1'700'000'123'456});
    metrics::Measures measures(state::shape(), 1'800'000'000'000, path);
    CHECK(measures.counters().broken().empty());
    CHECK(measures.counters().dropped() == 0);   // each name of then is one of now
    CHECK(measures.counters().created_ms() == 1'700'000'000'000);
    CHECK(measures.last_sample_ms() == 1'700'000'123'456);
    check_same(sampled(measures), counts_expected());
    measures.count_request({0, 1, metrics::RequestResult::served, 0, 0.25, 1});
    CHECK(sampled(measures)["slatejunction_requests_total class=read plan=plus outcome=served"] == 5);
    CHECK_FALSE(folder.broken());
}

TEST_CASE("old state: an update that a kill cut short is made whole", "[old]") {
    const Copy folder("cells");
    const std::string path = folder.file("cells");
    using Values = std::vector<std::pair<std::string, double>>;
    CHECK(storage::PersistentCounters::read(path) == Values{{"a", 11.5}, {"b", -2}, {"c", 0.25}});
    const storage::PersistentCounters cells(path, {"c", "b", "a"}, 1);
    CHECK(cells.get(0) == 0.25);
    CHECK(cells.get(1) == -2);
    CHECK(cells.get(2) == 11.5);
    CHECK(cells.created_ms() == 1'700'000'000'000);
    CHECK(cells.dropped() == 0);
    CHECK_FALSE(folder.broken());
}

TEST_CASE("old state: every record of a journal is found, and a cut one is told of", "[old]") {
    const Copy folder("journal");
    CHECK(folder.files() == 3);
    struct One {
        std::uint64_t segment;
        std::uint32_t type;
        std::string payload;
        bool operator==(const One&) const = default;
    };
    std::vector<One> all;
    storage::SegmentedLog::Found found;
    storage::SegmentedLog journal(
        folder.path(), "records", 100,
        [&](std::uint64_t segment, std::uint32_t type, std::string_view payload) {
            all.push_back({segment, type, std::string(payload)});
        },
        found);
    CHECK(all == std::vector<One>{{1, 1, "first"},
                                  {1, 4'000'000'000U, std::string("\0\xff\n", 3)},
                                  {3, 8, "replaced"},
                                  {3, 9, "and more"},
                                  {4, 5, ""},
                                  {4, 6, std::string(300, 'x')}});
    CHECK(found.records == 6);
    CHECK(found.cut_bytes == 16 + 13 - 5);   // a frame's head and payload, less what was cut
    CHECK(found.broken.empty());
    CHECK(journal.newest() == 4);
    CHECK(journal.segments() == std::map<std::uint64_t, std::size_t>{{1, 64}, {3, 72}, {4, 380}});
}

// Limits. ---------------------------------------------------------------------------------------------

namespace {

struct Bucket {
    std::uint64_t low, high;
    double full_in_s;   // when it was written
    bool operator==(const Bucket&) const = default;
};
struct StoredLimit {
    std::string definition;
    std::int64_t unix_ms = 0, boot_ms = 0;
    std::uint64_t boot = 0;
    std::vector<Bucket> buckets;
};

template <class T>
T take(std::string_view& from) {
    T value{};
    REQUIRE(from.size() >= sizeof value);
    std::memcpy(&value, from.data(), sizeof value);
    from.remove_prefix(sizeof value);
    return value;
}
template <class T>
void put(std::string& to, const T& value) {
    to.append(reinterpret_cast<const char*>(&value), sizeof value);
}

// The records as the format says, without the class that reads them.
std::vector<StoredLimit> limits_of(const std::string& folder) {
    std::vector<StoredLimit> all;
    storage::SegmentedLog::Found found;
    const storage::SegmentedLog journal(
        folder, "limits", 1 << 20,
        [&](std::uint64_t, std::uint32_t type, std::string_view payload) {
            REQUIRE(type == 2);
            StoredLimit one;
            const auto size = take<std::uint32_t>(payload);
            one.definition = payload.substr(0, size);
            payload.remove_prefix(size);
            one.unix_ms = take<std::int64_t>(payload);
            one.boot = take<std::uint64_t>(payload);
            one.boot_ms = take<std::int64_t>(payload);
            while (!payload.empty()) {
                const auto low = take<std::uint64_t>(payload), high = take<std::uint64_t>(payload);
                one.buckets.push_back({low, high, take<double>(payload)});
            }
            all.push_back(std::move(one));
        },
        found);
    REQUIRE(found.broken.empty());
    REQUIRE(found.cut_bytes == 0);
    return all;
}

std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

// The same records as of `age_s` ago. A record's age is told by the clock since the boot where that is the
// boot that wrote it, else by the wall clock: of the data both are the writer's, so both are replaced. Type
// 1 is the form before there was a boot in it.
void write_aged(const std::string& folder, const std::vector<StoredLimit>& limits, std::uint32_t type,
                double age_s) {
    storage::SegmentedLog::Found found;
    storage::SegmentedLog journal(
        folder, "limits", 1 << 20, [](auto&&...) {}, found);
    REQUIRE(journal.begin_segment());
    for (const StoredLimit& one : limits) {
        std::string record;
        put(record, static_cast<std::uint32_t>(one.definition.size()));
        record += one.definition;
        put(record, unix_ms() - static_cast<std::int64_t>(1e3 * age_s));
        if (type == 2) {
            put(record, std::uint64_t{0});   // no known boot
            put(record, std::int64_t{0});
        }
        for (const Bucket& bucket : one.buckets) put(record, bucket);
        REQUIRE(journal.append(type, record));
    }
}

std::vector<Bucket> buckets_of(const rules::Limiter& limiter) {
    std::vector<Bucket> all;
    std::size_t from = 0;
    for (const rules::Limiter::SavedBucket& one : limiter.save(net::now(), from, 1000))
        all.push_back({one.key.low, one.key.high, one.full_in_s});
    return all;
}

// In any order: a restored bucket lies where there is room.
void check_buckets(const rules::Limiter& limiter, const std::vector<Bucket>& stored, double age_s) {
    const auto now = buckets_of(limiter);
    CHECK(now.size() == stored.size());
    for (const Bucket& one : stored) {
        INFO("key " << one.low);
        const auto at = std::find_if(now.begin(), now.end(), [&](const Bucket& other) {
            return other.low == one.low && other.high == one.high;
        });
        REQUIRE(at != now.end());
        CHECK(at->full_in_s == Approx(one.full_in_s - age_s).margin(2).epsilon(0));
    }
}

}   // namespace

TEST_CASE("old state: the records of limits are as they were written", "[old]") {
    const Copy folder("limits");
    const auto all = limits_of(folder.path());
    REQUIRE(all.size() == 2);
    CHECK(all[0].definition == "hour\n0.001\n10\n0\n[string(request.customer), request.class]");
    CHECK(all[1].definition == "decades\n1.0000000000000001e-09\n40\n1\nrequest.path");
    // Ten draws of -9, two of 7, one of 8.
    CHECK(all[0].buckets ==
          std::vector<Bucket>{{0x2754bfafc87f35c6, 0xe3bc28fc859d73bf, 0x1.f3ffff013cec0p+10},
                              {0x523ce2c6ea4e8097, 0xa46a74fd82b679ea, 0x1.f3fffe0279d7ep+9},
                              {0x2272fd37e453d87b, 0x138a700a13d65253, 0x1.387fffe0279d8p+13}});
    // Units: two for /a, 2.5 for /b, all 40 for /c.
    CHECK(all[1].buckets ==
          std::vector<Bucket>{{0x1ccdadd2c734895c, 0xf22e66798ba7cf5f, 0x1.dcd64fffffeedp+30},
                              {0xdcbc81b30aac3f4d, 0xdcc827291d1dd296, 0x1.2a05f1fffff77p+31},
                              {0x23ad20d85840ea82, 0x642d9690699c8284, 0x1.2a05f1ffffff7p+35}});
    for (const StoredLimit& one : all) {
        CHECK(one.unix_ms == 1'796'290'027'587);
        CHECK(one.boot == 13'080'555'556'831'489'991ULL);
        CHECK(one.boot_ms == 321'387);
    }
}

TEST_CASE("old state: every bucket has its level, less what ran in since", "[old]") {
    const auto stored = limits_of(Copy("limits").path());
    for (const std::uint32_t type : {1U, 2U}) {
        INFO("type " << type);
        const Folder folder;
        write_aged(folder.path(), stored, type, 20);
        const auto rules = state::rules();
        net::Timers timers;
        Log log;
        const rules::BucketStorage keeper(
            folder.path(), [&] { return rules.get(); }, timers, log);
        check_buckets(rules->limiter(0), stored[0].buckets, 20);
        check_buckets(rules->limiter(1), stored[1].buckets, 20);
        // The keys of then are those of now: a customer that had drawn all has to wait for 1000 s a
        // request.
        const double now = net::now();
        const auto wait = [&](std::int64_t customer, const char* path, double units) {
            return rules->evaluate(now, state::request(customer, path, units)).rate_limit_retry_after_s;
        };
        CHECK(wait(-9, "/new", 1) == Approx(1000 - 20).margin(2));
        CHECK(wait(7, "/new", 1) == 0);
        CHECK(wait(1, "/c", 1) > 1e9 - 100);
        CHECK(wait(1, "/b", 37) == 0);
        CHECK(wait(1, "/b", 38) > 1e8);
    }
}

// As it lies there, by whichever clocks the machine has now: buckets that take decades to fill are there,
// for as long as a test is kept.
TEST_CASE("old state: buckets go on from the untouched files", "[old]") {
    const Copy folder("limits");
    const auto stored = limits_of(folder.path());
    const auto rules = state::rules();
    net::Timers timers;
    Log log;
    const rules::BucketStorage keeper(
        folder.path(), [&] { return rules.get(); }, timers, log);
    const auto now = buckets_of(rules->limiter(1));
    REQUIRE(now.size() == 3);
    for (const Bucket& one : now) {
        const auto at = std::find_if(stored[1].buckets.begin(), stored[1].buckets.end(),
                                     [&](const Bucket& other) { return other.low == one.low; });
        REQUIRE(at != stored[1].buckets.end());
        CHECK(one.high == at->high);
        CHECK(one.full_in_s > 0);
        CHECK(one.full_in_s <= at->full_in_s);
    }
    CHECK_FALSE(folder.broken());
}

// Leases and registers. -------------------------------------------------------------------------------

namespace {

void check_grant(const lease::AcceptorState& memory, const std::string& lease, const lease::Grant& want) {
    INFO(lease);
    REQUIRE(memory.grants.contains(lease));
    const lease::Grant& one = memory.grants.at(lease);
    CHECK(one.holder == want.holder);
    CHECK(one.round == want.round);
    CHECK(one.fencing_token == want.fencing_token);
    CHECK(one.token_owner == want.token_owner);
    CHECK(one.holder_name == want.holder_name);
}

}   // namespace

// Until when a grant lives is not stored: it is counted anew from the start, whatever the machine's clock.
TEST_CASE("old state: an acceptor remembers every lease and keeps to it", "[old]") {
    const Copy folder("leases");
    const lease::FileAcceptorStorage home(folder.path());
    CHECK(home.quarantined_path().empty());
    REQUIRE(home.restored());
    CHECK(home.restored()->epoch == 3);
    CHECK(home.restored()->grants.size() == 3);
    const std::uint64_t first = 0xfedcba9876543210ULL;
    check_grant(*home.restored(), "brake", {first, 2, 41, first, 0, "a"});
    check_grant(*home.restored(), "drain/1", {77, 10, 12, 77, 0, "c"});
    check_grant(*home.restored(), "drain/2", {88, 1, 7, 77, 0, "a"});

    lease::Acceptor acceptor({}, 500, 0, true, home.restored()->grants, home.restored()->epoch);
    using Kind = lease::MessageKind;
    lease::Message answer;
    REQUIRE(acceptor.is_voting(500));
    REQUIRE(acceptor.receive(501, {Kind::request, "brake", 5, 1, 0, 3, 3, "x"}, answer));
    CHECK(answer.kind == Kind::denied);
    CHECK(answer.fencing_token == 41);
    CHECK(answer.holder_name == "a");
    REQUIRE(acceptor.receive(501, {Kind::request, "brake", 5, 2, 0, 3, 2, "x"}, answer));
    CHECK(answer.kind == Kind::stale_epoch);   // of an earlier step of the set
    REQUIRE(acceptor.receive(501, {Kind::request, "brake", first, 3, 41, 3, 3, "a"}, answer));
    CHECK(answer.kind == Kind::granted);
    CHECK(answer.fencing_token == 41);
    // Once it has run out, to another, but under a higher number alone.
    REQUIRE(acceptor.receive(505, {Kind::request, "brake", 5, 3, 41, 3, 3, "x"}, answer));
    CHECK(answer.kind == Kind::denied);
    REQUIRE(acceptor.receive(505, {Kind::request, "brake", 5, 4, 42, 3, 3, "x"}, answer));
    CHECK(answer.kind == Kind::granted);
    CHECK(answer.fencing_token == 42);
}

TEST_CASE("old state: an acceptor remembers every register, promised and accepted", "[old]") {
    const Copy folder("notes");
    const lease::FileRegisterStorage home(folder.path());
    CHECK(home.quarantined_path().empty());
    REQUIRE(home.restored());
    CHECK(*home.restored() == lease::RegisterAcceptor::Registers{
                                  {"drains", {12, {0, 0, ""}}},
                                  {"rollout", {9, {9, 1, std::string(860, 'n')}}},
                                  {"sums", {0x123456789abcULL, {41, 3, std::string("a\0\xff", 3)}}}});
    lease::RegisterAcceptor acceptor(true, *home.restored());
    using Kind = lease::RegisterMessage::Kind;
    lease::RegisterMessage answer;
    REQUIRE(acceptor.receive({Kind::write, "sums", 41, 9, {41, 4, "late"}, false, 3}, answer));
    CHECK(answer.kind == Kind::superseded);
    REQUIRE(acceptor.receive({Kind::read, "sums", 0x123456789abdULL, 10, {}, false, 3}, answer));
    CHECK(answer.kind == Kind::read_reply);
    CHECK(answer.value == lease::RegisterValue{41, 3, std::string("a\0\xff", 3)});
    CHECK(answer.value_intact);
}

// Rollouts. -------------------------------------------------------------------------------------------

namespace {

constexpr std::uint64_t kTerm1 = 0x10000, kTerm2 = 0x20005, kTerm3 = 0x1117'0'0001ULL;

void check_base(const rollout::Log& log) {
    using rollout::RecordKind;
    CHECK(log.base() == rollout::Version{3, 0x7403d8f4c289ff36ULL});
    CHECK(log.base_term() == kTerm1);
    CHECK(log.base_state() ==
          rollout::State{{"limit a", "rate = 1"}, {"route b", std::string("\0\xff", 2)}});
    REQUIRE(log.last().number >= 5);
    CHECK(log.record(4) == rollout::Record{4, kTerm2, RecordKind::no_op, "", "", 0});
    CHECK(log.record(5) == rollout::Record{5, kTerm2, RecordKind::put, "limit a", "rate = 2", 0});
    CHECK(log.version(4).chain == 0x9e5ea05120c346c6ULL);
    CHECK(log.version(5).chain == 0xb2aef98b928c49d0ULL);
}

}   // namespace

TEST_CASE("old state: a follower finds its snapshot and every record after it", "[old]") {
    using rollout::RecordKind;
    const Copy folder("follower");
    rollout::FollowerFileStorage files(folder.path());
    CHECK(files.file().has_snapshot());
    CHECK_FALSE(files.file().damaged());
    CHECK(files.file().set_aside().empty());
    CHECK(files.file().commit_index() == 0);   // not kept by a follower
    const rollout::Log log = files.take_stored().log;
    check_base(log);
    REQUIRE(log.last().number == 8);
    CHECK(log.record(6) == rollout::Record{6, kTerm2, RecordKind::put, "limit a", "rate = 1", 5});
    CHECK(log.record(7) == rollout::Record{7, kTerm3, RecordKind::no_op, "", "", 0});
    CHECK(log.record(8) == rollout::Record{8, kTerm3, RecordKind::erase, "route b", "", 0});
    CHECK(log.version(6).chain == 0x2672ac91112f8a77ULL);
    CHECK(log.version(7).chain == 0x9eca843a953fc88eULL);
    CHECK(log.last().chain == 0xba7e2b6c25a2f5c0ULL);
    CHECK(log.reverted_by(5) == 6);
    CHECK(log.state_at(8) == rollout::State{{"limit a", "rate = 1"}});
    CHECK_FALSE(folder.broken());
}

TEST_CASE("old state: a replica remembers its promise, its log and what it dropped", "[old]") {
    using rollout::RecordKind;
    const Copy folder("replica");
    rollout::ReplicaFileStorage files(folder.path());
    CHECK(files.file().has_snapshot());
    CHECK_FALSE(files.file().damaged());
    CHECK(files.file().set_aside().empty());
    const rollout::ReplicaStored stored = files.take_stored();
    CHECK(stored.storage_intact);
    CHECK(stored.promised == 0x1117'1'0002ULL);
    CHECK(stored.commit_index == 4);
    check_base(stored.log);
    REQUIRE(stored.log.last().number == 6);
    CHECK(stored.log.record(6) ==
          rollout::Record{6, kTerm3, RecordKind::put, "limit a", std::string(700, 'v'), 0});
    CHECK(stored.log.last().chain == 0x412f0a0dd07a9006ULL);
    CHECK_FALSE(folder.broken());
    // It goes on in the same files.
    REQUIRE(files.append({{7, kTerm3, RecordKind::no_op, "", "", 0}}));
    rollout::ReplicaFileStorage later(folder.path());
    CHECK(later.take_stored().log.last().number == 7);
}

// Remote write. ---------------------------------------------------------------------------------------

namespace {

void check_frame(const remotewrite::Frame& frame, std::int64_t at_ms, int level, bool keep,
                 const std::vector<std::uint64_t>& bits) {
    INFO("frame " << frame.number);
    CHECK(frame.at_ms == at_ms);
    CHECK(frame.level == level);
    CHECK(frame.keep == keep);
    std::vector<std::uint64_t> values;
    for (const double value : frame.values) values.push_back(std::bit_cast<std::uint64_t>(value));
    CHECK(values == bits);
}

void check_series(const remotewrite::Layout::Series& one, remotewrite::Layout::Type type,
                  const std::vector<std::pair<std::string, std::string>>& labels, const std::string& family,
                  const std::string& help, const std::string& unit) {
    CHECK(one.type == type);
    CHECK(one.labels == labels);
    CHECK(one.family == family);
    CHECK(one.help == help);
    CHECK(one.unit == unit);
}

void check_first(const remotewrite::Layout& layout) {
    using Type = remotewrite::Layout::Type;
    REQUIRE(layout.series.size() >= 2);
    check_series(layout.series[0], Type::counter,
                 {{"__name__", "up_total"}, {"class", "a"}, {"zone", "z1"}}, "up_total", "Help.", "s");
    check_series(layout.series[1], Type::gauge, {{"__name__", "level"}, {"zone", "\xc3\xa9"}}, "level", "",
                 "");
}

}   // namespace

TEST_CASE("old state: every frame of a backlog waits again", "[old]") {
    const Copy folder("backlog");
    remotewrite::Sender sender(state::sender_settings(1), 1);
    const remotewrite::Backlog backlog(folder.path(), sender);
    CHECK(backlog.restored() == 4);
    CHECK(backlog.found().cut_bytes == 0);
    CHECK(backlog.found().broken.empty());
    const auto& waiting = sender.waiting();
    REQUIRE(waiting.size() == 4);
    REQUIRE(waiting.begin()->first == 2);   // the first is answered
    REQUIRE(waiting.rbegin()->first == 5);
    check_frame(waiting.at(2), 1'700'000'002'000, 0, true, {0x4008000000000000, 0x8000000000000000});
    check_frame(waiting.at(3), 1'700'000'003'000, 3, false, {0x3fb999999999999a, 0x7ff0000000000000});
    // The last of its layout is kept by the sender.
    check_frame(waiting.at(4), 1'700'000'004'000, 0, true, {0x7ff0000000000002, 1});
    check_frame(waiting.at(5), 1'700'000'010'000, 0, false,
                {0x4010000000000000, 0x4014000000000000, 0x4018000000000000});
    const remotewrite::Layout &first = *waiting.at(2).layout, &second = *waiting.at(5).layout;
    CHECK(waiting.at(3).layout == waiting.at(2).layout);
    CHECK(waiting.at(4).layout == waiting.at(2).layout);
    check_first(first);
    check_first(second);
    CHECK(first.series.size() == 2);
    CHECK(first.created_ms == 1'700'000'000'000);
    REQUIRE(second.series.size() == 3);
    CHECK(second.created_ms == 1'700'000'009'000);
    check_series(second.series[2], remotewrite::Layout::Type::histogram,
                 {{"__name__", "time_bucket"}, {"le", "+Inf"}, {"zone", "z1"}}, "time", "T", "");
}

TEST_CASE("old state: a backlog gives the same batches, byte for byte", "[old]") {
    const Copy expected("batches");
    CHECK(expected.files() == 4);
    for (const int protocol : {0, 1}) {
        const Copy folder("backlog");
        const auto all = state::batches(folder.path(), protocol);
        REQUIRE(all.size() == 2);
        for (std::size_t i = 0; i < all.size(); ++i)
            CHECK(all[i] ==
                  expected.read("v" + std::to_string(protocol + 1) + "-" + std::to_string(i + 1)));
    }
}
