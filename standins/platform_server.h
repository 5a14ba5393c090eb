#ifndef INDIGOLEAD_STANDINS_PLATFORM_SERVER_H_
#define INDIGOLEAD_STANDINS_PLATFORM_SERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "standins/http_server.h"
#include "standins/instance_table.h"
#include "standins/object_table.h"
#include "store/object_store.h"

namespace indigolead::standins {

/// Ways in which the platform stand-in misbehaves. All off by default.
struct PlatformFaults {
  std::uint32_t slow_ms = 0;  ///< Each answer is held back that long.
  bool refuse = false;        ///< 503, without effect.
  bool stall = false;         ///< No effect and no answer, for good.
  bool reset = false;         ///< No effect; the connection is cut.
  bool garble = false;        ///< No effect; 200 with bytes that are no JSON.
  /// Number of writes that take effect and whose answer is then lost.
  std::uint32_t lose_answers = 0;
  /// Lost answers leave the connection open and silent instead of cutting it.
  bool lose_by_silence = false;
  /// Reads show the objects as they were when this was switched on.
  bool stale_reads = false;
  /// Watches stay open and send nothing, idle lines included.
  bool silence_watches = false;
  /// Restricts the faults above to keys and prefixes that start with this.
  std::string only_prefix;

  friend bool operator==(const PlatformFaults&,
                         const PlatformFaults&) = default;
};

/// Stand-in for the platform: object API and lagging instance list.
///
/// Speaks docs/INTERFACES.md over HTTP on loopback, and can be told to fail in
/// each of the ways in which the real one may. Public methods are safe from
/// any thread but its own.
class PlatformServer {
 public:
  struct Options {
    std::uint16_t port = 0;
    std::chrono::milliseconds instance_lag{0};
    std::size_t max_events = 10000;
  };

  PlatformServer() : PlatformServer(Options{}) {}
  explicit PlatformServer(Options options);

  std::uint16_t port() const { return server_->port(); }
  std::string address() const { return server_->address(); }

  PlatformFaults faults();
  void SetFaults(const PlatformFaults& faults);

  /// Refuses connections and cuts the open ones, or serves again. The objects
  /// are kept.
  void SetDown(bool down) { server_->SetDown(down); }

  /// Cuts every waiting watch once.
  void DropWatches();

  /// Adds or replaces a record of the instance list.
  void PutInstance(const InstanceRecord& record);
  void RemoveInstance(const std::string& name);

  /// Returns the object as it truly is, whatever the faults.
  std::optional<StoredObject> Peek(const std::string& key);

  /// Writes an object past all faults. Returns its version, 0 on a conflict.
  std::uint64_t Poke(const std::string& key, const std::string& value,
                     ExpectedVersion expected);

  /// Returns the calls received so far by kind: "get", "list", "put",
  /// "delete", "watch" and "instances".
  std::map<std::string, std::uint64_t> calls();

  /// Returns the number of watches that wait now.
  int waiting_watches();

 private:
  Task Handle(HttpExchange& exchange);
  Task HandleObjects(HttpExchange& exchange);
  Task HandleObject(HttpExchange& exchange, std::string key);
  Task HandleWatch(HttpExchange& exchange);
  Task HandleInstances(HttpExchange& exchange);
  Task HandleStandin(HttpExchange& exchange);
  Task HandleStandinInstances(HttpExchange& exchange);
  Task HandleStandinFaults(HttpExchange& exchange);
  Task Write(HttpExchange& exchange, std::string key);
  Task Stall(HttpExchange& exchange);
  /// Applies slow, refuse and stall; sets `*served` to false if it answered.
  Task Misbehave(HttpExchange& exchange, std::string key, bool* served);

  bool Affects(const std::string& key) const;
  const ObjectTable& ReadTable(const std::string& key) const;
  void ApplyFaults(const PlatformFaults& faults);
  void TakeDownFor(std::chrono::milliseconds ms);
  InstanceTable::SteadyTime ShownAt() const;

  Options options_;
  ObjectTable table_;
  ObjectTable stale_;
  InstanceTable instances_;
  PlatformFaults faults_;
  std::map<std::string, std::uint64_t> calls_;
  int waiting_watches_ = 0;
  std::uint64_t watch_epoch_ = 0;
  std::unique_ptr<Notifier> changed_;
  /// Last, so that its thread is gone before what its handlers use.
  std::unique_ptr<HttpServer> server_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_PLATFORM_SERVER_H_
