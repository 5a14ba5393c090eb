// One of three servers of a plain service sends a few of its answers twice; the
// second one comes late, where the next answer on that connection is expected.
// The servers are full at times and turn requests away, as servers do.

#include "../harness/fault.h"

namespace review {
namespace {

constexpr int kSlots = 6;
constexpr int kQueue = 6;
constexpr milliseconds kWork{30};
/// Time in which a full server turns a request away.
constexpr milliseconds kRefuseAfter{3};
/// `Retry-After` of the sound servers when they are full.
constexpr char kRest[] = "1.5";
/// Share of its answers that the faulty server sends twice.
constexpr double kExtraShare = 0.03;
/// Clients with a steady pace, at the first entry, and clients that come
/// together, at the second.
constexpr int kSteadyClients = 24;
constexpr int kClumpedClients = 54;
constexpr milliseconds kThink{120};
constexpr std::int64_t kClumpInterval = 1000;
constexpr int kClumpLength = 15;
constexpr std::int64_t kLength = 100000;

/// What became of the requests, by id.
class Ledger {
 public:
  explicit Ledger(Record* record) : record_(record) {}

  void Ran(const std::string& id, const std::string& server) {
    record_->Add("run " + id + " at " + server);
    const std::lock_guard<std::mutex> lock(mutex_);
    ++runs_[id];
  }
  void Answered(const std::string& id, int status) {
    record_->Add("answered " + id + " " + std::to_string(status));
    const std::lock_guard<std::mutex> lock(mutex_);
    statuses_[id] = status;
  }
  /// Returns the number of requests that broke a rule.
  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    int refused = 0;
    int twice = 0;
    std::map<int, int> answers;
    for (const auto& [id, status] : statuses_) {
      ++answers[status];
      const int runs = runs_.count(id) > 0 ? runs_.at(id) : 0;
      if (runs > 1) {
        ++twice;
        record_->Add("TWICE " + id + " ran " + std::to_string(runs) +
                     " times, answered " + std::to_string(status));
      }
      if (runs > 0 && (status == 503 || status == 429)) {
        ++refused;
        record_->Add("REFUSED " + id + " was answered " +
                     std::to_string(status) + " and has run");
      }
    }
    for (const auto& [status, n] : answers) {
      record_->Add("answers with status " + std::to_string(status) + ": " +
                   std::to_string(n));
    }
    record_->Add(
        "requests refused that have run: " + std::to_string(refused) +
        ", requests that ran more than once: " + std::to_string(twice));
    return refused + twice;
  }

 private:
  Record* record_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> statuses_;
};

/// A server of the plain service.
class Worker {
 public:
  Worker(std::string id, std::string zone, bool faulty, Ledger* ledger,
         Record* record)
      : id_(std::move(id)),
        zone_(std::move(zone)),
        faulty_(faulty),
        ledger_(ledger),
        record_(record),
        server_([this](Connection* connection, const Message& request) {
          return Handle(connection, request);
        }) {}

  const std::string& id() const { return id_; }
  std::string Registration() const {
    return PlainRegistration(server_.address(), zone_, "ready");
  }
  std::string Counts() { return repeated_.Counts(); }

 private:
  bool Handle(Connection* connection, const Message& request) {
    const std::string id = request.Header("X-Request-Id");
    if (const std::string extra = std::exchange(connection->late_bytes(), "");
        !extra.empty()) {
      record_->Add("a second answer comes as " + id + " arrives at " + id_);
      connection->Write(extra);
    }
    const std::string expected = request.Header("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      return connection->Write(
          MakeResponse(421, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}));
    }
    if (id.empty()) {
      return connection->Write(MakeResponse(400, {{"X-Not-Executed", "1"}}));
    }
    if (!Enter()) {
      Headers headers = {{"X-Request-Id", id}, {"X-Not-Executed", "1"}};
      if (!faulty_) {
        headers.emplace_back("Retry-After", kRest);
      }
      const std::string refusal = MakeResponse(503, headers, "full");
      Sleep(kRefuseAfter);
      MaybeRepeat(connection, id, refusal);
      return connection->Write(refusal);
    }
    ledger_->Ran(id, id_);
    Sleep(kWork);
    Leave();
    const std::string answer =
        MakeResponse(200,
                     {{"X-Request-Id", id},
                      {"X-Response-Signature", "sig." + id_ + "." + id}},
                     "menu for " + id);
    MaybeRepeat(connection, id, answer);
    return connection->Write(answer);
  }

  /// Waits for a slot. Returns false if the server is full.
  bool Enter() {
    std::unique_lock<std::mutex> lock(mutex_);
    if (running_ + waiting_ >= kSlots + kQueue) {
      return false;
    }
    ++waiting_;
    free_.wait(lock, [this] { return running_ < kSlots; });
    --waiting_;
    ++running_;
    return true;
  }

  void Leave() {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    free_.notify_one();
  }

  void MaybeRepeat(Connection* connection, const std::string& id,
                   const std::string& answer) {
    if (faulty_ && repeated_.Next()) {
      connection->late_bytes() = answer;
      record_->Add("second answer to " + id + " at " + id_ + " will come late");
    }
  }

  std::string id_;
  std::string zone_;
  bool faulty_;
  Ledger* ledger_;
  Record* record_;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
  SpoiledAnswers repeated_{kExtraShare, std::random_device{}()};
  Server server_;
};

/// Sends one attempt and notes what came of it.
void SendOne(std::uint16_t port, const std::string& id, Record* record,
             Ledger* ledger) {
  record->Add("sent " + id);
  const auto answer =
      SendAttempt(port, "POST", "/menu/1", id, 1500, "prices of " + id);
  ledger->Answered(id, answer ? answer->status() : 0);
}

void RunSteadyClient(std::uint16_t port, int number, Record* record,
                     Ledger* ledger) {
  std::mt19937 random(static_cast<unsigned>(number));
  std::uniform_int_distribution<int> think(0, 2 * kThink.count());
  for (int n = 0; Now() < kLength; ++n) {
    SendOne(port, "s" + std::to_string(number) + "-" + std::to_string(n),
            record, ledger);
    Sleep(milliseconds(think(random)));
  }
}

void RunClumpedClient(std::uint16_t port, int number, Record* record,
                      Ledger* ledger) {
  std::mt19937 random(static_cast<unsigned>(number));
  std::uniform_int_distribution<int> late(0, kClumpLength);
  for (int n = 0; Now() < kLength; ++n) {
    const std::int64_t next = (Now() / kClumpInterval + 1) * kClumpInterval;
    Sleep(milliseconds(next - Now() + late(random)));
    SendOne(port, "c" + std::to_string(number) + "-" + std::to_string(n),
            record, ledger);
  }
}

[[noreturn]] void RunCase(const std::string& folder) {
  Record record(folder + "/record.txt");
  Ledger ledger(&record);
  Store store;
  std::deque<Worker> workers;
  const std::vector<std::string> zones = {"bilbao-a", "bilbao-b", "oviedo"};
  for (int n = 0; n < 3; ++n) {
    Worker& it = workers.emplace_back("i-app" + std::to_string(n), zones[n],
                                      n == 0, &ledger, &record);
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
  std::vector<std::thread> clients;
  clients.reserve(kSteadyClients + kClumpedClients);
  for (int n = 0; n < kSteadyClients; ++n) {
    clients.emplace_back(RunSteadyClient, entries[0].front(), n, &record,
                         &ledger);
  }
  for (int n = 0; n < kClumpedClients; ++n) {
    clients.emplace_back(RunClumpedClient, entries[1].front(), n, &record,
                         &ledger);
  }
  for (std::thread& it : clients) {
    it.join();
  }
  Sleep(milliseconds(2000));
  record.Add("answers that the faulty server gave twice: " +
             workers[0].Counts());
  Finish(&entries, ledger.Judge() > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(review::FolderFrom(argc, argv));
}
