#ifndef INDIGOLEAD_STANDINS_HTTP_SERVER_H_
#define INDIGOLEAD_STANDINS_HTTP_SERVER_H_

// The awaitable header of this Boost uses std::exchange without including it.
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

/// Coroutine on the thread of an `HttpServer`.
using Task = boost::asio::awaitable<void>;

/// Names and values of HTTP headers, in the order received or to be sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Whole request, as a handler sees it.
struct HttpRequest {
  std::string method;
  std::string path;   ///< Without query.
  std::string query;  ///< Without the question mark.
  HttpHeaders headers;
  std::string body;

  /// Returns the value of header `name` in any case; empty if absent.
  std::string Header(const std::string& name) const;

  /// Returns the decoded value of query parameter `name`; empty if absent.
  std::string Query(const std::string& name) const;

  /// Returns query parameter `name` as a number, or `otherwise`.
  std::uint64_t QueryNumber(const std::string& name,
                            std::uint64_t otherwise) const;
};

/// One request and the way to answer it. Lives for the handler's call only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /// Sends a whole answer.
  virtual Task Reply(int status, std::string body, HttpHeaders headers) = 0;

  /// Sends the head of a chunked answer; chunks and `EndChunks` follow.
  virtual Task StartChunks(int status, std::string content_type,
                           HttpHeaders headers) = 0;
  Task StartChunks(int status, std::string content_type) {
    return StartChunks(status, std::move(content_type), {});
  }
  virtual Task WriteChunk(std::string data) = 0;
  virtual Task EndChunks() = 0;

  /// Sends bytes as they are, for answers that are none.
  virtual Task WriteRaw(std::string bytes) = 0;

  /// Resets the connection.
  virtual void Abort() = 0;

  /// Closes the connection in order: the caller gets all that was sent.
  virtual void Close() = 0;

  /// Returns false once the connection has failed or was aborted. Writes then
  /// do nothing.
  virtual bool open() const = 0;

  /// Waits for `ms` milliseconds.
  virtual Task Sleep(std::chrono::milliseconds ms) = 0;
};

/// Small HTTP/1.1 server with a thread of its own, on which handlers run.
///
/// Shared by the stand-ins. It can be taken down and brought back on the same
/// port, as a crashed and restarted process would be.
class HttpServer {
 public:
  using Handler = std::function<Task(HttpExchange&)>;

  /// Listens on 127.0.0.1 at `port`, or at a free one if it is 0, but serves
  /// only once started. Throws if the port is taken.
  HttpServer(std::uint16_t port, Handler handler);

  /// Cuts every connection and joins the thread. Coroutines in flight are
  /// destroyed, so what they use must outlive the server.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts the thread. Separate, so that the owner can set up first what the
  /// handler uses.
  void Start();

  std::uint16_t port() const;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;

  /// Returns the context whose one thread runs the handlers.
  boost::asio::io_context& io();

  /// Calls `function` on the server's thread and waits for it. Invalid from
  /// that thread.
  void Invoke(const std::function<void()>& function);

  /// Refuses connections and cuts the open ones, or listens again. Any thread.
  void SetDown(bool down);

  /// As `SetDown`, for the server's own thread. Cuts connections at once, the
  /// current handler's too.
  void SetDownHere(bool down);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Waiting place of coroutines on one server's thread.
///
/// Stands for a condition variable: `Wait` returns after `NotifyAll` or after
/// the time given, whichever comes first. Used on that thread only, and
/// destroyed there or after the server.
class Notifier {
 public:
  explicit Notifier(boost::asio::io_context* io);
  ~Notifier();
  Notifier(const Notifier&) = delete;
  Notifier& operator=(const Notifier&) = delete;

  Task Wait(std::chrono::milliseconds at_most);
  void NotifyAll();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_HTTP_SERVER_H_
