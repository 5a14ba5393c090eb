#include "standins/relay_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <set>
#include <stdexcept>
#include <thread>

namespace indigolead::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::size_t kReadBytes = 64U << 10;

tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("expected IP:port, got " + address);
  }
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

class RelayServer::Impl {
 public:
  Impl(std::uint16_t port, const std::string& to)
      : to_(ParseEndpoint(to)),
        acceptor_(io_, {asio::ip::address_v4::loopback(), port}) {
    port_ = acceptor_.local_endpoint().port();
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Impl() {
    io_.stop();
    thread_.join();
  }

  std::uint16_t port() const { return port_; }

  void Invoke(const std::function<void()>& function) {
    std::promise<void> done;
    asio::post(io_, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  void SilenceOpen() {
    for (const auto& connection : connections_) {
      connection->silent = true;
    }
  }

  void SetPartitioned(bool partitioned) {
    partitioned_ = partitioned;
    if (partitioned) {
      SilenceOpen();
    }
  }

  void SetDelay(milliseconds delay) { delay_ = delay; }

  void ResetOpen() {
    const auto connections = connections_;
    for (const auto& connection : connections) {
      Close(connection, true);
    }
  }

  std::uint64_t accepted() const { return accepted_; }
  std::size_t open() const { return connections_.size(); }

 private:
  /// Pair of sockets with data forwarded in both directions.
  struct Connection {
    explicit Connection(tcp::socket accepted, asio::io_context* io)
        : near(std::move(accepted)), far(*io) {}

    tcp::socket near;
    tcp::socket far;
    bool silent = false;
    int ended = 0;  ///< Number of directions at end of stream.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// One direction of a connection.
  struct Pipe {
    Pipe(ConnectionPtr owner, tcp::socket* source, tcp::socket* sink,
         asio::io_context* io)
        : connection(std::move(owner)), from(source), to(sink), timer(*io) {}

    ConnectionPtr connection;
    tcp::socket* from;
    tcp::socket* to;
    asio::steady_timer timer;
    std::array<char, kReadBytes> buf{};
  };
  using PipePtr = std::shared_ptr<Pipe>;

  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      ++accepted_;
      const auto connection =
          std::make_shared<Connection>(std::move(socket), &io_);
      connection->silent = partitioned_;
      connections_.insert(connection);
      Connect(connection);
      Accept();
    });
  }

  void Connect(const ConnectionPtr& connection) {
    connection->far.async_connect(to_, [this, connection](error_code ec) {
      if (ec) {
        Close(connection, true);
        return;
      }
      connection->near.set_option(tcp::no_delay(true), ec);
      connection->far.set_option(tcp::no_delay(true), ec);
      Read(std::make_shared<Pipe>(connection, &connection->near,
                                  &connection->far, &io_));
      Read(std::make_shared<Pipe>(connection, &connection->far,
                                  &connection->near, &io_));
    });
  }

  void Read(const PipePtr& pipe) {
    pipe->from->async_read_some(asio::buffer(pipe->buf),
                                [this, pipe](error_code ec, std::size_t n) {
                                  if (pipe->connection->silent) {
                                    // Discards data and end of stream: the
                                    // other side must not see either.
                                    if (!ec) {
                                      Read(pipe);
                                    }
                                    return;
                                  }
                                  if (ec) {
                                    End(pipe, ec);
                                    return;
                                  }
                                  Delay(pipe, n);
                                });
  }

  void Delay(const PipePtr& pipe, std::size_t n) {
    if (delay_.count() == 0) {
      Write(pipe, n);
      return;
    }
    pipe->timer.expires_after(delay_);
    pipe->timer.async_wait([this, pipe, n](error_code) { Write(pipe, n); });
  }

  void Write(const PipePtr& pipe, std::size_t n) {
    if (pipe->connection->silent) {
      Read(pipe);
      return;
    }
    asio::async_write(*pipe->to, asio::buffer(pipe->buf.data(), n),
                      [this, pipe](error_code ec, std::size_t) {
                        if (ec && !pipe->connection->silent) {
                          Close(pipe->connection, true);
                        } else if (!ec) {
                          Read(pipe);
                        }
                      });
  }

  void End(const PipePtr& pipe, error_code ec) {
    if (ec != asio::error::eof) {
      Close(pipe->connection, true);
      return;
    }
    // Forwards the half-close. The connection closes when both halves have.
    pipe->to->shutdown(tcp::socket::shutdown_send, ec);
    if (++pipe->connection->ended == 2) {
      Close(pipe->connection, false);
    }
  }

  void Close(const ConnectionPtr& connection, bool reset) {
    error_code ec;
    for (auto* socket : {&connection->near, &connection->far}) {
      if (reset && socket->is_open()) {
        socket->set_option(asio::socket_base::linger(true, 0), ec);
      }
      socket->close(ec);
    }
    connections_.erase(connection);
  }

  asio::io_context io_{1};
  tcp::endpoint to_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  bool partitioned_ = false;
  milliseconds delay_{0};
  std::uint64_t accepted_ = 0;
  std::set<ConnectionPtr> connections_;
  std::thread thread_;
};

RelayServer::RelayServer(std::uint16_t port, const std::string& to)
    : impl_(std::make_unique<Impl>(port, to)) {}

RelayServer::~RelayServer() = default;

std::uint16_t RelayServer::port() const { return impl_->port(); }

std::string RelayServer::address() const {
  return "127.0.0.1:" + std::to_string(port());
}

void RelayServer::SilenceOpenConnections() {
  impl_->Invoke([this] { impl_->SilenceOpen(); });
}

void RelayServer::SetPartitioned(bool partitioned) {
  impl_->Invoke([this, partitioned] { impl_->SetPartitioned(partitioned); });
}

void RelayServer::SetDelay(std::chrono::milliseconds delay) {
  impl_->Invoke([this, delay] { impl_->SetDelay(delay); });
}

void RelayServer::ResetOpenConnections() {
  impl_->Invoke([this] { impl_->ResetOpen(); });
}

std::uint64_t RelayServer::accepted() {
  std::uint64_t count = 0;
  impl_->Invoke([&] { count = impl_->accepted(); });
  return count;
}

std::size_t RelayServer::open_connections() {
  std::size_t count = 0;
  impl_->Invoke([&] { count = impl_->open(); });
  return count;
}

}  // namespace indigolead::standins
