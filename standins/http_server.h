#ifndef INDIGOLEAD_STANDINS_HTTP_SERVER_H_
#define INDIGOLEAD_STANDINS_HTTP_SERVER_H_

// Boost's awaitable.hpp uses std::exchange without including <utility>.
// clang-format off
#include <utility>
#include <boost/asio/awaitable.hpp>
// clang-format on

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace indigolead::standins {

/// Coroutine that runs on the thread of an `HttpServer`.
using Task = boost::asio::awaitable<void>;

/// HTTP header names and values, in wire order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Complete HTTP request passed to a handler.
struct HttpRequest {
  std::string method;
  std::string path;   ///< Without query.
  std::string query;  ///< Without the question mark.
  HttpHeaders headers;
  std::string body;

  /// Returns the value of header `name`, or an empty string if absent. Names
  /// are compared case-insensitively.
  std::string Header(const std::string& name) const;

  /// Returns the decoded value of query parameter `name`, or an empty string if
  /// absent.
  std::string Query(const std::string& name) const;

  /// Returns query parameter `name` as a number, or `default_value` if absent.
  std::uint64_t QueryNumber(const std::string& name,
                            std::uint64_t default_value) const;
};

/// One request and its response. Valid only during the handler's call.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /// Sends a complete response.
  virtual Task Reply(int status, std::string body, HttpHeaders headers) = 0;

  /// Sends the header of a chunked response. `WriteChunk` and `EndChunks`
  /// follow.
  virtual Task StartChunks(int status, std::string content_type,
                           HttpHeaders headers) = 0;
  Task StartChunks(int status, std::string content_type) {
    return StartChunks(status, std::move(content_type), {});
  }
  virtual Task WriteChunk(std::string data) = 0;
  virtual Task EndChunks() = 0;

  /// Sends `bytes` unmodified, for responses that are not valid HTTP.
  virtual Task WriteRaw(std::string bytes) = 0;

  /// Resets the connection.
  virtual void Abort() = 0;

  /// Closes the connection gracefully: the caller receives all data sent.
  virtual void Close() = 0;

  /// Returns false once the connection has failed or was aborted. Writes then
  /// do nothing.
  virtual bool open() const = 0;

  /// Waits for `ms` milliseconds.
  virtual Task Sleep(std::chrono::milliseconds ms) = 0;
};

/// Small HTTP/1.1 server that runs its handlers on its own thread.
///
/// Shared by the stand-ins. It can be taken down and brought back on the same
/// port, like a process that crashes and restarts.
class HttpServer {
 public:
  using Handler = std::function<Task(HttpExchange&)>;

  /// Listens on 127.0.0.1 at `port`, or at a free port if it is 0. Serves
  /// requests only after `Start`. Throws if the port is in use.
  HttpServer(std::uint16_t port, Handler handler);

  /// Closes all connections and joins the thread. Suspended coroutines are
  /// destroyed, so the objects they use must outlive the server.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts the thread. Separate from the constructor, so that the owner can
  /// first initialize the state that the handler uses.
  void Start();

  std::uint16_t port() const;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;

  /// Returns the single-threaded I/O context that runs the handlers.
  boost::asio::io_context& io();

  /// Calls `function` on the server's thread and waits for it to return. Must
  /// not be called from that thread.
  void Invoke(const std::function<void()>& function);

  /// Refuses new connections and resets open ones while `down` is set. Must
  /// not be called from the server's thread.
  void SetDown(bool down);

  /// Like `SetDown`, but must be called on the server's thread. Resets all
  /// connections immediately, including the current handler's.
  void SetDownOnServerThread(bool down);

  /// Ends all connections, including the current handler's, with a reset or,
  /// if `in_order`, with a regular close. New ones are accepted. Must be called
  /// on the server's thread.
  void EndConnectionsOnServerThread(bool in_order);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Condition variable for coroutines on one server's thread.
///
/// `Wait` returns after `NotifyAll` or after the timeout, whichever comes
/// first. Must be used only on that thread, and destroyed there or after the
/// server.
class Notifier {
 public:
  explicit Notifier(boost::asio::io_context* io);
  ~Notifier();
  Notifier(const Notifier&) = delete;
  Notifier& operator=(const Notifier&) = delete;

  Task Wait(std::chrono::milliseconds max_wait);
  void NotifyAll();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_HTTP_SERVER_H_
