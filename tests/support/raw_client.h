#ifndef INDIGOLEAD_TESTS_SUPPORT_RAW_CLIENT_H_
#define INDIGOLEAD_TESTS_SUPPORT_RAW_CLIENT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace indigolead {

/// One TCP connection on which a test writes arbitrary bytes. Reads wait for at
/// most ten seconds.
class RawClient {
 public:
  /// Connects to "IP:port"; aborts the test if that fails.
  explicit RawClient(const std::string& address);
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  /// Returns false if the peer has closed.
  bool Write(std::string_view data);

  /// Returns all bytes received once they contain `text`, or those received
  /// until the peer closed or the timeout expired.
  const std::string& ReadUntil(std::string_view text);

  /// Returns all bytes received until the peer closed the connection.
  const std::string& ReadToEnd();

  /// Returns true if the peer closed in `ReadUntil` or `ReadToEnd`.
  bool closed() const { return closed_; }

  /// Returns true if the peer closed the connection with a reset.
  bool reset() const { return reset_; }

  /// Discards the bytes received so far.
  void Clear() { seen_.clear(); }

  /// Closes this end.
  void Close();

 private:
  bool ReadSome();

  int fd_ = -1;
  bool closed_ = false;
  bool reset_ = false;
  std::string seen_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_RAW_CLIENT_H_
