#include "lease/replicated_register.hpp"

#include <algorithm>

#include "lease.pb.h"

namespace slatejunction::lease {
namespace {

constexpr std::size_t kNameMost = 80;           // bytes
constexpr std::uint64_t kSequenceStep = 1000;   // over what the other process of an upgrade may still say

}   // namespace

std::string write(const RegisterMessage& message) {
    wire::NoteMessage out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_name(message.name);
    out.set_number(message.number);
    out.set_ask(message.ask);
    out.set_of_number(message.note.fencing_token);
    out.set_sequence(message.note.sequence);
    out.set_text(message.note.text);
    out.set_knows(message.knows);
    out.set_step(message.epoch);
    return out.SerializeAsString();
}

bool read(std::string_view bytes, RegisterMessage& message) {
    wire::NoteMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
    if (in.kind() < 1 || in.kind() > 5 || in.name().empty() || in.name().size() > kNameMost ||
        in.number() == 0 || in.text().size() > kMaxValueBytes)
        return false;
    message = {static_cast<RegisterMessage::Kind>(in.kind()), in.name(),  in.number(), in.ask(),
               {in.of_number(), in.sequence(), in.text()},    in.knows(), in.step()};
    return true;
}

// The voter. ------------------------------------------------------------------------------------------

bool RegisterAcceptor::receive(const RegisterMessage& message, RegisterMessage& answer) {
    using Kind = RegisterMessage::Kind;
    if (message.kind != Kind::read && message.kind != Kind::write) return false;
    auto at = kept_.find(message.name);
    if (at == kept_.end() && kept_.size() >= kMaxRegisters) return false;
    answer = message;
    answer.note = {};
    if (at != kept_.end() && message.number < at->second.promised) {
        answer.kind = Kind::passed;
        return true;
    }
    // A name that was forgotten is known again from the first write on: whoever writes has read the others.
    const bool knows = remembers_ || (at != kept_.end() && at->second.note.fencing_token != 0);
    if (at == kept_.end()) at = kept_.emplace(message.name, StoredRegister{}).first;
    StoredRegister& kept = at->second;
    if (message.number > kept.promised) kept.promised = message.number, ++changes_;
    if (message.kind == Kind::read) {
        answer.kind = Kind::found;
        answer.note = kept.note;
        answer.knows = knows;
        return true;
    }
    if (kept.note.before(message.note)) {
        kept.note = message.note;
        ++changes_;
    } else if (kept.note != message.note) {
        return false;   // late: a later one of the same writer stands here
    }
    answer.kind = Kind::taken;
    return true;
}

void RegisterAcceptor::restore(const Registers& kept) {
    for (const auto& [name, one] : kept) {
        StoredRegister& here = kept_[name];
        here.promised = std::max(here.promised, one.promised);
        if (here.note.before(one.note)) here.note = one.note;
    }
    remembers_ = true;
    ++changes_;
}

// The holder. -----------------------------------------------------------------------------------------

RegisterClient::RegisterClient(std::vector<std::string> names, const LeaseTimes& times,
                               const AcceptorSet& voters, std::uint64_t seed)
    : times_(times), voters_(voters), random_(static_cast<std::minstd_rand::result_type>(seed)) {
    for (std::string& name : names) pages_[std::move(name)];
}

void RegisterClient::begin_term(double now, std::uint64_t number) {
    number_ = number;
    passed_ = lost_ = false;
    for (auto& [name, page] : pages_) {
        page = {};
        page.state = State::reading;
        page.asked_first = now;
        ask(now, name, page, true);
    }
}

void RegisterClient::end_term() {
    number_ = 0;
    posts_.clear();
    for (auto& [name, page] : pages_) page = {};
}

void RegisterClient::set_acceptors(double now, const AcceptorSet& voters) {
    if (voters == voters_) return;
    voters_ = voters;
    if (!has_term()) return;
    for (auto& [name, page] : pages_) {
        if (page.state == State::reading)
            ask(now, name, page, true);
        else
            begin_write(now, name, page);
    }
}

bool RegisterClient::read() const {
    return has_term() && !passed_ && std::all_of(pages_.begin(), pages_.end(), [](const auto& one) {
               return one.second.state == State::known || one.second.state == State::writing;
           });
}

bool RegisterClient::committed(const std::string& name) const {
    return !passed_ && pages_.at(name).state == State::known;
}

void RegisterClient::write(double now, const std::string& name, std::string text) {
    Page& page = pages_.at(name);
    const bool own = page.note.fencing_token == number_;
    page.note = {number_, own ? page.note.sequence + 1 : 1, std::move(text)};
    begin_write(now, name, page);
}

void RegisterClient::begin_write(double now, const std::string& name, Page& page) {
    page.state = State::writing;
    ask(now, name, page, true);
}

void RegisterClient::ask(double now, const std::string& name, Page& page, bool first) {
    if (first) {
        page.ask = ++asks_;
        page.answered.clear();
        page.knowing.clear();
    }
    RegisterMessage message;
    message.kind =
        page.state == State::reading ? RegisterMessage::Kind::read : RegisterMessage::Kind::write;
    message.name = name;
    message.number = number_;
    message.ask = page.ask;
    message.epoch = voters_.epoch;
    if (page.state == State::writing) message.note = page.note;
    for (const std::string& voter : voters_.all())
        if (!page.answered.contains(voter)) posts_.push_back({voter, message});
    page.again_at =
        now + request_timeout_s(times_) * std::uniform_real_distribution<double>(0.8, 1.2)(random_);
}

void RegisterClient::receive(double now, const std::string& voter, const RegisterMessage& message) {
    using Kind = RegisterMessage::Kind;
    if (!has_term() || message.number != number_) return;
    const auto at = pages_.find(message.name);
    if (at == pages_.end() || message.ask != at->second.ask || !voters_.all().contains(voter)) return;
    Page& page = at->second;
    if (message.kind == Kind::passed) {
        passed_ = true;
        return;
    }
    if (message.kind == Kind::found && page.state == State::reading) {
        page.answered.insert(voter);
        if (message.knows) page.knowing.insert(voter);
        if (page.note.before(message.note)) page.note = message.note;
        const bool all = page.answered.size() == voters_.all().size();
        const bool late = now >= page.asked_first + kLostAfter * times_.grant_duration_s;
        if (!voters_.majority(page.knowing)) {
            if (!all && !(late && voters_.majority(page.answered))) return;
            // Nobody is left to ask: a name that nobody ever wrote, or one that was forgotten.
            lost_ = true;
        }
        if (page.note.fencing_token == number_) page.note.sequence += kSequenceStep;
        page.state = State::known;
        page.again_at = 1e18;
    } else if (message.kind == Kind::taken && page.state == State::writing) {
        page.answered.insert(voter);
        if (!voters_.majority(page.answered)) return;
        page.state = State::known;
        page.again_at = 1e18;
    }
}

void RegisterClient::on_timer(double now) {
    if (!has_term() || passed_) return;
    for (auto& [name, page] : pages_) {
        if (now < page.again_at) continue;
        // Those that have answered a read may know more by now: all are asked again once it is late.
        const bool anew =
            page.state == State::reading && now >= page.asked_first + kLostAfter * times_.grant_duration_s;
        ask(now, name, page, anew);
    }
}

double RegisterClient::next_deadline() const {
    double next = 1e18;
    if (has_term() && !passed_)
        for (const auto& [name, page] : pages_) next = std::min(next, page.again_at);
    return next;
}

}   // namespace slatejunction::lease
