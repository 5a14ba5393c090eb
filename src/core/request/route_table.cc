#include "core/request/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

#include "core/base/random.h"

namespace indigolead {

std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return key;
}

RouteTable::RouteTable(RouteConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (std::size_t it = 0; it < configuration_.routes.size(); ++it) {
    const ServiceRoute& route = configuration_.routes[it];
    route_indexes_[HostKey(route.host)].emplace(route.path_prefix, it);
  }
  if (!configuration_.accounts) {
    return;
  }
  for (std::size_t it = 0; it < configuration_.accounts->size(); ++it) {
    for (const KeyHash& key : (*configuration_.accounts)[it].keys) {
      account_indexes_.Add(key, it);
    }
  }
}

std::variant<const RouteAccount*, Refusal> RouteTable::Admit(
    const ServiceRoute& route, std::string_view key) const {
  const RouteAccount* no_account = nullptr;
  if (!checks_keys()) {
    return no_account;
  }
  if (!key.empty()) {
    const std::vector<std::size_t>& indexes =
        account_indexes_.Find(HashKey(key));
    if (!indexes.empty()) {
      return &(*configuration_.accounts)[indexes.front()];
    }
  }
  if (route.open_to_all) {
    return no_account;
  }
  return UnknownKeyRefusal();
}

const ServiceRoute* RouteTable::Find(std::string_view host,
                                     std::string_view path) const {
  const auto prefixes = route_indexes_.find(HostKey(host));
  if (prefixes == route_indexes_.end()) {
    return nullptr;
  }
  path = path.substr(0, path.find('?'));
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto it = prefixes->second.find(std::string(path.substr(0, end + 1)));
    if (it != prefixes->second.end()) {
      return &configuration_.routes[it->second];
    }
  }
  return nullptr;
}

const ServiceTraits* RouteTable::FindService(const std::string& service) const {
  const auto it = std::find_if(
      configuration_.services.begin(), configuration_.services.end(),
      [&](const ServiceTraits& traits) { return traits.name == service; });
  return it == configuration_.services.end() ? nullptr : &*it;
}

const std::vector<WeightedService>* RouteTable::ServicesOf(
    const std::string& route) const {
  const auto& routes = configuration_.routes;
  const auto it = std::find_if(
      routes.begin(), routes.end(),
      [&route](const ServiceRoute& held) { return held.name == route; });
  return it == routes.end() ? nullptr : &it->services;
}

bool RouteTable::Allows(const std::string& route,
                        const std::string& service) const {
  const std::vector<WeightedService>* services = ServicesOf(route);
  return services && std::any_of(services->begin(), services->end(),
                                 [&service](const WeightedService& it) {
                                   return it.service == service;
                                 });
}

const std::string& RouteTable::PickService(const ServiceRoute& route,
                                           std::uint64_t random_bits) {
  const std::uint32_t sum = std::accumulate(
      route.services.begin(), route.services.end(), std::uint32_t{0},
      [](std::uint32_t n, const WeightedService& it) { return n + it.weight; });
  std::uint32_t left = ToBoundedInteger(random_bits, sum);
  for (const WeightedService& it : route.services) {
    if (left < it.weight) {
      return it.service;
    }
    left -= it.weight;
  }
  return route.services.front().service;
}

}  // namespace indigolead
