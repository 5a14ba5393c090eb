#include "entry/platform_duty.h"

#include <chrono>

namespace indigolead {
namespace {

constexpr std::string_view kDeployments = "deployments/";
constexpr std::string_view kDrains = "drains/";
constexpr std::chrono::milliseconds kRetryInterval{500};

}  // namespace

PlatformDuty::PlatformDuty(boost::asio::io_context* io, ObjectStore* store,
                           const StoreSettings& settings, Emit emit)
    : io_(io),
      store_(store),
      settings_(settings),
      emit_(std::move(emit)),
      poll_timer_(*io) {
  deployments_.prefix = kDeployments;
  drains_.prefix = kDrains;
  deployments_.retry = std::make_unique<boost::asio::steady_timer>(*io);
  drains_.retry = std::make_unique<boost::asio::steady_timer>(*io);
}

void PlatformDuty::Start() {
  Follow(&deployments_);
  Follow(&drains_);
  PollInstances();
}

void PlatformDuty::Stop() {
  stopped_ = true;
  for (Followed* it : {&deployments_, &drains_}) {
    it->watch.reset();
    it->retry->cancel();
  }
  poll_timer_.cancel();
}

void PlatformDuty::Follow(Followed* it) {
  if (stopped_) {
    return;
  }
  CallOptions options;
  options.priority = CallPriority::kConfig;
  options.deadline = settings_.call_deadline;
  store_->List(
      it->prefix, options, [this, it](Result<ObjectStore::Listing> result) {
        if (stopped_) {
          return;
        }
        if (!IsOk(result)) {
          FollowLater(it);
          return;
        }
        if (it == &drains_) {
          drained_.clear();
        }
        for (const StoredObject& object : ValueOf(result).objects) {
          OnChange(object.key, &object.value);
        }
        if (it == &drains_) {
          EmitDrains();
        }
        it->watch = store_->StartWatch(
            it->prefix, ValueOf(result).version,
            [this](const WatchEvent& event) {
              OnChange(event.key, event.value ? &*event.value : nullptr);
              if (event.key.substr(0, kDrains.size()) == kDrains) {
                EmitDrains();
              }
            },
            [this, it](const Error&) { FollowLater(it); });
      });
}

void PlatformDuty::FollowLater(Followed* it) {
  it->retry->expires_after(kRetryInterval);
  it->retry->async_wait([this, it](const boost::system::error_code& ec) {
    if (!ec) {
      Follow(it);
    }
  });
}

void PlatformDuty::OnChange(const std::string& key, const std::string* value) {
  if (key.substr(0, kDrains.size()) == kDrains) {
    const std::string instance = key.substr(kDrains.size());
    if (value != nullptr) {
      drained_[instance] = true;
    } else {
      drained_.erase(instance);
    }
    return;
  }
  // A deployment whose object vanished keeps its last revision: taking it away
  // would cut its callers, and no command deletes one.
  if (value != nullptr) {
    RevisionRecord record;
    record.deployment = key.substr(kDeployments.size());
    record.value = *value;
    emit_(RevisionSeen{std::move(record)});
  }
}

void PlatformDuty::EmitDrains() {
  DrainsSeen seen;
  for (const auto& [instance, drained] : drained_) {
    seen.instances.push_back(instance);
  }
  emit_(std::move(seen));
}

void PlatformDuty::PollInstances() {
  if (stopped_) {
    return;
  }
  CallOptions options;
  options.priority = CallPriority::kConfig;
  options.deadline = settings_.call_deadline;
  store_->ListInstances(options, [this](Result<InstanceList> result) {
    if (stopped_) {
      return;
    }
    if (IsOk(result)) {
      emit_(InstancesSeen{ValueOf(std::move(result))});
    }
    poll_timer_.expires_after(settings_.instance_poll_interval);
    poll_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        PollInstances();
      }
    });
  });
}

}  // namespace indigolead
