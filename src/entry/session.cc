#include "entry/session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "core/request/header_fields.h"
#include "core/request/stopping_refusal.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;

/// Longest wait for the caller to close the connection after the last answer.
constexpr Duration kCloseTimeout = std::chrono::seconds(1);
/// Buffers with a larger capacity are freed after use.
constexpr std::size_t kRetainedCapacity = 4096;

bool HasNoBody(int status) {
  return status == 204 || status == 304 || (status >= 100 && status < 200);
}

void ClearBuffer(std::string* text) {
  text->clear();
  if (text->capacity() > kRetainedCapacity) {
    text->shrink_to_fit();
  }
}

}  // namespace

Session::Session(asio::ip::tcp::socket socket, const SessionHost* host)
    : socket_(std::move(socket)), host_(host) {}

void Session::Start() {
  SetDeadline(host_->settings->header_timeout);
  ReadRequest();
}

void Session::SetDeadline(Duration limit) {
  deadline_ = host_->clock() + limit;
  deadline_extended_ = false;
}

void Session::ExtendDeadline(Duration by) {
  // Once only, since every sweep of a busy process is late.
  if (deadline_ != TimePoint::max() &&
      !std::exchange(deadline_extended_, true)) {
    deadline_ += by;
  }
}

void Session::CheckDeadline(TimePoint now) {
  if (now < deadline_) {
    return;
  }
  if (state_ == State::kIdle) {
    CloseIfIdle();
  } else {
    Close();
  }
}

void Session::CloseIfIdle() {
  // A request that has arrived is answered: its caller cannot know that the
  // close was decided first.
  if (state_ == State::kIdle && PeekAtInput() != Input::kBytes) {
    Close();
  }
}

void Session::RefuseUnread() {
  if (state_ == State::kReading && head_checked_ &&
      !std::exchange(refuses_unread_, true)) {
    boost::system::error_code ec;
    socket_.cancel(ec);
  }
}

void Session::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  boost::system::error_code ec;
  if (state_ == State::kAnswering && close_ends_body_) {
    // The close would mark the end of the body; a reset signals the failure.
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
  }
  state_ = State::kClosed;
  socket_.close(ec);
  if (forwarded_) {
    forwarded_ = false;
    host_->finished(request_, /*disconnected=*/true);
  }
  host_->closed(this);
}

AnswerFraming Session::FramingFor(int status,
                                  std::optional<std::uint64_t> length) {
  AnswerFraming framing;
  framing.version = version_;
  framing.is_head_request = is_head_request_;
  const bool bodiless = HasNoBody(status) || is_head_request_;
  close_ends_body_ = !bodiless && !length && version_ == 10;
  if (close_ends_body_) {
    keep_alive_ = false;
  }
  chunked_ = !bodiless && !length && version_ == 11;
  framing.chunked = chunked_;
  if (!bodiless) {
    framing.content_length = length;
  }
  keep_alive_ = keep_alive_ && !host_->draining();
  framing.keep_alive = keep_alive_;
  return framing;
}

void Session::Respond(int status, const std::vector<HeaderField>& headers,
                      std::string_view body) {
  state_ = State::kAnswering;
  AppendHead(status, headers, request_name_, FramingFor(status, body.size()),
             &pending_output_);
  if (!is_head_request_ && !HasNoBody(status)) {
    pending_output_ += body;
  }
  answer_ended_ = true;
  ScheduleWrite();
}

void Session::RespondRefusal(const Refusal& refusal) {
  const WholeAnswer answer =
      host_->interface.render_refusal(refusal, request_name_);
  Respond(answer.status, answer.headers, answer.body);
}

void Session::RespondStopping() {
  keep_alive_ = false;
  host_->on_refused_stopping(request_name_);
  RespondRefusal(StoppingRefusal());
}

void Session::OnAnswer(AnswerHead&& head) {
  AppendHead(head.status, head.headers, request_name_,
             FramingFor(head.status, std::nullopt), &pending_output_);
  if (IsEventStream(FindHeader(head.headers, "content-type"),
                    FindHeader(head.headers, "content-encoding"))) {
    event_scanner_.emplace();
  }
  ScheduleWrite();
}

void Session::OnAnswer(AnswerData&& data) {
  pending_body_bytes_ += data.data.size();
  if (!is_head_request_) {
    chunked_ ? AppendChunk(data.data, &pending_output_)
             : void(pending_output_ += data.data);
  }
  if (event_scanner_) {
    event_scanner_->Scan(data.data);
  }
  ScheduleWrite();
}

void Session::OnAnswer(AnswerEnd&&) {
  if (chunked_) {
    AppendLastChunk(&pending_output_);
  }
  answer_ended_ = true;
  ScheduleWrite();
}

void Session::OnAnswer(AnswerWhole&& whole) {
  Respond(whole.answer.status, whole.answer.headers, whole.answer.body);
}

void Session::OnAnswer(AnswerRefusal&& refusal) {
  RespondRefusal(refusal.refusal);
}

void Session::OnAnswer(AnswerAbort&& abort) {
  keep_alive_ = false;
  if (!CanSendErrorEvent()) {
    boost::system::error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
    return;
  }
  const std::string event =
      "event: error\ndata: " + ErrorJson(abort.refusal, request_name_) + "\n\n";
  chunked_ ? AppendChunk(event, &pending_output_)
           : void(pending_output_ += event);
  // The last chunk is omitted, so that a client that ignores the event still
  // sees an incomplete body.
  answer_ended_ = true;
  ScheduleWrite();
}

bool Session::CanSendErrorEvent() const {
  // Text appended to an incomplete event would complete that event.
  return host_->interface.error_events && event_scanner_ && !close_ends_body_ &&
         event_scanner_->position() != StreamPosition::kInsideEvent;
}

void Session::ScheduleWrite() {
  if (write_scheduled_ || write_active_) {
    return;
  }
  // Posting combines all output of one event loop pass into a single write.
  write_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->write_scheduled_ = false;
    self->WriteSome();
  });
}

void Session::WriteSome() {
  if (state_ == State::kClosed || write_active_) {
    return;
  }
  if (active_bytes_written_ == active_output_.size()) {
    ClearBuffer(&active_output_);
    active_bytes_written_ = 0;
    if (pending_output_.empty()) {
      FinishIfWritten();
      return;
    }
    std::swap(pending_output_, active_output_);
    active_body_bytes_ = std::exchange(pending_body_bytes_, 0);
  }
  write_active_ = true;
  SetDeadline(host_->settings->write_timeout);
  socket_.async_write_some(
      asio::buffer(active_output_.data() + active_bytes_written_,
                   active_output_.size() - active_bytes_written_),
      [self = shared_from_this()](const boost::system::error_code& ec,
                                  std::size_t n) { self->OnWritten(ec, n); });
}

void Session::OnWritten(const boost::system::error_code& ec, std::size_t n) {
  write_active_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (ec) {
    Close();
    return;
  }
  active_bytes_written_ += n;
  if (active_bytes_written_ == active_output_.size() &&
      active_body_bytes_ > 0) {
    const std::uint64_t taken = std::exchange(active_body_bytes_, 0);
    if (forwarded_ && !answer_ended_) {
      host_->bytes_written(request_, taken);
    }
  }
  if (active_bytes_written_ < active_output_.size() ||
      !pending_output_.empty()) {
    WriteSome();
    return;
  }
  FinishIfWritten();
}

void Session::FinishIfWritten() {
  if (state_ != State::kAnswering) {
    return;
  }
  if (answer_ended_) {
    FinishAnswer();
  } else {
    deadline_ = TimePoint::max();  // Waits for the target.
  }
}

void Session::FinishAnswer() {
  ClearBuffer(&active_output_);
  active_bytes_written_ = 0;
  event_scanner_.reset();
  if (forwarded_) {
    forwarded_ = false;
    host_->finished(request_, /*disconnected=*/false);
  }
  if (keep_alive_) {
    // Also while draining: the head may have promised it before. The next
    // answer, or the end of the drain's notice, closes the connection.
    refuses_next_ = host_->closing_idle();
    CancelWatch();
    SetDeadline(host_->settings->idle_timeout);
    ReadRequest();
    return;
  }
  CloseGracefully();
}

void Session::CloseGracefully() {
  // Closing with unread input would send a reset, which can destroy the answer
  // in transit. So wait for the caller to close, for a limited time.
  state_ = State::kClosing;
  boost::system::error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  SetDeadline(kCloseTimeout);
  DiscardInput();
}

void Session::DiscardInput() {
  buffer_.clear();
  socket_.async_read_some(
      buffer_.prepare(kRetainedCapacity),
      [self = shared_from_this()](const boost::system::error_code& ec,
                                  std::size_t) {
        if (ec) {
          self->Close();
        } else if (self->state_ == State::kClosing) {
          self->DiscardInput();
        }
      });
}

}  // namespace indigolead
