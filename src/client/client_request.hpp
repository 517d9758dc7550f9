// One client request with its body, and the interfaces between the two connections that it passes:
// BodySource, BodySink, ResponseWriter, RequestHandler.
//
// Input of read_request(): a parsed HTTP head, the settings, the arrival in s (net::now()). Output:
// ClientRequest. Pure: no I/O. Made by client::Session, handed to ingress::RequestDispatcher, written by
// backend::Connection.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "http/message.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::client {

/// The two ends of a large body that is forwarded in pieces from one connection to another. Either may
/// close at any time: then the other one is notified once.
class BodySink {
  public:
    virtual ~BodySink() = default;
    /// Takes all of `bytes`. False: no more until BodySource::resume(), as they wait to be written.
    virtual bool write(std::string_view bytes) = 0;
    virtual void end(bool whole) = 0;   // nothing follows; not whole: the rest is lost
};

class BodySource {
  public:
    virtual ~BodySource() = default;
    /// Starts writing to `sink`; pauses if that has expired.
    virtual void stream_to(std::weak_ptr<BodySink> sink) = 0;
    virtual void resume() = 0;
    virtual void cancel() = 0;   // the rest is not wanted
};

class ResponseWriter;

/// The views point into `bytes`. Shared by the open request and its attempts.
struct ClientRequest {
    http::Buffer bytes;
    std::string_view method, target, request_id, content_type, body;
    std::string_view idempotency_key;   // Idempotency-Key; empty: none
    std::string_view service_class, plan;
    std::uint64_t customer = 0;
    double units = 0, ingress_count = 0;
    unsigned first_ingress = 0;   // of those through which the customer's requests come
    double arrived_at_s = 0,
           deadline_at_s = 0;   // net::now(): of its last byte, and of the client's deadline
    bool is_client_retry = false;
    // Of a body over http::kMaxBodyBytes: `body` is the front, the rest is read from here.
    std::shared_ptr<BodySource> body_rest;
    std::optional<std::size_t> body_length;   // of the whole body; none: it is chunked
    bool body_streamed = false;             // some of the rest has been forwarded, and can't be sent again
    bool body_complete = true;              // its last byte has been read
    double timeout_s = 0;                   // from its last byte to its deadline
    std::span<const http::Field> headers;   // during on_request() only, and only if wanted
    std::weak_ptr<ResponseWriter> response_writer;   // set by the ingress
    /// The client has disconnected, even if on_client_disconnected() has not come yet: no attempt is
    /// started.
    bool client_disconnected() const;
};

/// Reads the fields of a parsed request. `now`: its arrival (s). Returns the first field that is missing or
/// invalid under these settings; empty: all are valid.
std::string_view read_request(const http::Head& head, const slatejunction::Settings& settings, double now,
                              ClientRequest& request);

const slatejunction::ServiceClass* find_class(const slatejunction::Settings& settings,
                                              std::string_view name);

/// The first part of a target's path, which names the service class.
std::string_view first_path_segment(std::string_view target);

/// The final answer to a client.
struct Response {
    int status = 200;
    double retry_after_s = 0;   // 0: none
    std::string_view content_type, body;
    std::shared_ptr<BodySource> rest = {};    // of a large body: `body` is the front
    std::optional<std::size_t> length = {};   // of the whole body, where `rest` is set; none: chunked
};

/// Takes the one final answer of a request, whatever the protocol.
class ResponseWriter {
  public:
    virtual ~ResponseWriter() = default;
    virtual void write_response(const Response& answer) = 0;
    virtual bool client_disconnected() const { return false; }
};

/// Takes the requests of client sessions.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    /// One final answer is due from here on. Returns the request's number for on_client_disconnected().
    virtual std::uint64_t on_request(std::shared_ptr<ResponseWriter> response_writer,
                                     std::shared_ptr<ClientRequest> request) = 0;
    /// The client needs no answer any more.
    virtual void on_client_disconnected(std::uint64_t number) = 0;
};

}   // namespace slatejunction::client
