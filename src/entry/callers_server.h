#ifndef INDIGOLEAD_ENTRY_CALLERS_SERVER_H_
#define INDIGOLEAD_ENTRY_CALLERS_SERVER_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/base/result.h"
#include "core/config/settings.h"
#include "entry/messages.h"
#include "entry/session.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace indigolead {

/// Accepts callers' connections and passes requests and answers between them
/// and the dispatch thread.
///
/// Every method must be called on the thread of the io_context passed in.
class CallersServer {
 public:
  struct Hooks {
    /// Submits a request; returns false if there is no room.
    std::function<bool(std::shared_ptr<const CallerRequest>)> submit;
    std::function<void(CallerDisconnected)> disconnected;
    std::function<void(AnswerBytesWritten)> bytes_written;
    /// Returns true once requests can be served.
    std::function<bool()> ready;
    /// Answers further paths that the entry serves itself, such as "/status".
    std::function<std::optional<WholeAnswer>(std::string_view path)> local;
    /// Called every sweep, to send queued messages to other threads.
    std::function<void()> on_sweep;
    /// The API offered to callers. Without `handle`, the default interface is
    /// used.
    CallerInterface interface = {};
  };

  /// `io`, `metrics` and `settings` must outlive this object.
  CallersServer(boost::asio::io_context* io, const EntrySettings* settings,
                Hooks hooks, Clock clock, IdSource ids, EventLog log,
                MetricsRegistry* metrics);
  CallersServer(const CallersServer&) = delete;
  CallersServer& operator=(const CallersServer&) = delete;

  /// Binds the address from the settings and starts accepting connections.
  /// After an error of `Listen` it may be called again.
  Status Start();

  /// Returns the bound address as "IP:port" once started.
  std::string bound_address() const;

  /// Handles a message from the dispatch thread.
  void OnMessage(ToCallers&& message);

  /// Reports "not ready" and closes each connection after its next answer. New
  /// connections are still accepted, since load balancers have yet to notice.
  void AnnounceDrain();
  /// Also stops accepting, and closes connections as they become idle. Refuses
  /// requests whose deadline is after `answer_by`, and at that time those that
  /// are still being read; the process ends soon after it.
  void StartDrain(TimePoint answer_by = TimePoint::max());

  /// Returns true if no connection is left.
  bool drained() const { return sessions_.empty(); }

  /// Closes every connection and stops the timers.
  void Stop();

 private:
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void RefuseConnection(boost::asio::ip::tcp::socket socket);
  void Sweep();
  std::optional<WholeAnswer> AnswerLocal(std::string_view path);
  void RegisterRequest(const RequestId& id, Session* session);
  void OnFinished(const RequestId& id, bool disconnected);

  const EntrySettings* settings_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  MetricsRegistry* metrics_;
  Counter& requests_;
  Counter& connections_refused_;
  Counter& refused_stopping_;
  Counter& connections_;
  Gauge& open_connections_;
  Gauge& open_requests_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  SessionHost host_;
  std::shared_ptr<const Catalogue> catalogue_;
  bool draining_ = false;
  bool closing_idle_ = false;
  TimePoint answer_by_ = TimePoint::max();
  bool stopped_ = false;
  bool accept_stalled_ = false;
  TimePoint last_refusal_event_;
  TimePoint sweep_due_;
  std::unordered_map<Session*, std::shared_ptr<Session>> sessions_;
  std::unordered_map<RequestId, Session*> sessions_by_request_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CALLERS_SERVER_H_
