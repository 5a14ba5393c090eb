#include "target/http_target_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <unordered_set>

#include "core/request/header_fields.h"
#include "runtime/address.h"
#include "runtime/header_text.h"
#include "runtime/message_parser.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr char kStep[] = "target.call";

/// An idle connection is discarded this long before the target may close it: a
/// request sent while the target closes may have been executed and cannot be
/// retried.
constexpr std::chrono::milliseconds kCloseMargin{300};

using SteadyClock = std::chrono::steady_clock;

/// Interim responses and responses to other requests that may come before the
/// response to a request, and the body bytes of the latter.
constexpr int kMaxSkippedResponses = 16;
constexpr std::uint64_t kMaxSkippedBytes = 1U << 20;
constexpr std::size_t kMaxHeadReadBytes = 64U << 10;

/// A connection and the bytes read past the end of the last response.
struct Connection {
  explicit Connection(asio::io_context* io) : stream(*io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  SteadyClock::time_point usable_until = SteadyClock::time_point::max();
  std::size_t requests = 0;  ///< Requests written on it.
  /// Hashes of the ids written on it. If two ids share a hash, the second one
  /// goes on another connection.
  std::unordered_set<std::size_t> ids;
};

std::size_t HashOf(const std::string& id) {
  return std::hash<std::string>()(id);
}

/// Longer idle timeouts of targets count as this one.
constexpr std::chrono::seconds kMaxKeepAlive = std::chrono::hours(24);

/// Returns the idle timeout in a `Keep-Alive` header, if present and valid.
std::optional<std::chrono::seconds> KeepAliveTimeout(std::string_view field) {
  constexpr std::string_view kParameter = "timeout=";
  const auto at = field.find(kParameter);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto digits = field.substr(at + kParameter.size());
  std::int64_t n = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), n);
  if (error != std::errc() || end == digits.data() || n < 0) {
    return std::nullopt;
  }
  return std::min(std::chrono::seconds(n), kMaxKeepAlive);
}

/// Limits how long sent bytes may stay unacknowledged.
void SetUnacknowledgedTimeout(Tcp::socket* socket, Duration limit) {
  if (limit <= Duration{0}) {
    return;
  }
  const auto ms = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
  // If the system lacks the option, the call's deadline still applies.
  setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
             sizeof(ms));
}

/// Returns true if the connection was reset or has failed; false if the system
/// does not tell.
bool IsAborted(Tcp::socket* socket) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  return getsockopt(socket->native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                    &length) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

enum class IdleState {
  kSilent,  ///< Can carry a request.
  kClosed,
  kHasBytes,  ///< The target sent unsolicited bytes.
};

IdleState StateOf(Connection* connection) {
  char byte = 0;
  const auto n = recv(connection->stream.socket().native_handle(), &byte, 1,
                      MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return IdleState::kHasBytes;
  }
  const bool silent = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return silent ? IdleState::kSilent : IdleState::kClosed;
}

/// Returns true for hop-by-hop headers.
bool IsHopByHop(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return true;
    default:
      return false;
  }
}

/// Returns true if the method implies a body, whose length is then stated even
/// if it is 0 (RFC 9110, section 8.6).
bool ImpliesBody(http::verb method) {
  return method == http::verb::post || method == http::verb::put ||
         method == http::verb::options;
}

/// Completion condition of a write that passes all bytes to the system at once.
std::size_t WriteAll(const boost::system::error_code& ec, std::size_t /*n*/) {
  return ec ? 0 : std::numeric_limits<std::size_t>::max();
}

std::optional<Tcp::endpoint> EndpointOf(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  return IsOk(endpoint) ? std::optional(ValueOf(endpoint)) : std::nullopt;
}

}  // namespace

/// Idle connections, newest last. Shared with the calls, so that a call that
/// ends after its client was destroyed can still return its connection.
class HttpTargetClient::Pool {
 public:
  Pool(asio::io_context* io, Options options)
      : io_(io),
        options_(std::move(options)),
        endpoint_(EndpointOf(options_.address)) {}

  /// Returns an idle connection on which `id` has not been written, or null. A
  /// second copy of the response to `id` may still arrive on the others.
  /// `on_stray_answer` is called for each connection dropped for its bytes.
  std::unique_ptr<Connection> Acquire(
      const std::string& id,
      const std::function<void(StrayAnswer)>& on_stray_answer) {
    for (auto it = idle_.end(); it != idle_.begin();) {
      --it;
      const IdleState state = StateOf(it->get());
      if (state == IdleState::kHasBytes && on_stray_answer) {
        on_stray_answer(StrayAnswer::kUnexpectedBytes);
      }
      if (SteadyClock::now() >= (*it)->usable_until ||
          state != IdleState::kSilent) {
        it = idle_.erase(it);
      } else if (id.empty() || !(*it)->ids.contains(HashOf(id))) {
        auto connection = std::move(*it);
        idle_.erase(it);
        return connection;
      }
    }
    return nullptr;
  }

  void Release(std::unique_ptr<Connection> connection) {
    if (connection->buffer.size() > 0) {
      return;  // Extra bytes after the response are not ours.
    }
    if (connection->requests >= options_.max_requests_per_connection) {
      return;
    }
    if (idle_.size() >= options_.max_idle_connections) {
      idle_.pop_front();
    }
    connection->stream.expires_never();
    idle_.push_back(std::move(connection));
  }

  void Clear() { idle_.clear(); }

  asio::io_context* io() const { return io_; }
  const Options& options() const { return options_; }
  const std::optional<Tcp::endpoint>& endpoint() const { return endpoint_; }

 private:
  asio::io_context* io_;
  Options options_;
  std::optional<Tcp::endpoint> endpoint_;
  std::deque<std::unique_ptr<Connection>> idle_;
};

namespace {

using Parser = ResponseParser<http::buffer_body>;

/// One request and its response. Kept alive by its pending operation; the
/// owning `HttpCall` only tells it to stop.
template <typename Pool>
class Exchange : public std::enable_shared_from_this<Exchange<Pool>> {
 public:
  Exchange(std::shared_ptr<Pool> pool, TargetRequest request,
           TargetClient::Hooks hooks)
      : pool_(std::move(pool)),
        hooks_(std::move(hooks)),
        deadline_(SteadyClock::now() + request.deadline),
        echoed_(request.echoed),
        may_share_connection_(!request.echoed.value.empty() ||
                              pool_->options().reuse_without_echo),
        max_body_bytes_(request.max_body_bytes),
        buffer_(pool_->options().read_buffer_bytes, '\0') {
    FillRequest(std::move(request));
  }

  void Begin() {
    if (!pool_->endpoint()) {
      Finish(ErrorCode::kInvalidInput,
             "expected an address of the form IP:port");
      return;
    }
    if (may_share_connection_) {
      connection_ = pool_->Acquire(echoed_.value, hooks_.on_stray_answer);
    }
    if (connection_) {
      Write();
      return;
    }
    Connect();
  }

  /// Aborts the exchange; no hook is called afterwards.
  void Abandon() {
    stopped_ = true;
    if (connection_) {
      connection_->stream.close();
    }
  }

  void PauseReading(bool pause) {
    // The read may end the call, and `on_end` may destroy the owner.
    const auto self = this->shared_from_this();
    paused_ = pause;
    if (!pause && read_deferred_) {
      read_deferred_ = false;
      ReadBody();
    }
  }

 private:
  /// Formats the head without the library, whose container of header fields
  /// throws on long ones and which throws on a TRACE request with a body.
  void FillRequest(TargetRequest request) {
    const auto method = http::string_to_verb(request.method);
    is_head_request_ = method == http::verb::head;
    head_ = request.method + " " + request.path + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const auto& it : request.headers) {
      const auto field = http::string_to_field(it.name);
      has_host = has_host || field == http::field::host;
      if (!IsHopByHop(field) && field != http::field::content_length &&
          field != http::field::expect) {
        AppendHeaderLine(it.name, it.value, &head_);
      }
    }
    if (!has_host) {
      AppendHeaderLine("Host", pool_->options().address, &head_);
    }
    body_ = std::move(request.body);
    if (!body_.empty() || ImpliesBody(method)) {
      AppendHeaderLine("Content-Length", std::to_string(body_.size()), &head_);
    }
    head_ += "\r\n";
  }

  void Connect() {
    connection_ = std::make_unique<Connection>(pool_->io());
    auto& stream = connection_->stream;
    stream.expires_at(std::min(
        deadline_, SteadyClock::now() + pool_->options().connect_timeout));
    stream.async_connect(
        *pool_->endpoint(),
        [self = this->shared_from_this()](const boost::system::error_code& ec) {
          self->OnConnected(ec);
        });
  }

  void OnConnected(const boost::system::error_code& ec) {
    if (stopped_) {
      return;
    }
    if (ec) {
      const bool refused = ec == boost::system::errc::connection_refused;
      Finish(ErrorCode::kUnavailable, "connect: " + ec.message(),
             refused ? kStep : kUnreachedStep);
      return;
    }
    boost::system::error_code ignored;
    connection_->stream.socket().set_option(Tcp::no_delay(true), ignored);
    SetUnacknowledgedTimeout(&connection_->stream.socket(),
                             pool_->options().unacknowledged_timeout);
    Write();
  }

  void Write() {
    const auto self = this->shared_from_this();
    if (hooks_.on_before_write && !hooks_.on_before_write()) {
      if (!stopped_) {
        pool_->Release(std::move(connection_));
        Finish(ErrorCode::kUnavailable,
               "stopped before the first byte was written");
      }
      return;
    }
    if (stopped_) {
      return;
    }
    written_ = true;
    ++connection_->requests;
    if (!echoed_.value.empty()) {
      connection_->ids.insert(HashOf(echoed_.value));
    }
    connection_->stream.expires_at(deadline_);
    const std::array<asio::const_buffer, 2> message = {asio::buffer(head_),
                                                       asio::buffer(body_)};
    asio::async_write(connection_->stream, message, WriteAll,
                      [self](const boost::system::error_code& ec, std::size_t) {
                        // A target may respond and close before it has read the
                        // whole request, so the response is read even after a
                        // failed write. Only its length or its last chunk then
                        // shows that it is complete.
                        self->write_done_ = true;
                        self->write_failed_ = static_cast<bool>(ec);
                      });
    StartParser();
    ReadHead();
  }

  void StartParser() {
    parser_.emplace();
    // Boost 1.74 takes `boost::none` for a limit of zero.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    // The response repeats the id, however long its caller chose it.
    const std::size_t max_head_bytes =
        pool_->options().max_head_bytes + echoed_.value.size();
    parser_->header_limit(ToHeaderLimit(max_head_bytes));
    // Bounds bytes that the parser cannot use yet, such as an incomplete chunk
    // header.
    connection_->buffer.max_size(max_head_bytes +
                                 pool_->options().read_buffer_bytes);
    parser_->skip(is_head_request_);
  }

  void ReadHead() {
    const auto ec = parser_->ParseHead(&connection_->buffer);
    if (ec == http::error::need_more) {
      ReadMoreOfHead();
    } else if (ec) {
      FailRead("head", ec);
    } else {
      OnHead();
    }
  }

  void ReadMoreOfHead() {
    auto& buffer = connection_->buffer;
    connection_->stream.async_read_some(
        buffer.prepare(beast::read_size(buffer, kMaxHeadReadBytes)),
        [self = this->shared_from_this()](const boost::system::error_code& ec,
                                          std::size_t n) {
          if (self->stopped_) {
            return;
          }
          self->connection_->buffer.commit(n);
          if (ec) {
            self->FailRead("head", ec);
          } else {
            self->ReadHead();
          }
        });
  }

  void OnHead() {
    const bool interim = IsInterim(parser_->status());
    skipping_answer_ = !interim && IsOfAnotherRequest();
    if ((interim || skipping_answer_) &&
        ++skipped_responses_ > kMaxSkippedResponses) {
      Finish(ErrorCode::kUnknownEffect,
             "too many responses before the response to the request");
      return;
    }
    if (interim) {
      StartParser();
      ReadHead();
      return;
    }
    if (skipping_answer_) {
      ReportStray(StrayAnswer::kOfAnotherCall);
    } else if (!HasOwnId()) {
      ReportStray(StrayAnswer::kWithoutId);
      Finish(ErrorCode::kUnknownEffect,
             "the response has no " + echoed_.name + " header");
      return;
    }
    if (!skipping_answer_) {
      WatchEvents();
      hooks_.on_head(parser_->status(), ResponseHeaders());
    }
    if (!stopped_) {
      ReadBody();
    }
  }

  void WatchEvents() {
    const auto& headers = parser_->headers();
    if (!is_head_request_ &&
        IsEventStream(FindHeader(headers, "Content-Type"),
                      FindHeader(headers, "Content-Encoding"))) {
      events_.emplace();
    }
  }

  void ReportStray(StrayAnswer reason) {
    if (hooks_.on_stray_answer) {
      hooks_.on_stray_answer(reason);
    }
  }

  /// Returns true if the head names the request of this exchange, or if the
  /// request has no id.
  bool HasOwnId() const {
    return echoed_.value.empty() ||
           AnyHeader([this](const HeaderField& it) { return IsEcho(it); });
  }

  bool IsOfAnotherRequest() const {
    return !echoed_.value.empty() && AnyHeader([this](const HeaderField& it) {
      return IsEcho(it) && it.value != echoed_.value;
    });
  }

  bool IsEcho(const HeaderField& it) const {
    return EqualsIgnoringCase(it.name, echoed_.name);
  }

  template <typename Predicate>
  bool AnyHeader(Predicate matches) const {
    const auto& headers = parser_->headers();
    return std::any_of(headers.begin(), headers.end(), matches);
  }

  std::vector<HttpHeader> ResponseHeaders() const {
    std::vector<HttpHeader> headers;
    for (const HeaderField& it : parser_->headers()) {
      if (!IsHopByHop(http::string_to_field(it.name))) {
        headers.push_back({it.name, it.value});
      }
    }
    return headers;
  }

  void ReadBody() {
    if (parser_->is_done()) {
      Complete();
      return;
    }
    if (paused_) {
      read_deferred_ = true;
      return;
    }
    parser_->body().data = buffer_.data();
    parser_->body().size = buffer_.size();
    http::async_read_some(
        connection_->stream, connection_->buffer, *parser_,
        [self = this->shared_from_this()](const boost::system::error_code& ec,
                                          std::size_t) { self->OnBody(ec); });
  }

  void OnBody(boost::system::error_code ec) {
    if (stopped_) {
      return;
    }
    if (ec == http::error::need_buffer) {
      ec = {};
    }
    DrainParsed(&ec);
    const auto n = buffer_.size() - parser_->body().size;
    if (skipping_answer_) {
      skipped_bytes_ += n;
    } else if (n > 0) {
      const std::string_view data(buffer_.data(), n);
      body_bytes_ += n;
      if (events_) {
        events_->Scan(data);
      }
      hooks_.on_body(data);
    }
    if (stopped_) {
      return;
    }
    if (ec) {
      FailRead("body", ec);
      return;
    }
    if (skipped_bytes_ > kMaxSkippedBytes) {
      Finish(ErrorCode::kUnknownEffect,
             "the response to another request does not end");
      return;
    }
    if (max_body_bytes_ && body_bytes_ > *max_body_bytes_) {
      Finish(ErrorCode::kProtocol, "response exceeds the size limit");
      return;
    }
    ReadBody();
  }

  /// Parses bytes already read while the buffer has room, so that a target that
  /// streams tokens in small chunks causes one delivery per read, not one per
  /// chunk.
  void DrainParsed(boost::system::error_code* ec) {
    while (!*ec && !parser_->is_done() && connection_->buffer.size() > 0 &&
           parser_->body().size > 0) {
      boost::system::error_code parse_ec;
      const auto n = parser_->put(connection_->buffer.data(), parse_ec);
      connection_->buffer.consume(n);
      if (parse_ec == http::error::need_more ||
          parse_ec == http::error::need_buffer) {
        return;
      }
      *ec = parse_ec;
      if (n == 0) {
        return;
      }
    }
  }

  void Complete() {
    if (skipping_answer_) {
      ReadNextAnswer();
      return;
    }
    const AnswerBodyEnd end = BodyEnd();
    if (end.framing == BodyFraming::kClose && WasReset()) {
      FailRead("body", asio::error::connection_reset);
      return;
    }
    if (hooks_.on_body_end) {
      hooks_.on_body_end(end);
    }
    if (const auto why = FindTruncation(end)) {
      Finish(ErrorCode::kUnknownEffect, "body: " + *why);
      return;
    }
    if (may_share_connection_ && parser_->keep_alive() && write_done_ &&
        !write_failed_) {
      KeepConnection();
    } else {
      // The rest of a body that is still being written must not be taken for
      // the start of the next request, nor a late response for another one's.
      connection_->stream.close();
    }
    if (hooks_.on_end) {
      auto done = std::move(hooks_.on_end);
      done(Unit{});
    }
  }

  /// Returns true if the connection was reset before its end was read. If the
  /// request was still being written, the failed write takes the error of the
  /// reset from the socket, and the next read reports a regular end.
  bool WasReset() const {
    return write_failed_ || IsAborted(&connection_->stream.socket());
  }

  AnswerBodyEnd BodyEnd() const {
    AnswerBodyEnd end;
    end.status = parser_->status();
    end.body_bytes = body_bytes_;
    if (parser_->chunked()) {
      end.framing = BodyFraming::kChunks;
    } else if (parser_->need_eof()) {
      end.framing = BodyFraming::kClose;
    }
    if (events_) {
      end.position = events_->position();
    }
    return end;
  }

  void ReadNextAnswer() {
    if (!parser_->keep_alive()) {
      Finish(ErrorCode::kUnknownEffect,
             "connection closed after the response to another request");
      return;
    }
    StartParser();
    ReadHead();
  }

  void KeepConnection() {
    connection_->usable_until = SteadyClock::time_point::max();
    if (const auto idle =
            KeepAliveTimeout(FindHeader(parser_->headers(), "Keep-Alive"))) {
      connection_->usable_until = SteadyClock::now() + *idle - kCloseMargin;
    }
    if (connection_->buffer.size() > 0) {
      ReportStray(StrayAnswer::kUnexpectedBytes);
    }
    pool_->Release(std::move(connection_));
  }

  void FailRead(const char* part, const boost::system::error_code& ec) {
    const auto code = ec == beast::error::timeout ? ErrorCode::kTimeout
                                                  : ErrorCode::kUnknownEffect;
    Finish(code, std::string(part) + ": " + ec.message());
  }

  void Finish(ErrorCode code, std::string detail, const char* step = kStep) {
    if (connection_ && written_) {
      connection_->stream.close();
    }
    if (hooks_.on_end) {
      auto done = std::move(hooks_.on_end);
      done(Error{code, step, pool_->options().address, std::move(detail)});
    }
  }

  std::shared_ptr<Pool> pool_;
  TargetClient::Hooks hooks_;
  SteadyClock::time_point deadline_;
  HttpHeader echoed_;
  bool may_share_connection_;
  std::optional<std::uint64_t> max_body_bytes_;
  std::string head_;  ///< Of the request.
  std::string body_;
  bool is_head_request_ = false;
  std::unique_ptr<Connection> connection_;
  std::optional<Parser> parser_;
  std::string buffer_;
  std::uint64_t body_bytes_ = 0;
  int skipped_responses_ = 0;
  std::uint64_t skipped_bytes_ = 0;
  std::optional<EventScanner> events_;  ///< Set for an event stream.
  bool written_ = false;
  bool write_done_ = false;
  bool write_failed_ = false;
  bool skipping_answer_ = false;  ///< Reads another request's response.
  bool stopped_ = false;
  bool paused_ = false;
  bool read_deferred_ = false;  ///< The next read is deferred.
};

template <typename Pool>
class HttpCall : public TargetClient::Call {
 public:
  explicit HttpCall(std::shared_ptr<Exchange<Pool>> exchange)
      : exchange_(std::move(exchange)) {}
  ~HttpCall() override { exchange_->Abandon(); }

  void PauseReading(bool pause) override { exchange_->PauseReading(pause); }

 private:
  std::shared_ptr<Exchange<Pool>> exchange_;
};

}  // namespace

HttpTargetClient::HttpTargetClient(asio::io_context* io, Options options)
    : pool_(std::make_shared<Pool>(io, std::move(options))) {}

HttpTargetClient::~HttpTargetClient() { pool_->Clear(); }

std::unique_ptr<TargetClient::Call> HttpTargetClient::Start(
    TargetRequest request, Hooks hooks) {
  auto exchange = std::make_shared<Exchange<Pool>>(pool_, std::move(request),
                                                   std::move(hooks));
  // Posted so that no hook is called before the caller holds the call.
  asio::post(*pool_->io(), [weak = std::weak_ptr(exchange)] {
    if (const auto it = weak.lock()) {
      it->Begin();
    }
  });
  return std::make_unique<HttpCall<Pool>>(std::move(exchange));
}

void HttpTargetClient::CloseIdleConnections() { pool_->Clear(); }

}  // namespace indigolead
