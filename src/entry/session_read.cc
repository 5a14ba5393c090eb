#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "core/request/header_fields.h"
#include "entry/session.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Most bytes that one read takes from a connection.
constexpr std::size_t kReadBytes = 64U << 10;
/// Room in the buffer for the body's first bytes behind a head at its limit.
constexpr std::size_t kRoomBehindHead = 4096;

}  // namespace

void Session::ReadRequest() {
  state_ = State::kIdle;
  parser_.reset();
  head_checked_ = false;
  if (buffer_.size() == 0) {
    ReadSome();
    return;
  }
  SetDeadline(host_->settings->header_timeout);
  state_ = State::kReading;
  // Posted, since the previous request is still being finished.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->OnRead({}); });
}

// Called with the first bytes of a request, since the operator may change the
// limits while a connection is idle.
void Session::StartParser() {
  const EntrySettings& settings = *host_->settings;
  parser_.emplace(RequestParser::Limits{settings.max_header_bytes,
                                        settings.max_body_bytes});
  const std::size_t max_bytes =
      std::size_t{ToHeaderLimit(settings.max_header_bytes)} + kRoomBehindHead;
  buffer_.max_size(std::max(max_bytes, buffer_.size()));
}

void Session::ReadSome() {
  socket_.async_read_some(
      buffer_.prepare(boost::beast::read_size(buffer_, kReadBytes)),
      [self = shared_from_this()](const boost::system::error_code& ec,
                                  std::size_t n) {
        self->buffer_.commit(n);
        self->OnRead(ec);
      });
}

void Session::OnRead(boost::system::error_code ec) {
  if (state_ == State::kClosed) {
    return;
  }
  if (!ec) {
    if (!parser_) {
      StartParser();
    }
    ec = parser_->Parse(&buffer_);
  }
  if (refuses_unread_ && parser_ && !parser_->is_done()) {
    RespondStopping();
    return;
  }
  if (ec && ec != http::error::need_more) {
    OnReadFailed(ec);
    return;
  }
  if (!parser_->head()) {
    ReadSome();
    return;
  }
  if (state_ == State::kIdle) {
    state_ = State::kReading;
  }
  if (!head_checked_) {
    head_checked_ = true;
    SetDeadline(host_->settings->idle_timeout);
    if (!CheckHead()) {
      return;
    }
  }
  if (parser_->is_done()) {
    Handle();
  } else {
    ReadSome();
  }
}

void Session::OnReadFailed(const boost::system::error_code& ec) {
  Refusal refusal;
  if (ec == http::error::body_limit) {
    refusal = {413, RunState::kNotRun, "body_too_large",
               "The body is larger than this entry's limit."};
  } else if (ec == http::error::header_limit ||
             ec == http::error::buffer_overflow) {
    refusal = {431, RunState::kNotRun, "header_too_large",
               "The request head is larger than this entry's limit."};
  } else if (ec.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
             ec != http::error::end_of_stream &&
             ec != http::error::partial_message) {
    refusal = {400, RunState::kNotRun, "bad_request",
               "The request is not HTTP/1.1: " + ec.message() + "."};
  } else {
    Close();
    return;
  }
  request_ = RequestId{host_->ids()};
  request_name_ = host_->interface.name_request({}, request_);
  version_ = 11;
  is_head_request_ = false;
  keep_alive_ = false;
  RespondRefusal(refusal);
}

bool Session::CheckHead() {
  const RequestHead& head = *parser_->head();
  request_ = RequestId{host_->ids()};
  request_name_ = host_->interface.name_request(head.headers, request_);
  version_ = head.version;
  is_head_request_ = head.method == "HEAD";
  keep_alive_ = head.keep_alive && !host_->draining();
  if (parser_->is_done()) {
    return true;
  }
  if (const auto refusal = host_->interface.check_head(head.headers)) {
    keep_alive_ = false;
    RespondRefusal(*refusal);
    return false;
  }
  if (EqualsIgnoringCase(FindHeader(head.headers, "expect"), "100-continue")) {
    pending_output_ += "HTTP/1.1 100 Continue\r\n\r\n";
    ScheduleWrite();
  }
  return true;
}

void Session::Handle() {
  RequestHead head = parser_->TakeHead();
  IncomingRequest incoming;
  incoming.method = std::move(head.method);
  incoming.target = std::move(head.target);
  incoming.headers = std::move(head.headers);
  incoming.body = parser_->TakeBody();
  parser_.reset();
  const std::string_view target = incoming.target;
  if (host_->interface.serves_own_paths) {
    if (auto answer = host_->local(target.substr(0, target.find('?')))) {
      Respond(answer->status, answer->headers, answer->body);
      return;
    }
  }
  CallerHandling handling =
      host_->interface.handle(std::move(incoming), request_);
  if (const auto* answer = std::get_if<WholeAnswer>(&handling)) {
    Respond(answer->status, answer->headers, answer->body);
  } else if (const auto* refusal = std::get_if<Refusal>(&handling)) {
    RespondRefusal(*refusal);
  } else if (auto& request = std::get<CallerRequest>(handling);
             refuses_next_ || !host_->has_time_until(request.deadline)) {
    RespondStopping();
  } else {
    Forward(std::move(request));
  }
}

void Session::Forward(CallerRequest request) {
  // On a busy entry the caller may disconnect before its request is read.
  if (PeekAtInput() == Input::kEnded) {
    host_->on_unread_disconnect(request_name_);
    Close();
    return;
  }
  state_ = State::kAnswering;
  answer_ended_ = false;
  // From here on the request's deadline bounds the wait instead of the
  // connection's.
  deadline_ = TimePoint::max();
  if (!host_->submit(std::make_shared<const CallerRequest>(std::move(request)),
                     this)) {
    RespondRefusal({503, RunState::kNotRun, "entry_overloaded",
                    "This entry holds as many requests as it may.",
                    std::chrono::seconds(1)});
    return;
  }
  forwarded_ = true;
  WatchForDisconnect();
}

void Session::WatchForDisconnect() {
  if (watch_active_) {
    return;
  }
  watch_active_ = true;
  socket_.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& ec) {
        self->watch_active_ = false;
        if (self->state_ == State::kAnswering && self->forwarded_) {
          ec ? self->WatchForDisconnect() : self->OnReadable();
        }
      });
}

// Beside a wait for input, a read that has taken its bytes reports them only
// after timers that are due, and the connection would look idle to them.
void Session::CancelWatch() {
  if (watch_active_) {
    boost::system::error_code ec;
    socket_.cancel(ec);
  }
}

// Bytes of a pipelined request end the watch: they are read only after the
// current request is answered, and a failed write then detects a disconnect.
void Session::OnReadable() {
  switch (PeekAtInput()) {
    case Input::kEnded:
      Close();
      return;
    case Input::kNone:
      WatchForDisconnect();
      return;
    case Input::kBytes:
      return;
  }
}

Session::Input Session::PeekAtInput() {
  char byte = 0;
  const auto n =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return Input::kBytes;
  }
  const bool would_block = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? Input::kNone : Input::kEnded;
}

}  // namespace indigolead
