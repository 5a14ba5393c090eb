#ifndef INDIGOLEAD_REVIEW_HARNESS_PLAIN_SERVICE_H_
#define INDIGOLEAD_REVIEW_HARNESS_PLAIN_SERVICE_H_

// Sound servers of a plain service, and clients with a steady pace.

#include "scene.h"

namespace review {

/// A server of the plain service.
class Worker {
 public:
  Worker(std::string id, std::string zone, Record* record)
      : id_(std::move(id)),
        zone_(std::move(zone)),
        record_(record),
        server_([this](Connection* connection, const Message& request) {
          return Handle(connection, request);
        }) {}

  const std::string& id() const { return id_; }
  std::string Registration(const std::string& state) const {
    return PlainRegistration(server_.address(), zone_, state);
  }
  /// Requests that were sent later than this are counted.
  void CountFrom(std::int64_t at) { count_from_ = at; }
  int late() const { return late_; }
  void Exit() { down_ = true; }

 private:
  bool Handle(Connection* connection, const Message& request) {
    if (down_) {
      connection->Reset();
      return false;
    }
    const std::string id = request.Header("X-Request-Id");
    const std::string expected = request.Header("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      return connection->Write(
          MakeResponse(421, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}));
    }
    if (id.empty()) {
      return connection->Write(MakeResponse(400, {{"X-Not-Executed", "1"}}));
    }
    const bool late = Now() > count_from_;
    late_ += late ? 1 : 0;
    record_->Add("run " + id + " at " + id_ + (late ? " too late" : ""));
    Sleep(milliseconds(30));
    if (down_) {
      connection->Reset();
      return false;
    }
    return connection->Write(
        MakeResponse(200,
                     {{"X-Request-Id", id},
                      {"X-Response-Signature", "sig." + id_ + "." + id}},
                     "menu for " + id));
  }

  std::string id_;
  std::string zone_;
  Record* record_;
  std::atomic<std::int64_t> count_from_{INT64_MAX};
  std::atomic<int> late_{0};
  std::atomic<bool> down_{false};
  Server server_;
};

/// Sends requests at a steady pace until told to stop.
class Clients {
 public:
  Clients(std::uint16_t port, std::string name, Record* record)
      : thread_([this, port, name = std::move(name), record] {
          for (int n = 0; !stop_; ++n) {
            const std::string id = name + "-" + std::to_string(n);
            record->Add("sent " + id);
            const auto answer =
                SendAttempt(port, "GET", "/desk/1", id, 1500, "");
            const int status = answer ? answer->status() : 0;
            record->Add("answered " + id + " " + std::to_string(status));
            ++(status == 200 ? served_ : failed_);
            Sleep(milliseconds(40));
          }
        }) {}
  ~Clients() {
    stop_ = true;
    thread_.join();
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  int served() const { return served_; }
  int failed() const { return failed_; }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<int> served_{0};
  std::atomic<int> failed_{0};
  std::thread thread_;
};

}  // namespace review

#endif  // INDIGOLEAD_REVIEW_HARNESS_PLAIN_SERVICE_H_
