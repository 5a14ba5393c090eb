// One of three servers of a plain service breaks off a few of its answers and
// sends a few others twice; the second one comes late, where the next answer on
// that connection is expected.

#include "../harness/fault.h"

namespace review {
namespace {

constexpr int kSlots = 6;
constexpr milliseconds kWork{30};
/// Time after which a server answers `GET /api/report`.
constexpr milliseconds kReportAfter{15};
/// Shares of its answers that the faulty server sends twice and breaks off.
constexpr double kExtraShare = 0.03;
constexpr double kBrokenShare = 0.02;
/// Clients of each entry; their share is uneven.
constexpr int kClientsOfFirst = 24;
constexpr int kClientsOfSecond = 4;
constexpr int kClients = kClientsOfFirst + kClientsOfSecond;
constexpr milliseconds kThink{40};
constexpr std::int64_t kLength = 100000;

/// Returns what the server answers to a request.
std::string BodyFor(const std::string& id) { return "menu for " + id; }

/// A server of the plain service.
class Worker {
 public:
  Worker(std::string id, std::string zone, bool faulty, Record* record)
      : id_(std::move(id)),
        zone_(std::move(zone)),
        faulty_(faulty),
        record_(record),
        server_([this](Connection* connection, const Message& request) {
          return Handle(connection, request);
        }) {}

  const std::string& id() const { return id_; }
  std::string Registration() const {
    return PlainRegistration(server_.address(), zone_, "ready");
  }
  std::string Counts() {
    return "twice " + repeated_.Counts() + ", broken off " + broken_.Counts();
  }

 private:
  bool Handle(Connection* connection, const Message& request) {
    const std::string id = request.Header("X-Request-Id");
    if (const std::string extra = std::exchange(connection->late_bytes(), "");
        !extra.empty()) {
      record_->Add("a second answer comes as " + request.path() + " " + id +
                   " arrives at " + id_);
      connection->Write(extra);
    }
    const std::string expected = request.Header("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      return connection->Write(
          MakeResponse(421, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}));
    }
    if (request.path() == "/api/report") {
      Sleep(kReportAfter);
      return connection->Write(
          MakeResponse(200, {{"Content-Type", "application/json"}},
                       R"({"busy":false,"seq":0,"queued":0,"running":1})"));
    }
    if (id.empty()) {
      return connection->Write(MakeResponse(400, {{"X-Not-Executed", "1"}}));
    }
    record_->Add("run " + id + " at " + id_);
    Run();
    const std::string answer =
        MakeResponse(200,
                     {{"X-Request-Id", id},
                      {"X-Response-Signature", "sig." + id_ + "." + id}},
                     BodyFor(id));
    if (faulty_ && broken_.Next()) {
      record_->Add("answer to " + id + " broken off at " + id_);
      connection->Write(answer.substr(0, answer.size() / 2));
      connection->Reset();
      return false;
    }
    if (faulty_ && repeated_.Next()) {
      connection->late_bytes() = answer;
      record_->Add("second answer to " + id + " at " + id_ + " will come late");
    }
    return connection->Write(answer);
  }

  /// Takes the time of a run in a slot.
  void Run() {
    std::unique_lock<std::mutex> lock(mutex_);
    free_.wait(lock, [this] { return running_ < kSlots; });
    ++running_;
    lock.unlock();
    Sleep(kWork);
    lock.lock();
    --running_;
    free_.notify_one();
  }

  std::string id_;
  std::string zone_;
  bool faulty_;
  Record* record_;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  SpoiledAnswers repeated_{kExtraShare, std::random_device{}()};
  SpoiledAnswers broken_{kBrokenShare, std::random_device{}()};
  Server server_;
};

/// Sends requests and counts successes that are not the server's answer.
void RunClient(std::uint16_t port, int number, Record* record,
               std::atomic<int>* foreign, std::atomic<int>* served) {
  std::mt19937 random(static_cast<unsigned>(number));
  std::uniform_int_distribution<int> think(0, 2 * kThink.count());
  for (int n = 0; Now() < kLength; ++n) {
    const std::string id =
        "c" + std::to_string(number) + "-" + std::to_string(n);
    record->Add("sent " + id);
    const auto answer =
        n % 2 == 0
            ? SendAttempt(port, "POST", "/menu/1", id, 1500, "prices of " + id)
            : SendAttempt(port, "GET", "/desk/1", id, 1500, "");
    const int status = answer ? answer->status() : 0;
    record->Add("answered " + id + " " + std::to_string(status));
    if (status / 100 == 2) {
      ++*served;
      if (answer->Header("X-Response-Signature").empty() ||
          answer->body != BodyFor(id)) {
        ++*foreign;
        record->Add("MIXED " + id + " got " + std::to_string(status) +
                    " without the server's signature, or another body: " +
                    answer->body);
      }
    }
    Sleep(milliseconds(think(random)));
  }
}

[[noreturn]] void RunCase(const std::string& folder) {
  Record record(folder + "/record.txt");
  Store store;
  std::deque<Worker> workers;
  const std::vector<std::string> zones = {"bilbao-a", "bilbao-b", "oviedo"};
  for (int n = 0; n < 3; ++n) {
    Worker& it = workers.emplace_back("i-app" + std::to_string(n), zones[n],
                                      n == 0, &record);
    store.Put("servers", it.id(), it.Registration());
  }
  store.Put("config", "main", PlainConfiguration());
  std::deque<Entry> entries;
  entries.emplace_back("front-bilbao-a-1", "bilbao-a", store);
  entries.emplace_back("front-oviedo-1", "oviedo", store);
  if (!StartAll(&entries)) {
    record.Add("an entry did not get ready");
    Finish(&entries, 2);
  }
  std::atomic<int> foreign{0};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back(RunClient,
                         entries[n < kClientsOfFirst ? 0 : 1].front(), n,
                         &record, &foreign, &served);
  }
  for (std::thread& it : clients) {
    it.join();
  }
  record.Add("answers of the faulty server: " + workers[0].Counts());
  record.Add("successes " + std::to_string(served) +
             ", of them not the server's answer " + std::to_string(foreign));
  Finish(&entries, foreign > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(review::FolderFrom(argc, argv));
}
