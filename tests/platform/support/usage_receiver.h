#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_USAGE_RECEIVER_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_USAGE_RECEIVER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/http_server.h"

namespace indigolead::testing {

/// Stand-in of the part of the platform that takes usage reports, and checks
/// what must hold for all of them together.
class UsageReceiver {
 public:
  /// What becomes of a report.
  enum class Behaviour {
    kSound,
    kBusy,    ///< 503, not taken.
    kSilent,  ///< Taken, and never answered.
    kResets,  ///< Taken, and the connection is reset.
    kSlow,    ///< Taken, and answered after `kSlowness`.
  };
  static constexpr std::chrono::milliseconds kSlowness{700};

  UsageReceiver();
  UsageReceiver(const UsageReceiver&) = delete;
  UsageReceiver& operator=(const UsageReceiver&) = delete;

  std::string address() const { return server_.address(); }
  void SetBehaviour(Behaviour behaviour);

  /// Returns how many requests of `account` the windows taken add up to.
  std::uint64_t Requests(const std::string& account);
  /// Returns the number of windows of which a report was taken.
  std::size_t windows();
  /// Returns what was wrong: two contents for a window, a number that fell, or
  /// words that cannot be read.
  std::vector<std::string> broken();

 private:
  standins::Task Handle(standins::HttpExchange& exchange);
  void Take(const standins::HttpRequest& request);

  Behaviour behaviour_ = Behaviour::kSound;
  std::map<std::int64_t, nlohmann::json> counts_;  ///< By window.
  std::uint64_t highest_ = 0;
  std::vector<std::string> broken_;
  standins::HttpServer server_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_USAGE_RECEIVER_H_
