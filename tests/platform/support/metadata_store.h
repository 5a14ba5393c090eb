#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_METADATA_STORE_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_METADATA_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/http_server.h"
#include "standins/platform_server.h"

namespace indigolead::testing {

/// Stand-in for the platform's metadata store with fault injection. Serves
/// objects by kind and name, conditional writes and long-polling watches.
class MetadataStore {
 public:
  MetadataStore();
  ~MetadataStore();
  MetadataStore(const MetadataStore&) = delete;
  MetadataStore& operator=(const MetadataStore&) = delete;

  std::string address() const { return server_.address(); }

  /// Writes the object unconditionally, as an operator or a target does.
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  /// Writes an object whose `spec` is sent as `text`, which need not be JSON.
  void PutText(const std::string& kind, const std::string& name,
               const std::string& text);
  void Remove(const std::string& kind, const std::string& name);

  /// Returns the object's `spec`; null if there is none.
  nlohmann::json Get(const std::string& kind, const std::string& name);

  /// Returns the object's revision; 0 if there is none.
  std::uint64_t RevisionOf(const std::string& kind, const std::string& name);

  /// Sets the faults of all calls from now on.
  void SetFaults(const standins::PlatformFaults& faults);
  /// Refuses connections and closes the open ones, or serves again.
  void SetDown(bool down) { server_.SetDown(down); }
  /// Returns the number of list calls that allowed stale results.
  int stale_lists();
  /// Returns the number of watch calls so far.
  int watch_calls();
  /// Closes the connection of every waiting watch call, or of the next watch
  /// call if none is waiting.
  void DropWatches();
  /// Discards the history. Watches from an older revision get status 410.
  void Compact();

 private:
  struct Object {
    nlohmann::json spec;
    nlohmann::json status;
    std::uint64_t revision = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    nlohmann::json object;
    bool deleted = false;
  };
  using Objects = std::map<std::string, Object>;

  standins::Task Handle(standins::HttpExchange& exchange);
  standins::Task Misbehave(standins::HttpExchange& exchange, bool* served);
  standins::Task Stall(standins::HttpExchange& exchange);
  standins::Task Serve(standins::HttpExchange& exchange);
  standins::Task Read(standins::HttpExchange& exchange, const std::string& kind,
                      std::string name);
  standins::Task List(standins::HttpExchange& exchange,
                      const std::string& kind);
  standins::Task Watch(standins::HttpExchange& exchange,
                       const std::string& kind);
  standins::Task Write(standins::HttpExchange& exchange,
                       const std::string& kind, std::string name);
  standins::Task WriteStatus(standins::HttpExchange& exchange,
                             const std::string& kind, std::string name);
  standins::Task Delete(standins::HttpExchange& exchange,
                        const std::string& kind, std::string name);
  /// Answers a completed write, or drops the answer.
  standins::Task Confirm(standins::HttpExchange& exchange, std::string body);
  void Store(const std::string& kind, const std::string& name,
             const nlohmann::json& spec);
  void Announce(const std::string& kind, const std::string& name,
                Object* object);
  void Erase(const std::string& kind, const std::string& name);
  Objects& VisibleObjects(const std::string& kind);
  nlohmann::json JsonOf(const std::string& name, const Object& object) const;
  /// Returns `reply` as text, with the specs that were written as text.
  std::string TextOf(const nlohmann::json& reply) const;
  nlohmann::json EventsSince(const std::string& kind,
                             std::uint64_t revision) const;

  std::map<std::string, Objects> kinds_;
  std::vector<Event> history_;
  std::vector<std::string> texts_;  ///< Specs that were written as text.
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::map<std::string, Objects> stale_kinds_;
  standins::PlatformFaults faults_;
  int waiting_watches_ = 0;
  int watch_calls_ = 0;
  int stale_lists_ = 0;
  std::uint64_t watch_epoch_ = 0;
  bool drop_next_watch_ = false;
  standins::HttpServer server_;
  std::unique_ptr<standins::Notifier> changed_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_METADATA_STORE_H_
