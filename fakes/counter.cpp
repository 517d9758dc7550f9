#include "counter.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <sstream>

namespace fakes {

namespace net = slatejunction::net;

namespace {

constexpr std::size_t kBytesMost = 1 << 20;   // of calls that are not whole yet
constexpr double kLifeMost = 60'000;          // ms
constexpr double kAmountMost = 1e9;

std::optional<double> number(const std::string& text) {
    double value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || fault != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return {};
    return value;
}

std::string seven_digits(double value) {
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.7g", value);
    // Some print 1e+06: the protocol's totals are plain decimals.
    if (std::string_view(text.data()).find('e') != std::string_view::npos)
        std::snprintf(text.data(), text.size(), "%.6f", value);
    return text.data();
}

std::string http(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Stand-in\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string bulk(const std::string& text) {
    return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

std::string value_of(const std::string& query, const std::string& name) {
    std::istringstream rest(query);
    for (std::string part; std::getline(rest, part, '&');)
        if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
    return {};
}

}   // namespace

struct Counter::Caller final : net::Protocol {
    Caller(Counter& counter, std::size_t address) : counter_(counter), address(address) {}

    std::span<char> receive_buffer() override { return receive_bytes_; }
    void on_bytes(std::size_t size) override {
        in_.append(receive_bytes_, size);
        if (in_.size() > kBytesMost) return end();
        if (counter_.fault_ == "silent" || counter_.cut_[address]) return;   // read again when it is over
        look();
    }
    void on_end(bool) override { end(); }
    void end() {
        const auto keep = shared_from_this();
        stream.close();
        counter_.callers_.erase(std::static_pointer_cast<Caller>(keep));
    }
    void look() {
        const auto self = std::static_pointer_cast<Caller>(shared_from_this());
        while (stream.open() && !in_.empty()) {
            const bool whole = in_.front() == '*' ? look_resp(self) : look_http(self);
            if (!whole) return;
        }
    }
    bool look_http(const std::shared_ptr<Caller>& self) {
        const std::size_t head = in_.find("\r\n\r\n");
        if (head == std::string::npos) return false;
        std::istringstream words(in_.substr(0, in_.find("\r\n")));
        in_.erase(0, head + 4);   // calls have no body
        std::string method, target;
        words >> method >> target;
        const std::size_t mark = std::min(target.find('?'), target.size());
        const std::string path = target.substr(0, mark),
                          query = target.substr(std::min(mark + 1, target.size()));
        const std::string prefix = "/counters/";
        const std::string name = path.starts_with(prefix) ? path.substr(prefix.size()) : "";
        const auto by = number(value_of(query, "by")), life = number(value_of(query, "expire_ms"));
        ++counter_.calls_;
        if (method != "POST" || name.empty() || name.size() > 64 || !by || std::abs(*by) > kAmountMost ||
            !life || *life < 1) {
            ++counter_.bad_;
            counter_.answer_later(self, http(400, ""), 1);
        } else if (counter_.fault_ == "refuse") {
            ++counter_.refused_;
            counter_.answer_later(self, http(503, ""), 1);
        } else {
            counter_.answer_later(self, http(200, seven_digits(counter_.add(name, *by, *life))), 1);
        }
        return true;
    }
    // One command. False: not whole yet.
    bool look_resp(const std::shared_ptr<Caller>& self) {
        std::size_t at = 0;
        const auto line = [&]() -> std::optional<std::string> {
            const std::size_t to = in_.find("\r\n", at);
            if (to == std::string::npos) return {};
            std::string text = in_.substr(at, to - at);
            at = to + 2;
            return text;
        };
        const auto first = line();
        if (!first) return false;
        std::vector<std::string> words;
        const auto count = number(first->substr(1));
        for (int left = static_cast<int>(count.value_or(0)); left > 0; --left) {
            const auto size_line = line();
            if (!size_line) return false;
            const auto size = number(size_line->substr(std::min<std::size_t>(1, size_line->size())));
            if (!size || *size < 0 || *size > 4096) return end(), false;
            const auto bytes = static_cast<std::size_t>(*size);
            if (in_.size() < at + bytes + 2) return false;
            words.push_back(in_.substr(at, bytes));
            at += bytes + 2;
        }
        in_.erase(0, at);
        if (words.empty()) return end(), false;
        command(self, words);
        return true;
    }
    void command(const std::shared_ptr<Caller>& self, const std::vector<std::string>& words) {
        const std::string& what = words[0];
        if (what == "MULTI" && !queueing_) {
            queueing_ = true;
            broken_ = false;
            return counter_.answer_later(self, "+OK\r\n", 0);
        }
        if (what == "EXEC" && queueing_) {
            queueing_ = false;
            ++counter_.calls_;
            if (broken_ || counter_.fault_ == "refuse") {
                ++counter_.refused_;
                queued_.clear();
                return counter_.answer_later(self, "-EXECABORT Transaction discarded\r\n", 1);
            }
            std::string all = "*" + std::to_string(queued_.size()) + "\r\n";
            for (const auto& one : queued_) all += run(one);
            queued_.clear();
            return counter_.answer_later(self, all, 1);
        }
        const bool known = (what == "SET" && words.size() == 6 && words[3] == "PX" && words[5] == "NX") ||
                           (what == "INCRBYFLOAT" && words.size() == 3) ||
                           (what == "GET" && words.size() == 2) || what == "PING";
        if (!known) {
            broken_ = true;
            ++counter_.bad_;
            return counter_.answer_later(self, "-ERR unknown command or arguments\r\n", 0);
        }
        if (queueing_) {
            queued_.push_back(words);
            return counter_.answer_later(self, "+QUEUED\r\n", 0);
        }
        counter_.answer_later(self, run(words), 1);
    }
    std::string run(const std::vector<std::string>& words) {
        if (words[0] == "PING") return "+PONG\r\n";
        if (words[0] == "GET") {
            const Named* named = counter_.find(words[1]);
            return named ? bulk(seven_digits(named->value)) : "$-1\r\n";
        }
        if (words[0] == "SET") {
            if (counter_.find(words[1])) return "$-1\r\n";
            const auto life = number(words[4]), value = number(words[2]);
            if (!life || !value || *life < 1) return "-ERR value is not an integer or out of range\r\n";
            counter_.names_[words[1]] = {*value, net::now() + *life / 1000};
            return "+OK\r\n";
        }
        const auto by = number(words[2]);
        if (!by) return "-ERR value is not a valid float\r\n";
        return bulk(
            seven_digits(counter_.add(words[1], *by, 1e12)));   // without a life where SET was left out
    }

    Counter& counter_;
    const std::size_t address;
    net::Stream stream{*this};
    std::string in_;
    bool mute = false;
    bool queueing_ = false, broken_ = false;
    std::vector<std::vector<std::string>> queued_;
    char receive_bytes_[16384];
};

Counter::Counter(net::Timers& timers, const CounterSettings& settings)
    : timers_(timers),
      settings_(settings),
      timer_(timers, [this] { send_due(); }),
      cut_(settings.listen.size()),
      random_(settings.seed) {}

Counter::~Counter() {
    while (!callers_.empty()) (*callers_.begin())->end();
}

bool Counter::start(std::string& why) { return open_all(why); }

bool Counter::open_all(std::string& why) {
    listeners_.clear();
    for (std::size_t i = 0; i < settings_.listen.size(); ++i) {
        auto& one = listeners_.emplace_back(std::make_unique<net::Listener>(
            timers_, [] { return true; },
            [this, i](net::Ref<GSocket> socket) {
                const auto caller = std::make_shared<Caller>(*this, i);
                callers_.insert(caller);
                most_callers_ = std::max(most_callers_, callers_.size());
                caller->stream.adopt(std::move(socket));
            },
            [](const char*) {}));
        if (!one->start(settings_.listen[i], why)) {
            why = settings_.listen[i] + ": " + why;
            return false;
        }
    }
    return true;
}

bool Counter::set_fault(const std::string& words) {
    std::istringstream in(words);
    std::string name, factor;
    in >> name >> factor;
    const auto times = number(factor);
    static const std::vector<std::string> kNames{"none", "silent", "lost",  "refuse",
                                                 "down", "slow",   "noise", "twice"};
    if (std::find(kNames.begin(), kNames.end(), name) == kNames.end() ||
        (name == "slow") != times.has_value())
        return false;
    const bool was_down = fault_ == "down";
    fault_ = name;
    factor_ = times.value_or(1);
    std::string why;
    if (name == "down") {
        listeners_.clear();
        while (!callers_.empty()) (*callers_.begin())->end();
    } else if (was_down && !open_all(why)) {
        return false;
    }
    // What came while nothing was read is done now.
    if (name != "silent")
        for (const auto& one : std::vector<std::shared_ptr<Caller>>(callers_.begin(), callers_.end()))
            if (!cut_[one->address]) one->look();
    return true;
}

bool Counter::cut(std::size_t address, bool on) {
    if (address >= cut_.size()) return false;
    cut_[address] = on;
    if (!on)
        for (const auto& one : std::vector<std::shared_ptr<Caller>>(callers_.begin(), callers_.end()))
            if (one->address == address) one->look();
    return true;
}

const Counter::Named* Counter::find(const std::string& name) {
    const auto at = names_.find(name);
    if (at == names_.end()) return nullptr;
    if (at->second.dies > net::now()) return &at->second;
    names_.erase(at);
    return nullptr;
}

double Counter::add(const std::string& name, double by, double life_ms) {
    if (!find(name))
        names_[name] = {0, net::now() + std::min(life_ms, life_ms > 1e9 ? 1e9 : kLifeMost) / 1000};
    Named& named = names_[name];
    if (fault_ == "twice" && random_() % 3 == 0) {
        named.value += by;
        ++twice_;
    }
    named.value += by;
    if (fault_ == "noise") return random_() % 2 ? -1e6 : 1e12;
    return named.value;
}

void Counter::answer_later(const std::shared_ptr<Caller>& to, std::string bytes, std::size_t calls) {
    // Whoever has missed one answer gets no other on that connection, or would take it for that one.
    if (fault_ == "lost" || to->mute) {
        to->mute = true;
        unanswered_ += calls;
        return;
    }
    const double now = net::now();
    free_at_ = std::max(free_at_, now) + static_cast<double>(calls) * factor_ * settings_.call_ms / 1000;
    answers_.push_back({free_at_, to, std::move(bytes)});
    if (answers_.size() == 1) timer_.arm(answers_.front().due);
}

void Counter::send_due() {
    const double now = net::now();
    while (!answers_.empty() && answers_.front().due <= now) {
        const Answer answer = std::move(answers_.front());
        answers_.pop_front();
        const auto to = answer.to.lock();
        if (!to || !to->stream.open()) continue;
        if (fault_ == "silent" || cut_[to->address]) {
            to->mute = true;
            ++unanswered_;
            continue;
        }
        const std::string_view part = answer.bytes;
        if (!to->stream.send({&part, 1})) to->end();
    }
    if (!answers_.empty()) timer_.arm(answers_.front().due);
}

std::string Counter::summary() const {
    char text[240];
    std::snprintf(text, sizeof text,
                  "{\"calls\":%zu,\"refused\":%zu,\"unanswered\":%zu,\"bad\":%zu,\"twice\":%zu,\"most_"
                  "connections\":%zu,"
                  "\"names\":%zu}",
                  calls_, refused_, unanswered_, bad_, twice_, most_callers_, names_.size());
    return text;
}

}   // namespace fakes
