#ifndef INDIGOLEAD_REVIEW_HARNESS_2_SCENE_H_
#define INDIGOLEAD_REVIEW_HARNESS_2_SCENE_H_

#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net.h"

namespace review {

/// Stand-in for the platform's metadata store.
class Store {
 public:
  using Json = nlohmann::json;

  Store();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  const std::string& address() const { return server_.address(); }

  /// Writes an object as the operator or a worker does.
  void Put(const std::string& kind, const std::string& name, const Json& spec);
  void Remove(const std::string& kind, const std::string& name);
  /// Returns the number of objects of a kind.
  std::size_t Count(const std::string& kind);
  /// Answers all calls with 503 and does nothing, or serves again.
  void SetDown(bool down);
  bool IsDown();

 private:
  struct Object {
    Json spec;
    Json status;
    std::uint64_t revision = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    Json object;
    bool deleted = false;
  };
  struct Reply {
    int status = 200;
    Json body;
  };

  void Serve(Connection& connection);
  Reply Handle(const Request& request);
  Reply List(const std::string& kind, const std::string& target);
  Reply Watch(const std::string& kind, const std::string& target);
  Reply Write(const std::string& kind, const std::string& name,
              const Request& request);
  Reply WriteStatus(const std::string& kind, const std::string& name,
                    const Request& request);
  Reply Delete(const std::string& kind, const std::string& name,
               const std::string& target);
  Json Render(const std::string& name, const Object& object) const;
  void Announce(const std::string& kind, const std::string& name,
                Object* object);
  Json EventsSince(const std::string& kind, std::uint64_t revision) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  bool down_ = false;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
  Server server_;
};

/// Stand-in for a worker of a plain service.
class Worker {
 public:
  /// Answers a request that the worker has begun to run.
  using Answer = std::function<void(Connection&, const Request&)>;

  Worker(std::string id, std::string service, Record* record, Answer answer);

  const std::string& id() const { return id_; }
  /// Returns the registration that the worker puts into the store.
  nlohmann::json Registration() const;
  /// Returns how often each request was run, by its id.
  std::map<std::string, int> runs();
  /// Returns the headers of a successful answer to `request`.
  Headers AnswerHeaders(const Request& request) const;

 private:
  void Serve(Connection& connection);

  std::string id_;
  std::string service_;
  Record* record_;
  Answer answer_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  Server server_;
};

/// Returns a route of the operator's configuration.
nlohmann::json MakeRoute(const std::string& name, const std::string& prefix,
                         const std::string& kind, const std::string& service);

/// Returns a route on which a stream may be resumed.
nlohmann::json MakeResumableRoute(const std::string& name,
                                  const std::string& prefix,
                                  const std::string& service);

/// Returns the operator's configuration with these routes and services.
nlohmann::json MakeConfiguration(const std::vector<nlohmann::json>& routes,
                                 const std::vector<std::string>& services,
                                 std::uint64_t max_header_bytes);

/// One entry, started with the command of the deploy file, and started again
/// by `Start` with the same addresses.
class Entry {
 public:
  Entry(std::string name, std::string ip, std::string store_address);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  const std::string& name() const { return name_; }
  const std::string& address() const { return callers_address_; }
  /// Starts the process; it must not be running.
  void Start();
  /// Ends the process as the platform ends one over its memory limit.
  void Kill();
  /// Returns the memory in use, in MB; 0 if unknown.
  double MemoryMb() const;
  bool Ready() const;
  /// Waits until the entry is ready; ends the program with 2 if it never is.
  void AwaitReady() const;
  /// Returns true if the process has ended, and says how.
  bool Ended(std::string* how);

 private:
  void WriteSettings(bool first_start) const;

  std::string name_;
  std::string ip_;
  std::string store_address_;
  std::string folder_;
  int first_port_ = 0;
  bool started_ = false;
  std::string callers_address_;
  std::string ready_address_;
  pid_t pid_ = -1;
};

/// Returns false if the environment says TROUBLE=0.
bool HasTrouble();

}  // namespace review

#endif  // INDIGOLEAD_REVIEW_HARNESS_2_SCENE_H_
