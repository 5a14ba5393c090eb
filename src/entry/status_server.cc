#include "entry/status_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

#include "entry/listen.h"
#include "runtime/address.h"
#include "runtime/request_parser.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint32_t kMaxHeaderBytes = 8U << 10;
/// Pause after a failed accept; without it, a full table of descriptors would
/// make a busy loop.
constexpr std::chrono::milliseconds kAcceptRetry{100};

}  // namespace

/// State shared with the connections; outlives the server while one of them
/// exists.
struct StatusServer::Shared {
  Answer answer;
  std::size_t connections = 0;
  bool stopped = false;
};

class StatusServer::Connection
    : public std::enable_shared_from_this<StatusServer::Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<Shared> shared,
             Duration idle_timeout)
      : stream_(std::move(socket)),
        shared_(std::move(shared)),
        idle_timeout_(idle_timeout) {
    ++shared_->connections;
  }
  ~Connection() { --shared_->connections; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Read() {
    parser_.emplace(RequestParser::Limits{kMaxHeaderBytes, 0});
    stream_.expires_after(idle_timeout_);
    buffer_.size() > 0 ? Parse() : ReadSome();
  }

 private:
  void ReadSome() {
    stream_.async_read_some(
        buffer_.prepare(boost::beast::read_size(buffer_, kMaxHeaderBytes)),
        [self = shared_from_this()](const boost::system::error_code& ec,
                                    std::size_t n) {
          self->buffer_.commit(n);
          if (!ec) {
            self->Parse();
          }
        });
  }

  /// Closes the connection after an invalid request, by dropping the last
  /// reference to it.
  void Parse() {
    const auto ec = parser_->Parse(&buffer_);
    if (ec == http::error::need_more) {
      ReadSome();
    } else if (!ec && !shared_->stopped) {
      Respond(parser_->TakeHead());
    }
  }

  void Respond(const RequestHead& request) {
    const std::string_view path = request.target;
    WholeAnswer answer = shared_->answer(path.substr(0, path.find('?')));
    response_ = {};
    response_.result(static_cast<unsigned>(answer.status));
    response_.version(request.version);
    response_.keep_alive(request.keep_alive);
    for (const HeaderField& it : answer.headers) {
      response_.set(it.name, it.value);
    }
    response_.body() = std::move(answer.body);
    response_.prepare_payload();
    http::async_write(stream_, response_,
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        if (!error && self->response_.keep_alive()) {
                          self->Read();
                        }
                      });
  }

  boost::beast::tcp_stream stream_;
  /// Bounded, because a chunk header may not end.
  boost::beast::flat_buffer buffer_{std::size_t{2} * kMaxHeaderBytes};
  std::optional<RequestParser> parser_;
  http::response<http::string_body> response_;
  std::shared_ptr<Shared> shared_;
  Duration idle_timeout_;
};

StatusServer::StatusServer(asio::io_context* io, Options options, Answer answer)
    : options_(std::move(options)),
      shared_(std::make_shared<Shared>(Shared{std::move(answer), 0, false})),
      acceptor_(*io),
      retry_timer_(*io) {}

StatusServer::~StatusServer() { Stop(); }

Status StatusServer::Start() {
  if (options_.address.empty()) {
    return Unit{};
  }
  if (Status status = Listen(options_.address, "status.listen", &acceptor_);
      !IsOk(status)) {
    return status;
  }
  Accept();
  return Unit{};
}

std::string StatusServer::bound_address() const {
  boost::system::error_code ec;
  return ToText(acceptor_.local_endpoint(ec));
}

void StatusServer::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
          return;
        }
        if (ec) {
          AcceptLater();
          return;
        }
        if (shared_->connections < options_.max_connections) {
          std::make_shared<Connection>(std::move(socket), shared_,
                                       options_.idle_timeout)
              ->Read();
        }
        Accept();
      });
}

void StatusServer::AcceptLater() {
  retry_timer_.expires_after(kAcceptRetry);
  retry_timer_.async_wait(
      [this, shared = shared_](const boost::system::error_code& ec) {
        if (!ec && !shared->stopped) {
          Accept();
        }
      });
}

void StatusServer::Stop() {
  shared_->stopped = true;
  retry_timer_.cancel();
  boost::system::error_code ec;
  acceptor_.close(ec);
}

}  // namespace indigolead
