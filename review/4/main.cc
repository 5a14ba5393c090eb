// Another writer puts one entry into the list of servers in which a field holds
// deeply nested lists. Each process that ends is started again.

#include "../harness/plain_service.h"

namespace review {
namespace {

constexpr std::size_t kDepth = 100'000;  ///< 200 kB; `value-bytes` is 1 MiB.
/// Pause before a process that ended is started again.
constexpr milliseconds kRestartAfter{500};
/// A machine whose processes end by themselves so often is at fault, and so
/// many such machines are a fault of the day.
constexpr int kMaxEnds = 3;
constexpr int kMachines = 2;

std::string ForeignEntry() {
  return R"({"service":)" + std::string(kDepth, '[') +
         std::string(kDepth, ']') +
         R"(,"address":"127.0.0.1:9","zone":"oviedo","version":"1.0",)"
         R"("slots":6,"state":"ready","seq":0})";
}

/// Starts ended processes again until `until`. Returns how often those of each
/// entry ended.
std::map<std::string, int> Supervise(std::deque<Entry>* entries,
                                     std::int64_t until, Record* record) {
  std::map<std::string, int> ends;
  while (Now() < until) {
    for (Entry& it : *entries) {
      if (const auto how = it.Ended()) {
        ++ends[it.name()];
        record->Add("process of " + it.name() + " ended with " +
                    std::to_string(*how));
        Sleep(kRestartAfter);
        it.Start();
      }
    }
    Sleep(milliseconds(20));
  }
  return ends;
}

[[noreturn]] void RunCase(const std::string& folder) {
  Record record(folder + "/record.txt");
  Store store;
  std::deque<Worker> workers;
  for (const char* zone : {"bilbao-a", "bilbao-b", "oviedo"}) {
    Worker& it = workers.emplace_back(std::string("i-") + zone, zone, &record);
    store.Put("servers", it.id(), it.Registration("ready"));
  }
  store.Put("config", "main", PlainConfiguration());
  std::deque<Entry> entries;
  entries.emplace_back("front-bilbao-a-1", "bilbao-a", store);
  entries.emplace_back("front-oviedo-1", "oviedo", store);
  if (!StartAll(&entries)) {
    record.Add("an entry did not get ready");
    Finish(&entries, 2);
  }
  std::deque<Clients> clients;
  for (Entry& it : entries) {
    clients.emplace_back(it.front(), it.name(), &record);
  }
  Sleep(milliseconds(6000));
  if (Trouble()) {
    store.Put("servers", "i-foreign", ForeignEntry());
    record.Add("another writer has put an entry with nested lists");
  }
  std::vector<std::pair<int, int>> before;
  before.reserve(clients.size());
  for (const Clients& it : clients) {
    before.emplace_back(it.served(), it.failed());
  }
  const auto ends = Supervise(&entries, Now() + 15000, &record);
  int served = 0;
  int failed = 0;
  for (std::size_t n = 0; n < clients.size(); ++n) {
    served += clients[n].served() - before[n].first;
    failed += clients[n].failed() - before[n].second;
  }
  clients.clear();
  int machines = 0;
  for (const auto& [name, n] : ends) {
    machines += n >= kMaxEnds ? 1 : 0;
    record.Add("processes of " + name +
               " that ended by themselves: " + std::to_string(n));
  }
  record.Add("of the requests since, served " + std::to_string(served) +
             ", not served " + std::to_string(failed));
  Finish(&entries, machines >= kMachines ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(review::FolderFrom(argc, argv));
}
