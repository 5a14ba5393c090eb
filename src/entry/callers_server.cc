#include "entry/callers_server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "entry/events.h"
#include "entry/listen.h"
#include "runtime/address.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kSweepInterval{100};
/// A sweep that is later than this was held up: the process stood still or was
/// busy, so it may not have read what callers sent.
constexpr std::chrono::milliseconds kHeldUpAfter{200};
constexpr Duration kRefusalEventInterval = std::chrono::seconds(10);

WholeAnswer TextAnswer(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

}  // namespace

CallersServer::CallersServer(asio::io_context* io,
                             const EntrySettings* settings, Hooks hooks,
                             Clock clock, IdSource ids, EventLog log,
                             MetricsRegistry* metrics)
    : settings_(settings),
      hooks_(std::move(hooks)),
      clock_(clock),
      log_(std::move(log)),
      metrics_(metrics),
      requests_(metrics->AddCounter("indigolead_entry_requests_total",
                                    "Requests taken from callers")),
      connections_refused_(metrics->AddCounter(
          "indigolead_entry_connections_refused_total",
          "Connections refused because every one is taken")),
      refused_stopping_(metrics->AddCounter(
          "indigolead_entry_requests_refused_stopping_total",
          "Requests refused as they were read, because the entry stops")),
      connections_(metrics->AddCounter("indigolead_entry_connections_total",
                                       "Connections accepted")),
      open_connections_(metrics->AddGauge("indigolead_entry_open_connections",
                                          "Callers' connections open now")),
      open_requests_(metrics->AddGauge("indigolead_entry_open_requests",
                                       "Requests in flight for callers now")),
      acceptor_(*io),
      sweep_timer_(*io),
      catalogue_(
          std::make_shared<Catalogue>(std::map<std::string, Revision>{})) {
  host_.settings = settings_;
  host_.clock = std::move(clock);
  host_.ids = std::move(ids);
  host_.interface = hooks_.interface;
  if (!host_.interface.handle) {
    host_.interface =
        MakeCatalogueInterface([this] { return catalogue_; }, host_.clock);
  }
  host_.draining = [this] { return draining_; };
  host_.closing_idle = [this] { return closing_idle_; };
  host_.has_time_until = [this](TimePoint deadline) {
    return deadline <= answer_by_;
  };
  host_.on_refused_stopping = [this](const std::string& request) {
    refused_stopping_.Add();
    log_(kRequestRefused,
         {{"request", request},
          {"code", "entry_stopping"},
          {"status", "503"},
          {"run", std::string(RunStateName(RunState::kNotRun))}});
  };
  host_.local = [this](std::string_view path) { return AnswerLocal(path); };
  host_.submit = [this](std::shared_ptr<const CallerRequest> request,
                        Session* session) {
    const RequestId id = request->id;
    if (sessions_by_request_.size() >= settings_->max_requests ||
        !hooks_.submit(std::move(request))) {
      return false;
    }
    requests_.Add();
    RegisterRequest(id, session);
    return true;
  };
  host_.bytes_written = [this](const RequestId& id, std::uint64_t bytes) {
    hooks_.bytes_written({id, bytes});
  };
  host_.finished = [this](const RequestId& id, bool disconnected) {
    OnFinished(id, disconnected);
  };
  host_.on_unread_disconnect = [this](const std::string& request) {
    log_(kCallerLeftUnread, {{"request", request}});
  };
  host_.closed = [this](Session* session) {
    sessions_.erase(session);
    open_connections_.Set(static_cast<std::int64_t>(sessions_.size()));
  };
}

Status CallersServer::Start() {
  if (Status status =
          Listen(settings_->http_address, "entry.listen", &acceptor_);
      !IsOk(status)) {
    return status;
  }
  Accept();
  sweep_due_ = clock_();
  Sweep();
  return Unit{};
}

std::string CallersServer::bound_address() const {
  boost::system::error_code ec;
  return ToText(acceptor_.local_endpoint(ec));
}

void CallersServer::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
          return;
        }
        // Other failures, such as a lack of file descriptors, are transient.
        // The sweep resumes accepting, so that a full descriptor table does not
        // cause a busy loop here.
        if (!ec) {
          OnAccepted(std::move(socket));
          Accept();
        } else {
          accept_stalled_ = true;
        }
      });
}

void CallersServer::OnAccepted(tcp::socket socket) {
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  if (sessions_.size() >= settings_->max_connections) {
    RefuseConnection(std::move(socket));
    return;
  }
  connections_.Add();
  auto session = std::make_shared<Session>(std::move(socket), &host_);
  sessions_.emplace(session.get(), session);
  open_connections_.Set(static_cast<std::int64_t>(sessions_.size()));
  session->Start();
}

void CallersServer::RefuseConnection(tcp::socket socket) {
  static constexpr std::string_view kAnswer =
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
      "Indigolead-Run: not-run\r\nRetry-After: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  connections_refused_.Add();
  const TimePoint now = clock_();
  if (now - last_refusal_event_ >= kRefusalEventInterval) {
    last_refusal_event_ = now;
    log_(kConnectionsFull,
         {{"limit", std::to_string(settings_->max_connections)}});
  }
  // A single non-blocking write: a new socket has room for the answer, and no
  // resources may be spent on a refused connection.
  boost::system::error_code ec;
  socket.non_blocking(true, ec);
  socket.write_some(asio::buffer(kAnswer.data(), kAnswer.size()), ec);
  socket.shutdown(tcp::socket::shutdown_send, ec);
}

void CallersServer::Sweep() {
  if (stopped_) {
    return;
  }
  const TimePoint now = clock_();
  const Duration late = std::max(now - sweep_due_, Duration{0});
  std::vector<std::shared_ptr<Session>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [key, session] : sessions_) {
    sessions.push_back(session);
  }
  for (const auto& it : sessions) {
    if (late >= kHeldUpAfter) {
      it->ExtendDeadline(late);
    }
    it->CheckDeadline(now);
    if (closing_idle_) {
      it->CloseIfIdle();
    }
    if (now >= answer_by_) {
      it->RefuseUnread();
    }
  }
  if (accept_stalled_ && acceptor_.is_open()) {
    accept_stalled_ = false;
    Accept();
  }
  if (hooks_.on_sweep) {
    hooks_.on_sweep();
  }
  sweep_due_ = now + kSweepInterval;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      Sweep();
    }
  });
}

std::optional<WholeAnswer> CallersServer::AnswerLocal(std::string_view path) {
  if (path == "/healthz") {
    return TextAnswer(200, "ok\n");
  }
  if (path == "/readyz") {
    const bool ready = !draining_ && hooks_.ready();
    return ready ? TextAnswer(200, "ready\n") : TextAnswer(503, "not ready\n");
  }
  if (path == "/metrics") {
    return WholeAnswer{200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       metrics_->ToPrometheusText()};
  }
  return hooks_.local ? hooks_.local(path) : std::nullopt;
}

void CallersServer::RegisterRequest(const RequestId& id, Session* session) {
  sessions_by_request_[id] = session;
  open_requests_.Set(static_cast<std::int64_t>(sessions_by_request_.size()));
}

void CallersServer::OnFinished(const RequestId& id, bool disconnected) {
  sessions_by_request_.erase(id);
  open_requests_.Set(static_cast<std::int64_t>(sessions_by_request_.size()));
  if (disconnected) {
    hooks_.disconnected({id});
  }
}

void CallersServer::OnMessage(ToCallers&& message) {
  std::visit(
      [this](auto& it) {
        using T = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<T, CatalogueChanged>) {
          catalogue_ = std::move(it.catalogue);
        } else if constexpr (!std::is_same_v<T, std::monostate>) {
          const auto found = sessions_by_request_.find(it.request);
          if (found != sessions_by_request_.end()) {
            found->second->OnAnswer(std::move(it));
          }
        }
      },
      message);
}

void CallersServer::AnnounceDrain() { draining_ = true; }

void CallersServer::StartDrain(TimePoint answer_by) {
  draining_ = true;
  closing_idle_ = true;
  answer_by_ = answer_by;
  boost::system::error_code ec;
  acceptor_.close(ec);
}

void CallersServer::Stop() {
  stopped_ = true;
  boost::system::error_code ec;
  acceptor_.close(ec);
  sweep_timer_.cancel();
  const auto sessions = sessions_;
  for (const auto& [key, session] : sessions) {
    session->Close();
  }
}

}  // namespace indigolead
