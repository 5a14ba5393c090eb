#include "scene.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr char kObjects[] = "/api/objects/";
/// "About 500" objects are on one page of a list.
constexpr std::size_t kPage = 500;
constexpr std::uint64_t kMaxWaitMs = 30'000;

/// Returns a parameter of the query; empty if absent.
std::string Query(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) {
    return "";
  }
  const std::string text = "&" + target.substr(query + 1);
  const auto at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + name.size() + 2;
  return text.substr(begin, text.find('&', begin) - begin);
}

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  return std::strtoull(Query(target, name).c_str(), nullptr, 10);
}

}  // namespace

Store::Store() : server_([this](Connection& it) { Serve(it); }) {}

Store::~Store() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

void Store::Put(const std::string& kind, const std::string& name,
                const Json& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Object& object = kinds_[kind][name];
  object.spec = spec;
  Announce(kind, name, &object);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto node = kinds_[kind].extract(name);
  if (!node.empty()) {
    events_.push_back({++revision_, kind, Render(name, node.mapped()), true});
    changed_.notify_all();
  }
}

std::size_t Store::Count(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return kinds_[kind].size();
}

void Store::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

bool Store::IsDown() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return down_;
}

Json Store::Render(const std::string& name, const Object& object) const {
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created-at", 1},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", object.status}};
}

void Store::Announce(const std::string& kind, const std::string& name,
                     Object* object) {
  object->revision = ++revision_;
  events_.push_back({revision_, kind, Render(name, *object), false});
  changed_.notify_all();
}

Json Store::EventsSince(const std::string& kind, std::uint64_t revision) const {
  Json events = Json::array();
  for (const Event& it : events_) {
    if (it.kind == kind && it.revision > revision) {
      events.push_back({{"deleted", it.deleted}, {"object", it.object}});
    }
  }
  return events;
}

void Store::Serve(Connection& connection) {
  Request request;
  while (connection.ReadRequest(&request)) {
    const Reply reply = IsDown() ? Reply{503, nullptr} : Handle(request);
    const std::string body = reply.body.is_null() ? "" : reply.body.dump();
    if (!connection.Write(FormatResponse(
            reply.status, {{"Content-Type", "application/json"}}, body))) {
      return;
    }
  }
}

Store::Reply Store::Handle(const Request& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path.rfind(kObjects, 0) != 0) {
    return {404, nullptr};
  }
  const std::string rest = path.substr(sizeof(kObjects) - 1);
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method == "GET" && !Query(request.target, "watch").empty()) {
    return Watch(kind, request.target);
  }
  if (request.method == "GET" && name.empty()) {
    return List(kind, request.target);
  }
  if (request.method == "DELETE") {
    return Delete(kind, name, request.target);
  }
  if (request.method == "GET") {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = kinds_[kind].find(name);
    return it == kinds_[kind].end() ? Reply{404, nullptr}
                                    : Reply{200, Render(name, it->second)};
  }
  const auto status = name.find("/status");
  if (status != std::string::npos) {
    return WriteStatus(kind, name.substr(0, status), request);
  }
  return Write(kind, name, request);
}

Store::Reply Store::List(const std::string& kind, const std::string& target) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json items = Json::array();
  bool more = false;
  const std::string after = Query(target, "after");
  for (const auto& [name, object] : kinds_[kind]) {
    if (name <= after) {
      continue;
    }
    more = items.size() == kPage;
    if (more) {
      break;
    }
    items.push_back(Render(name, object));
  }
  return {200, {{"items", items}, {"has-more", more}, {"at", revision_}}};
}

Store::Reply Store::Watch(const std::string& kind, const std::string& target) {
  const std::uint64_t from = QueryNumber(target, "watch");
  const auto until =
      std::chrono::steady_clock::now() +
      Milliseconds(std::min(QueryNumber(target, "wait-ms"), kMaxWaitMs));
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_until(lock, until, [&] {
    return stopped_ || down_ || !EventsSince(kind, from).empty();
  });
  if (down_) {
    return {503, nullptr};
  }
  return {200, {{"events", EventsSince(kind, from)}, {"at", revision_}}};
}

Store::Reply Store::Write(const std::string& kind, const std::string& name,
                          const Request& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata")) {
    return {400, nullptr};
  }
  const Json& metadata = body.at("metadata");
  const bool creates = request.method == "POST";
  const std::string key =
      creates ? metadata.at("name").get<std::string>() : name;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto held = kinds_[kind].find(key);
  const bool exists = held != kinds_[kind].end();
  const std::uint64_t expected = metadata.value("revision", std::uint64_t{0});
  if (!creates && !exists) {
    return {404, nullptr};
  }
  const bool conflicts =
      exists &&
      (creates || (expected != 0 && expected != held->second.revision));
  if (conflicts) {
    return {409, Render(key, held->second)};
  }
  Object& object = kinds_[kind][key];
  object.spec = body.value("spec", Json());
  Announce(kind, key, &object);
  return {creates ? 201 : 200, Render(key, object)};
}

Store::Reply Store::WriteStatus(const std::string& kind,
                                const std::string& name,
                                const Request& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto held = kinds_[kind].find(name);
  if (held == kinds_[kind].end()) {
    return {404, nullptr};
  }
  if (!body.is_object() || !body.contains("status")) {
    return {400, nullptr};
  }
  if (held->second.status != body.at("status")) {
    held->second.status = body.at("status");
    Announce(kind, name, &held->second);
  }
  return {200, Render(name, held->second)};
}

Store::Reply Store::Delete(const std::string& kind, const std::string& name,
                           const std::string& target) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto held = kinds_[kind].find(name);
  if (held == kinds_[kind].end()) {
    return {404, nullptr};
  }
  const std::uint64_t expected = QueryNumber(target, "revision");
  const Json rendered = Render(name, held->second);
  if (expected != 0 && expected != held->second.revision) {
    return {409, rendered};
  }
  kinds_[kind].erase(held);
  events_.push_back({++revision_, kind, rendered, true});
  changed_.notify_all();
  return {200, rendered};
}

Worker::Worker(std::string id, std::string service, Record* record,
               Answer answer)
    : id_(std::move(id)),
      service_(std::move(service)),
      record_(record),
      answer_(std::move(answer)),
      server_([this](Connection& it) { Serve(it); }) {}

Json Worker::Registration() const {
  return {{"service", service_},
          {"address", server_.address()},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 6},
          {"state", "ready"},
          {"cold-remaining-ms", 0},
          {"seq", 1}};
}

std::map<std::string, int> Worker::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

Headers Worker::AnswerHeaders(const Request& request) const {
  return {{"X-Request-Id", request.Get("X-Request-Id")},
          {"X-Response-Signature", "signed-" + id_}};
}

void Worker::Serve(Connection& connection) {
  Request request;
  while (connection.ReadRequest(&request)) {
    const std::string id = request.Get("X-Request-Id");
    const std::string expected = request.Get("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      connection.Write(FormatResponse(
          421, {{"X-Request-Id", id}, {"X-Instance-Id", id_}}, ""));
      continue;
    }
    if (id.empty()) {
      connection.Write(FormatResponse(400, {{"X-Not-Executed", "1"}}, ""));
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++runs_[id];
    }
    record_->Line("worker " + id_ + " runs " + request.method + " " +
                  request.target + " id " + id);
    answer_(connection, request);
    if (!connection.open()) {
      return;
    }
  }
}

Json MakeRoute(const std::string& name, const std::string& prefix,
               const std::string& kind, const std::string& service) {
  return {{"name", name},
          {"host", "shop.example"},
          {"path-prefix", prefix},
          {"kind", kind},
          {"timeout-ms", 1500},
          {"target-latency-ms", 150},
          {"priority", 0},
          {"service", service},
          {"max-attempts", kind == "safe" ? 2 : 1},
          {"sticky", false},
          {"can-resume", false}};
}

Json MakeResumableRoute(const std::string& name, const std::string& prefix,
                        const std::string& service) {
  Json route = MakeRoute(name, prefix, "stream", service);
  route["can-resume"] = true;
  route["max-attempts"] = 2;
  route["timeout-ms"] = 8000;
  route["target-gap-ms"] = 300;
  return route;
}

Json MakeConfiguration(const std::vector<Json>& routes,
                       const std::vector<std::string>& services,
                       std::uint64_t max_header_bytes) {
  Json listed = Json::array();
  for (const std::string& it : services) {
    listed.push_back({{"name", it},
                      {"health-path", "/healthz"},
                      {"max-conns", 170},
                      {"protocol", "h1"},
                      {"tls", false}});
  }
  return {{"version", 7},
          {"routes", routes},
          {"services", listed},
          {"limits",
           {{"max-header-bytes", max_header_bytes},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

Entry::Entry(std::string name, std::string ip, std::string store_address)
    : name_(std::move(name)),
      ip_(std::move(ip)),
      store_address_(std::move(store_address)),
      callers_address_(FreeAddress(ip_)),
      ready_address_(FreeAddress(ip_)) {
  std::string folder =
      std::filesystem::temp_directory_path() / ("review-" + name_ + "-XXXXXX");
  if (mkdtemp(folder.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  folder_ = folder;
  const std::string range = FreeAddress(ip_);
  first_port_ = std::stoi(range.substr(range.rfind(':') + 1));
  Start();
}

void Entry::WriteSettings(bool first_start) const {
  std::ofstream(folder_ + "/settings.conf")
      << "node=" << name_ << "\nrole=entry\nmachine-class=front\n"
      << "serves=front\nip=" << ip_
      << "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
      << "listen.front=" << callers_address_
      << "\nlisten.ready=" << ready_address_ << "\nport-range=" << first_port_
      << "," << first_port_ + 1
      << "\nbootstrap=" << (first_start ? "true" : "false")
      << "\ncounts-as-loss=false\nlimits.cpu-share=0.19\n"
         "limits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\n"
         "limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\n"
         "entry=vip\nheartbeat-ms=1200\n"
         "contracts=base,drain,config,cost,retry,recover,split,stream,engine,"
         "platform\n"
         "bounds.addr-reuse-s=2\nbounds.contact-ms=3000\nbounds.ack-ms=4000\n"
         "bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n"
         "bounds.loss-slack-ms=200\nbounds.config-deadline-ms=2000\n"
         "bounds.back-ms=250\nbounds.max-skew-ms=5000\n"
         "bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n"
         "bounds.retry-slack=54\nbounds.recovery-s=12\n"
         "bounds.lease-ms=3000\nbounds.thaw-slack-ms=300\n"
         "bounds.require-fence=false\n"
      << "platform.address=" << store_address_
      << "\nplatform.form=objects\nplatform.writes-per-s=400\n"
         "platform.reads-per-s=2000\nplatform.history-s=20\n"
         "platform.value-bytes=1048576\nplatform.min-ttl-ms=1000\n";
}

void Entry::Start() {
  WriteSettings(!std::exchange(started_, true));
  const std::string settings = folder_ + "/settings.conf";
  const std::string log = folder_ + "/log.txt";
  setenv("INDIGOLEAD_BOOT", settings.c_str(), 1);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    // The entry must not outlive a case that is ended from outside.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl("target/indigolead", "target/indigolead", "platform-entry",
          "--metrics_port=9464", "--share_queues", static_cast<char*>(nullptr));
    _exit(127);
  }
}

void Entry::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
  }
}

double Entry::MemoryMb() const {
  constexpr char kResident[] = "VmRSS:";
  constexpr double kKbPerMb = 1024;
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(kResident, 0) == 0) {
      return std::atof(line.c_str() + sizeof(kResident) - 1) / kKbPerMb;
    }
  }
  return 0;
}

Entry::~Entry() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    std::fprintf(stderr, "log: %s/log.txt\n", folder_.c_str());
  }
}

bool Entry::Ready() const {
  Connection probe(ready_address_);
  if (!probe.open() || !probe.Write(FormatRequest("GET", "/api/readyz",
                                                  {{"Host", "ready"}}, ""))) {
    return false;
  }
  const auto response = probe.ReadResponse(Milliseconds(1000));
  return response && response->status == 200;
}

void Entry::AwaitReady() const {
  for (int n = 0; n < 200; ++n) {
    if (Ready()) {
      return;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  std::fprintf(stderr, "the entry does not become ready\n");
  std::exit(2);
}

bool Entry::Ended(std::string* how) {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  pid_ = -1;
  *how = WIFSIGNALED(status)
             ? "ended by signal " + std::to_string(WTERMSIG(status)) + " (" +
                   strsignal(WTERMSIG(status)) + ")"
             : "exited with " + std::to_string(WEXITSTATUS(status));
  return true;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

}  // namespace review
