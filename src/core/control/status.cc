#include "core/control/status.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "core/config/revision_json.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void to_json(Json& json, const TargetLoadStatus& load) {
  json = Json{{"running", load.running},
              {"waiting", load.waiting},
              {"queued_prefill_tokens", load.queued_prefill_tokens},
              {"kv_used_bytes", load.kv_used_bytes},
              {"kv_capacity_bytes", load.kv_capacity_bytes}};
}

// Converts values to JSON, with ages relative to the time of the request.
class StatusWriter {
 public:
  StatusWriter(TimePoint now, WallMicros wall_now)
      : now_(now), wall_now_(wall_now) {}

  Json UnknownSince(TimePoint since) const {
    const auto age =
        std::chrono::duration_cast<std::chrono::microseconds>(now_ - since);
    return Json{{"unknown_since", wall_now_ - age.count()},
                {"unknown_for_s", Seconds(now_ - since)}};
  }

  template <typename T>
  Json WriteTimestamped(const Timestamped<T>& timestamped) const {
    if (timestamped.unknown_since) {
      return UnknownSince(*timestamped.unknown_since);
    }
    if (!timestamped.value) {
      return nullptr;
    }
    Json value;
    if constexpr (std::is_same_v<T, TargetLoadStatus>) {
      to_json(value, *timestamped.value);
    } else {
      value = *timestamped.value;
    }
    return Json{{"value", std::move(value)},
                {"age_s", Seconds(now_ - timestamped.seen_at)}};
  }

  Json Write(const DeploymentStatus& deployment) const {
    Json unknown = Json::object();
    for (const auto& [name, since] : deployment.unknown_since) {
      unknown[name] = UnknownSince(since);
    }
    return Json{{"name", deployment.name},
                {"revision", deployment.revision},
                {"author", deployment.author},
                {"source_version", deployment.source_version},
                {"accepted_at", deployment.accepted_at},
                {"in_force_everywhere", deployment.in_force_everywhere},
                {"waiting_for", deployment.waiting_for},
                {"unknown", std::move(unknown)}};
  }

  Json Write(const TargetStatus& target) const {
    return Json{{"name", target.name},
                {"deployment", target.deployment},
                {"failure_domain", target.failure_domain},
                {"health", WriteTimestamped(target.health)},
                {"role", WriteTimestamped(target.role)},
                {"models", WriteTimestamped(target.models)},
                {"desired_role", target.desired_role},
                {"desired_model", target.desired_model},
                {"order_generation", target.order_generation},
                {"order_phase", target.order_phase},
                {"order_detail", target.order_detail},
                {"out_of_service", target.out_of_service},
                {"revision", WriteTimestamped(target.revision)},
                {"load", WriteTimestamped(target.load)},
                {"drain_cause", target.drain_cause}};
  }

  Json Write(const EntryStatus& entry) const {
    return Json{{"name", entry.name},
                {"failure_domain", entry.failure_domain},
                {"up", WriteTimestamped(entry.up)},
                {"revisions", entry.revisions}};
  }

  Json Write(const QuarantineStatus& quarantine) const {
    return Json{{"fingerprint", DigestText(quarantine.fingerprint)},
                {"client_account", quarantine.client_account},
                {"deployment", quarantine.deployment},
                {"kills", quarantine.kills},
                {"remaining_s", Seconds(quarantine.remaining)},
                {"reason", quarantine.reason}};
  }

  template <typename T>
  Json WriteAll(const std::vector<T>& items) const {
    Json all = Json::array();
    for (const T& item : items) {
      all.push_back(Write(item));
    }
    return all;
  }

 private:
  TimePoint now_;
  WallMicros wall_now_;
};

}  // namespace

std::string EncodeStatus(const SystemStatus& status, TimePoint now,
                         WallMicros wall_now) {
  const StatusWriter writer(now, wall_now);
  return Json{{"entry", status.entry},
              {"at", wall_now},
              {"store_answers", writer.WriteTimestamped(status.store_answers)},
              {"lease_holder", writer.WriteTimestamped(status.lease_holder)},
              {"fencing_number", status.fencing_number},
              {"controller_here", status.controller_here},
              {"deployments", writer.WriteAll(status.deployments)},
              {"targets", writer.WriteAll(status.targets)},
              {"entries", writer.WriteAll(status.entries)},
              {"quarantines", writer.WriteAll(status.quarantines)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace indigolead
