#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_ONE_TARGET_SCENE_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_ONE_TARGET_SCENE_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "tests/platform/support/platform_scene.h"

namespace indigolead::testing {

/// An entry process whose only plain target is the one at an address, which may
/// send arbitrary bytes.
class OneTargetScene {
 public:
  static constexpr int kDeadlineMs = 4000;

  /// `limits` replaces values of the configuration's limits.
  explicit OneTargetScene(const std::string& target_address,
                          const nlohmann::json& limits = {}) {
    nlohmann::json configuration = MakeConfiguration(4);
    if (!limits.is_null()) {
      configuration["limits"].update(limits);
    }
    scene_.store.Put("config", "main", configuration);
    nlohmann::json registration = scene_.worker("a0").Registration();
    registration["address"] = target_address;
    scene_.store.Put("servers", "only", registration);
    scene_.Deregister(scene_.worker("a0"));
    scene_.Deregister(scene_.worker("a1"));
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }

  const std::string& address() const { return scene_.callers_address; }
  PlatformScene& scene() { return scene_; }

  /// Sends a request that may run only once.
  HttpAnswer Send(const std::string& id, const std::string& body) const {
    return HttpCall(
        address(), "POST", "/menu/1", body,
        {{"X-Request-Id", id}, {"X-Deadline-Ms", std::to_string(kDeadlineMs)}},
        std::chrono::seconds(10));
  }

 private:
  PlatformScene scene_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_ONE_TARGET_SCENE_H_
