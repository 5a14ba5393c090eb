#include "cli/http_get.h"

#include <utility>
// Boost 1.74's Asio uses std::exchange without including its header.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "core/config/value_text.h"
#include "runtime/message_parser.h"
#include "runtime/text_body.h"

namespace indigolead::cli {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxAnswerBytes = 64ULL << 20;
/// Bytes that the parser may leave unused, such as a chunk header that does not
/// end. Larger than any read of the library.
constexpr std::size_t kMaxUnparsedBytes = 128U << 10;
constexpr std::size_t kReadBytes = 16U << 10;
constexpr int kOkStatus = 200;

/// A single GET request on its own connection.
class GetCall {
 public:
  GetCall(const std::string& address, const std::string& path)
      : address_(address), stream_(io_) {
    request_.method(http::verb::get);
    request_.target(path);
    request_.version(11);
    request_.set(http::field::host, address);
    request_.set(http::field::connection, "close");
    parser_.body_limit(kMaxAnswerBytes);
  }

  Result<std::string> Run(Duration deadline) {
    stream_.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            deadline));
    const std::size_t colon = address_.find(':');
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address_.substr(0, colon)),
        static_cast<std::uint16_t>(*ParseInteger(address_.substr(colon + 1))));
    stream_.async_connect(endpoint, [this](error_code ec) { Write(ec); });
    io_.run();
    if (failure_) {
      return *failure_;
    }
    if (parser_.status() != kOkStatus) {
      return Error{ErrorCode::kUnavailable, "http.get", address_,
                   "answered " + std::to_string(parser_.status()) + ": " +
                       parser_.body().substr(0, 200)};
    }
    return std::move(parser_.body());
  }

 private:
  void Write(error_code ec) {
    if (ec) {
      Fail(ec);
      return;
    }
    http::async_write(stream_, request_,
                      [this](error_code ec, std::size_t) { ReadHead(ec); });
  }

  void ReadHead(error_code ec) {
    if (!ec) {
      ec = parser_.ParseHead(&buffer_);
    }
    if (ec == http::error::need_more) {
      ReadMore();
    } else if (ec) {
      Fail(ec);
    } else {
      ReadBody();
    }
  }

  void ReadMore() {
    stream_.async_read_some(
        buffer_.prepare(beast::read_size(buffer_, kReadBytes)),
        [this](error_code ec, std::size_t n) {
          buffer_.commit(n);
          ReadHead(ec);
        });
  }

  void ReadBody() {
    http::async_read(stream_, buffer_, parser_,
                     [this](error_code ec, std::size_t) {
                       if (ec) {
                         Fail(ec);
                       }
                     });
  }

  void Fail(error_code ec) {
    const bool late = ec == beast::error::timeout;
    failure_ = Error{late ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                     "http.get", address_, ec.message()};
  }

  std::string address_;
  asio::io_context io_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  http::request<http::empty_body> request_;
  ResponseParser<TextBody> parser_;
  std::optional<Error> failure_;
};

}  // namespace

Result<std::string> HttpGet(const std::string& address, const std::string& path,
                            Duration deadline) {
  if (!IsIpAndPort(address)) {
    return Error{ErrorCode::kInvalidInput, "http.get", address,
                 "accepted is an IP number and port, such as 127.0.0.1:8080"};
  }
  return GetCall(address, path).Run(deadline);
}

}  // namespace indigolead::cli
