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

/// A service's share of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// What an operator says of the requests below one path of one host.
struct ServiceRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  Repeatability repeatability = Repeatability::kOnce;
  bool streamed = false;
  bool may_resume = false;     ///< A broken stream may go on at another target.
  Duration timeout{0};         ///< Longest time a caller is kept; 0: no bound.
  Duration answer_target{0};   ///< Within which an answer is worth most.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;
  bool open_to_all = false;               ///< Its requests need no API key.
  std::vector<WeightedService> services;  ///< At least one.

  friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

/// What is known of a service's model engines.
struct EngineTraits {
  std::uint32_t slots = 1;  ///< Requests that run at once.
  std::uint64_t kv_capacity_tokens = 0;
  Duration stage_change_time{0};  ///< A changing engine is away that long.
  double kv_bytes_per_token = 0;  ///< Size of its KV cache; 0: not told.
  double link_bits_per_s = 0;  ///< For KV cache, of each engine; 0: not told.

  friend bool operator==(const EngineTraits&, const EngineTraits&) = default;
};

/// A service that routes lead to.
struct ServiceTraits {
  std::string name;
  std::uint32_t max_connections = 0;   ///< One target takes, from all callers.
  std::optional<EngineTraits> engine;  ///< Absent for a plain service.

  friend bool operator==(const ServiceTraits&, const ServiceTraits&) = default;
};

/// A client account of one version of the routes, with what opens it.
struct RouteAccount {
  std::string name;
  std::vector<KeyHash> keys;              ///< None: nobody gets in by it.
  std::optional<std::uint32_t> priority;  ///< Goes before the route's.

  friend bool operator==(const RouteAccount&, const RouteAccount&) = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
  std::uint64_t max_header_bytes = 16U << 10;
  std::uint64_t max_body_bytes = 4U << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One version of the routes, all of it.
struct RouteConfiguration {
  std::uint64_t version = 0;
  std::vector<ServiceRoute> routes;
  std::vector<ServiceTraits> services;
  /// Absent: no request needs a key. Empty: none but those of open routes is
  /// let in.
  std::optional<std::vector<RouteAccount>> accounts;
  CallerLimits limits;

  friend bool operator==(const RouteConfiguration&,
                         const RouteConfiguration&) = default;
};

/// Finds the route of a request in a time that does not grow with the number
/// of routes: one look-up for each slash of the path.
class RouteTable {
 public:
  explicit RouteTable(RouteConfiguration configuration);

  /// Returns the route of `host` with the longest prefix that begins `path`
  /// (query included), or null. Valid as long as the table.
  const ServiceRoute* Find(std::string_view host, std::string_view path) const;

  /// Returns the account by which a request of `route` that presents `key` is
  /// let in: null if it needs none, or the refusal to send. A key that nobody
  /// holds is no reason to refuse a request of an open route. Valid as long as
  /// the table.
  std::variant<const RouteAccount*, Refusal> Admit(const ServiceRoute& route,
                                                   std::string_view key) const;

  /// Returns true if callers' keys are this system's to read, and not the
  /// targets'.
  bool reads_keys() const { return configuration_.accounts.has_value(); }

  /// Returns the traits of `service`, or null.
  const ServiceTraits* FindService(const std::string& service) const;

  /// Returns the service for one request of `route`, by its weights.
  /// `random_bits` is uniform.
  static const std::string& PickService(const ServiceRoute& route,
                                        std::uint64_t random_bits);

  const RouteConfiguration& configuration() const { return configuration_; }
  std::uint64_t version() const { return configuration_.version; }

 private:
  RouteConfiguration configuration_;
  /// Places in `configuration_.routes`, by host and prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      places_;
  /// Places in `configuration_.accounts`.
  KeyIndex<std::size_t> keys_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ROUTE_TABLE_H_
