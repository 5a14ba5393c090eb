#ifndef INDIGOLEAD_ENTRY_STATUS_SERVER_H_
#define INDIGOLEAD_ENTRY_STATUS_SERVER_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/base/result.h"
#include "core/request/request_types.h"

namespace indigolead {

/// Serves short status queries about a process, such as whether it is ready, on
/// a separate address.
///
/// Accepts a limited number of connections and closes idle ones, because its
/// clients are programs that ask again.
class StatusServer {
 public:
  struct Options {
    std::string address;  ///< "IP:port"; if empty, nothing is served.
    std::size_t max_connections = 32;
    Duration idle_timeout = std::chrono::seconds(10);
  };
  /// Returns the answer for a path, which is given without its query.
  using Answer = std::function<WholeAnswer(std::string_view path)>;

  /// `io` must outlive this object.
  StatusServer(boost::asio::io_context* io, Options options, Answer answer);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  /// Binds the address and starts accepting connections. After an error of
  /// `Listen` it may be called again.
  Status Start();
  std::string bound_address() const;
  void Stop();

 private:
  class Connection;
  struct Shared;

  void Accept();
  void AcceptLater();

  Options options_;
  std::shared_ptr<Shared> shared_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_STATUS_SERVER_H_
