// The sender's decisions against the checks of the fake receiver, without sockets: seeded random schedules
// of lost, deferred, rejected and late answers, and a full backlog.
#include "remotewrite/sender.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <string>

#include "receiver.hpp"

using namespace slatejunction::remotewrite;
using fakes::Receiver;

namespace {

fakes::Request request_of(const Batch& batch) {
    const bool v2 = batch.protocol == Protocol::v2;
    fakes::Request request{"POST", "/", batch.body, {}};
    request.fields = {{"host", "h"},
                      {"user-agent", "test"},
                      {"content-encoding", "snappy"},
                      {"content-type", v2 ? "application/x-protobuf;proto=io.prometheus.write.v2.Request"
                                          : "application/x-protobuf"},
                      {"x-prometheus-remote-write-version", v2 ? "2.0.0" : "0.1.0"}};
    return request;
}

std::shared_ptr<const Layout> layout_of(std::size_t series, const std::string& zone = "a") {
    auto layout = std::make_shared<Layout>();
    layout->created_ms = 77;
    for (std::size_t i = 0; i < series; ++i)
        layout->add("figure_total", {{"number", std::to_string(i)}}, {{"zone", zone}, {"job", "test"}},
                    Layout::Type::counter, "figure_total", "A figure.", "figures");
    return layout;
}

Frame frame_of(const std::shared_ptr<const Layout>& layout, std::int64_t at, double value) {
    Frame frame;
    frame.at_ms = at;
    frame.layout = layout;
    for (std::size_t i = 0; i < layout->series.size(); ++i)
        frame.values.push_back(value + static_cast<double>(i));
    return frame;
}

Answer status(int code, double wait = -1) { return {Answer::How::answered, code, wait, -1}; }

Settings small_limits() {
    Settings settings;
    settings.batch_samples = 10;
    settings.backlog_mb = 1;
    return settings;
}

}   // namespace

TEST_CASE("the receiver reads the same samples from both protocol versions") {
    for (const Protocol protocol : {Protocol::v1, Protocol::v2}) {
        Settings settings = small_limits();
        settings.protocol = static_cast<int>(protocol);
        settings.batch_samples = 1000;
        Sender sender(settings, 1);
        const auto layout = layout_of(3);
        sender.add(frame_of(layout, 1000, 5));
        sender.add(frame_of(layout, 2000, 6));
        Receiver receiver;
        const Batch* batch = sender.next(0);
        REQUIRE(batch);
        CHECK(batch->samples == 6);
        const auto verdict = receiver.take(request_of(*batch));
        CHECK(verdict.status == 204);
        CHECK(receiver.breaches() == std::vector<std::string>{});
        REQUIRE(receiver.series().size() == 3);
        const auto& [key, series] = *receiver.series().begin();
        CHECK(fakes::to_text(key) == "figure_total{job=\"test\",number=\"0\",zone=\"a\"}");
        REQUIRE(series.points.size() == 2);
        CHECK(series.points[1].at_ms == 2000);
        CHECK(series.points[1].value == 6);
        CHECK(series.counter);
        CHECK(series.created_ms == (protocol == Protocol::v2 ? 77 : 0));
    }
}

TEST_CASE("labels are sorted, not empty and valid UTF-8, and a series' own precede external ones") {
    Layout layout;
    layout.add("m", {{"z", "1"}, {"a", std::string("\xff\x00x", 3)}, {"empty", ""}},
               {{"a", "external"}, {"Z", "\xc3\x28"}, {"none", ""}}, Layout::Type::gauge, "m", "", "");
    const auto frame = frame_of(std::make_shared<Layout>(layout), 1, 1);
    const Frame* one = &frame;
    for (const Protocol protocol : {Protocol::v1, Protocol::v2}) {
        Receiver receiver;
        Batch batch;
        batch.protocol = protocol;
        batch.body = encode({&one, 1}, 0, 1, protocol);
        receiver.take(request_of(batch));
        CHECK(receiver.breaches() == std::vector<std::string>{});
        REQUIRE(receiver.series().size() == 1);
        CHECK(receiver.series().begin()->first.size() == 4);
    }
}

TEST_CASE("the encoder's cache does not change the bytes of the next request") {
    std::mt19937 random(3);
    Encoder encoder;
    const std::vector layouts{layout_of(5), layout_of(5, "b"), layout_of(9)};
    for (int i = 0; i < 200; ++i) {
        const auto& layout = layouts[random() % 3];
        std::vector<Frame> frames;
        for (std::uint32_t k = 0; k <= random() % 4; ++k)
            frames.push_back(frame_of(layout, i * 10 + k, random() % 50));
        std::vector<const Frame*> rows;
        for (const Frame& frame : frames) rows.push_back(&frame);
        const std::size_t first = random() % 4,
                          last = first + 1 + random() % (layout->series.size() - first);
        const auto protocol = static_cast<Protocol>(random() % 2);
        REQUIRE(encoder.encode(rows, first, last, protocol) == encode(rows, first, last, protocol));
    }
}

TEST_CASE("an unanswered batch is retried with the same bytes and exponential backoff") {
    Sender sender(small_limits(), 3);
    const auto layout = layout_of(4);
    sender.add(frame_of(layout, 1, 1));
    const std::string body = sender.next(0)->body;
    double now = 0, before = 0;
    for (int i = 0; i < 12; ++i) {
        sender.add(frame_of(layout, 2 + i, 1));
        CHECK(sender.next(now) == nullptr);   // one at a time
        sender.on_answer(now, {i % 2 ? Answer::How::failed : Answer::How::timed_out, 0, -1, -1});
        const double wait = sender.next_deadline() - now;
        CHECK(wait >= 0.7 * std::min(30.0, 0.5 * std::exp2(i)) - 1e-9);
        CHECK(wait <= 1.3 * std::min(30.0, 0.5 * std::exp2(i)) + 1e-9);
        CHECK(sender.next(now + 0.99 * wait) == nullptr);
        before = now;
        now = sender.next_deadline();
        REQUIRE(sender.next(now));
        CHECK(sender.next(now) == nullptr);
        CHECK(before < now);
    }
    sender.on_answer(now, status(204));
    CHECK(sender.tally().retried == 12 * 4);
    CHECK(sender.tally().sent == 4);
    CHECK(body == [&] {
        const Frame first = frame_of(layout, 1, 1);
        const Frame* one = &first;
        return encode({&one, 1}, 0, 4, Protocol::v2);
    }());
}

TEST_CASE("429 and 5xx honor Retry-After, 4xx drops, 415 falls back, partial writes are counted") {
    Sender sender(small_limits(), 3);
    const auto layout = layout_of(4);
    for (int i = 1; i <= 8; ++i) sender.add(frame_of(layout, i, 1));
    REQUIRE(sender.next(0)->samples == 8);   // two frames of four samples fit into ten
    sender.on_answer(0, status(429, 7));
    CHECK(sender.next_deadline() == 7);
    REQUIRE(sender.next(7));
    sender.on_answer(7, status(503, 1e9));
    CHECK(sender.next_deadline() == 7 + Sender::kMaxRetryAfterS);
    double now = sender.next_deadline();
    REQUIRE(sender.next(now)->protocol == Protocol::v2);
    sender.on_answer(now, status(415));
    const Batch* batch = sender.next(now);
    REQUIRE(batch);
    CHECK(batch->protocol == Protocol::v1);
    sender.on_answer(now, status(400));
    CHECK(sender.tally().rejected == 8);
    now = sender.next_deadline();
    REQUIRE(sender.next(now));
    sender.on_answer(now, {Answer::How::answered, 200, -1, 5});
    CHECK(sender.tally().rejected == 11);
    CHECK(sender.tally().sent == 5);
    CHECK(sender.frames() == 4);
    CHECK(sender.tally().protocol_fallbacks == 1);
    CHECK(sender.tally().deferred_batches == 2);
}

TEST_CASE("a backlog is sent at the configured rate") {
    Settings settings = small_limits();
    settings.catch_up_samples_per_s = 100;
    Sender sender(settings, 1);
    const auto layout = layout_of(5);
    for (int i = 1; i <= 100; ++i) sender.add(frame_of(layout, i, 1));
    double now = 0;
    while (!sender.empty()) {
        REQUIRE(sender.next(now));
        sender.on_answer(now, status(204));
        if (!sender.empty()) now = sender.next_deadline();
    }
    CHECK(now == Approx(500 / 100.0).margin(0.11));
}

TEST_CASE("a frame larger than a batch is sent in parts, in order") {
    Settings settings = small_limits();
    settings.batch_samples = 3;
    Sender sender(settings, 1);
    const auto layout = layout_of(8);
    sender.add(frame_of(layout, 1, 1));
    sender.add(frame_of(layout, 2, 1));
    Receiver receiver;
    double now = 0;
    std::vector<std::size_t> sizes;
    while (!sender.empty()) {
        const Batch* batch = sender.next(now);
        REQUIRE(batch);
        sizes.push_back(batch->samples);
        receiver.take(request_of(*batch));
        sender.on_answer(now, status(204));
        now = std::min(sender.next_deadline(), 1e6);
    }
    CHECK(sizes == std::vector<std::size_t>{3, 3, 2, 3, 3, 2});
    CHECK(receiver.breaches() == std::vector<std::string>{});
    CHECK(receiver.series().size() == 8);
}

TEST_CASE("a full backlog stays within its limit, covers all of the time and keeps the newest frame") {
    Settings settings = small_limits();
    Sender sender(settings, 1);
    const auto layout = layout_of(200);
    REQUIRE(frame_of(layout, 1, 1).bytes() > 1600);
    const int rows = 3000;   // five times as many as fit
    for (int i = 1; i <= rows; ++i) {
        sender.add(frame_of(layout, 1000 * i, i));
        REQUIRE(sender.bytes() <= sender.limit());
    }
    CHECK(sender.tally().backlog_full == 0);
    CHECK(sender.tally().thinned == (rows - sender.frames()) * 200);
    CHECK(sender.newest_ms() == 1000 * rows);
    CHECK(sender.oldest_ms() < 1000 * 64);   // all of the time is still covered
    std::int64_t before = 0;
    int level = Sender::kMaxThinningLevel;
    for (const auto& [number, frame] : sender.waiting()) {
        REQUIRE(frame.at_ms > before);
        REQUIRE(frame.level <= level);   // older frames are coarser
        level = frame.level;
        before = frame.at_ms;
    }
}

TEST_CASE("stale markers are kept while the frames around them are thinned") {
    Sender sender(small_limits(), 1);
    const auto layout = layout_of(200), other = layout_of(200, "b");
    for (int i = 1; i <= 300; ++i) sender.add(frame_of(layout, i, i));
    Frame end = frame_of(layout, 301, 0);
    end.values.assign(200, stale_marker());
    end.keep = true;
    sender.add(end);
    for (int i = 302; i <= 3000; ++i) sender.add(frame_of(other, i, i));
    int ends = 0;
    for (const auto& [number, frame] : sender.waiting()) ends += frame.at_ms == 301;
    CHECK(ends == 1);
}

// On any schedule the fake receiver sees no protocol violation, every series ends with its newest value,
// and each sample is counted as sent, thinned, rejected or dropped from the full backlog.
TEST_CASE("random fault schedules violate no protocol rule and lose no uncounted sample") {
    for (std::uint32_t seed = 1; seed <= 24; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        Settings settings = small_limits();
        settings.batch_samples = 5 + random() % 60;
        settings.protocol = static_cast<int>(random() % 2);
        Sender sender(settings, seed);
        Receiver receiver(seed % 4 == 0);   // one in four supports only 1.0
        auto layout = layout_of(1 + random() % 40);
        std::uint64_t offered = 0;
        std::int64_t at = 0;
        double now = 0, value = 0;
        bool recovered = false;
        for (int step = 0; step < 1200; ++step) {
            recovered = step > 1000;
            now += 0.05 * (random() % 20);
            if (!recovered && random() % 3 == 0) {
                if (random() % 60 == 0) {   // the labels change, and the old series end
                    Frame end = frame_of(layout, at += 1 + random() % 500, 0);
                    end.values.assign(layout->series.size(), stale_marker());
                    end.keep = true;
                    offered += end.values.size();
                    sender.add(end);
                    layout = layout_of(1 + random() % 40, "zone " + std::to_string(step));
                }
                sender.add(frame_of(layout, at += 1 + random() % 500, value += random() % 9));
                offered += layout->series.size();
            }
            if (!recovered && random() % 200 == 0) sender.on_receiver_changed(now);
            const Batch* batch = sender.next(now);
            if (!batch) continue;
            switch (recovered ? 0 : random() % 8) {
                case 1:
                    sender.on_answer(now, {Answer::How::failed, 0, -1, -1});
                    break;
                case 2:
                    receiver.take(request_of(*batch));   // received, but its answer is lost
                    sender.on_answer(now, {Answer::How::timed_out, 0, -1, -1});
                    break;
                case 3:
                    sender.on_answer(now, status(500));
                    break;
                case 4:
                    sender.on_answer(now, status(429, random() % 3));
                    break;
                default: {
                    const auto verdict = receiver.take(request_of(*batch));
                    sender.on_answer(
                        now, {Answer::How::answered, verdict.status, -1,
                              verdict.status == 204 ? static_cast<std::int64_t>(verdict.samples) : -1});
                }
            }
        }
        for (int i = 0; i < 10000 && !sender.empty(); ++i) {
            now += 40;
            const Batch* batch = sender.next(now);
            if (!batch) continue;
            const auto verdict = receiver.take(request_of(*batch));
            sender.on_answer(now, status(verdict.status));
        }
        REQUIRE(sender.empty());
        REQUIRE(receiver.breaches() == std::vector<std::string>{});
        const Tally& t = sender.tally();
        REQUIRE(t.sent + t.thinned + t.rejected + t.backlog_full == offered);
        REQUIRE(t.rejected == 0);
        REQUIRE(receiver.samples() - receiver.repeats() == t.sent);
        for (std::size_t i = 0; i < layout->series.size(); ++i) {
            const auto series = receiver.series().find(layout->series[i].labels);
            REQUIRE(series != receiver.series().end());
            REQUIRE(series->second.points.back().value == value + static_cast<double>(i));
        }
    }
}

TEST_CASE("equal seeds and calls give equal backoffs, and other seeds differ") {
    const auto wait = [](std::uint64_t seed) {
        Sender sender(small_limits(), seed);
        sender.add(frame_of(layout_of(1), 1, 1));
        sender.next(0);
        sender.on_answer(0, status(500));
        return sender.next_deadline();
    };
    CHECK(wait(1) == wait(1));
    CHECK(wait(1) != wait(2));
}
