// One request of a consumer, as any protocol would hand it to the decisions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "http/message.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::client {

// Two ends of a body that is passed on as it comes, on two connections. Either may go at any time: the one
// left is told, once.
class Sink {
  public:
    virtual ~Sink() = default;
    // Takes all of it. False: no more until Source::go_on(), as it can't be written at once.
    virtual bool put(std::string_view bytes) = 0;
    virtual void put_end(bool whole) = 0;   // nothing follows; not whole: the rest will never come
};

class Source {
  public:
    virtual ~Source() = default;
    virtual void pull(std::weak_ptr<Sink> sink) = 0;   // begins to give; expired: holds on until the next
    virtual void go_on() = 0;
    virtual void cancel() = 0;   // nobody wants the rest
};

class Consumer;

// The views point into `bytes`, which lives as long as any invoker call may still be writing from it.
struct Invocation {
    http::Buffer bytes;
    std::string_view method, target, request_id, content_type, body;
    std::string_view key;   // Idempotency-Key: by it providers know a repeat; empty: none was sent
    std::string_view service_class, plan;
    std::uint64_t customer = 0;
    double units = 0, doors = 0;
    unsigned first_door = 0;       // the first of the ingresses that the customer's requests come through
    double arrived = 0, due = 0;   // s, net::now(): its last byte, and when the consumer stops waiting
    bool repeat = false;
    // Of a body over http::kBodyMost `body` is the front; the rest is pulled from here.
    std::shared_ptr<Source> rest;
    std::optional<std::size_t> length;      // of all of it; none: it comes in chunks
    bool passed = false;                    // some of the rest has been given away: it can't be had again
    bool whole = true;                      // its last byte has come
    double wait_s = 0;                      // from its last byte until it is due
    std::span<const http::Field> headers;   // while it is handed on, and only where its host wants them
    std::weak_ptr<Consumer> asker;          // who waits for it; set by the host that takes it
    // Has who asked gone, be it that nobody has been told yet? Then nothing more is begun for it.
    bool left() const;
};

// Reads the fields of a parsed request, but its body. Names the first that is missing, unreadable or not of
// the protocol's form under these settings; empty when all is well.
std::string_view read_invocation(const http::Head& head, const slatejunction::Settings& settings,
                                 double now, Invocation& invocation);

const slatejunction::ServiceClass* find_class(const slatejunction::Settings& settings,
                                              std::string_view name);

// The first part of a target's path, which names the class.
std::string_view first_part(std::string_view target);

// How an invocation ended, for the consumer.
struct Answer {
    int status = 200;
    double retry_after_s = 0;   // 0: no advice
    std::string_view content_type, body;
    std::shared_ptr<Source> rest = {};        // as in Invocation: `body` is the front
    std::optional<std::size_t> length = {};   // of all of it, where `rest` is set; none: it comes in chunks
};

// Who asked, by whatever protocol: takes the one final answer.
class Consumer {
  public:
    virtual ~Consumer() = default;
    virtual void answer(const Answer& answer) = 0;
    virtual bool left() const { return false; }   // it has gone, which is told later
};

// What a protocol's server side hands its invocations to.
class InvocationHost {
  public:
    virtual ~InvocationHost() = default;
    // One final answer is owed from here on. Returns the number that on_left() tells.
    virtual std::uint64_t on_invocation(std::shared_ptr<Consumer> consumer,
                                        std::shared_ptr<Invocation> invocation) = 0;
    virtual void on_left(std::uint64_t number) = 0;   // the consumer has gone; nothing is owed
};

}   // namespace slatejunction::client
