// Writes tests/state/data by the program's own classes. A hidden case, run by hand:
//
//     slatejunction_unit_tests "[.generate]"
//
// It never overwrites: a folder that is there is the state of an earlier version, which old_state_test.cpp
// holds later versions to. A kind of state that is new gets a folder of its own.
#include <snappy.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <limits>

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

const std::string kRoot = SOURCE "/tests/state/data/";

std::string make(const std::string& kind) {
    REQUIRE(std::filesystem::create_directories(kRoot + kind));
    return kRoot + kind;
}

std::string bytes_of(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void put_bytes(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

}   // namespace

TEST_CASE("generate the counters", "[.generate]") {
    const std::string folder = make("counters");
    metrics::Measures measures(state::shape(), 1'700'000'000'000, folder + "/counters");
    using metrics::Id;
    using metrics::RequestResult;
    for (int i = 0; i < 3; ++i) measures.count_request({0, 1, RequestResult::served, 0, 0.25, 1});
    measures.count_request({0, 1, RequestResult::served, 0, 2, 4});   // late
    measures.count_request({0, 0, RequestResult::rejected, metrics::kQuotaReason, 0.125, 1});
    measures.count_request({0, 0, RequestResult::rejected, metrics::kOpenLimitReason, 0.125, 2});
    measures.count_request({0, 0, RequestResult::failed, 0, 3.5, 1});
    measures.add(Id::attempts, 0, 123456789);
    measures.add(Id::attempts, 7, 2);
    measures.add(Id::bad_requests, 0, 17);
    measures.add(Id::rw_sent, 0, 9007199254740991.0);   // 2^53 - 1
    measures.add(Id::rw_dropped, 1, 0.5);
    measures.add(Id::limit_refusals, 0, 5);
    measures.add(Id::tagged, 1, 6);
    measures.set_last_sample_ms(1'700'000'123'456);
}

// As a process that was killed after it had armed an update and before it wrote the first figure.
TEST_CASE("generate the cells of a killed update", "[.generate]") {
    constexpr std::size_t kRedo = 64, kRedoSize = 24 + 64 * 16;
    constexpr std::uint64_t kArmed = 0xa5c3'96f0'5a3c'690fULL;
    const std::string path = make("cells") + "/cells";
    std::string before, after;
    {
        storage::PersistentCounters cells(path, {"a", "b", "c"}, 1'700'000'000'000);
        cells.set(0, 1.5);
        cells.set(1, -2);
        before = bytes_of(path);
        const std::array<storage::PersistentCounters::Change, 2> changes{{{0, 10}, {2, 0.25}}};
        cells.apply(changes);
        after = bytes_of(path);
    }
    before.replace(kRedo, kRedoSize, after, kRedo, kRedoSize);
    std::memcpy(before.data() + kRedo, &kArmed, sizeof kArmed);
    put_bytes(path, before);
}

TEST_CASE("generate the journal", "[.generate]") {
    const std::string folder = make("journal");
    storage::SegmentedLog::Found found;
    storage::SegmentedLog journal(
        folder, "records", 100, [](auto&&...) {}, found);
    REQUIRE(journal.begin_segment());
    REQUIRE(journal.append(1, "first"));
    REQUIRE(journal.append(4'000'000'000U, std::string("\0\xff\n", 3)));
    REQUIRE(journal.begin_segment());
    REQUIRE(journal.append(2, "of a segment that is dropped"));
    REQUIRE(journal.begin_segment());
    REQUIRE(journal.append(3, "of a segment that is replaced"));
    REQUIRE(journal.begin_segment());
    REQUIRE(journal.append(5, ""));
    REQUIRE(journal.append(6, std::string(300, 'x')));
    REQUIRE(journal.append(7, "cut by a kill"));
    journal.remove_segment(2);
    REQUIRE(journal.replace_segment(3, {{8, "replaced"}, {9, "and more"}}));
    const std::string newest = folder + "/records-4";
    std::filesystem::resize_file(newest, std::filesystem::file_size(newest) - 5);
}

TEST_CASE("generate the buckets of limits", "[.generate]") {
    const std::string folder = make("limits");
    const auto rules = state::rules();
    net::Timers timers;
    Log log;
    rules::BucketStorage keeper(
        folder, [&] { return rules.get(); }, timers, log);
    const double now = net::now();
    state::send(*rules, now, 7, "/a", 1);
    state::send(*rules, now, 7, "/a", 1);
    state::send(*rules, now, 8, "/b", 2.5);
    for (int i = 0; i < 10; ++i) state::send(*rules, now, -9, "/c", 4);
    keeper.stop();
}

TEST_CASE("generate an acceptor's leases", "[.generate]") {
    const std::string folder = make("leases");
    lease::FileAcceptorStorage home(folder);
    const lease::AcceptorState nothing;
    lease::LeaseNode room({"b", {}, {{"a", "b", "c"}, {}, 3}}, 99, 1, 100, 0, &nothing, &home);
    using Kind = lease::MessageKind;
    const auto tell = [&](double now, const lease::Message& one) {
        room.receive(now, one.holder_name, lease::encode(one));
    };
    tell(100, {Kind::request, "brake", 0xfedcba9876543210ULL, 1, 0, 3, 3, "a"});
    tell(101, {Kind::request, "brake", 0xfedcba9876543210ULL, 2, 41, 3, 3, "a"});
    tell(101, {Kind::request, "drain/2", 77, 5, 0, 3, 3, "c"});
    tell(102, {Kind::request, "drain/2", 77, 6, 7, 3, 3, "c"});
    tell(102, {Kind::request, "drain/1", 77, 8, 0, 3, 3, "c"});
    tell(103, {Kind::request, "drain/1", 77, 9, 12, 3, 3, "c"});
    tell(103.5, {Kind::release, "drain/1", 77, 10, 12, 0, 3, "c"});
    // The lease has run out: another holder's ask is granted, which keeps the number and whose it is.
    tell(107, {Kind::request, "drain/2", 88, 1, 0, 3, 3, "a"});
    REQUIRE(room.failed_saves() == 0);
}

TEST_CASE("generate an acceptor's registers", "[.generate]") {
    const std::string folder = make("notes");
    lease::FileRegisterStorage home(folder);
    lease::RegisterAcceptor acceptor(true, {});
    using Kind = lease::RegisterMessage::Kind;
    lease::RegisterMessage answer;
    REQUIRE(acceptor.receive({Kind::write, "sums", 41, 1, {41, 3, std::string("a\0\xff", 3)}, false, 3},
                             answer));
    REQUIRE(acceptor.receive({Kind::read, "sums", 0x123456789abcULL, 2, {}, false, 3}, answer));
    REQUIRE(acceptor.receive({Kind::read, "drains", 12, 3, {}, false, 3}, answer));
    REQUIRE(
        acceptor.receive({Kind::write, "rollout", 9, 4, {9, 1, std::string(860, 'n')}, false, 3}, answer));
    REQUIRE(home.save(acceptor.registers()));
}

namespace {

rollout::Log log_with_base() {
    using rollout::RecordKind;
    rollout::Log log;
    REQUIRE(log.push({1, rollout::term_of(1, 0), RecordKind::no_op, "", "", 0}));
    REQUIRE(log.push({2, rollout::term_of(1, 0), RecordKind::put, "limit a", "rate = 1", 0}));
    REQUIRE(log.push({3, rollout::term_of(1, 0), RecordKind::put, "route b", std::string("\0\xff", 2), 0}));
    REQUIRE(log.push({4, rollout::term_of(2, 5), RecordKind::no_op, "", "", 0}));
    REQUIRE(log.push({5, rollout::term_of(2, 5), RecordKind::put, "limit a", "rate = 2", 0}));
    log.trim(2, 100'000, 3);
    REQUIRE(log.base().number == 3);
    return log;
}

}   // namespace

TEST_CASE("generate a rollout's log and snapshot", "[.generate]") {
    using rollout::RecordKind;
    const std::uint64_t term = rollout::term_of(2, 5), later = rollout::term_of(70000, 1);
    {
        rollout::FollowerFileStorage files(make("follower"));
        REQUIRE(files.replace(log_with_base()));
        REQUIRE(files.append({{6, term, RecordKind::put, "limit a", "rate = 1", 5}}));
        REQUIRE(files.append(
            {{7, later, RecordKind::no_op, "", "", 0}, {8, later, RecordKind::erase, "route b", "", 0}}));
    }
    rollout::ReplicaFileStorage files(make("replica"));
    REQUIRE(files.replace(log_with_base(), 4));
    REQUIRE(files.save_promise(term, true));
    REQUIRE(files.append(
        {{6, term, RecordKind::put, "limit x", "lost", 0}, {7, term, RecordKind::no_op, "", "", 0}}));
    REQUIRE(files.truncate(5));
    REQUIRE(files.append({{6, later, RecordKind::put, "limit a", std::string(700, 'v'), 0}}));
    REQUIRE(files.save_promise(rollout::term_of(70001, 2), true));
}

TEST_CASE("generate the backlog of remote write", "[.generate]") {
    const std::string folder = make("backlog");
    {
        remotewrite::Sender sender(state::sender_settings(1), 1);
        remotewrite::Backlog backlog(folder, sender);
        using Type = remotewrite::Layout::Type;
        const auto first = std::make_shared<remotewrite::Layout>();
        first->created_ms = 1'700'000'000'000;
        first->add("up_total", {{"class", "a"}}, {{"zone", "z1"}}, Type::counter, "up_total", "Help.", "s");
        first->add("level", {}, {{"zone", "\xc3\xa9"}}, Type::gauge, "level", "", "");
        const auto second = std::make_shared<remotewrite::Layout>(*first);
        second->created_ms = 1'700'000'009'000;
        second->add("time_bucket", {{"le", "+Inf"}}, {{"zone", "z1"}}, Type::histogram, "time", "T", "");
        const auto frame = [&](std::int64_t at, const auto& layout, std::vector<double> values, int level,
                               bool keep) {
            sender.add({at, layout, std::move(values), level, keep, 0});
            while (!backlog.follow()) REQUIRE_FALSE(backlog.failing());
        };
        frame(1'700'000'001'000, first, {1, 2}, 0, false);
        REQUIRE(sender.next(0));   // answered: of this one only its number is left
        sender.on_answer(0, {remotewrite::Answer::How::answered, 204, -1, -1});
        frame(1'700'000'002'000, first, {3, -0.0}, 0, true);
        frame(1'700'000'003'000, first, {0.1, std::numeric_limits<double>::infinity()}, 3, false);
        frame(1'700'000'004'000, first, {remotewrite::stale_marker(), 5e-324}, 0, false);
        frame(1'700'000'010'000, second, {4, 5, 6}, 0, false);
    }
    std::filesystem::remove(folder + "/lock");   // empty, made anew by each process
    const std::string batches = make("batches");
    for (const int protocol : {0, 1}) {
        const Folder copy;
        for (const auto& one : std::filesystem::directory_iterator(folder))
            std::filesystem::copy(one, copy.file(one.path().filename().string()));
        const auto all = state::batches(copy.path(), protocol);
        for (std::size_t i = 0; i < all.size(); ++i)
            put_bytes(batches + "/v" + std::to_string(protocol + 1) + "-" + std::to_string(i + 1), all[i]);
    }
}
