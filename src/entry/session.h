#ifndef INDIGOLEAD_ENTRY_SESSION_H_
#define INDIGOLEAD_ENTRY_SESSION_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/config/settings.h"
#include "core/request/event_scanner.h"
#include "core/request/request_types.h"
#include "entry/caller_interface.h"
#include "entry/http_answer.h"
#include "runtime/request_parser.h"

namespace indigolead {

class Session;

/// What a session needs from the server that owns it.
struct SessionHost {
  const EntrySettings* settings = nullptr;
  Clock clock;
  IdSource ids;
  CallerInterface interface;
  std::function<bool()> draining;
  /// Returns true once a stop closes idle connections.
  std::function<bool()> closing_idle;
  /// Returns true if a request with this deadline is answered, or its deadline
  /// has passed, before the process ends.
  std::function<bool(TimePoint deadline)> has_time_until;
  /// Called when a request is refused because the entry stops.
  std::function<void(const std::string& request)> on_refused_stopping;
  /// Answers a path that the entry serves itself, such as "/healthz".
  std::function<std::optional<WholeAnswer>(std::string_view path)> local;
  /// Submits a request; returns false if there is no room.
  std::function<bool(std::shared_ptr<const CallerRequest>, Session*)> submit;
  std::function<void(const RequestId&, std::uint64_t bytes)> bytes_written;
  /// Called when the answer is written, or with `disconnected` if the caller
  /// has closed its connection.
  std::function<void(const RequestId&, bool disconnected)> finished;
  std::function<void(Session*)> closed;
  /// Called if the connection closed before its request was read; `request`
  /// is the request id shown to the caller.
  std::function<void(const std::string& request)> on_unread_disconnect;
};

/// One caller's connection: reads requests one after another, submits them and
/// writes their answers.
///
/// Every wait for the caller has a deadline, kept as one time point that the
/// server's sweep checks: a caller that sends nothing, sends its head byte by
/// byte or stops reading holds a connection for a bounded time only. The
/// output buffer is bounded by the stream's credit window, because credit is
/// returned only for bytes that the socket accepted.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::ip::tcp::socket socket, const SessionHost* host);
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start();

  /// Handles a part of the answer to the request in flight.
  void OnAnswer(AnswerHead&& head);
  void OnAnswer(AnswerData&& data);
  void OnAnswer(AnswerEnd&& end);
  void OnAnswer(AnswerWhole&& whole);
  void OnAnswer(AnswerRefusal&& refusal);
  void OnAnswer(AnswerAbort&& abort);

  /// Moves the deadline by a time in which this process did not run, which is
  /// no silence of the caller.
  void ExtendDeadline(Duration by);

  /// Closes the connection if its deadline has passed.
  void CheckDeadline(TimePoint now);

  /// Closes the connection now if no request is in flight on it or waits to be
  /// read.
  void CloseIfIdle();
  /// Refuses the request that is being read, if its head has arrived: the
  /// process ends before the rest could be answered.
  void RefuseUnread();
  void Close();

 private:
  enum class State { kIdle, kReading, kAnswering, kClosing, kClosed };
  /// Unread input of the caller.
  enum class Input { kNone, kBytes, kEnded };

  void ReadRequest();
  void StartParser();
  void ReadSome();
  void OnRead(boost::system::error_code ec);
  void OnReadFailed(const boost::system::error_code& ec);
  bool CheckHead();
  void Handle();
  void Forward(CallerRequest request);
  void WatchForDisconnect();
  /// Ends the watch while no request is in flight.
  void CancelWatch();
  void OnReadable();
  Input PeekAtInput();

  AnswerFraming FramingFor(int status, std::optional<std::uint64_t> length);
  void Respond(int status, const std::vector<HeaderField>& headers,
               std::string_view body);
  void RespondRefusal(const Refusal& refusal);
  void RespondStopping();
  void ScheduleWrite();
  void WriteSome();
  void OnWritten(const boost::system::error_code& ec, std::size_t n);
  bool CanSendErrorEvent() const;
  /// Called when the output buffer is empty: finishes the answer if it has
  /// ended, otherwise waits for the target without a deadline.
  void FinishIfWritten();
  void FinishAnswer();
  void CloseGracefully();
  void DiscardInput();
  void SetDeadline(Duration limit);

  boost::asio::ip::tcp::socket socket_;
  const SessionHost* host_;
  State state_ = State::kIdle;
  TimePoint deadline_;
  bool deadline_extended_ = false;
  /// The next request is refused: it comes too late to be run before a stop.
  bool refuses_next_ = false;
  bool refuses_unread_ = false;  ///< The pending read was cancelled for it.
  boost::beast::flat_buffer buffer_;
  std::optional<RequestParser> parser_;  ///< Unset before a first byte.
  bool head_checked_ = false;

  RequestId request_;
  std::string request_name_;  ///< The request id shown to the caller.
  bool forwarded_ = false;    ///< The request is with the dispatch thread.
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  unsigned version_ = 11;
  bool chunked_ = false;
  bool close_ends_body_ = false;               ///< The body has no other end.
  std::optional<EventScanner> event_scanner_;  ///< Set for event streams.
  bool answer_ended_ = false;

  /// Output that no write has been started for.
  std::string pending_output_;
  /// Output being written, from `active_bytes_written_` on.
  std::string active_output_;
  std::size_t active_bytes_written_ = 0;
  std::uint64_t pending_body_bytes_ = 0;
  std::uint64_t active_body_bytes_ = 0;
  bool write_scheduled_ = false;
  bool write_active_ = false;
  bool watch_active_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_SESSION_H_
