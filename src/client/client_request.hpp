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
class BodySink {
  public:
    virtual ~BodySink() = default;
    // Takes all of it. False: no more until Source::go_on(), as it can't be written at once.
    virtual bool write(std::string_view bytes) = 0;
    virtual void end(bool whole) = 0;   // nothing follows; not whole: the rest will never come
};

class BodySource {
  public:
    virtual ~BodySource() = default;
    virtual void stream_to(
        std::weak_ptr<BodySink> sink) = 0;   // begins to give; expired: holds on until the next
    virtual void resume() = 0;
    virtual void cancel() = 0;   // nobody wants the rest
};

class ResponseWriter;

// The views point into `bytes`, which lives as long as any invoker call may still be writing from it.
struct ClientRequest {
    http::Buffer bytes;
    std::string_view method, target, request_id, content_type, body;
    std::string_view
        idempotency_key;   // Idempotency-Key: by it providers know a repeat; empty: none was sent
    std::string_view service_class, plan;
    std::uint64_t customer = 0;
    double units = 0, ingress_count = 0;
    unsigned first_ingress = 0;   // the first of the ingresses that the customer's requests come through
    double arrived_at_s = 0,
           deadline_at_s = 0;   // s, net::now(): its last byte, and when the consumer stops waiting
    bool is_client_retry = false;
    // Of a body over http::kBodyMost `body` is the front; the rest is pulled from here.
    std::shared_ptr<BodySource> body_rest;
    std::optional<std::size_t> body_length;   // of all of it; none: it comes in chunks
    bool body_streamed = false;               // some of the rest has been given away: it can't be had again
    bool body_complete = true;                // its last byte has come
    double timeout_s = 0;                     // from its last byte until it is due
    std::span<const http::Field> headers;     // while it is handed on, and only where its host wants them
    std::weak_ptr<ResponseWriter> response_writer;   // who waits for it; set by the host that takes it
    // Has who asked gone, be it that nobody has been told yet? Then nothing more is begun for it.
    bool client_disconnected() const;
};

// Reads the fields of a parsed request, but its body. Names the first that is missing, unreadable or not of
// the protocol's form under these settings; empty when all is well.
std::string_view read_request(const http::Head& head, const slatejunction::Settings& settings, double now,
                              ClientRequest& invocation);

const slatejunction::ServiceClass* find_class(const slatejunction::Settings& settings,
                                              std::string_view name);

// The first part of a target's path, which names the class.
std::string_view first_part(std::string_view target);

// How an invocation ended, for the consumer.
struct Response {
    int status = 200;
    double retry_after_s = 0;   // 0: no advice
    std::string_view content_type, body;
    std::shared_ptr<BodySource> rest = {};    // as in Invocation: `body` is the front
    std::optional<std::size_t> length = {};   // of all of it, where `rest` is set; none: it comes in chunks
};

// Who asked, by whatever protocol: takes the one final answer.
class ResponseWriter {
  public:
    virtual ~ResponseWriter() = default;
    virtual void write_response(const Response& answer) = 0;
    virtual bool client_disconnected() const { return false; }   // it has gone, which is told later
};

// What a protocol's server side hands its invocations to.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    // One final answer is owed from here on. Returns the number that on_left() tells.
    virtual std::uint64_t on_request(std::shared_ptr<ResponseWriter> consumer,
                                     std::shared_ptr<ClientRequest> invocation) = 0;
    virtual void on_client_disconnected(
        std::uint64_t number) = 0;   // the consumer has gone; nothing is owed
};

}   // namespace slatejunction::client
