// A worker's 503 without X-Not-Executed must not reach the caller of an unsafe
// request as the promise that the request has not run.

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

constexpr int kWorkers = 7;  // One of them, a share of 0.143, is grey.
constexpr int kGreyWorker = 3;
constexpr int kFailedOf = 20;  // It fails 9 of 20 requests: x = 0.45.
constexpr int kFailed = 9;
constexpr auto kGreyTime = std::chrono::milliseconds(6500);
constexpr int kClients = 10;
constexpr Milliseconds kWorkTime{30};

/// What the orders' service has carried out.
class Orders {
 public:
  void Apply(const std::string& order, const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++applied_[order];
    ran_.insert(request);
  }
  bool Ran(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ran_.count(request) > 0;
  }
  int AppliedTwice() {
    const std::lock_guard<std::mutex> lock(mutex_);
    int n = 0;
    for (const auto& [order, times] : applied_) {
      n += times > 1 ? 1 : 0;
    }
    return n;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> applied_;
  std::set<std::string> ran_;
};

/// Sends one attempt of an order and returns the status; 0 if there is none.
int SendOrder(const Entry& entry, const std::string& id,
              const std::string& order, Record* record) {
  Connection client(entry.address());
  record->Line("client sends " + id + " with " + order);
  client.Write(FormatRequest("POST", "/menu/order",
                             {{"Host", "shop.example"},
                              {"X-Request-Id", id},
                              {"X-Deadline-Ms", "1500"}},
                             order));
  const auto response = client.ReadResponse(Milliseconds(2000));
  const int status = response ? response->status : 0;
  record->Line("client gets " + std::to_string(status) + " for " + id);
  return status;
}

int Run(const std::string& record_path) {
  Record record(record_path);
  Store store;
  Orders orders;
  std::atomic<bool> grey = false;
  std::atomic<int> taken = 0;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kWorkers; ++n) {
    workers.push_back(std::make_unique<Worker>(
        "worker-" + std::to_string(n), "app", &record,
        [&, n](Connection& connection, const Request& request) {
          const std::string id = request.Get("X-Request-Id");
          std::this_thread::sleep_for(kWorkTime);
          orders.Apply(request.body, id);
          const bool fails =
              n == kGreyWorker && grey && taken++ % kFailedOf < kFailed;
          if (fails) {
            record.Line("worker " + std::to_string(n) + " has run " + id +
                        " and fails it with 503");
          }
          connection.Write(FormatResponse(
              fails ? 503 : 200,
              {{"X-Request-Id", id}, {"X-Response-Signature", "signed"}},
              fails ? "failed" : "done"));
        }));
    store.Put("servers", workers.back()->id(), workers.back()->Registration());
  }
  store.Put("config", "main",
            MakeConfiguration({MakeRoute("menu", "/menu/", "unsafe", "app")},
                              {"app"}, 16384));
  Entry entry("front-1", "127.0.0.1", store.address());
  entry.AwaitReady();

  grey = HasTrouble();
  std::atomic<int> untrue = 0;
  const auto end = std::chrono::steady_clock::now() + kGreyTime;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      for (int k = 0; std::chrono::steady_clock::now() < end; ++k) {
        const std::string order =
            "order-" + std::to_string(n) + "-" + std::to_string(k);
        const std::string id = "try-1-of-" + order;
        const int status = SendOrder(entry, id, order, &record);
        if (status != 503 && status != 429) {
          continue;
        }
        if (orders.Ran(id)) {
          ++untrue;
          record.Line("BROKEN: " + id + " was answered " +
                      std::to_string(status) + " and has run");
        }
        // The answer promises that it has not run, so the client may retry.
        SendOrder(entry, "try-2-of-" + order, order, &record);
      }
    });
  }
  for (std::thread& it : clients) {
    it.join();
  }
  record.Line(std::to_string(untrue) +
              " unsafe requests were answered 503 and had run; " +
              std::to_string(orders.AppliedTwice()) +
              " orders were applied twice");
  return untrue > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
