#include "link.hpp"

#include <fnmatch.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <sstream>
#include <utility>

namespace fakes {

namespace net = slatejunction::net;

namespace {

constexpr double kResent = 0.2;               // s; a lost piece of a connection comes so much later
constexpr double kReordered = 0.02;           // s
constexpr std::size_t kQueueMost = 1 << 16;   // of what waits in one link

}   // namespace

// One side of a passed-on connection.
struct Link::Half final : net::Protocol {
    Half(Pair& pair, bool there) : pair_(pair), there_(there) {}
    void on_open() override;
    std::span<char> receive_buffer() override { return receive_bytes_; }
    void on_bytes(std::size_t size) override;
    void on_end(bool clean) override;
    Pair& pair_;
    const bool there_;   // what comes here goes towards the target
    net::Stream stream{*this};
    double last = 0, free_at = 0;   // order and pace of what goes out of here
    std::vector<std::string> before_open;
    bool open = false, ended = false;
    char receive_bytes_[16384];
};

struct Link::Pair : std::enable_shared_from_this<Pair> {
    explicit Pair(Link& owner)
        : link(owner),
          near(std::make_shared<Half>(*this, true)),
          far(std::make_shared<Half>(*this, false)) {}
    // In order, whatever each piece's delay is: it is a connection.
    void pass(Half& from, std::string bytes, bool end) {
        Half& to = from.there_ ? *far : *near;
        const LinkFault& fault = link.fault_;
        if (!(from.there_ ? fault.there : fault.back)) return;   // gone: the connection hangs until its end
        double at = net::now() + fault.delay_s;
        if (fault.jitter_s > 0)
            at += std::uniform_real_distribution<double>(0, fault.jitter_s)(link.random_);
        if (link.chance(fault.loss)) at += kResent;
        at += link.wait(bytes.size(), from.free_at);
        if (!bytes.empty() && link.chance(fault.corrupt)) {
            bytes[link.random_() % bytes.size()] ^= 0x20;
            ++link.tally_.spoilt;
        }
        at = from.last = std::max(at, from.last);
        link.tally_.bytes += bytes.size();
        const std::weak_ptr<Pair> weak = weak_from_this();
        link.later(at, [weak, &to, bytes = std::move(bytes), end] {
            const auto pair = weak.lock();
            if (!pair || to.ended) return;
            if (!to.open) {
                to.before_open.push_back(bytes);
                return;
            }
            const std::string_view part = bytes;
            if (!bytes.empty() && !to.stream.send({&part, 1})) return pair->close();
            if (end) to.stream.shutdown_send();
        });
    }
    void close() {
        const auto keep = shared_from_this();
        near->stream.close();
        far->stream.close();
        near->ended = far->ended = true;
        link.pairs_.erase(keep);
    }
    Link& link;
    std::shared_ptr<Half> near, far;
};

void Link::Half::on_open() {
    open = true;
    for (const std::string& bytes : std::exchange(before_open, {})) {
        const std::string_view part = bytes;
        if (!stream.send({&part, 1})) return pair_.close();
    }
}
void Link::Half::on_bytes(std::size_t size) { pair_.pass(*this, std::string(receive_bytes_, size), false); }
void Link::Half::on_end(bool clean) {
    const auto keep = pair_.shared_from_this();
    ended = true;
    if (!clean || keep->near->ended == keep->far->ended) return keep->close();
    keep->pass(*this, {}, true);
}

Link::Link(net::Timers& timers, std::string name, std::string listen, std::string to, std::uint64_t seed)
    : timers_(timers),
      name_(std::move(name)),
      listen_(std::move(listen)),
      to_(std::move(to)),
      listen_address_(net::parse_address(listen_)),
      to_address_(net::parse_address(to_)),
      target_(to_address_ ? net::sender_of(to_address_.get()) : net::Sender{}),
      random_(seed),
      datagrams_(timers, [this](std::string_view bytes, const net::Sender& from) { taken(bytes, from); }),
      timer_(timers, [this] { run(); }) {}

Link::~Link() {
    for (const auto& pair : std::exchange(pairs_, {})) pair->close();
}

bool Link::start(std::string& why) {
    if (!listen_address_ || !to_address_) return why = "not ADDRESS:PORT", false;
    listener_ = std::make_unique<net::Listener>(
        timers_, [] { return true; }, [this](net::Ref<GSocket> socket) { accept(std::move(socket)); },
        [](const char*) {});
    return listener_->start(listen_, why) && datagrams_.start(listen_address_.get(), why);
}

std::string Link::set(const std::string& words) {
    std::istringstream in(words);
    std::string what, which;
    double number = 0;
    in >> what;
    LinkFault fault = fault_;
    if (what == "heal") {
        fault = {};
    } else if (what == "cut") {
        in >> which;
        if (which.empty() || which == "there") fault.there = false;
        if (which.empty() || which == "back") fault.back = false;
        if (!which.empty() && which != "there" && which != "back") return "cut: there, back or nothing";
    } else if (what == "silent") {
        fault.there = fault.back = false;
    } else if (what == "refuse") {
        fault.refuse = true;
        for (const auto& pair : std::exchange(pairs_, {})) pair->close();
    } else {
        if (!(in >> number) || number < 0) return what + " wants a number";
        const double part = std::min(1.0, number / 100);
        if (what == "loss")
            fault.loss = part;
        else if (what == "reorder")
            fault.reorder = part;
        else if (what == "duplicate")
            fault.duplicate = part;
        else if (what == "corrupt")
            fault.corrupt = part;
        else if (what == "delay")
            fault.delay_s = number / 1e3;
        else if (what == "jitter")
            fault.jitter_s = number / 1e3;
        else if (what == "throttle")
            fault.bytes_per_s = number * 1e3;
        else
            return "no such fault: " + what;
    }
    fault_ = fault;
    return {};
}

void Link::later(double at, std::function<void()> call) {
    if (queue_.size() >= kQueueMost) return;
    queue_.emplace(at, std::move(call));
    timer_.arm(queue_.begin()->first);
}

void Link::run() {
    while (!queue_.empty() && queue_.begin()->first <= net::now()) {
        const auto call = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        call();
    }
    if (!queue_.empty()) timer_.arm(queue_.begin()->first);
}

double Link::wait(std::size_t bytes, double& free_at) {
    if (fault_.bytes_per_s <= 0) return 0;
    const double now = net::now();
    free_at = std::max(free_at, now) + static_cast<double>(bytes) / fault_.bytes_per_s;
    return free_at - now;
}

void Link::taken(std::string_view bytes, const net::Sender& from) {
    ++tally_.datagrams;
    const bool back = from == target_;
    if (!back) user_ = from;
    if (!(back ? fault_.back : fault_.there) || chance(fault_.loss)) {
        ++tally_.lost;
        return;
    }
    const int copies = chance(fault_.duplicate) ? 2 : 1;
    tally_.doubled += copies == 2;
    for (int i = 0; i < copies; ++i) send(std::string(bytes), back ? user_ : target_);
}

void Link::send(std::string bytes, const net::Sender& to) {
    if (!bytes.empty() && chance(fault_.corrupt)) {
        bytes[random_() % bytes.size()] ^= static_cast<char>(1U << (random_() % 8));
        ++tally_.spoilt;
    }
    double wait_s = fault_.delay_s + wait(bytes.size(), free_at_);
    if (fault_.jitter_s > 0) wait_s += std::uniform_real_distribution<double>(0, fault_.jitter_s)(random_);
    if (chance(fault_.reorder)) wait_s += kReordered, ++tally_.late;
    ++tally_.passed;
    if (wait_s <= 0) return void(datagrams_.send(to, bytes));
    later(net::now() + wait_s, [this, to, bytes = std::move(bytes)] { datagrams_.send(to, bytes); });
}

void Link::accept(net::Ref<GSocket> socket) {
    ++tally_.connections;
    if (fault_.refuse) {
        ++tally_.refused;
        return;   // closed with its owner
    }
    const auto pair = std::make_shared<Pair>(*this);
    pairs_.insert(pair);
    pair->near->stream.adopt(std::move(socket));
    pair->near->open = true;
    if (!pair->far->stream.dial(to_address_.get())) pair->close();
}

std::string Links::add(const std::string& text) {
    const std::size_t one = text.find('='), two = text.rfind('=');
    if (one == std::string::npos || one == two) return "'" + text + "' is not NAME=LISTEN=TO";
    const std::string name = text.substr(0, one);
    auto link = std::make_unique<Link>(timers_, name, text.substr(one + 1, two - one - 1),
                                       text.substr(two + 1), seed_ ^ std::hash<std::string>()(name));
    std::string why;
    if (!link->start(why)) return text + ": " + why;
    links_.push_back(std::move(link));
    return {};
}

std::string Links::order(const std::string& path) {
    std::string words = path.substr(1);
    std::replace(words.begin(), words.end(), '/', ' ');
    const std::size_t end = words.find(' ');
    if (end == std::string::npos) return "/PATTERN/FAULT is wanted";
    const std::string pattern = words.substr(0, end);
    std::size_t found = 0;
    for (const auto& link : links_) {
        if (::fnmatch(pattern.c_str(), link->name().c_str(), 0) != 0) continue;
        ++found;
        if (std::string why = link->set(words.substr(end + 1)); !why.empty()) return why;
    }
    return found > 0 ? "" : "no link is named " + pattern;
}

std::string Links::summary() const {
    LinkTally all;
    for (const auto& link : links_) {
        const LinkTally& t = link->tally();
        all.datagrams += t.datagrams;
        all.passed += t.passed;
        all.lost += t.lost;
        all.doubled += t.doubled;
        all.spoilt += t.spoilt;
        all.late += t.late;
        all.connections += t.connections;
        all.refused += t.refused;
        all.bytes += t.bytes;
    }
    char text[400];
    std::snprintf(
        text, sizeof text,
        "{\"links\":%zu,\"datagrams\":%llu,\"passed\":%llu,\"lost\":%llu,\"doubled\":%llu,\"spoilt\":%llu,"
        "\"late\":%llu,\"connections\":%llu,\"refused\":%llu,\"bytes\":%llu}",
        links_.size(), static_cast<unsigned long long>(all.datagrams),
        static_cast<unsigned long long>(all.passed), static_cast<unsigned long long>(all.lost),
        static_cast<unsigned long long>(all.doubled), static_cast<unsigned long long>(all.spoilt),
        static_cast<unsigned long long>(all.late), static_cast<unsigned long long>(all.connections),
        static_cast<unsigned long long>(all.refused), static_cast<unsigned long long>(all.bytes));
    return text;
}

}   // namespace fakes
