#ifndef INDIGOLEAD_CORE_REQUEST_ROUTE_TABLE_H_
#define INDIGOLEAD_CORE_REQUEST_ROUTE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/base/run_state.h"
#include "core/base/time.h"
#include "core/request/api_keys.h"

namespace indigolead {

/// Returns the name in a Host header without its port, in lower case: all forms
/// of one host have the same routes.
std::string HostKey(std::string_view host);

/// A service's share of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// An operator's settings for the requests below one path of one host.
struct ServiceRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  Repeatability repeatability = Repeatability::kOnce;
  bool streamed = false;
  bool may_resume = false;     ///< A broken stream may resume elsewhere.
  Duration timeout{0};         ///< Longest time of a request; 0: no limit.
  Duration answer_target{0};   ///< Target latency of an answer; 0: none.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;
  bool open_to_all = false;               ///< Requests need no API key.
  std::vector<WeightedService> services;  ///< At least one.

  friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

/// Properties of a service's model engines.
struct EngineTraits {
  std::uint32_t slots = 1;  ///< Requests that run concurrently.
  std::uint64_t kv_capacity_tokens = 0;
  /// Time that an engine is unavailable while it changes its role.
  Duration role_change_time{0};
  double kv_bytes_per_token = 0;  ///< KV cache size; 0: unknown.
  double link_bits_per_s = 0;     ///< Per engine, for KV cache; 0: unknown.

  friend bool operator==(const EngineTraits&, const EngineTraits&) = default;
};

/// A service that routes refer to.
struct ServiceTraits {
  std::string name;
  std::uint32_t max_connections = 0;   ///< Per target, of all callers.
  std::optional<EngineTraits> engine;  ///< Absent for a plain service.

  friend bool operator==(const ServiceTraits&, const ServiceTraits&) = default;
};

/// A client account of one version of the routes, with its API keys.
struct RouteAccount {
  std::string name;
  std::vector<KeyHash> keys;              ///< Empty: admits no request.
  std::optional<std::uint32_t> priority;  ///< Overrides the route's.

  friend bool operator==(const RouteAccount&, const RouteAccount&) = default;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::uint64_t max_header_bytes = 16U << 10;
  std::uint64_t max_body_bytes = 4U << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One complete version of the routes.
struct RouteConfiguration {
  std::uint64_t version = 0;
  std::vector<ServiceRoute> routes;
  std::vector<ServiceTraits> services;
  /// If absent, no request needs a key. If empty, only requests of open routes
  /// are admitted.
  std::optional<std::vector<RouteAccount>> accounts;
  CallerLimits limits;

  friend bool operator==(const RouteConfiguration&,
                         const RouteConfiguration&) = default;
};

/// Finds the route of a request with at most one lookup for each slash of the
/// path, independent of the number of routes.
class RouteTable {
 public:
  explicit RouteTable(RouteConfiguration configuration);

  /// Returns the route of `host` with the longest prefix of `path`, or null. A
  /// query in `path` is ignored. Valid as long as the table.
  const ServiceRoute* Find(std::string_view host, std::string_view path) const;

  /// Returns the account that holds `key`, null if a request of `route` needs
  /// none, or the refusal to send. A request of an open route is admitted even
  /// with an unknown key. Valid as long as the table.
  std::variant<const RouteAccount*, Refusal> Admit(const ServiceRoute& route,
                                                   std::string_view key) const;

  /// Returns true if callers' API keys are meant for this system rather than
  /// for the targets.
  bool checks_keys() const { return configuration_.accounts.has_value(); }

  /// Returns the traits of `service`, or null.
  const ServiceTraits* FindService(const std::string& service) const;

  /// Returns the services of the route named `route`, or null.
  const std::vector<WeightedService>* ServicesOf(
      const std::string& route) const;

  /// Returns true if requests of the route named `route` may go to `service`.
  bool Allows(const std::string& route, const std::string& service) const;

  /// Returns the service for one request of `route`, chosen by weight.
  /// `random_bits` must be uniformly distributed.
  static const std::string& PickService(const ServiceRoute& route,
                                        std::uint64_t random_bits);

  const RouteConfiguration& configuration() const { return configuration_; }
  std::uint64_t version() const { return configuration_.version; }

 private:
  RouteConfiguration configuration_;
  /// Indexes into `configuration_.routes`, by host and prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      route_indexes_;
  /// Indexes into `configuration_.accounts`, by key.
  KeyIndex<std::size_t> account_indexes_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ROUTE_TABLE_H_
