#ifndef INDIGOLEAD_TESTS_SUPPORT_UPLOAD_TARGET_H_
#define INDIGOLEAD_TESTS_SUPPORT_UPLOAD_TARGET_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace indigolead {

/// HTTP target with a small receive window that responds to each request before
/// it has read the request's body.
class UploadTarget {
 public:
  enum class End {
    kReset,          ///< Resets the connection.
    kCloseReadOn,    ///< Closes its direction and reads the body to its end.
    kCloseAndStall,  ///< Closes its direction and does not read on.
  };
  struct Options {
    /// In `head`, "ID" stands for the request's X-Request-Id.
    std::string head;
    std::string body;
    std::size_t read_bytes = 0;  ///< Of the request's body, at least.
    End end = End::kReset;
    /// Sends the body only after `SendBody`.
    bool holds_body = false;
  };

  explicit UploadTarget(Options options);
  ~UploadTarget();
  UploadTarget(const UploadTarget&) = delete;
  UploadTarget& operator=(const UploadTarget&) = delete;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;
  /// Sends the body that was held, and ends the connection.
  void SendBody() { may_send_body_ = true; }
  /// Returns how many requests with an id have got the whole response.
  int responses() const { return responses_; }

 private:
  void Accept();
  /// Returns the head of the response to the request `id`.
  std::string HeadFor(const std::string& id) const;
  void Serve(boost::asio::ip::tcp::socket socket);

  Options options_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> may_send_body_{false};
  std::atomic<int> responses_{0};
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_UPLOAD_TARGET_H_
