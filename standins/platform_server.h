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

/// Faults injected by the platform stand-in. All are off by default.
struct PlatformFaults {
  std::uint32_t slow_ms = 0;  ///< Delay before each response.
  bool refuse = false;        ///< Returns 503; the call has no effect.
  bool stall = false;         ///< No effect and no response.
  bool reset = false;         ///< No effect; resets the connection.
  bool garble = false;        ///< No effect; returns 200 with invalid JSON.
  /// Number of writes that are applied but whose response is lost.
  std::uint32_t lose_answers = 0;
  /// A lost response leaves the connection open instead of resetting it.
  bool lose_by_silence = false;
  /// Reads return the objects as of the time this fault was enabled.
  bool stale_reads = false;
  /// Watches stay open but send nothing, not even idle lines.
  bool silence_watches = false;
  /// Limits the faults above to keys and prefixes that start with this string.
  std::string only_prefix;

  friend bool operator==(const PlatformFaults&,
                         const PlatformFaults&) = default;
};

/// Simulates the platform: the object API and a delayed instance list.
///
/// Implements docs/INTERFACES.md over HTTP on loopback and injects the faults
/// that the real platform may have. Public methods may be called from any
/// thread except the server's own.
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

  /// Refuses new connections and resets open ones while `down` is set. Objects
  /// are kept.
  void SetDown(bool down) { server_->SetDown(down); }

  /// Resets all open watches once.
  void DropWatches();

  /// Adds or replaces a record in the instance list.
  void PutInstance(const InstanceRecord& record);
  void RemoveInstance(const std::string& name);

  /// Returns the current object, bypassing all faults.
  std::optional<StoredObject> Peek(const std::string& key);

  /// Writes an object, bypassing all faults. Returns its new version, or 0 on a
  /// version conflict.
  std::uint64_t Poke(const std::string& key, const std::string& value,
                     ExpectedVersion expected);

  /// Returns the number of calls received, by kind: "get", "list", "put",
  /// "delete", "watch" and "instances".
  std::map<std::string, std::uint64_t> calls();

  /// Returns the number of open watches.
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
  /// Applies the faults that precede a call's effect. Sets `*served` to false
  /// if the exchange is already over.
  Task InjectFaults(HttpExchange& exchange, std::string key, bool* served);

  bool Affects(const std::string& key) const;
  const ObjectTable& ReadTable(const std::string& key) const;
  void ApplyFaults(const PlatformFaults& faults);
  void TakeDownFor(std::chrono::milliseconds ms);
  InstanceTable::SteadyTime ShownAt() const;

  Options options_;
  ObjectTable table_;
  ObjectTable stale_table_;
  InstanceTable instances_;
  PlatformFaults faults_;
  std::map<std::string, std::uint64_t> calls_;
  int waiting_watches_ = 0;
  std::uint64_t watch_epoch_ = 0;
  std::unique_ptr<Notifier> changed_;
  /// Declared last, so that its thread stops before the members its handlers
  /// use are destroyed.
  std::unique_ptr<HttpServer> server_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_PLATFORM_SERVER_H_
