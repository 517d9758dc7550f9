// Some answers of backends are followed by a second copy of themselves some milliseconds later. See claim.txt.
#include <random>

#include "standins.hpp"

using namespace review;

namespace {

constexpr double kLoadS = 20;             // how long clients send
constexpr double kWorkS = 0.02;           // of one request at a backend
constexpr double kOneWayS = 0.002;        // between two halls: 1.4 to 2.6 ms
constexpr double kCopyAfterS[] = {0.001, 0.008};   // from an answer to its second copy, by chance
constexpr double kCopyShare = 0.02;       // of the answers
constexpr int kReaders = 4, kWriters = 2;

struct Ledger {
    std::mutex mutex;
    std::map<std::string, int> runs;   // by request id, over all backends
    int copies = 0, withheld_copies = 0;
    int served = 0, refused = 0, failed = 0, unanswered = 0, foreign = 0;
};

// Its answers name the request that they were made for. `copies`: some are sent twice.
class Backend {
  public:
    Backend(Record& record, Ledger& ledger, std::string id, unsigned seed, bool copies)
        : record_(record), ledger_(ledger), id_(std::move(id)), random_(seed), copies_(copies),
          server_([this](Connection& connection) { serve(connection); }) {}
    int port() const { return server_.port(); }
    const std::string& id() const { return id_; }

  private:
    // How long after the answer its second copy follows; 0: there is none.
    double draw_copy() {
        const std::lock_guard lock(ledger_.mutex);
        std::uniform_real_distribution<double> share(0, 1), after_s(kCopyAfterS[0], kCopyAfterS[1]);
        return copies_ && share(random_) < kCopyShare ? after_s(random_) : 0;
    }
    void serve(Connection& connection) {
        Message request;
        while (connection.read(request, 1e9) == Connection::Read::message) {
            const std::string id = request.field("x-request-id");
            {
                const std::lock_guard lock(ledger_.mutex);
                ++ledger_.runs[id];
            }
            record_.line("%s runs %s %s", id_.c_str(), request.method().c_str(), id.c_str());
            sleep_for(kWorkS);
            const std::string bytes = answer(200, "answer to " + id);
            if (!connection.write(bytes)) return;
            record_.line("%s answered %s", id_.c_str(), id.c_str());
            const double copy_after_s = draw_copy();
            if (copy_after_s == 0) continue;
            sleep_for(copy_after_s);
            // As the page says: only when nothing else waits on the connection.
            const bool waits = connection.readable();
            if (!waits && !connection.write(bytes)) return;
            record_.line("%s %s a second copy of the answer to %s", id_.c_str(),
                         waits ? "withheld, as something waits there," : "sent", id.c_str());
            const std::lock_guard lock(ledger_.mutex);
            ++(waits ? ledger_.withheld_copies : ledger_.copies);
        }
    }
    Record& record_;
    Ledger& ledger_;
    const std::string id_;
    std::mt19937 random_;
    const bool copies_;
    Server server_;
};

void send_on(const std::string& name, bool writes, int port, double until, Record& record, Ledger& ledger) {
    std::unique_ptr<Connection> connection;
    for (int number = 0; now() < until; ++number) {
        Request request;
        request.service_class = writes ? "warn-send" : "risk-read";
        request.method = writes ? "POST" : "GET";
        request.id = name + "-" + std::to_string(number);
        if (writes) request.body = "warning " + request.id;
        if (!connection || connection->peer_has_closed()) connection = Connection::dial(port);
        if (!connection) return;
        connection->write(request.bytes());
        record.line("client sent %s %s", request.method.c_str(), request.id.c_str());
        Message reply;
        const auto read = connection->read(reply, now() + request.deadline_s + 1);
        const int status = read == Connection::Read::message ? reply.status() : 0;
        record.line("client got %d for %s: %s", status, request.id.c_str(), reply.body.c_str());
        if (status == 0 || reply.field("connection") == "close") connection.reset();
        const std::lock_guard lock(ledger.mutex);
        if (status == 0) ++ledger.unanswered;
        else if (status == 200) ++ledger.served;
        else if (status == 503 || status == 429) ++ledger.refused;
        else ++ledger.failed;
        if (status == 200 && reply.body != "answer to " + request.id) {
            ++ledger.foreign;
            record.say("BROKEN: %s %s was served with '%s'", request.method.c_str(), request.id.c_str(),
                       reply.body.c_str());
        }
    }
}

}   // namespace

int main(int argc, char** argv) {
    const Arguments arguments(argc, argv);
    Record record(arguments.record);
    const Folder folder;
    Ledger ledger;
    Backend s1(record, ledger, "s-1", 1, arguments.trouble), s2(record, ledger, "s-2", 2, arguments.trouble),
        s3(record, ledger, "s-3", 3, arguments.trouble);
    Link l1(s1.port(), kOneWayS), l2(s2.port(), kOneWayS), l3(s3.port(), kOneWayS);
    Discovery discovery(record, {{"s-1", l1.address()}, {"s-2", l2.address()}, {"s-3", l3.address()}});
    Settings settings;
    settings.classes = {{"risk-read", "pure", 1.5, 4, "all", 5, 2}, {"warn-send", "side_effect", 5, 12, "all", 5, 6}};
    Ingress ingress(record, arguments.command, folder.path(), discovery, settings);
    if (!ingress.ready()) return kCouldNotRun;
    std::vector<std::thread> clients;
    const double until = now() + kLoadS;
    for (int i = 0; i < kReaders + kWriters; ++i)
        clients.emplace_back([&, i] {
            send_on((i < kReaders ? "r" : "w") + std::to_string(i), i >= kReaders, ingress.port(), until, record,
                    ledger);
        });
    for (std::thread& client : clients) client.join();
    const bool runs = ingress.runs();
    const std::lock_guard lock(ledger.mutex);
    int twice = 0;
    for (const auto& [id, count] : ledger.runs)
        if (id[0] == 'w' && count > 1) {
            ++twice;
            record.say("%s ran %d times", id.c_str(), count);
        }
    record.say("%d served, %d refused, %d failed, %d unanswered; %d second copies sent, %d withheld; served with "
               "another request's answer: %d; writes that ran twice: %d",
               ledger.served, ledger.refused, ledger.failed, ledger.unanswered, ledger.copies,
               ledger.withheld_copies, ledger.foreign, twice);
    if (ledger.served < 100) return kCouldNotRun;
    return ledger.foreign > 0 || twice > 0 || !runs ? kBroken : kHeld;
}
