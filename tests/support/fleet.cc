#include "tests/support/fleet.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace indigolead::testing {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr char kApiKey[] = "example-key-gran-via";
constexpr auto kTestTimeout = std::chrono::seconds(60);
constexpr const char* kDomains[] = {"bilbao-a", "bilbao-b", "oviedo"};

const char* DomainOf(std::size_t n) { return kDomains[n % 3]; }

std::string CompletionBody(const std::string& prompt, bool stream,
                           int max_tokens) {
  return Json{{"model", "tarifa"},
              {"prompt", prompt},
              {"stream", stream},
              {"max_tokens", max_tokens}}
      .dump();
}

std::string WordAfter(const std::string& line, const std::string& name) {
  const std::size_t at = line.find(name);
  if (at == std::string::npos) {
    throw std::runtime_error("expected " + name + " in '" + line + "'");
  }
  const std::size_t begin = at + name.size();
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  std::string pattern = fs::temp_directory_path() / "indigolead-fleet-XXXXXX";
  folder_ = mkdtemp(pattern.data());
  platform_ = std::make_unique<Process>("indigolead-standin",
                                        std::vector<std::string>{"platform"});
  store_address_ = platform_->WaitForAddress();
  for (std::size_t n = 0; n < options.entries; ++n) {
    StartEntry(n);
  }
  std::vector<std::string> engine_flags = {"--model=tarifa",
                                           "--model_version=3"};
  engine_flags.insert(engine_flags.end(), options.engine_flags.begin(),
                      options.engine_flags.end());
  for (std::size_t n = 0; n < options.engines; ++n) {
    StartTarget("engine", n, engine_flags);
  }
  for (std::size_t n = 0; n < options.services; ++n) {
    StartTarget("service", n, {});
  }
  Apply();
  for (std::size_t n = 0; n < options.entries; ++n) {
    if (!WaitUntilServing(n)) {
      throw std::runtime_error("expected entry " + std::to_string(n) +
                               " to serve; its output:\n" + entry(n).output() +
                               "\nstatus: " + StatusOf(n));
    }
  }
}

Fleet::~Fleet() {
  entries_.clear();
  targets_.clear();
  platform_.reset();
  std::error_code ec;
  fs::remove_all(folder_, ec);
}

HttpAnswer Fleet::Call(std::size_t n, const std::string& method,
                       const std::string& path, const std::string& body,
                       std::vector<std::pair<std::string, std::string>> headers,
                       std::chrono::milliseconds at_most) {
  headers.emplace_back("Authorization", std::string("Bearer ") + kApiKey);
  if (!body.empty()) {
    headers.emplace_back("Content-Type", "application/json");
  }
  return HttpCall(entry_http(n), method, path, body, headers, at_most);
}

HttpAnswer Fleet::Complete(std::size_t n, const std::string& prompt,
                           const std::string& key, bool stream,
                           int max_tokens) {
  std::vector<std::pair<std::string, std::string>> headers;
  if (!key.empty()) {
    headers.emplace_back("Idempotency-Key", key);
  }
  return Call(n, "POST", "/v1/completions",
              CompletionBody(prompt, stream, max_tokens), std::move(headers));
}

std::size_t Fleet::RunsWithKey(const std::string& key) {
  std::size_t runs = 0;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    runs += CountRuns(n, [&key](const Json& run) {
      return run.at("idempotency_key") == key;
    });
  }
  return runs;
}

std::size_t Fleet::AbortedRuns() {
  std::size_t cut = 0;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    cut +=
        CountRuns(n, [](const Json& run) { return run.value("cut", false); });
  }
  return cut;
}

std::size_t Fleet::RunsAt(std::size_t n) {
  return CountRuns(n, [](const Json&) { return true; });
}

std::size_t Fleet::RunningAt(std::size_t n) {
  return CountRuns(
      n, [](const Json& run) { return !run.value("finished", true); });
}

std::size_t Fleet::CountRuns(
    std::size_t n, const std::function<bool(const nlohmann::json&)>& counts) {
  TargetPair& it = targets_.at(n);
  if (!it.target->running()) {
    return 0;
  }
  const HttpAnswer answer = HttpCall(it.address, "GET", "/standin/runs");
  if (answer.status != 200) {
    return 0;
  }
  const Json runs = Json::parse(answer.body).at("runs");
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), counts));
}

std::string Fleet::StatusOf(std::size_t n) {
  return HttpCall(entry_http(n), "GET", "/admin/status").body;
}

bool Fleet::WaitUntilServing(std::size_t n) {
  return WaitUntil(
      [&] {
        const bool models =
            options_.engines == 0 || Complete(n, "ready?").status == 200;
        const bool services = options_.services == 0 ||
                              Call(n, "GET", "/salon/menu").status == 200;
        return models && services;
      },
      kTestTimeout);
}

void Fleet::RestartEngine(std::size_t n) {
  TargetPair& it = targets_.at(n);
  it.target.reset();
  it.target = std::make_unique<Process>("indigolead-standin", it.arguments);
  it.target->WaitForAddress();
}

void Fleet::RestartSide(std::size_t n) {
  TargetPair& it = targets_.at(n);
  it.side.reset();
  it.side = std::make_unique<Process>(
      "indigolead",
      std::vector<std::string>{"side", "--settings=" + it.settings_file});
  it.side->WaitForLine("listening ");
}

void Fleet::RestartEntry(std::size_t n) {
  EntryHandle& it = entries_.at(n);
  it.process.reset();
  it.process = std::make_unique<Process>(
      "indigolead",
      std::vector<std::string>{"entry", "--settings=" + it.settings_file});
  it.process->WaitForLine("listening ");
}

void Fleet::SetPlatformFaults(const std::string& json) {
  HttpCall(store_address_, "PUT", "/standin/faults", json);
}

void Fleet::SetInstanceState(const std::string& name,
                             const std::string& state) {
  for (const auto& [it, record] : records_) {
    if (it == name) {
      Json changed = Json::parse(record);
      changed["state"] = state;
      HttpCall(store_address_, "PUT", "/standin/instances", changed.dump());
    }
  }
}

void Fleet::StartTarget(const std::string& kind, std::size_t n,
                        const std::vector<std::string>& flags) {
  TargetPair it;
  it.name = kind + "-" + std::to_string(n);
  it.arguments = {kind};
  it.arguments.insert(it.arguments.end(), flags.begin(), flags.end());
  it.target = std::make_unique<Process>("indigolead-standin", it.arguments);
  it.address = it.target->WaitForAddress();
  // A restarted target must reuse the address that its side connects to.
  it.arguments.push_back("--port=" +
                         it.address.substr(it.address.find(':') + 1));
  std::string seeds;
  for (const EntryHandle& entry : entries_) {
    seeds += (seeds.empty() ? "" : ", ") + entry.link;
  }
  const bool engine = kind == "engine";
  it.settings_file = WriteSettings(
      it.name,
      "[instance]\nname = " + it.name + "\nfailure_domain = " + DomainOf(n) +
          "\nregion = norte\n[store]\naddress = " + store_address_ +
          "\n[side]\ndeployment = " + (engine ? "tarifa-llm" : "salon-app") +
          "\ntarget_kind = " + kind + "\ntarget_address = " + it.address +
          "\n[links]\nseeds = " + seeds + "\n");
  targets_.push_back(std::move(it));
  RestartSide(targets_.size() - 1);
  Register(targets_.back().name, "target", DomainOf(n), "", "live");
}

void Fleet::StartEntry(std::size_t n) {
  EntryHandle it;
  it.name = "entry-" + std::to_string(n);
  it.settings_file = WriteSettings(
      it.name, "[instance]\nname = " + it.name +
                   "\nfailure_domain = " + DomainOf(n) +
                   "\nregion = norte\n[store]\naddress = " + store_address_ +
                   "\n[entry]\n[links]\n");
  it.process = std::make_unique<Process>(
      "indigolead",
      std::vector<std::string>{"entry", "--settings=" + it.settings_file});
  const std::string line = it.process->WaitForLine("listening ");
  it.http = WordAfter(line, "http=");
  it.link = WordAfter(line, "link=");
  // The entry keeps the addresses that the system picked, so that its peers
  // find it again after a restart.
  it.settings_file = WriteSettings(
      it.name, "[instance]\nname = " + it.name + "\nfailure_domain = " +
                   DomainOf(n) + "\nregion = norte\nlink_address = " + it.link +
                   "\n[store]\naddress = " + store_address_ +
                   "\n[entry]\nhttp_address = " + it.http + "\n[links]\n");
  Register(it.name, "entry", DomainOf(n), it.link, "live");
  entries_.push_back(std::move(it));
}

void Fleet::Apply() {
  const fs::path source =
      fs::path(INDIGOLEAD_SOURCE_DIR) / "examples" / "unas-del-norte";
  const fs::path copy = folder_ / "declarations";
  fs::copy(source, copy, fs::copy_options::recursive);
  Process apply("indigolead",
                {"apply", "--store=" + store_address_, "--author=test",
                 "--note=fleet of a test", copy.string()});
  const auto code = apply.WaitForExit(kTestTimeout);
  if (code != 0) {
    throw std::runtime_error("expected apply to exit with 0; output:\n" +
                             apply.output());
  }
}

std::string Fleet::WriteSettings(const std::string& name,
                                 const std::string& text) {
  const fs::path file = folder_ / (name + ".ini");
  std::ofstream(file) << text << options_.extra_settings;
  return file.string();
}

void Fleet::Register(const std::string& name, const std::string& kind,
                     const std::string& domain, const std::string& link,
                     const std::string& state) {
  const std::string record = Json{{"name", name},
                                  {"kind", kind},
                                  {"failure_domain", domain},
                                  {"region", "norte"},
                                  {"link_address", link},
                                  {"state", state}}
                                 .dump();
  HttpCall(store_address_, "PUT", "/standin/instances", record);
  records_.emplace_back(name, record);
}

}  // namespace indigolead::testing
