// A keyed request with a large body waits at a backend that hangs for two seconds. See claim.txt.
#include <cmath>
#include <set>

#include "standins.hpp"

using namespace review;

namespace {

constexpr double kLoadS = 40;           // how long clients send
constexpr double kWorkS = 0.06;         // of one request at a backend
constexpr double kHangEveryS = 5, kHangS = 2;
constexpr std::size_t kBodyBytes = 200'000;
constexpr int kWriters = 6, kReaders = 2;
constexpr int kRepeats = 3;   // by a client, after a refusal

// What backends and clients have seen.
struct Ledger {
    struct Attempt {
        std::string backend;
        double whole_at = 0;   // its last byte had arrived
    };
    std::mutex mutex;
    std::map<std::string, std::vector<Attempt>> attempts;   // by request id
    std::map<std::string, std::set<int>> cells_by_key;      // in which the effect was applied
    int served = 0, refused = 0, failed = 0, unanswered = 0, refused_after_arrival = 0;
};

// A backend of one cell. Work that has begun is finished, also when its connection ends.
class Backend {
  public:
    Backend(Record& record, Ledger& ledger, std::string id, int cell, bool hangs)
        : record_(record), ledger_(ledger), id_(std::move(id)), cell_(cell), hangs_(hangs),
          server_([this](Connection& connection) { serve(connection); }) {}
    Member member() const { return {id_, server_.address(), cell_}; }

  private:
    void serve(Connection& connection) {
        Message request;
        while (connection.read(request, 1e9) == Connection::Read::message) {
            const std::string id = request.field("x-request-id"), key = request.field("idempotency-key");
            {
                const std::lock_guard lock(ledger_.mutex);
                ledger_.attempts[id].push_back({id_, request.last_byte_at});
                if (!key.empty()) ledger_.cells_by_key[key].insert(cell_);
            }
            record_.line("%s (cell %d) has %s %s whole, key %s, %s", id_.c_str(), cell_,
                         request.method().c_str(), id.c_str(), key.c_str(), digest(request.body).c_str());
            sleep_for(kWorkS);
            // It stands still from 3 s to 5 s of every 5 s.
            const double phase = std::fmod(now(), kHangEveryS);
            if (hangs_ && phase > kHangEveryS - kHangS) sleep_for(kHangEveryS - phase);
            const bool written = connection.write(answer(200, "done " + id));
            record_.line("%s has run %s%s", id_.c_str(), id.c_str(),
                         written && !connection.peer_has_closed() ? "" : ", and its connection has ended");
            if (!written) return;
        }
    }
    Record& record_;
    Ledger& ledger_;
    const std::string id_;
    const int cell_;
    const bool hangs_;
    Server server_;
};

// Sends one request and returns the status of its answer, 0 if there was none.
int exchange(std::unique_ptr<Connection>& connection, int port, const Request& request, Record& record,
             Ledger& ledger) {
    if (!connection || connection->peer_has_closed()) connection = Connection::dial(port);
    if (!connection) return 0;
    const bool sent = connection->write(request.bytes(), now() + 3);
    record.line("client sent %s %s, key %s%s", request.method.c_str(), request.id.c_str(),
                request.key.c_str(), sent ? "" : ", not to its end");
    Message reply;
    const auto read = connection->read(reply, now() + request.deadline_s + 1);
    const int status = read == Connection::Read::message ? reply.status() : 0;
    const double answered_at = now();
    const std::lock_guard lock(ledger.mutex);
    record.line("client got %d for %s", status, request.id.c_str());
    if (status == 0) ++ledger.unanswered;
    else if (status == 200) ++ledger.served;
    else if (status == 503 || status == 429) ++ledger.refused;
    else ++ledger.failed;
    if (status == 0 || reply.field("connection") == "close") connection.reset();
    // The rule binds writers alone: their class may not simply be repeated.
    if ((status == 503 || status == 429) && !request.key.empty()) {
        for (const auto& attempt : ledger.attempts[request.id]) {
            if (attempt.whole_at >= answered_at) continue;
            ++ledger.refused_after_arrival;
            record.say("BROKEN: %s was refused with %d, %.3f s after %s had it whole", request.id.c_str(),
                       status, answered_at - attempt.whole_at, attempt.backend.c_str());
        }
    }
    return status;
}

void write_on(int writer, int port, double until, Record& record, Ledger& ledger) {
    std::unique_ptr<Connection> connection;
    for (int number = 0; now() < until; ++number) {
        Request request;
        request.service_class = "warn-send";
        request.method = "POST";
        request.key = "key-" + std::to_string(writer) + "-" + std::to_string(number);
        request.body = std::string(kBodyBytes, static_cast<char>('a' + writer));
        for (int repeat = 0; repeat <= kRepeats; ++repeat) {
            request.id = "w" + std::to_string(writer) + "-" + std::to_string(number) + "-" +
                         std::to_string(repeat);
            const int status = exchange(connection, port, request, record, ledger);
            if (status != 503 && status != 429) break;   // a refusal says that trying again is harmless
            sleep_for(0.2);
        }
        sleep_for(0.05);
    }
}

void read_on(int reader, int port, double until, Record& record, Ledger& ledger) {
    std::unique_ptr<Connection> connection;
    for (int number = 0; now() < until; ++number) {
        Request request;
        request.service_class = "risk-read";
        request.id = "r" + std::to_string(reader) + "-" + std::to_string(number);
        exchange(connection, port, request, record, ledger);
        sleep_for(0.05);
    }
}

}   // namespace

int main(int argc, char** argv) {
    const Arguments arguments(argc, argv);
    Record record(arguments.record);
    const Folder folder;
    Ledger ledger;
    Backend s1(record, ledger, "s-1", 1, arguments.trouble), s2(record, ledger, "s-2", 1, false),
        s3(record, ledger, "s-3", 2, false), s4(record, ledger, "s-4", 2, false);
    Discovery discovery(record, {s1.member(), s2.member(), s3.member(), s4.member()});
    Settings settings;
    settings.classes = {{"risk-read", "pure", 1.5, 4, "all", 5, 2}, {"warn-send", "token", 1.5, 4, "cell", 5, 6}};
    Ingress ingress(record, arguments.command, folder.path(), discovery, settings);
    if (!ingress.ready()) return kCouldNotRun;
    std::vector<std::thread> clients;
    const double until = now() + kLoadS;
    for (int i = 0; i < kWriters; ++i)
        clients.emplace_back([&, i] { write_on(i, ingress.port(), until, record, ledger); });
    for (int i = 0; i < kReaders; ++i)
        clients.emplace_back([&, i] { read_on(i, ingress.port(), until, record, ledger); });
    for (std::thread& client : clients) client.join();
    sleep_for(kHangS);
    const bool runs = ingress.runs();
    const std::lock_guard lock(ledger.mutex);
    int twice = 0;
    for (const auto& [key, cells] : ledger.cells_by_key) {
        if (cells.size() < 2) continue;
        ++twice;
        record.say("the effect of %s was applied in cells 1 and 2", key.c_str());
    }
    record.say("%d served, %d refused, %d failed, %d unanswered; refused although a backend had it whole: %d; "
               "applied in two cells: %d",
               ledger.served, ledger.refused, ledger.failed, ledger.unanswered, ledger.refused_after_arrival,
               twice);
    if (ledger.served < 100) return kCouldNotRun;
    return ledger.refused_after_arrival > 0 || !runs ? kBroken : kHeld;
}
