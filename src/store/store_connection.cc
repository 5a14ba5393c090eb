#include "store/store_connection.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <utility>

#include "core/request/header_fields.h"
#include "runtime/message_parser.h"
#include "runtime/text_body.h"

// The compiler mistakes the coroutine frame allocator of Boost.Asio for a plain
// operator new and reports a mismatch that does not exist.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace indigolead::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint32_t kMaxHeaderBytes = 16U << 10;
constexpr std::size_t kReadBytes = 16U << 10;
constexpr int kMaxInterimResponses = 16;
/// Bytes that the parser may leave unused, such as a chunk header that does not
/// end. Larger than any read of the library.
constexpr std::size_t kMaxUnparsedBytes = 128U << 10;
constexpr int kGoneStatus = 410;
constexpr int kOkStatus = 200;

std::optional<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  beast::error_code ec;
  const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(
      address.data() + colon + 1, address.data() + address.size(), port);
  if (ec || error != std::errc() || end != address.data() + address.size()) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

class StoreConnection::Impl {
 public:
  Impl(asio::io_context* io, std::string address, std::uint64_t max_bytes)
      : stream_(*io), address_(std::move(address)), max_bytes_(max_bytes) {}

  asio::awaitable<Result<StoreReply>> Call(const StoreRequest& request,
                                           SteadyTime deadline) {
    stream_.expires_at(deadline);
    if (auto error = co_await Open(request.step)) {
      co_return *error;
    }
    if (auto error = co_await Write(request)) {
      co_return *error;
    }
    std::optional<ResponseParser<TextBody>> parser;
    if (auto ec = co_await ReadHead(&parser, max_bytes_)) {
      co_return CloseWithError(request.step, ec);
    }
    beast::error_code ec;
    co_await http::async_read(stream_, buf_, *parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return CloseWithError(request.step, ec);
    }
    StoreReply reply;
    reply.status = parser->status();
    reply.version = ParseNumber(FindHeader(parser->headers(), "X-Version"));
    reply.body = std::move(parser->body());
    if (!parser->keep_alive()) {
      Close();
    }
    stream_.expires_never();
    co_return reply;
  }

  asio::awaitable<Error> Watch(
      const StoreRequest& request, SteadyTime deadline, Duration silence,
      const std::function<void()>& on_open,
      const std::function<bool(std::string_view)>& on_data) {
    stream_.expires_at(deadline);
    if (auto error = co_await Open(request.step)) {
      co_return *error;
    }
    if (auto error = co_await Write(request)) {
      co_return *error;
    }
    std::optional<ResponseParser<http::buffer_body>> parser;
    if (auto ec = co_await ReadHead(&parser, boost::none)) {
      co_return CloseWithError(request.step, ec);
    }
    const int status = parser->status();
    if (status != kOkStatus) {
      Close();
      co_return WatchRefusedError(request.step, status);
    }
    on_open();
    beast::error_code ec;
    std::array<char, kReadBytes> part;
    while (!parser->is_done()) {
      auto& body = parser->body();
      body.data = part.data();
      body.size = part.size();
      stream_.expires_after(silence);
      co_await http::async_read_some(
          stream_, buf_, *parser,
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec && ec != http::error::need_buffer) {
        co_return CloseWithError(request.step, ec);
      }
      if (!on_data({part.data(), part.size() - body.size})) {
        Close();
        co_return MakeError(ErrorCode::kProtocol, request.step,
                            "a line does not conform to the watch format");
      }
    }
    Close();
    co_return MakeError(ErrorCode::kUnavailable, request.step,
                        "the store ended the watch");
  }

  void Close() {
    beast::error_code ec;
    stream_.socket().close(ec);
    buf_.clear();
  }

 private:
  Error MakeError(ErrorCode code, const std::string& step,
                  std::string detail) const {
    return Error{code, step, address_, std::move(detail)};
  }

  Error WatchRefusedError(const std::string& step, int status) const {
    if (status == kGoneStatus) {
      return MakeError(ErrorCode::kNotFound, step,
                       "the version is no longer held; list again");
    }
    return MakeError(ErrorCode::kUnavailable, step,
                     "status " + std::to_string(status));
  }

  /// Closes the connection and returns the error of a call that failed after
  /// its request was written.
  Error CloseWithError(const std::string& step, beast::error_code ec) {
    Close();
    if (ec == beast::error::timeout) {
      return MakeError(ErrorCode::kTimeout, step,
                       "no answer before the deadline");
    }
    return MakeError(
        IsWriteStep(step) ? ErrorCode::kUnknownEffect : ErrorCode::kUnavailable,
        step, "no valid response: " + ec.message());
  }

  /// Returns true if an idle connection can still be used for a call.
  ///
  /// A store that restarted has closed its old connections. A write sent on one
  /// of them would be lost and reported as of unknown effect. So a connection
  /// that has data to read while no call is in flight (end of stream, or
  /// unsolicited bytes) is replaced.
  bool IsUsable() {
    if (!stream_.socket().is_open()) {
      return false;
    }
    beast::error_code ec;
    char byte = 0;
    stream_.socket().non_blocking(true, ec);
    stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                             ec);
    return ec == asio::error::would_block && buf_.size() == 0;
  }

  asio::awaitable<std::optional<Error>> Open(std::string step) {
    if (IsUsable()) {
      co_return std::nullopt;
    }
    Close();
    const auto endpoint = ParseEndpoint(address_);
    if (!endpoint) {
      co_return MakeError(ErrorCode::kInvalidInput, step,
                          "expected IP:port as the store's address");
    }
    beast::error_code ec;
    co_await stream_.async_connect(
        *endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      Close();
      co_return MakeError(ErrorCode::kUnavailable, step,
                          "cannot connect: " + ec.message());
    }
    stream_.socket().set_option(tcp::no_delay(true), ec);
    co_return std::nullopt;
  }

  asio::awaitable<std::optional<Error>> Write(const StoreRequest& request) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, address_);
    if (request.expected) {
      message.set("X-Expected-Version", std::to_string(*request.expected));
    }
    if (!request.content_type.empty()) {
      message.set(http::field::content_type, request.content_type);
    }
    message.body() = request.body;
    message.prepare_payload();
    beast::error_code ec;
    co_await http::async_write(stream_, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return CloseWithError(request.step, ec);
    }
    co_return std::nullopt;
  }

  /// Reads the head of the response and the interim responses before it. The
  /// response proper would otherwise answer the next call.
  template <typename Parser>
  asio::awaitable<beast::error_code> ReadHead(
      std::optional<Parser>* parser, boost::optional<std::uint64_t> max_bytes) {
    for (int n = 0; n <= kMaxInterimResponses; ++n) {
      parser->emplace();
      (*parser)->header_limit(kMaxHeaderBytes);
      (*parser)->body_limit(max_bytes);
      const auto ec = co_await ReadNextHead(&**parser);
      if (ec || !IsInterim((*parser)->status())) {
        co_return ec;
      }
    }
    co_return http::error::bad_status;
  }

  template <typename Parser>
  asio::awaitable<beast::error_code> ReadNextHead(Parser* parser) {
    auto ec = parser->ParseHead(&buf_);
    while (ec == http::error::need_more) {
      const auto n = co_await stream_.async_read_some(
          buf_.prepare(beast::read_size(buf_, kReadBytes)),
          asio::redirect_error(asio::use_awaitable, ec));
      buf_.commit(n);
      if (!ec) {
        ec = parser->ParseHead(&buf_);
      }
    }
    co_return ec;
  }

  beast::tcp_stream stream_;
  std::string address_;
  std::uint64_t max_bytes_;
  beast::flat_buffer buf_{kMaxUnparsedBytes};
};

StoreConnection::StoreConnection(asio::io_context* io, std::string address,
                                 std::uint64_t max_answer_bytes)
    : impl_(std::make_unique<Impl>(io, std::move(address), max_answer_bytes)) {}

StoreConnection::~StoreConnection() = default;

asio::awaitable<Result<StoreReply>> StoreConnection::Call(
    const StoreRequest& request, SteadyTime deadline) {
  return impl_->Call(request, deadline);
}

asio::awaitable<Error> StoreConnection::Watch(
    const StoreRequest& request, SteadyTime deadline, Duration silence,
    const std::function<void()>& on_open,
    const std::function<bool(std::string_view)>& on_data) {
  return impl_->Watch(request, deadline, silence, on_open, on_data);
}

void StoreConnection::Close() { impl_->Close(); }

}  // namespace indigolead::internal
