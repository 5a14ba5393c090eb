#ifndef INDIGOLEAD_REVIEW_HARNESS_2_NET_H_
#define INDIGOLEAD_REVIEW_HARNESS_2_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header with this name; empty if absent.
std::string FindHeader(const Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string Get(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

struct Response {
  int status = 0;
  Headers headers;
  std::string body;
  bool complete = false;  ///< The body ended by its framing.

  std::string Get(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

/// A TCP connection with buffered reading.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  /// Connects to "IP:port"; see `open()`.
  explicit Connection(const std::string& address);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool open() const { return fd_ >= 0; }
  bool Write(std::string_view data);
  /// Reads one request. Returns false at the end of the connection.
  bool ReadRequest(Request* request);
  /// Reads one response to a request that was not a HEAD. Returns nothing if
  /// the connection ends, or `timeout` passes, before its head is complete.
  std::optional<Response> ReadResponse(Milliseconds timeout);
  /// Returns true if the peer has closed or reset the connection.
  bool PeerClosed();
  /// Closes with a reset.
  void Reset();
  /// Ends blocked reads and writes of another thread.
  void Shutdown();

 private:
  bool Fill(std::optional<std::chrono::steady_clock::time_point> until);
  std::optional<std::string> ReadLine(
      std::optional<std::chrono::steady_clock::time_point> until);
  bool ReadHeaders(Headers* headers,
                   std::optional<std::chrono::steady_clock::time_point> until);
  bool ReadBody(const Headers& headers, bool until_close,
                std::optional<std::chrono::steady_clock::time_point> until,
                std::string* body);

  int fd_ = -1;
  std::string buffer_;
};

/// Serves each connection in a thread of its own on a loopback port. At its end
/// it closes all connections.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  /// Listens on 127.0.0.1; port 0 picks a free one.
  explicit Server(Handler handler, int port = 0);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& address() const { return address_; }

 private:
  struct Peer {
    std::unique_ptr<Connection> connection;
    std::thread thread;
  };
  void Accept();

  Handler handler_;
  int fd_ = -1;
  std::string address_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::list<Peer> peers_;
  std::thread acceptor_;
};

/// Returns a loopback address "IP:port" that is free now.
std::string FreeAddress(const std::string& ip);

/// Returns a response with a Content-Length.
std::string FormatResponse(int status, const Headers& headers,
                           std::string_view body);

/// Returns a request with a Content-Length.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const Headers& headers, std::string_view body);

/// Writes lines with the time since the start to a file.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::string path_;
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

}  // namespace review

#endif  // INDIGOLEAD_REVIEW_HARNESS_2_NET_H_
