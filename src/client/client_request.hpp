// One client request with its body, and the interfaces between client sessions, the dispatcher and backend
// connections: BodySource, BodySink, ResponseWriter and RequestHandler.
//
// read_request() creates a ClientRequest from a parsed HTTP head and the settings. Pure: does no I/O.
// Requests are created by client::Session, passed to ingress::RequestDispatcher and written by
// backend::Connection. Times are in s (net::now()).
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "http/message.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::client {

/// BodySink and BodySource are the two ends of a large body that is forwarded in pieces from one connection
/// to another. Either may close at any time; then the other one is notified once.
class BodySink {
  public:
    virtual ~BodySink() = default;
    /// Takes all of `bytes`. Returns false if they are still buffered; then no more bytes may follow until
    /// BodySource::resume().
    virtual bool write(std::string_view bytes) = 0;
    /// The body has ended. If it is not `complete`, the rest of it is lost.
    virtual void end(bool complete) = 0;
};

class BodySource {
  public:
    virtual ~BodySource() = default;
    /// Starts writing to `sink`, or pauses if `sink` has expired.
    virtual void stream_to(std::weak_ptr<BodySink> sink) = 0;
    virtual void resume() = 0;
    /// The rest of the body is not needed.
    virtual void cancel() = 0;
};

class ResponseWriter;

/// A request of a client. The views point into `bytes`. Shared by the open request and its attempts.
struct ClientRequest {
    http::Buffer bytes;
    std::string_view method, target, request_id, content_type, body;
    std::string_view idempotency_key;   // empty if there is none
    std::string_view service_class, plan;
    std::uint64_t customer = 0;
    double units = 0, ingress_count = 0;
    unsigned first_ingress = 0;   // index of the first of the `ingress_count` ingresses for this customer
    // When its last byte arrived, and the client's deadline.
    double arrived_at_s = 0, deadline_at_s = 0;
    bool is_client_retry = false;
    // The source of the rest of a body over http::kMaxBufferedBodyBytes, of which `body` is the beginning.
    std::shared_ptr<BodySource> body_rest;
    // The length of the whole body, where `body_rest` is set; none if the body is chunked.
    std::optional<std::size_t> body_length;
    bool body_streamed = false;   // part of the rest has been forwarded and cannot be sent again
    bool body_complete = true;    // the last byte has arrived, so that deadline_at_s is known
    double timeout_s = 0;         // from its last byte to its deadline
    // Valid during on_request() only. Empty unless SessionController::wants_headers().
    std::span<const http::Field> headers;
    std::weak_ptr<ResponseWriter> response_writer;   // set by the ingress
    /// The client has disconnected, possibly before on_client_disconnected() has been called. No attempt is
    /// started then.
    bool client_disconnected() const;
};

/// Sets `request` from the head of a request that arrived at `now`. Returns the name of the first field
/// that is missing or invalid under `settings`, or an empty text if all are valid.
std::string_view read_request(const http::Head& head, const slatejunction::Settings& settings, double now,
                              ClientRequest& request);

/// Returns null if there is no class of that name.
const slatejunction::ServiceClass* find_class(const slatejunction::Settings& settings,
                                              std::string_view name);

/// Returns the first segment of the target's path, which names the service class.
std::string_view first_path_segment(std::string_view target);

/// The final response to a client.
struct Response {
    int status = 200;
    double retry_after_s = 0;   // 0 omits Retry-After
    std::string_view content_type, body;
    std::shared_ptr<BodySource> rest = {};    // of a large body, of which `body` is the beginning
    std::optional<std::size_t> length = {};   // of the whole body, where `rest` is set; none if unknown
};

/// Takes the one final response to a request, independently of the protocol.
class ResponseWriter {
  public:
    virtual ~ResponseWriter() = default;
    virtual void write_response(const Response& response) = 0;
    virtual bool client_disconnected() const { return false; }
};

/// Takes the requests of client sessions.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    /// Takes over a request, which gets one final response through `response_writer`. Returns the number
    /// that identifies the request in on_client_disconnected().
    virtual std::uint64_t on_request(std::shared_ptr<ResponseWriter> response_writer,
                                     std::shared_ptr<ClientRequest> request) = 0;
    /// The last byte of a large body has arrived: ClientRequest::deadline_at_s counts from there.
    virtual void on_body_received(std::uint64_t number) = 0;
    /// The client no longer needs a response.
    virtual void on_client_disconnected(std::uint64_t number) = 0;
};

}   // namespace slatejunction::client
