// The stored backlog: frames that an earlier process left are restored in order; the directory stays
// bounded during a long outage; a full disk costs only durability.
#include "remotewrite/backlog.hpp"

#include <catch2/catch.hpp>
#include <cerrno>
#include <random>
#include <set>

#include "files.hpp"

using namespace slatejunction::remotewrite;

namespace {

std::shared_ptr<const Layout> layout_of(std::size_t series, const std::string& zone = "a") {
    auto layout = std::make_shared<Layout>();
    layout->created_ms = 77;
    for (std::size_t i = 0; i < series; ++i)
        layout->add("g", {{"n", std::to_string(i)}}, {{"zone", zone}}, Layout::Type::counter, "g", "help",
                    "unit");
    return layout;
}

Frame frame_of(const std::shared_ptr<const Layout>& layout, std::int64_t at) {
    Frame frame;
    frame.at_ms = at;
    frame.layout = layout;
    frame.values.assign(layout->series.size(), static_cast<double>(at));
    return frame;
}

Settings small_limits() {
    Settings settings;
    settings.backlog_mb = 1;
    settings.batch_samples = 100;
    return settings;
}

std::vector<std::int64_t> times_of(const Sender& sender) {
    std::vector<std::int64_t> times;
    for (const auto& [number, frame] : sender.waiting()) times.push_back(frame.at_ms);
    return times;
}

}   // namespace

TEST_CASE("a restarted process has all waiting frames, at any point where it was killed") {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        const Folder folder;
        std::mt19937 random(seed);
        std::int64_t at = 0;
        double now = 0;
        std::vector<std::int64_t> waiting;
        std::uint64_t newest = 0;
        for (int process = 0; process < 6; ++process) {
            Sender sender(small_limits(), seed);
            Backlog backlog(folder.path(), sender);
            REQUIRE(times_of(sender) == waiting);
            REQUIRE(backlog.found().broken.empty());
            const auto layout = layout_of(10 + random() % 20, "zone " + std::to_string(process));
            for (int step = 0; step < 120; ++step) {
                if (random() % 3) {
                    sender.add(frame_of(layout, ++at));
                    REQUIRE(sender.waiting().rbegin()->first > newest);
                    newest = sender.waiting().rbegin()->first;
                }
                now += 1;
                if (random() % 4 == 0 && sender.next(now))
                    sender.on_answer(now, {Answer::How::answered, random() % 3 ? 204 : 500, -1, -1});
                while (!backlog.follow()) REQUIRE_FALSE(backlog.failing());
            }
            waiting = times_of(sender);   // the process is killed here
        }
        CHECK(at > 300);
    }
}

TEST_CASE("the layout and all values are restored unchanged") {
    const Folder folder;
    const auto layout = layout_of(3);
    {
        Sender sender(small_limits(), 1);
        Backlog backlog(folder.path(), sender);
        Frame frame = frame_of(layout, 5);
        frame.values = {0.1, stale_marker(), -3};
        frame.keep = true;
        sender.add(frame);
        REQUIRE(backlog.follow());
    }
    Sender sender(small_limits(), 1);
    Backlog backlog(folder.path(), sender);
    REQUIRE(sender.frames() == 1);
    const Frame& frame = sender.waiting().begin()->second;
    const Frame* one = &frame;
    Frame same = frame_of(layout, 5);
    same.values = {0.1, stale_marker(), -3};
    const Frame* other = &same;
    CHECK(frame.keep);
    CHECK(encode({&one, 1}, 0, 3, Protocol::v2) == encode({&other, 1}, 0, 3, Protocol::v2));
    CHECK(backlog.restored() == 1);
}

TEST_CASE("the directory stays bounded during a long outage and shrinks to about a segment after it") {
    const Folder folder;
    Sender sender(small_limits(), 1);
    Backlog backlog(folder.path(), sender);
    const auto layout = layout_of(100);
    std::size_t most = 0;
    for (int i = 1; i <= 12000; ++i) {   // ten times as many as fit in memory
        sender.add(frame_of(layout, i));
        while (!backlog.follow()) REQUIRE_FALSE(backlog.failing());
        most = std::max(most, backlog.bytes());
    }
    CHECK(sender.tally().thinned > 0);
    CHECK(most < 3 * sender.limit());
    double now = 0;
    while (!sender.empty()) {
        REQUIRE(sender.next(now));
        sender.on_answer(now, {Answer::How::answered, 204, -1, -1});
        now += 10;
        while (!backlog.follow()) REQUIRE_FALSE(backlog.failing());
    }
    CHECK(backlog.bytes() < 2 * Backlog::kSegmentBytes);
}

TEST_CASE("a full disk costs only durability, and waiting frames are stored once there is space") {
    const Folder folder;
    bool full = false;
    const auto writer = [&](int fd, const void* data, std::size_t size) -> std::int64_t {
        return full ? (errno = ENOSPC, -1) : ::write(fd, data, size);
    };
    const auto layout = layout_of(10);
    std::vector<std::int64_t> waiting;
    {
        Sender sender(small_limits(), 1);
        Backlog backlog(folder.path(), sender, writer);
        for (int i = 1; i <= 100; ++i) {
            full = i > 20 && i < 80;
            sender.add(frame_of(layout, i));
            const bool all = backlog.follow();
            CHECK(backlog.failing() == full);
            CHECK((all || i >= 80) == !full);
        }
        while (!backlog.follow()) REQUIRE_FALSE(backlog.failing());
        waiting = times_of(sender);
        REQUIRE(waiting.size() == 100);
    }
    Sender sender(small_limits(), 1);
    Backlog backlog(folder.path(), sender);
    CHECK(times_of(sender) == waiting);
}

TEST_CASE("a backlog directory has one owner") {
    const Folder folder;
    Sender a(small_limits(), 1), b(small_limits(), 1);
    Backlog backlog(folder.path(), a);
    CHECK_THROWS_AS(Backlog(folder.path(), b), slatejunction::storage::Error);
}
