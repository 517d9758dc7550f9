// Who accepts while processes of one ingress come and go: random schedules of two and three processes, with
// messages that arrive late and deaths at any step, against what must hold whenever all messages are in.
#include "hot_restart/restart_role.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "hot_restart/restart_message.hpp"

using slatejunction::hot_restart::OperatorOrder;
using slatejunction::hot_restart::read;
using slatejunction::hot_restart::RestartMessage;
using slatejunction::hot_restart::RestartRole;
using slatejunction::hot_restart::write;

namespace {

struct Process {
    RestartRole role;
    bool alive = true, stopping = false;
    bool listening = false;   // at the path
    RestartRole::State settled = RestartRole::State::alone;
    int peer = -1;   // which process its link goes to; below 0: none
    enum class Word { taken, back, gone };
    std::deque<std::pair<int, Word>> inbox;   // who said it; what others than its peer say is not heard
};

struct World {
    std::vector<Process> all;
    std::mt19937 random;
    int spoil = 0;
    int path = -1;   // whose file lies there
    explicit World(unsigned seed) : random(seed) {}
    int pick(int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); }

    void say(Process& from, Process::Word word) {
        if (from.peer >= 0)
            all[static_cast<std::size_t>(from.peer)].inbox.emplace_back(
                static_cast<int>(&from - all.data()), word);
    }
    // As the program does after its role may have changed.
    void settle(Process& one) {
        if (one.settled == one.role.state()) return;
        one.settled = one.role.state();
        bind(one);
    }
    void bind(Process& one) {
        if (one.listening == one.role.answers()) return;
        one.listening = one.role.answers();
        if (one.listening) path = static_cast<int>(&one - all.data());
    }
    void begin() {
        const int at = path >= 0 && all[static_cast<std::size_t>(path)].alive &&
                               all[static_cast<std::size_t>(path)].listening
                           ? path
                           : -1;
        Process fresh;
        if (at >= 0) {
            Process& elder = all[static_cast<std::size_t>(at)];
            if (!elder.role.on_takeover_requested()) return;   // busy: it asks again later
            fresh.role.on_state_received();
            fresh.peer = at;
            if (elder.peer >= 0)   // one that has said that it ends
                all[static_cast<std::size_t>(elder.peer)].inbox.emplace_back(at, Process::Word::gone);
            elder.peer = static_cast<int>(all.size());
            settle(elder);
        }
        all.push_back(fresh);
        all.back().settled = fresh.role.state();
        bind(all.back());
    }
    void die(Process& one) {
        one.alive = false;
        say(one, Process::Word::gone);
        // The kernel tells of a death at once, and starting a process takes longer than hearing of it.
        if (one.peer < 0) return;
        Process& other = all[static_cast<std::size_t>(one.peer)];
        while (other.alive && !other.inbox.empty()) hear(other);
    }
    void step() {
        if (all.size() < 6 && pick(4) == 0) return begin();
        Process& one = all[static_cast<std::size_t>(pick(static_cast<int>(all.size())))];
        if (!one.alive) return;
        switch (pick(7)) {
            case 0:
                if (one.role.on_prepared()) settle(one), say(one, Process::Word::taken);
                return;
            case 1:
                if (pick(4) == 0) die(one);
                return;
            case 2:
                if (one.role.draining() && pick(2) == 0) die(one);   // its consumers are gone
                return;
            case 3:
                if (pick(8) == 0 && !one.stopping) {
                    one.stopping = true;
                    one.role.on_stop_requested();
                    if (!one.role.is_old_process()) say(one, Process::Word::back);
                }
                return;
            default:
                hear(one);
        }
    }
    void hear(Process& one) {
        if (one.inbox.empty()) return;
        const auto [from, word] = one.inbox.front();
        one.inbox.pop_front();
        if (from != one.peer) return;
        switch (word) {
            case Process::Word::taken:
                one.role.on_new_process_accepts();
                break;
            case Process::Word::back:
                if (one.role.is_old_process()) one.role.on_new_process_gone();
                break;
            case Process::Word::gone:
                one.peer = -1;
                if (spoil == 1) break;
                if (!one.role.on_new_process_gone()) one.role.on_old_process_gone();
                break;
        }
        settle(one);
    }
    // Once all that was said has been heard and the unready have readied themselves: of the living that
    // were not told to end one accepts, unless a newer process that accepts has been told to end and is
    // there.
    std::string settle() {
        for (int round = 0; round < 100; ++round)
            for (Process& one : all) {
                if (!one.alive) continue;
                hear(one);
                if (one.role.on_prepared()) settle(one), say(one, Process::Word::taken);
            }
        int living = 0, accepting = 0;
        for (const Process& one : all) {
            if (!one.alive || one.stopping) continue;
            ++living;
            if (one.role.accepts()) ++accepting;
        }
        if (living > 0 && accepting == 0) return "nobody accepts";
        if (accepting > 1) return "two accept for good";
        return {};
    }
};

std::string run(unsigned seed, int spoil) {
    World world(seed);
    world.spoil = spoil;
    world.begin();
    for (int i = 0; i < 80; ++i) world.step();
    return world.settle();
}

}   // namespace

TEST_CASE("somebody accepts whatever happens to an old and a new process") {
    for (unsigned seed = 0; seed < 50000; ++seed) {
        INFO("seed " << seed);
        REQUIRE(run(seed, 0) == "");
    }
}

TEST_CASE("the check of roles finds a process that takes no notice of the other's end") {
    int found = 0;
    for (unsigned seed = 0; seed < 2000; ++seed) found += run(seed, 1) != "";
    REQUIRE(found > 0);
}

TEST_CASE("messages between processes are read as they were written, noise is no message") {
    RestartMessage message, got;
    message.kind = RestartMessage::Kind::state;
    message.listed = {"s-1", "a \"b\" \n c"};
    message.suspended = {"s-1"};
    message.drained = true;
    message.resource_use = {1, 2, 3, 4, 5};
    std::string line = write(message);
    REQUIRE(line.back() == '\n');
    REQUIRE(line.find('\n') == line.size() - 1);
    REQUIRE(read(line, got));
    REQUIRE(got == message);
    for (const auto what :
         {OperatorOrder::Kind::suspend, OperatorOrder::Kind::resume, OperatorOrder::Kind::drain}) {
        RestartMessage order;
        order.kind = RestartMessage::Kind::order;
        order.order = {what, "x"};
        order.number = 7;
        REQUIRE(read(write(order), got));
        REQUIRE(got == order);
    }
    // Another version, cut short, and any one byte another one: never a crash, and no version but this one.
    REQUIRE_FALSE(read(R"({"v":2,"is":"taken"})", got));
    REQUIRE_FALSE(read(R"({"is":"taken"})", got));
    REQUIRE_FALSE(read(R"({"v":1,"is":"other"})", got));
    REQUIRE_FALSE(read(R"({"v":1,"is":"state","suspended":[1],"listed":[],"drained":false})", got));
    REQUIRE_FALSE(read(std::string(200000, '['), got));
    for (std::size_t size = 0; size + 2 < line.size(); ++size)
        REQUIRE_FALSE(read(std::string_view(line).substr(0, size), got));
    std::mt19937 random(5);
    for (int i = 0; i < 20000; ++i) {
        std::string spoilt = line;
        spoilt[random() % spoilt.size()] = static_cast<char>(random());
        if (read(spoilt, got)) REQUIRE(got.kind == RestartMessage::Kind::state);
    }
}

TEST_CASE("a state keeps within its line: ids listed are cut short, suspensions are not") {
    RestartMessage message, got;
    message.kind = RestartMessage::Kind::state;
    for (int i = 0; i < 60000; ++i) message.listed.push_back("provider-number-" + std::to_string(i));
    for (int i = 0; i < 4096; ++i) message.suspended.push_back("provider-number-" + std::to_string(i));
    const std::string line = write(message);
    REQUIRE(line.size() <= slatejunction::hot_restart::kMaxLineBytes);
    REQUIRE(read(line, got));
    REQUIRE(got.suspended == message.suspended);
    REQUIRE(got.listed.size() < message.listed.size());
    REQUIRE(got.listed.size() > 10000);
}
