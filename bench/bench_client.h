#ifndef INDIGOLEAD_BENCH_BENCH_CLIENT_H_
#define INDIGOLEAD_BENCH_BENCH_CLIENT_H_

#include <utility>
// Asio in Boost 1.74 requires <utility> to be included first.
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "runtime/address.h"

namespace indigolead::bench {

inline boost::asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  return ValueOf(ParseEndpoint(address));
}

/// Incremental parser that detects the end of one HTTP response.
class ResponseParser {
 public:
  /// Consumes `data`. Returns true once the response is complete.
  bool Consume(std::string_view data) {
    if (!head_done_) {
      head_ += data;
      const std::size_t end = head_.find("\r\n\r\n");
      if (end == std::string::npos) {
        return false;
      }
      head_done_ = true;
      const std::string rest = head_.substr(end + 4);
      head_.resize(end + 4);
      const std::size_t at = head_.find("Content-Length: ");
      chunked_ = at == std::string::npos;
      remaining_ =
          chunked_
              ? 0
              : static_cast<std::uint64_t>(std::atoll(head_.c_str() + at + 16));
      return ConsumeBody(rest);
    }
    return ConsumeBody(data);
  }

  const std::string& head() const { return head_; }

  void Reset() { *this = ResponseParser(); }

 private:
  bool ConsumeBody(std::string_view data) {
    if (!chunked_) {
      remaining_ -= std::min<std::uint64_t>(remaining_, data.size());
      return remaining_ == 0;
    }
    tail_ += data.substr(data.size() - std::min<std::size_t>(data.size(), 5));
    tail_.erase(0, tail_.size() - std::min<std::size_t>(tail_.size(), 5));
    return tail_ == "0\r\n\r\n";
  }

  bool head_done_ = false;
  bool chunked_ = false;
  std::uint64_t remaining_ = 0;
  std::string head_;
  std::string tail_;
};

/// Blocking client that sends requests one at a time on one connection.
class BlockingClient {
 public:
  explicit BlockingClient(const std::string& address) : socket_(io_) {
    socket_.connect(EndpointOf(address));
    socket_.set_option(boost::asio::ip::tcp::no_delay(true));
  }

  /// Returns the header of the response.
  std::string Call(const std::string& request) {
    boost::asio::write(socket_, boost::asio::buffer(request));
    reader_.Reset();
    std::array<char, 4096> buf;
    for (;;) {
      const std::size_t n = socket_.read_some(boost::asio::buffer(buf));
      if (reader_.Consume({buf.data(), n})) {
        return reader_.head();
      }
    }
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  ResponseParser reader_;
};

/// Simulates many callers on one thread, each with its own connection.
class ParallelClients {
 public:
  ParallelClients(const std::string& address, std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      callers_.push_back(std::make_unique<Caller>(&io_, this));
      callers_.back()->socket.connect(EndpointOf(address));
      callers_.back()->socket.set_option(boost::asio::ip::tcp::no_delay(true));
    }
  }

  /// Repeats `request` on all connections for `time`, waits for the requests in
  /// flight, and returns the number of responses. Throws on any status but 200.
  std::uint64_t Run(const std::string& request, std::chrono::seconds time) {
    request_ = request;
    deadline_ = std::chrono::steady_clock::now() + time;
    for (auto& it : callers_) {
      it->Send();
    }
    std::thread thread([this] {
      pthread_setname_np(pthread_self(), "bench-callers");
      io_.run();
    });
    thread.join();
    io_.restart();
    return responses_;
  }

  /// Sends `request` on all connections and returns once each has received the
  /// start of its response. The responses stay open.
  void OpenStreams(const std::string& request) {
    for (auto& it : callers_) {
      boost::asio::write(it->socket, boost::asio::buffer(request));
    }
    std::string seen(1024, ' ');
    for (auto& it : callers_) {
      it->socket.read_some(boost::asio::buffer(seen));
    }
  }

 private:
  struct Caller {
    Caller(boost::asio::io_context* io, ParallelClients* owner)
        : socket(*io), owner(owner) {}

    void Send() {
      reader.Reset();
      boost::asio::async_write(
          socket, boost::asio::buffer(owner->request_),
          [this](const boost::system::error_code& ec, std::size_t) {
            if (!ec) {
              Read();
            }
          });
    }

    void Read() {
      socket.async_read_some(
          boost::asio::buffer(buf),
          [this](const boost::system::error_code& ec, std::size_t n) {
            if (ec) {
              throw std::runtime_error("connection failed: " + ec.message());
            }
            if (!reader.Consume({buf.data(), n})) {
              Read();
            } else {
              OnResponse();
            }
          });
    }

    void OnResponse() {
      if (reader.head().compare(0, 12, "HTTP/1.1 200") != 0) {
        throw std::runtime_error("unexpected response status: " +
                                 reader.head());
      }
      ++owner->responses_;
      if (std::chrono::steady_clock::now() < owner->deadline_) {
        Send();
      }
    }

    boost::asio::ip::tcp::socket socket;
    ParallelClients* owner;
    ResponseParser reader;
    std::array<char, 8192> buf;
  };

  boost::asio::io_context io_{1};
  std::vector<std::unique_ptr<Caller>> callers_;
  std::string request_;
  std::chrono::steady_clock::time_point deadline_;
  std::uint64_t responses_ = 0;
};

}  // namespace indigolead::bench

#endif  // INDIGOLEAD_BENCH_BENCH_CLIENT_H_
