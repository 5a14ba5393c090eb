#ifndef INDIGOLEAD_REVIEW_HARNESS_SCENE_H_
#define INDIGOLEAD_REVIEW_HARNESS_SCENE_H_

// What the review cases share: the record, the platform's store, entries as
// separate processes, and clients.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

using Json = nlohmann::json;
using std::chrono::milliseconds;

inline void Sleep(milliseconds length) { std::this_thread::sleep_for(length); }

/// Milliseconds since the program started.
inline std::int64_t Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

/// Returns false if the run is the one without the disruption.
inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// File `record.txt`: a line for each thing sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}

  void Add(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << Now() << " " << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// The platform's store: objects by kind and name, conditional writes, and
/// watches that wait. A `spec` is kept as the text that its writer sent.
class Store {
 public:
  Store()
      : server_([this](Connection* connection, const Message& request) {
          return Handle(connection, request);
        }) {}

  std::string address() const { return server_.address(); }

  /// Writes as the operator, a server or another writer does. Returns the time
  /// at which the store has accepted it.
  std::int64_t Put(const std::string& kind, const std::string& name,
                   const std::string& spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Object& object = kinds_[kind][name];
    object.spec = spec;
    Announce(kind, name, &object);
    return Now();
  }

  std::int64_t Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Erase(kind, name);
    return Now();
  }

  std::size_t Count(const std::string& kind) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return kinds_[kind].size();
  }

 private:
  struct Object {
    std::string spec = "null";
    std::string status = "null";
    std::uint64_t revision = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string text;
  };

  static std::string TextOf(const std::string& name, const Object& object) {
    return R"({"metadata":{"name":")" + name + R"(","revision":)" +
           std::to_string(object.revision) +
           R"(,"created-at":0,"finalizers":[],"deleting":false},"spec":)" +
           object.spec + R"(,"status":)" + object.status + "}";
  }

  void Announce(const std::string& kind, const std::string& name,
                Object* object) {
    object->revision = ++revision_;
    history_.push_back(
        {revision_, kind,
         R"({"deleted":false,"object":)" + TextOf(name, *object) + "}"});
    changed_.notify_all();
  }

  void Erase(const std::string& kind, const std::string& name) {
    const auto it = kinds_[kind].find(name);
    if (it == kinds_[kind].end()) {
      return;
    }
    history_.push_back(
        {++revision_, kind,
         R"({"deleted":true,"object":)" + TextOf(name, it->second) + "}"});
    kinds_[kind].erase(it);
    changed_.notify_all();
  }

  static bool Reply(Connection* connection, int status,
                    const std::string& body = "") {
    return connection->Write(
        MakeResponse(status, {{"Content-Type", "application/json"}}, body));
  }

  bool Handle(Connection* connection, const Message& request) {
    const std::string prefix = "/api/objects/";
    if (request.path().rfind(prefix, 0) != 0) {
      return Reply(connection, 404);
    }
    const std::string rest = request.path().substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method() == "GET" && !request.Query("watch").empty()) {
      return Watch(connection, request, kind);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    const auto [status, body] = Execute(request, kind, name);
    lock.unlock();
    return Reply(connection, status, body);
  }

  std::pair<int, std::string> Execute(const Message& request,
                                      const std::string& kind,
                                      std::string name) {
    auto& objects = kinds_[kind];
    if (request.method() == "GET") {
      if (name.empty()) {
        return {200, List(objects)};
      }
      const auto it = objects.find(name);
      return it == objects.end() ? std::pair(404, std::string())
                                 : std::pair(200, TextOf(name, it->second));
    }
    if (request.method() == "DELETE") {
      const auto it = objects.find(name);
      if (it == objects.end()) {
        return {404, ""};
      }
      std::string text = TextOf(name, it->second);
      const std::string revision = request.Query("revision");
      if (!revision.empty() &&
          revision != std::to_string(it->second.revision)) {
        return {409, text};
      }
      Erase(kind, name);
      return {200, text};
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.contains("metadata")) {
      return {400, ""};
    }
    return Write(request, body, kind, std::move(name));
  }

  std::pair<int, std::string> Write(const Message& request, const Json& body,
                                    const std::string& kind, std::string name) {
    auto& objects = kinds_[kind];
    const std::string suffix = "/status";
    const bool is_status =
        name.size() > suffix.size() &&
        name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
    name = body.at("metadata").at("name").get<std::string>();
    const auto it = objects.find(name);
    const bool exists = it != objects.end();
    if (request.method() == "POST") {
      if (exists) {
        return {409, TextOf(name, it->second)};
      }
    } else if (!exists) {
      return {404, ""};
    }
    const auto expected =
        body.at("metadata").value("revision", std::uint64_t{0});
    if (exists && expected != 0 && expected != it->second.revision) {
      return {409, TextOf(name, it->second)};
    }
    Object& object = objects[name];
    std::string& part = is_status ? object.status : object.spec;
    std::string text = body.at(is_status ? "status" : "spec").dump();
    if (!exists || part != text) {
      part = std::move(text);
      Announce(kind, name, &object);
    }
    return {exists ? 200 : 201, TextOf(name, object)};
  }

  std::string List(const std::map<std::string, Object>& objects) const {
    std::string items;
    for (const auto& [name, object] : objects) {
      items += (items.empty() ? "" : ",") + TextOf(name, object);
    }
    return R"({"items":[)" + items + R"(],"has-more":false,"at":)" +
           std::to_string(revision_) + "}";
  }

  bool Watch(Connection* connection, const Message& request,
             const std::string& kind) {
    const auto from =
        static_cast<std::uint64_t>(std::atoll(request.Query("watch").c_str()));
    const milliseconds wait(std::atoll(request.Query("wait-ms").c_str()));
    std::unique_lock<std::mutex> lock(mutex_);
    std::string events;
    const auto any = [&] {
      events.clear();
      for (const Event& it : history_) {
        if (it.revision > from && it.kind == kind) {
          events += (events.empty() ? "" : ",") + it.text;
        }
      }
      return !events.empty();
    };
    changed_.wait_for(lock, wait, any);
    const std::string body = R"({"events":[)" + events + R"(],"at":)" +
                             std::to_string(revision_) + "}";
    lock.unlock();
    return Reply(connection, 200, body);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> history_;
  std::uint64_t revision_ = 1;
  Server server_;
};

/// One entry, run as its own process by the command of the deploy file. Only
/// the metrics port differs: it is a free one.
class Entry {
 public:
  Entry(std::string name, std::string zone, const Store& store)
      : name_(std::move(name)),
        front_(FreePort()),
        ready_(FreePort()),
        metrics_(FreePort()),
        peers_(FreePort()),
        zone_(std::move(zone)),
        store_(store.address()) {
    const char* folder = std::getenv("TMPDIR");
    settings_ = std::string(folder == nullptr ? "/tmp" : folder) + "/review-" +
                std::to_string(getpid()) + "-" + name_ + ".conf";
  }
  ~Entry() {
    Stop();
    unlink(settings_.c_str());
  }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  const std::string& name() const { return name_; }
  std::uint16_t front() const { return front_; }

  void Start() {
    WriteSettings();
    first_start_ = false;
    const std::string metrics = "--metrics_port=" + std::to_string(metrics_);
    const std::string boot = "INDIGOLEAD_BOOT=" + settings_;
    const char* log = std::getenv("ENTRY_LOG");
    const std::string output =
        log == nullptr ? "/dev/null" : std::string(log) + "-" + name_;
    const char* arguments[] = {"target/indigolead", "platform-entry",
                               metrics.c_str(), "--share_queues", nullptr};
    const char* environment[] = {boot.c_str(), "PATH=/usr/bin:/bin", nullptr};
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      execve(arguments[0], const_cast<char**>(arguments),
             const_cast<char**>(environment));
      _exit(127);
    }
  }

  /// Returns how the process ended, if it has: its exit code, or minus the
  /// number of the signal.
  std::optional<int> Ended() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
      return std::nullopt;
    }
    pid_ = -1;
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  }

  void Stop() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }

  bool Ready() const {
    const int fd = ConnectTo(ready_);
    if (fd < 0) {
      return false;
    }
    Connection connection(fd);
    connection.SetTimeout(milliseconds(1000));
    Message answer;
    return connection.Write(
               MakeRequest("GET", "/api/readyz", {{"Host", "127.0.0.1"}})) &&
           connection.Read(&answer) && answer.status() == 200;
  }

 private:
  void WriteSettings() const {
    std::ofstream out(settings_);
    out << "node=" << name_ << "\nrole=entry\nmachine-class=front\n"
        << "serves=front\nip=127.0.0.1\nzone=" << zone_
        << "\nregion=norte\nzones.bilbao-a=norte\nzones.bilbao-b=norte\n"
        << "zones.oviedo=norte\nlisten.front=127.0.0.1:" << front_
        << "\nlisten.ready=127.0.0.1:" << ready_ << "\nport-range=" << peers_
        << "," << peers_
        << "\nseeds=\nbootstrap=" << (first_start_ ? "true" : "false")
        << "\ncounts-as-loss=false\n"
        << "limits.cpu-share=0.19\nlimits.cores=1\nlimits.memory-mb=260\n"
        << "limits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\n"
        << "discovery=platform\nentry=vip\nheartbeat-ms=1200\n"
        << "contracts=base,drain,config,cost,retry,recover,split,stream,"
        << "engine,platform\nfault-tolerance.machines=2\n"
        << "fault-tolerance.zones=0\nfault-tolerance.regions=0\n"
        << "bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\n"
        << "bounds.contact-ms=3000\nbounds.ack-ms=4000\n"
        << "bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n"
        << "bounds.loss-slack-ms=200\nbounds.config-deadline-ms=2000\n"
        << "bounds.back-ms=250\nbounds.max-skew-ms=5000\n"
        << "bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n"
        << "bounds.retry-slack=54\nbounds.recovery-s=12\n"
        << "bounds.transit-ms=120\nbounds.retry-after-s=9.2\n"
        << "bounds.require-fence=false\nbounds.lease-ms=3000\n"
        << "bounds.thaw-slack-ms=300\nplatform.address=" << store_
        << "\nplatform.form=objects\nplatform.writes-per-s=400\n"
        << "platform.reads-per-s=2000\nplatform.history-s=20\n"
        << "platform.value-bytes=1048576\nplatform.min-ttl-ms=1000\n";
  }

  std::string name_;
  std::uint16_t front_;
  std::uint16_t ready_;
  std::uint16_t metrics_;
  std::uint16_t peers_;
  std::string zone_;
  std::string store_;  ///< Its address.
  std::string settings_;
  bool first_start_ = true;
  pid_t pid_ = -1;
};

/// Starts the entries and waits until all are ready.
inline bool StartAll(std::deque<Entry>* entries) {
  for (Entry& it : *entries) {
    it.Start();
  }
  const std::int64_t latest = Now() + 20000;
  for (Entry& it : *entries) {
    while (!it.Ready()) {
      if (Now() > latest) {
        return false;
      }
      Sleep(milliseconds(50));
    }
  }
  return true;
}

/// Sends one client attempt on a connection of its own. Returns the answer, or
/// nothing if none came within the deadline.
inline std::optional<Message> SendAttempt(
    std::uint16_t port, const std::string& method, const std::string& path,
    const std::string& id, int deadline_ms, const std::string& body) {
  const int fd = ConnectTo(port);
  if (fd < 0) {
    return std::nullopt;
  }
  Connection connection(fd);
  connection.SetTimeout(milliseconds(deadline_ms + 500));
  Message answer;
  const bool answered = connection.Write(MakeRequest(
                            method, path,
                            {{"Host", "norte.example"},
                             {"X-Request-Id", id},
                             {"X-Deadline-Ms", std::to_string(deadline_ms)}},
                            body)) &&
                        connection.Read(&answer);
  return answered ? std::optional(answer) : std::nullopt;
}

/// Ends the entries and the program. The stand-ins are not destroyed, since
/// their threads still run.
[[noreturn]] inline void Finish(std::deque<Entry>* entries, int result) {
  entries->clear();
  std::printf("exit %d\n", result);
  std::fflush(stdout);
  _exit(result);
}

/// The folder of the case, where the record goes.
inline std::string FolderFrom(int argc, char** argv) {
  return argc > 1 ? argv[1] : ".";
}

/// The configuration of a deployment with one plain service.
inline std::string PlainConfiguration() {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        int attempts) {
    return Json{{"name", name},
                {"host", "norte.example"},
                {"path-prefix", prefix},
                {"kind", kind},
                {"service", "salon-app"},
                {"timeout-ms", 1500},
                {"max-attempts", attempts},
                {"target-latency-ms", 150},
                {"priority", 2}};
  };
  const Json configuration = {{"version", 3},
                              {"routes",
                               {route("menu-print", "/menu/", "unsafe", 1),
                                route("desk-screen", "/desk/", "safe", 2)}},
                              {"services",
                               {{{"name", "salon-app"},
                                 {"slots", 6},
                                 {"max-conns", 100},
                                 {"health-path", "/healthz"}}}},
                              {"limits",
                               {{"max-header-bytes", 16384},
                                {"max-body-bytes", 1048576},
                                {"header-timeout-ms", 3000},
                                {"idle-timeout-ms", 15000}}}};
  return configuration.dump();
}

/// The registration of a server of the plain service.
inline std::string PlainRegistration(const std::string& address,
                                     const std::string& zone,
                                     const std::string& state) {
  const Json registration = {{"service", "salon-app"},
                             {"address", address},
                             {"zone", zone},
                             {"version", "1.0"},
                             {"slots", 6},
                             {"state", state},
                             {"cold-remaining-ms", 0},
                             {"seq", 0}};
  return registration.dump();
}

}  // namespace review

#endif  // INDIGOLEAD_REVIEW_HARNESS_SCENE_H_
