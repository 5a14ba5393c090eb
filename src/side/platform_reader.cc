#include "side/platform_reader.h"

#include <utility>

#include "core/control/lease.h"

namespace indigolead {
namespace {

constexpr char kLeaseKey[] = "control/lease";
constexpr char kDrainPrefix[] = "drains/";

}  // namespace

PlatformReader::PlatformReader(Options options, ObjectStore* store, Hooks hooks)
    : options_(std::move(options)), store_(store), hooks_(std::move(hooks)) {}

void PlatformReader::Tick(TimePoint now, bool has_links) {
  const Duration interval = has_links ? options_.interval_with_links
                                      : options_.interval_without_links;
  if (last_read_ && now - *last_read_ < interval) {
    return;
  }
  last_read_ = now;
  ReadInstances();
  ReadDrain();
}

void PlatformReader::ReadInstances() {
  store_->ListInstances(options_.call, [this, alive = std::weak_ptr(alive_)](
                                           const Result<InstanceList>& answer) {
    if (alive.expired() || !IsOk(answer)) {
      return;
    }
    hooks_.on_instances(ValueOf(answer));
    for (const auto& it : ValueOf(answer).instances) {
      if (it.name == options_.instance) {
        hooks_.on_instance_leaving(it.state == InstanceState::kLeaving);
      }
    }
  });
}

void PlatformReader::ReadDrain() {
  store_->Get(kDrainPrefix + options_.instance, options_.call,
              [this, alive = std::weak_ptr(alive_)](
                  const Result<std::optional<StoredObject>>& answer) {
                if (!alive.expired() && IsOk(answer)) {
                  hooks_.on_drain(ValueOf(answer).has_value());
                }
              });
}

void PlatformReader::ReadFencingNumber(FencingNumberCallback done) {
  CallOptions call = options_.call;
  call.priority = CallPriority::kOrder;
  store_->Get(kLeaseKey, call,
              [alive = std::weak_ptr(alive_), done = std::move(done)](
                  const Result<std::optional<StoredObject>>& answer) {
                if (alive.expired()) {
                  return;
                }
                if (!IsOk(answer)) {
                  done(std::nullopt);
                  return;
                }
                const auto& object = ValueOf(answer);
                if (!object) {
                  done(FencingNumber{0});
                  return;
                }
                const auto lease = DecodeLease(object->value, object->version);
                done(IsOk(lease) ? std::optional(ValueOf(lease).fencing_number)
                                 : std::nullopt);
              });
}

}  // namespace indigolead
