#include "standins/http_server.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <future>
#include <set>
#include <thread>

namespace indigolead::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20;

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(
          std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

/// One connection. Its coroutine keeps it alive; the server holds a weak
/// reference in order to reset it.
class Connection : public HttpExchange {
 public:
  explicit Connection(tcp::socket socket) : stream_(std::move(socket)) {}

  /// Serves requests until the connection ends.
  Task Serve(const HttpServer::Handler& handler) {
    beast::flat_buffer buf;
    while (open_) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      beast::error_code ec;
      co_await http::async_read(stream_, buf, parser,
                                asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        break;
      }
      keep_alive_ = parser.get().keep_alive();
      Take(parser.get());
      co_await handler(*this);
      if (!keep_alive_) {
        break;
      }
    }
    Finish();
  }

  const HttpRequest& request() const override { return request_; }

  Task Reply(int status, std::string body, HttpHeaders headers) override {
    http::response<http::string_body> answer(http::int_to_status(status), 11);
    answer.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : headers) {
      answer.set(name, value);
    }
    answer.keep_alive(keep_alive_);
    answer.body() = std::move(body);
    answer.prepare_payload();
    if (request_.method == "HEAD") {
      answer.body().clear();
    }
    beast::error_code ec;
    co_await http::async_write(stream_, answer,
                               asio::redirect_error(asio::use_awaitable, ec));
    Note(ec);
  }

  Task StartChunks(int status, std::string content_type,
                   HttpHeaders headers) override {
    http::response<http::empty_body> head(http::int_to_status(status), 11);
    head.set(http::field::content_type, content_type);
    for (const auto& [name, value] : headers) {
      head.set(name, value);
    }
    head.keep_alive(keep_alive_);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    beast::error_code ec;
    co_await http::async_write_header(
        stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
    Note(ec);
  }

  Task WriteChunk(std::string data) override {
    if (!open_ || data.empty()) {
      co_return;
    }
    beast::error_code ec;
    co_await asio::async_write(stream_, http::make_chunk(asio::buffer(data)),
                               asio::redirect_error(asio::use_awaitable, ec));
    Note(ec);
  }

  Task EndChunks() override {
    if (!open_) {
      co_return;
    }
    beast::error_code ec;
    co_await asio::async_write(stream_, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, ec));
    Note(ec);
  }

  Task WriteRaw(std::string bytes) override {
    beast::error_code ec;
    co_await asio::async_write(stream_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    Note(ec);
  }

  void Abort() override {
    open_ = false;
    // A zero linger time makes close send a reset, as for a killed process.
    beast::error_code ec;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ec);
    stream_.socket().close(ec);
  }

  void Close() override { Finish(); }

  bool open() const override { return open_; }

  Task Sleep(std::chrono::milliseconds ms) override {
    asio::steady_timer timer(co_await asio::this_coro::executor, ms);
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

 private:
  void Take(const http::request<http::string_body>& message) {
    request_ = HttpRequest{};
    request_.method = message.method_string().to_string();
    const std::string target(message.target());
    const auto mark = target.find('?');
    request_.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      request_.query = target.substr(mark + 1);
    }
    for (const auto& field : message) {
      request_.headers.emplace_back(field.name_string().to_string(),
                                    field.value().to_string());
    }
    request_.body = message.body();
  }

  void Note(beast::error_code ec) { open_ = open_ && !ec; }

  void Finish() {
    beast::error_code ec;
    if (open_) {
      stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    }
    stream_.socket().close(ec);
    open_ = false;
  }

  beast::tcp_stream stream_;
  HttpRequest request_;
  bool keep_alive_ = true;
  bool open_ = true;
};

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, name)) {
      return value;
    }
  }
  return "";
}

std::string HttpRequest::Query(const std::string& name) const {
  std::size_t at = 0;
  while (at < query.size()) {
    const auto end = std::min(query.find('&', at), query.size());
    const std::string part = query.substr(at, end - at);
    if (part.rfind(name + "=", 0) == 0) {
      return PercentDecode(part.substr(name.size() + 1));
    }
    at = end + 1;
  }
  return "";
}

std::uint64_t HttpRequest::QueryNumber(const std::string& name,
                                       std::uint64_t default_value) const {
  const std::string text = Query(name);
  return text.empty() ? default_value
                      : std::strtoull(text.c_str(), nullptr, 10);
}

class HttpServer::Impl {
 public:
  Impl(std::uint16_t port, Handler handler)
      : handler_(std::move(handler)), port_holder_(io_), acceptor_(io_) {
    // This socket reserves the port while the server is down: a socket that is
    // bound but not listening refuses connections.
    port_holder_.open(tcp::v4());
    port_holder_.set_option(asio::socket_base::reuse_address(true));
    port_holder_.bind({asio::ip::address_v4::loopback(), port});
    port_ = port_holder_.local_endpoint().port();
    Listen();
  }

  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Impl() {
    work_.reset();
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  std::uint16_t port() const { return port_; }
  asio::io_context& io() { return io_; }

  void Invoke(const std::function<void()>& function) {
    std::promise<void> done;
    asio::post(io_, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  void SetDown(bool down) {
    if (down != acceptor_.is_open()) {
      return;
    }
    if (!down) {
      Listen();
      return;
    }
    beast::error_code ec;
    acceptor_.close(ec);
    EndConnections(/*in_order=*/false);
  }

  void EndConnections(bool in_order) {
    for (const auto& weak : connections_) {
      if (auto connection = weak.lock()) {
        if (in_order) {
          connection->Close();
        } else {
          connection->Abort();
        }
      }
    }
    connections_.clear();
  }

 private:
  using WeakConnection = std::weak_ptr<Connection>;

  void Listen() {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind({asio::ip::address_v4::loopback(), port_});
    acceptor_.listen();
    Accept();
  }

  void Accept() {
    acceptor_.async_accept([this](beast::error_code ec, tcp::socket socket) {
      if (ec) {
        if (acceptor_.is_open()) {
          Accept();
        }
        return;
      }
      socket.set_option(tcp::no_delay(true), ec);
      Serve(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    const WeakConnection weak = connection;
    connections_.insert(weak);
    asio::co_spawn(
        io_,
        [this, connection]() -> Task { co_await connection->Serve(handler_); },
        [this, weak](const std::exception_ptr&) { connections_.erase(weak); });
  }

  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_ =
      asio::make_work_guard(io_);
  Handler handler_;
  tcp::socket port_holder_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::set<WeakConnection, std::owner_less<WeakConnection>> connections_;
  std::thread thread_;
};

HttpServer::HttpServer(std::uint16_t port, Handler handler)
    : impl_(std::make_unique<Impl>(port, std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Start() { impl_->Start(); }

std::uint16_t HttpServer::port() const { return impl_->port(); }

std::string HttpServer::address() const {
  return "127.0.0.1:" + std::to_string(port());
}

asio::io_context& HttpServer::io() { return impl_->io(); }

void HttpServer::Invoke(const std::function<void()>& function) {
  impl_->Invoke(function);
}

void HttpServer::SetDown(bool down) {
  Invoke([this, down] { impl_->SetDown(down); });
}

void HttpServer::SetDownOnServerThread(bool down) { impl_->SetDown(down); }

void HttpServer::EndConnectionsOnServerThread(bool in_order) {
  impl_->EndConnections(in_order);
}

struct Notifier::State {
  asio::io_context* io;
  std::set<asio::steady_timer*> waiting;
};

namespace {

/// Registers a timer in a set for the lifetime of the coroutine frame, so that
/// a frame destroyed while waiting does not leave a dangling timer.
class WaitingTimer {
 public:
  WaitingTimer(std::set<asio::steady_timer*>* waiting, asio::io_context* io,
               std::chrono::milliseconds max_wait)
      : waiting_(waiting), timer_(*io, max_wait) {
    waiting_->insert(&timer_);
  }
  ~WaitingTimer() { waiting_->erase(&timer_); }
  WaitingTimer(const WaitingTimer&) = delete;
  WaitingTimer& operator=(const WaitingTimer&) = delete;

  asio::steady_timer& timer() { return timer_; }

 private:
  std::set<asio::steady_timer*>* waiting_;
  asio::steady_timer timer_;
};

}  // namespace

Notifier::Notifier(asio::io_context* io)
    : state_(std::make_shared<State>(State{io, {}})) {}

Notifier::~Notifier() = default;

Task Notifier::Wait(std::chrono::milliseconds max_wait) {
  const auto state = state_;
  WaitingTimer waiting(&state->waiting, state->io, max_wait);
  beast::error_code ec;
  co_await waiting.timer().async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
}

void Notifier::NotifyAll() {
  for (auto* timer : state_->waiting) {
    timer->cancel();
  }
}

}  // namespace indigolead::standins
