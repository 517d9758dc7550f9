// Not one of the three cases: see "Further" in REPORT.md. A third of the connections to backends comes up one second
// late, while clients send long keyed requests. DialTimeoutS is 1.5 s here, as loopback can delay a connection only by
// a whole retransmission of its SYN, which takes 1 s.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standins.hpp"

using namespace review;

namespace {

constexpr int kBackends = 6, kClients = 4;
constexpr int kRounds = 12;
constexpr double kRoundS = 4;
constexpr double kWorkS = 0.06;
constexpr double kDeadlineS = 4;
constexpr std::size_t kFirstBytes = 80'000, kPieceBytes = 10'000;   // of a body
constexpr double kPieceEveryS = 0.1;                                 // 100 kB a second
constexpr int kPieces = 20;

struct Ledger {
    std::mutex mutex;
    std::map<std::string, std::string> sent;   // digests of bodies, by request id
    int served = 0, refused = 0, failed = 0, unanswered = 0, altered = 0;
};

// Reads requests, and compares each body with the one that the client sent.
void serve(Connection& connection, const std::string& id, Record& record, Ledger& ledger) {
    Message request;
    if (connection.read(request, 1e9) == Connection::Read::message) {
        const std::string request_id = request.field("x-request-id"), got = digest(request.body);
        {
            const std::lock_guard lock(ledger.mutex);
            const std::string& wanted = ledger.sent[request_id];
            record.line("%s runs %s: %s", id.c_str(), request_id.c_str(), got.c_str());
            if (got != wanted) {
                ++ledger.altered;
                record.say("BROKEN: %s runs %s with a body of %s; the client's has %s", id.c_str(),
                           request_id.c_str(), got.c_str(), wanted.c_str());
            }
        }
        sleep_for(kWorkS);
        connection.write(answer(200, "done by " + id, "Connection: close\r\n"));
        return;
    }
}

// A backend whose connections come up late: its queue of connections is full for a while, so that the first SYN is
// dropped and the second, one second later, is answered.
class LateBackend {
  public:
    LateBackend(std::string id, Record& record, Ledger& ledger)
        : id_(std::move(id)), record_(record), ledger_(ledger) {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::listen(listener_, 512);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept_all(); });
    }
    ~LateBackend() {
        stopping_ = true;
        acceptor_.join();
        ::close(listener_);
        for (const auto& connection : connections_) connection->shut();
        for (std::thread& thread : threads_) thread.join();
    }
    Member member() const { return {id_, "127.0.0.1:" + std::to_string(port_)}; }
    // From now on the queue is full.
    void fill() {
        full_ = true;
        sleep_for(0.05);
        ::listen(listener_, 0);
        // Does not wait: if the queue is full already, the filler is not needed.
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        filler_ = std::make_unique<Connection>(fd);
    }
    void drain() {
        ::listen(listener_, 512);
        full_ = false;
    }

  private:
    void accept_all() {
        while (!stopping_) {
            pollfd descriptor{listener_, POLLIN, 0};
            if (full_ || ::poll(&descriptor, 1, 10) <= 0) {
                sleep_for(0.005);
                continue;
            }
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            const auto connection = std::make_shared<Connection>(fd);
            connections_.push_back(connection);
            threads_.emplace_back([this, connection] {
                serve(*connection, id_, record_, ledger_);
                connection->shut();
            });
        }
    }
    const std::string id_;
    Record& record_;
    Ledger& ledger_;
    int listener_ = -1, port_ = 0;
    std::atomic<bool> full_{false}, stopping_{false};
    std::unique_ptr<Connection> filler_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

void send_one(const std::string& id, int port, Record& record, Ledger& ledger) {
    const auto connection = Connection::dial(port);
    if (!connection) return;
    Request request;
    request.service_class = "warn-send";
    request.method = "POST";
    request.id = id;
    request.key = "key-" + id;
    request.deadline_s = kDeadlineS;
    std::vector<std::string> pieces;
    for (int i = 0; i <= kPieces; ++i)
        pieces.push_back(std::string(i == 0 ? kFirstBytes : kPieceBytes, static_cast<char>('a' + i)));
    std::string whole;
    for (const std::string& piece : pieces) whole += piece;
    {
        const std::lock_guard lock(ledger.mutex);
        ledger.sent[id] = digest(whole);
    }
    record.line("client begins %s: %s", id.c_str(), digest(whole).c_str());
    bool sent = connection->write(request.head("Transfer-Encoding: chunked\r\n"));
    for (std::size_t i = 0; i < pieces.size() && sent && !connection->readable(); ++i) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", pieces[i].size());
        sent = connection->write(size + pieces[i] + "\r\n", now() + 1);
        if (i + 1 < pieces.size()) sleep_for(kPieceEveryS);
    }
    if (sent && !connection->readable()) sent = connection->write("0\r\n\r\n");
    record.line("client sent the end of %s", id.c_str());
    Message reply;
    const int status =
        connection->read(reply, now() + kDeadlineS + 1) == Connection::Read::message ? reply.status() : 0;
    record.line("client got %d for %s: %s", status, id.c_str(), reply.body.c_str());
    const std::lock_guard lock(ledger.mutex);
    if (status == 0) ++ledger.unanswered;
    else if (status == 200) ++ledger.served;
    else if (status == 503 || status == 429) ++ledger.refused;
    else ++ledger.failed;
}

// Other traffic, which the ingress's budget for second attempts grows with.
void read_on(const std::atomic<bool>& over, int port, Ledger& ledger) {
    std::unique_ptr<Connection> connection;
    for (int number = 0; !over; ++number) {
        Request request;
        request.service_class = "risk-read";
        request.id = "r" + std::to_string(number);
        {
            const std::lock_guard lock(ledger.mutex);
            ledger.sent[request.id] = digest("");
        }
        if (!connection || connection->peer_has_closed()) connection = Connection::dial(port);
        if (!connection) return;
        connection->write(request.bytes());
        Message reply;
        if (connection->read(reply, now() + kDeadlineS + 1) != Connection::Read::message ||
            reply.field("connection") == "close")
            connection.reset();
        sleep_for(0.03);
    }
}

}   // namespace

int main(int argc, char** argv) {
    const Arguments arguments(argc, argv);
    Record record(arguments.record);
    const Folder folder;
    Ledger ledger;
    std::vector<std::unique_ptr<LateBackend>> backends;
    std::vector<Member> members;
    for (int i = 0; i < kBackends; ++i) {
        backends.push_back(std::make_unique<LateBackend>("s-" + std::to_string(i + 1), record, ledger));
        members.push_back(backends.back()->member());
    }
    Discovery discovery(record, members);
    Settings settings;
    settings.classes = {{"risk-read", "pure", 1.5, 4, "all", 5, 2}, {"warn-send", "token", 1.5, 4, "all", 5, 6}};
    settings.dial_timeout_s = 1.5;
    Ingress ingress(record, arguments.command, folder.path(), discovery, settings);
    if (!ingress.ready()) return kCouldNotRun;
    std::atomic<bool> over{false};
    std::thread reader([&] { read_on(over, ingress.port(), ledger); });
    for (int round = 0; round < kRounds; ++round) {
        const double begun_at = now();
        LateBackend& first = *backends[static_cast<std::size_t>(2 * round % kBackends)];
        LateBackend& second = *backends[static_cast<std::size_t>((2 * round + 1) % kBackends)];
        if (arguments.trouble) first.fill(), second.fill();
        std::vector<std::thread> clients;
        for (int i = 0; i < kClients; ++i)
            clients.emplace_back([&, i] {
                send_one("w" + std::to_string(round) + "-" + std::to_string(i), ingress.port(), record, ledger);
            });
        sleep_for(0.8);
        if (arguments.trouble) first.drain(), second.drain();
        for (std::thread& client : clients) client.join();
        sleep_until(begun_at + kRoundS);
    }
    over = true;
    reader.join();
    const bool runs = ingress.runs();
    const std::lock_guard lock(ledger.mutex);
    record.say("%d served, %d refused, %d failed, %d unanswered; run with a body that nobody sent: %d",
               ledger.served, ledger.refused, ledger.failed, ledger.unanswered, ledger.altered);
    if (ledger.served < 10) return kCouldNotRun;
    return ledger.altered > 0 || !runs ? kBroken : kHeld;
}
