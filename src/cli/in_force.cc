#include "cli/in_force.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <vector>

#include "cli/flags.h"
#include "cli/http_get.h"
#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"
#include "core/config/value_text.h"
#include "runtime/clock.h"

namespace indigolead::cli {
namespace {

using Json = nlohmann::json;

constexpr Duration kStatusDeadline = std::chrono::seconds(2);
constexpr auto kStatusPollInterval = std::chrono::milliseconds(100);

const Json* FindDeployment(const Json& status, const std::string& name) {
  const auto list = status.find("deployments");
  if (list == status.end() || !list->is_array()) {
    return nullptr;
  }
  for (const Json& it : *list) {
    if (it.is_object() && it.value("name", "") == name) {
      return &it;
    }
  }
  return nullptr;
}

/// Adds what revision `number` still waits for, as reported in the `status` of
/// the entry at `address`.
void AddMissing(const std::string& address, const std::string& name,
                std::uint64_t number, const Json& status,
                std::set<std::string>* missing) {
  const Json* deployment = FindDeployment(status, name);
  if (deployment == nullptr ||
      IntegerOr(*deployment, "revision", std::uint64_t{0}) < number) {
    missing->insert(name + ": entry " + status.value("entry", address));
    return;
  }
  for (const Json& it : deployment->value("waiting_for", Json::array())) {
    missing->insert(name + ": " + it.get<std::string>());
  }
  const Json unknown = deployment->value("unknown", Json::object());
  for (const auto& it : unknown.items()) {
    missing->insert(name + ": " + it.key() + " (not reporting)");
  }
}

std::set<std::string> FindMissing(
    const std::vector<std::string>& addresses,
    const std::map<std::string, std::uint64_t>& numbers) {
  std::set<std::string> missing;
  for (const std::string& address : addresses) {
    const Result<std::string> body =
        HttpGet(address, "/admin/status", kStatusDeadline);
    if (!IsOk(body)) {
      missing.insert(ToString(ErrorOf(body)));
      continue;
    }
    const auto status = ParseBoundedJson(ValueOf(body), "status.read", address);
    if (!IsOk(status)) {
      missing.insert(ToString(ErrorOf(status)));
      continue;
    }
    try {
      for (const auto& [name, number] : numbers) {
        AddMissing(address, name, number, ValueOf(status), &missing);
      }
    } catch (const Json::exception& e) {
      missing.insert("entry " + address +
                     ": cannot parse status: " + JsonProblem(e));
    }
  }
  return missing;
}

/// Formats the time since `start` in whole milliseconds.
std::string TimeSince(TimePoint start) {
  return FormatDuration(std::chrono::duration_cast<std::chrono::milliseconds>(
      BootTimeNow() - start));
}

}  // namespace

int WaitUntilInForce(const CommandContext& context,
                     const std::map<std::string, std::uint64_t>& numbers) {
  const std::vector<std::string> addresses = SplitList(FLAGS_entry);
  const auto timeout = ParseDuration(FLAGS_timeout);
  if (addresses.empty() || !timeout) {
    *context.err << "indigolead: --wait needs --entry=IP:PORT,... and a "
                    "--timeout such as 30s\n";
    return kExitUsage;
  }
  const TimePoint start = BootTimeNow();
  std::set<std::string> missing = FindMissing(addresses, numbers);
  while (!missing.empty() && BootTimeNow() - start < *timeout) {
    std::this_thread::sleep_for(kStatusPollInterval);
    missing = FindMissing(addresses, numbers);
  }
  if (!missing.empty()) {
    *context.err << "not in force everywhere after " << FLAGS_timeout
                 << "; missing:\n";
    for (const std::string& it : missing) {
      *context.err << "  " << it << "\n";
    }
    return kExitNotInForce;
  }
  *context.out << "in force everywhere after " << TimeSince(start) << "\n";
  return kExitOk;
}

}  // namespace indigolead::cli
