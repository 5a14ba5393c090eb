#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_USAGE_RECEIVER_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_USAGE_RECEIVER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/http_server.h"

namespace indigolead::testing {

/// Stand-in for the platform's receiver of usage reports. Checks that the
/// reports are consistent with each other.
class UsageReceiver {
 public:
  /// How the receiver handles a report.
  enum class Behaviour {
    kHealthy,
    kBusy,    ///< Answers 503 without recording the report.
    kSilent,  ///< Records the report and never answers.
    kResets,  ///< Records the report and resets the connection.
    kSlow,    ///< Records the report and answers after `kSlowness`.
  };
  static constexpr std::chrono::milliseconds kSlowness{700};

  UsageReceiver();
  UsageReceiver(const UsageReceiver&) = delete;
  UsageReceiver& operator=(const UsageReceiver&) = delete;

  std::string address() const { return server_.address(); }
  void SetBehaviour(Behaviour behaviour);

  /// Returns the requests of `account`, summed over all recorded windows.
  std::uint64_t Requests(const std::string& account);
  /// Returns the number of windows with a recorded report.
  std::size_t windows();
  /// Returns the violations found: different reports for one window, a fencing
  /// number that decreased, or a report that cannot be parsed.
  std::vector<std::string> errors();

 private:
  standins::Task Handle(standins::HttpExchange& exchange);
  void Record(const standins::HttpRequest& request);

  Behaviour behaviour_ = Behaviour::kHealthy;
  std::map<std::int64_t, nlohmann::json> counts_;  ///< By window.
  std::uint64_t highest_ = 0;
  std::vector<std::string> errors_;
  standins::HttpServer server_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_USAGE_RECEIVER_H_
