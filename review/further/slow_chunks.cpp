// Not one of the three cases: see "Further" in REPORT.md. A backend writes answers of 300 kB in small pieces, at 100 kB
// a second, in turn with Content-Length and in chunks.
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kRequests = 6;
constexpr std::size_t kPieces = 75;
constexpr double kPieceEveryS = 0.04;
const std::string kPiece(4000, 'x');

void serve(Connection& connection, Record& record) {
    Message request;
    while (connection.read(request, 1e9) == Connection::Read::message) {
        const std::string id = request.field("x-request-id");
        const bool chunked = id[0] == 'c';
        connection.write(std::string("HTTP/1.1 200 OK\r\n") +
                         (chunked ? "Transfer-Encoding: chunked" : "Content-Length: 300000") +
                         "\r\n\r\n");
        for (std::size_t i = 0; i < kPieces; ++i) {
            if (connection.peer_has_closed() || !connection.write(chunked ? "fa0\r\n" + kPiece + "\r\n" : kPiece)) {
                record.say("the answer to %s was cut off after %zu bytes", id.c_str(), i * kPiece.size());
                return;
            }
            sleep_for(kPieceEveryS);
        }
        if (chunked) connection.write("0\r\n\r\n");
    }
}

}   // namespace

int main(int argc, char** argv) {
    const Arguments arguments(argc, argv);
    Record record(arguments.record);
    const Folder folder;
    Server backend([&](Connection& connection) { serve(connection, record); });
    Discovery discovery(record, {{"s-1", backend.address()}});
    Settings settings;
    settings.classes = {{"risk-read", "pure", 1.5, 4, "all", 5, 2}, {"warn-send", "side_effect", 5, 12, "all", 5, 6}};
    Ingress ingress(record, arguments.command, folder.path(), discovery, settings);
    if (!ingress.ready()) return kCouldNotRun;
    int cut = 0;
    for (int i = 0; i < kRequests; ++i) {
        const auto connection = Connection::dial(ingress.port());
        Request request;
        request.id = (arguments.trouble && i % 2 ? "c" : "l") + std::to_string(i);
        request.service_class = "warn-send";
        request.method = "POST";
        request.body = "warning";
        request.deadline_s = 12;
        connection->write(request.bytes());
        Message reply;
        connection->read(reply, now() + 13);
        record.say("%s was answered %d with %zu bytes", request.id.c_str(), reply.status(), reply.body.size());
        if (reply.status() != 200) ++cut;
    }
    return cut > 0 ? kBroken : kHeld;
}
