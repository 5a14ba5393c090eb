// A request whose head is within the operator's limit must not end the entry.

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../harness-2/scene.h"

namespace review {
namespace {

constexpr std::uint64_t kMaxHeaderBytes = 131072;
constexpr std::size_t kLongHeaderBytes = 70000;
constexpr std::size_t kShortHeaderBytes = 12000;
constexpr int kEntries = 2;
constexpr int kRounds = 4;
constexpr int kClientsOfEntry = 6;
constexpr Milliseconds kWorkTime{300};
/// Longer than contact-ms, so that the machines are in touch in each round.
constexpr Milliseconds kRoundTime{3500};
/// The rule's bound on requests from kept connections that were passed on and
/// whose connection was closed without an answer.
constexpr int kMaxLost = 3;
/// The rule's bound on ends of a process by itself.
constexpr int kMaxEnds = 2;

/// Ids of the requests that workers have begun to run.
class Runs {
 public:
  void Add(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ids_.insert(id);
  }
  bool Has(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ids_.count(id) > 0;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};

/// Returns true if the process ends within half a second, and says how.
bool EndsSoon(Entry* entry, std::string* how) {
  for (int n = 0; n < 10; ++n) {
    if (entry->Ended(how)) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

/// Sends requests one after the other on kept connections until `stop`, and
/// counts those that a worker ran and whose connection ended unanswered.
void SendOnKeptConnections(const std::string& address, const std::string& name,
                           const std::atomic<bool>& stop, Runs* runs,
                           std::atomic<int>* lost, Record* record) {
  int number = 0;
  while (!stop) {
    Connection client(address);
    if (!client.open()) {
      std::this_thread::sleep_for(Milliseconds(50));
      continue;
    }
    for (bool first = true; !stop; first = false) {
      const std::string id = name + "-" + std::to_string(number++);
      client.Write(FormatRequest("POST", "/menu/order",
                                 {{"Host", "shop.example"},
                                  {"X-Request-Id", id},
                                  {"X-Deadline-Ms", "1500"}},
                                 "order"));
      const auto response = client.ReadResponse(Milliseconds(2000));
      if (response) {
        continue;
      }
      if (!first && runs->Has(id)) {
        ++*lost;
        record->Line("LOST: " + id +
                     " ran, and its kept connection ended without an answer");
      }
      break;
    }
  }
}

int Run(const std::string& record_path) {
  Record record(record_path);
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < 4; ++n) {
    workers.push_back(std::make_unique<Worker>(
        "worker-" + std::to_string(n), "app", &record,
        [&runs](Connection& connection, const Request& request) {
          const std::string id = request.Get("X-Request-Id");
          runs.Add(id);
          std::this_thread::sleep_for(kWorkTime);
          connection.Write(FormatResponse(
              200, {{"X-Request-Id", id}, {"X-Response-Signature", "signed"}},
              "done"));
        }));
    store.Put("servers", workers.back()->id(), workers.back()->Registration());
  }
  store.Put("config", "main",
            MakeConfiguration({MakeRoute("menu", "/menu/", "unsafe", "app"),
                               MakeRoute("desk", "/desk/", "safe", "app")},
                              {"app"}, kMaxHeaderBytes));
  std::vector<std::unique_ptr<Entry>> entries;
  for (int n = 1; n <= kEntries; ++n) {
    entries.push_back(std::make_unique<Entry>("front-" + std::to_string(n),
                                              "127.0.0." + std::to_string(n),
                                              store.address()));
  }
  std::atomic<bool> stop = false;
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (const auto& entry : entries) {
    entry->AwaitReady();
    for (int n = 0; n < kClientsOfEntry; ++n) {
      clients.emplace_back(
          [&, n, address = entry->address(), name = entry->name()] {
            SendOnKeptConnections(address, name + "-" + std::to_string(n), stop,
                                  &runs, &lost, &record);
          });
    }
  }

  std::map<std::string, int> ends;
  const std::size_t bytes = HasTrouble() ? kLongHeaderBytes : kShortHeaderBytes;
  for (int round = 0; round < kRounds; ++round) {
    std::this_thread::sleep_for(kRoundTime);
    for (const auto& entry : entries) {
      const std::string id = "long-" + entry->name() + std::to_string(round);
      record.Line("client sends " + id + " with a header of " +
                  std::to_string(bytes) + " bytes; the limit is " +
                  std::to_string(kMaxHeaderBytes));
      Connection client(entry->address());
      client.Write(FormatRequest("GET", "/desk/screen",
                                 {{"Host", "shop.example"},
                                  {"X-Request-Id", id},
                                  {"X-Deadline-Ms", "1500"},
                                  {"X-Note", std::string(bytes, 'n')}},
                                 ""));
      const auto response = client.ReadResponse(Milliseconds(1000));
      record.Line("client gets " +
                  (response ? std::to_string(response->status) : "no answer") +
                  " for " + id);
      std::string how;
      if (EndsSoon(entry.get(), &how)) {
        ++ends[entry->name()];
        record.Line("process " + entry->name() + " " + how +
                    "; the platform starts it again");
        entry->Start();
        entry->AwaitReady();
      }
    }
  }
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }

  int entries_ended = 0;
  for (const auto& [name, n] : ends) {
    record.Line("process " + name + " ended by itself " + std::to_string(n) +
                " times");
    entries_ended += n > kMaxEnds ? 1 : 0;
  }
  record.Line(std::to_string(lost) +
              " requests were passed on from kept connections that ended "
              "without an answer");
  return lost > kMaxLost || entries_ended >= kEntries ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
