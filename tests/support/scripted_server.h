#ifndef INDIGOLEAD_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define INDIGOLEAD_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace indigolead {

/// One step that a scripted server takes after it has read a request.
struct ScriptStep {
  enum class Kind {
    kSend,        ///< Sends `data`.
    kClose,       ///< Closes the connection normally.
    kReset,       ///< Closes it with a reset, as a killed process may.
    kPause,       ///< Waits 300 ms.
    kShortPause,  ///< Waits 5 ms, so that the data before it is read alone.
    kSleep,       ///< Stays silent until the server stops.
  };
  Kind kind = Kind::kSend;
  std::string data;
};

/// HTTP target that answers the n-th request, counted over all connections,
/// with the n-th script, and further requests with the last script. It can
/// inject a fault between two given bytes, which the stand-ins cannot.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<std::vector<ScriptStep>> scripts);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;
  /// Returns the requests read completely so far, head and body.
  std::vector<std::string> requests() const;
  int connections() const { return connections_; }

 private:
  void Accept();
  void Serve(int fd);
  bool ReadRequest(int fd, std::string* request);
  void Play(int fd, const std::vector<ScriptStep>& script, bool* open);

  std::vector<std::vector<ScriptStep>> scripts_;
  int listener_;
  int stop_event_;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_SCRIPTED_SERVER_H_
