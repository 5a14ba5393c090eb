#include "tests/platform/support/platform_scene.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace indigolead::testing {

nlohmann::json MakeRoute(const std::string& name, const std::string& prefix,
                         const std::string& kind, const std::string& service) {
  return {{"name", name},     {"host", "127.0.0.1"}, {"path-prefix", prefix},
          {"kind", kind},     {"service", service},  {"timeout-ms", 5000},
          {"max-attempts", 2}};
}

nlohmann::json MakeConfiguration(std::uint64_t version) {
  auto resumable = MakeRoute("resume", "/resume/", "stream", "llm");
  resumable["can-resume"] = true;
  return {{"version", version},
          {"routes",
           {MakeRoute("menu", "/menu/", "unsafe", "app"),
            MakeRoute("desk", "/desk/", "safe", "app"),
            MakeRoute("audit", "/audit/", "stream", "llm"), resumable}},
          {"services",
           {{{"name", "app"}, {"max-conns", 100}},
            {{"name", "llm"},
             {"max-conns", 100},
             {"engine", {{"slots", 8}, {"stage-switch-s", 0.1}}}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 1048576},
            {"header-timeout-ms", 600},
            {"idle-timeout-ms", 5000}}}};
}

PlatformScene::PlatformScene(const Options& options) : options_(options) {
  for (std::size_t n = 0; n < options.engines; ++n) {
    AddWorker("e" + std::to_string(n), "llm", true,
              options.engine_versions[n % options.engine_versions.size()]);
  }
  AddWorker("a0", "app", false, "v1");
  AddWorker("a1", "app", false, "v1");
  Register();
  auto configuration = MakeConfiguration(3);
  auto& engine = configuration["services"][1]["engine"];
  engine["slots"] = options.engine_slots;
  engine["stage-switch-s"] = options.stage_change_s;
  store.Put("config", "main", configuration);
  settings_ = WriteSettings("front-1", callers_address, ready_address);
  setenv("INDIGOLEAD_BOOT", settings_.c_str(), 1);
  StartEntry();
  const bool ready = WaitUntil([&] { return Ready(); });
  INFO("the entry's output: " << entry->output());
  REQUIRE(ready);
  // An entry makes almost no retries before it knows the number of entries.
  REQUIRE(
      WaitUntil([&] { return Metric("indigolead_entries_counted") == "1"; }));
}

namespace {

/// Starts an entry process, whose settings file the environment names.
void StartProcess(const std::string& metrics_address,
                  std::optional<Process>* process) {
  const std::string port =
      metrics_address.substr(metrics_address.rfind(':') + 1);
  process->emplace(
      "indigolead",
      std::vector<std::string>{"platform-entry", "--metrics_port=" + port});
}

/// Returns the value of a counter or gauge served at `address`.
std::string MetricAt(const std::string& address, const std::string& name) {
  const std::string text = HttpCall(address, "GET", "/metrics").body;
  const auto at = text.find("\n" + name + " ");
  const auto end = text.find('\n', at + 1);
  return at == std::string::npos
             ? ""
             : text.substr(at + name.size() + 2, end - at - name.size() - 2);
}

/// Returns the port of "IP:port".
std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':') + 1);
}

}  // namespace

void PlatformScene::StartEntry() {
  setenv("INDIGOLEAD_BOOT", settings_.c_str(), 1);
  StartProcess(metrics_address, &entry);
}

void PlatformScene::FurtherEntry::Start() {
  setenv("INDIGOLEAD_BOOT", settings.c_str(), 1);
  StartProcess(metrics_address, &process);
}

bool PlatformScene::FurtherEntry::Ready() const {
  return HttpCall(ready_address, "GET", "/api/readyz").status == 200;
}

std::string PlatformScene::FurtherEntry::Metric(const std::string& name) const {
  return MetricAt(metrics_address, name);
}

void PlatformScene::AddEntry(const std::string& name) {
  FurtherEntry& added = further.emplace_back();
  added.settings =
      WriteSettings(name, added.callers_address, added.ready_address);
  added.Start();
}

bool PlatformScene::AllReady() {
  const std::string all = std::to_string(further.size() + 1);
  const auto counted = [&all](const std::string& address) {
    return MetricAt(address, "indigolead_entries_counted") == all;
  };
  return Ready() && counted(metrics_address) &&
         std::all_of(further.begin(), further.end(), [&](const auto& it) {
           return it.Ready() && counted(it.metrics_address);
         });
}

PlatformScene::~PlatformScene() {
  std::filesystem::remove(settings_);
  for (const FurtherEntry& it : further) {
    std::filesystem::remove(it.settings);
  }
}

bool PlatformScene::Ready() {
  return HttpCall(ready_address, "GET", "/api/readyz").status == 200;
}

std::string PlatformScene::Metric(const std::string& name) {
  return MetricAt(metrics_address, name);
}

HttpAnswer PlatformScene::SendTo(const std::string& address,
                                 const std::string& method,
                                 const std::string& path, const std::string& id,
                                 int deadline_ms) {
  return HttpCall(address, method, path, "prices",
                  {{"X-Request-Id", id},
                   {"X-Deadline-Ms", std::to_string(deadline_ms)},
                   {"X-Token-Usage", "100,4"},
                   {"X-Prefix-Hash", "5c:80,91:20"}},
                  std::chrono::seconds(10));
}

HttpAnswer PlatformScene::Send(const std::string& method,
                               const std::string& path, const std::string& id,
                               int deadline_ms) {
  return SendTo(callers_address, method, path, id, deadline_ms);
}

HttpAnswer PlatformScene::ResumeAt(const std::string& address,
                                   const std::string& path,
                                   const std::string& id,
                                   const std::string& resumes,
                                   int after_event) {
  std::vector<std::pair<std::string, std::string>> headers = {
      {"X-Request-Id", id},
      {"X-Deadline-Ms", "4000"},
      {"X-Token-Usage", "100,4"},
      {"X-Prefix-Hash", "5c:80,91:20"},
      {"Last-Event-Id", std::to_string(after_event)}};
  if (!resumes.empty()) {
    headers.emplace_back("Resumes", resumes);
  }
  return HttpCall(address, "POST", path, "prices", headers,
                  std::chrono::seconds(10));
}

void PlatformScene::EarnRetryBudget() {
  // Each request earns 0.14 of an arrival, and a retry at an engine costs two.
  constexpr int kRequests = 16;
  for (int n = 0; n < kRequests; ++n) {
    const std::string id = "earns-" + std::to_string(n);
    REQUIRE(Send("GET", "/desk/1", id).status == 200);
    REQUIRE(Send("POST", "/audit/1", id).status == 200);
  }
}

HttpAnswer PlatformScene::SendWithKey(const std::string& key,
                                      const std::string& method,
                                      const std::string& path,
                                      const std::string& id) {
  return HttpCall(callers_address, method, path, "prices",
                  {{"X-Request-Id", id},
                   {"X-Deadline-Ms", "4000"},
                   {"X-Token-Usage", "100,4"},
                   {"X-Prefix-Hash", "5c:80,91:20"},
                   {"Authorization", "Bearer " + key}},
                  std::chrono::seconds(10));
}

std::vector<std::string> PlatformScene::Accounts(const std::string& id) {
  std::vector<std::string> accounts;
  for (ModelWorker& it : workers) {
    const auto told = it.accounts(id);
    accounts.insert(accounts.end(), told.begin(), told.end());
  }
  return accounts;
}

int PlatformScene::ArrivalsWithKey() {
  int n = 0;
  for (ModelWorker& it : workers) {
    n += it.arrivals_with_key();
  }
  return n;
}

ModelWorker& PlatformScene::AddEngine(const std::string& id,
                                      const std::string& software_version,
                                      const std::string& stage) {
  AddWorker(id, "llm", true, software_version, stage);
  return workers.back();
}

void PlatformScene::Deregister(const ModelWorker& worker) {
  store.Remove("servers", ids_.at(&worker));
}

void PlatformScene::Register() {
  for (ModelWorker& it : workers) {
    if (it.down()) {
      continue;
    }
    const auto now = it.Registration();
    const std::string id = it.id();
    if (const std::string before = std::exchange(ids_[&it], id); before != id) {
      store.Remove("servers", before);
    }
    if (store.Get("servers", id) != now) {
      store.Put("servers", id, now);
    }
  }
}

void PlatformScene::RegisterStages() {
  const auto told = [this](const std::string& id) {
    const std::string text = entry->output();
    const std::string line = "target-changed target=" + id + " ";
    std::size_t n = 0;
    for (auto at = text.find(line); at != std::string::npos;
         at = text.find(line, at + 1)) {
      ++n;
    }
    return n;
  };
  std::map<std::string, std::size_t> awaited;
  for (ModelWorker& it : workers) {
    const std::string id = ids_[&it];
    if (store.Get("servers", id) != it.Registration()) {
      awaited[id] = told(id) + 1;
    }
  }
  Register();
  REQUIRE(WaitUntil([&] {
    return std::all_of(awaited.begin(), awaited.end(), [&](const auto& it) {
      return told(it.first) >= it.second;
    });
  }));
}

void PlatformScene::SetBehaviour(ModelWorker::Behaviour behaviour) {
  for (ModelWorker& it : workers) {
    it.SetBehaviour(behaviour);
  }
}

ModelWorker& PlatformScene::worker(const std::string& id) {
  const auto it = std::find_if(
      workers.begin(), workers.end(),
      [&](const ModelWorker& worker) { return ids_.at(&worker) == id; });
  REQUIRE(it != workers.end());
  return *it;
}

int PlatformScene::Prefills() {
  int n = 0;
  for (ModelWorker& it : workers) {
    n += it.prefills();
  }
  return n;
}

int PlatformScene::Runs(const std::string& id) {
  int n = 0;
  for (ModelWorker& it : workers) {
    n += it.runs(id);
  }
  return n;
}

int PlatformScene::EnginesInStage(const std::string& stage) {
  int n = 0;
  for (ModelWorker& it : workers) {
    n += it.Registration().value("stage", "") == stage ? 1 : 0;
  }
  return n;
}

void PlatformScene::AddWorker(const std::string& id, const std::string& service,
                              bool is_engine,
                              const std::string& software_version,
                              const std::string& stage) {
  ModelWorker::Options options;
  options.id = id;
  options.service = service;
  options.failure_domain = is_engine ? NextEngineDomain() : "bilbao-a";
  options.is_engine = is_engine;
  options.events = options_.engine_events;
  options.slots = is_engine ? options_.engine_slots : options.slots;
  options.software_version = software_version;
  options.stage = stage;
  engines_added_ += is_engine ? 1 : 0;
  workers.emplace_back(options);
  ids_[&workers.back()] = id;
}

const std::string& PlatformScene::NextEngineDomain() const {
  const std::vector<std::string>& domains = options_.engine_domains;
  return domains[engines_added_ % domains.size()];
}

std::string PlatformScene::WriteSettings(const std::string& name,
                                         const std::string& callers,
                                         const std::string& ready) {
  std::string path =
      (std::filesystem::temp_directory_path() /
       ("indigolead-settings-" + std::to_string(getpid()) + "-" + name))
          .string();
  const bool apart = options_.entry_apart && name == "front-1";
  std::ofstream out(path);
  out << "node=" << name
      << "\nzone=bilbao-a\nregion=norte\nlisten.front=" << callers
      << "\nlisten.ready=" << ready << "\nplatform.address="
      << (apart ? own_store_relay : store_relay).address()
      << "\nip=127.0.0.1\nport-range="
      << (apart ? std::to_string(messages_port_.local_endpoint().port())
                : PortOf(ReserveAddress()))
      << "\nlimits.max-fds=" << options_.max_descriptors
      << "\nbounds.grace-s=8\nbounds.lease-ms=500\n"
         "bounds.contact-ms=3000\nbounds.retry-budget-ratio=0.2\n"
         "bounds.retry-slack="
      << options_.retry_slack << "\n";
  if (options_.first_start) {
    out << "bootstrap=true\n";
  }
  if (options_.reports_usage && name == "front-1") {
    out << "cloud.address=" << usage.address()
        << "\ncloud.duties=usage_report\nbounds.report-window-s=1\n"
           "bounds.usage-late-s=4\n";
  }
  return path;
}

}  // namespace indigolead::testing
