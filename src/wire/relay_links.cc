#include "wire/relay_links.h"

#include <cstring>

#include "wire/codec.h"
#include "wire/events.h"
#include "wire/zmq_socket.h"

namespace indigolead {
namespace {

using internal::SendResult;
using internal::ZmqSocket;

constexpr char kScheme[] = "tcp://";
/// Messages read from one socket before control returns to the event loop.
constexpr int kReadBatch = 64;
/// Range of the reconnect delay, and the timeout of one connection attempt.
constexpr int kReconnectMs = 300;
constexpr int kMaxReconnectMs = 2000;
constexpr int kConnectTimeoutMs = 1000;
/// TCP closes a connection whose data stays unacknowledged for this long.
constexpr int kTransportTimeoutMs = 3000;

wire::WatchAnswer ToMessage(std::uint64_t number,
                            const Result<WatchBatch>& answer) {
  wire::WatchAnswer message;
  message.set_number(number);
  if (!IsOk(answer)) {
    const Error& error = ErrorOf(answer);
    message.set_refusal(error.code == ErrorCode::kNotFound
                            ? wire::WATCH_FORGOTTEN
                            : wire::WATCH_UNAVAILABLE);
    message.set_detail(ToString(error));
    return message;
  }
  const WatchBatch& batch = ValueOf(answer);
  message.set_version(batch.version);
  for (const WatchEvent& it : batch.events) {
    wire::WatchedChange* change = message.add_changes();
    change->set_key(it.key);
    change->set_version(it.version);
    change->set_deleted(!it.value);
    change->set_value(it.value.value_or(""));
  }
  return message;
}

Result<WatchBatch> FromMessage(const std::string& relay,
                               const wire::WatchAnswer& message) {
  if (message.refusal() != wire::WATCH_ANSWERED) {
    const bool forgotten = message.refusal() == wire::WATCH_FORGOTTEN;
    return Error{forgotten ? ErrorCode::kNotFound : ErrorCode::kUnavailable,
                 "relay.ask", relay, message.detail()};
  }
  WatchBatch batch;
  batch.version = message.version();
  batch.relayed = true;
  for (const wire::WatchedChange& it : message.changes()) {
    batch.events.push_back(
        {it.key(),
         it.deleted() ? std::nullopt : std::optional<std::string>(it.value()),
         it.version()});
  }
  return batch;
}

}  // namespace

RelayLinks::RelayLinks(boost::asio::io_context* io, Options options,
                       Hooks hooks, EventLog log)
    : io_(io),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      log_(std::move(log)) {}

RelayLinks::~RelayLinks() {
  for (const auto& it : {request_socket_, answer_socket_}) {
    if (it) {
      it->Close();
    }
  }
}

zmq::context_t* RelayLinks::Context() {
  if (!context_) {
    context_ = std::make_unique<zmq::context_t>(1);
  }
  return context_.get();
}

std::shared_ptr<ZmqSocket> RelayLinks::MakeSocket(zmq::socket_type type) {
  auto socket = std::make_shared<ZmqSocket>(io_, Context(), type);
  zmq::socket_t& raw = socket->raw();
  raw.set(zmq::sockopt::linger, 0);
  raw.set(zmq::sockopt::sndhwm, options_.high_water_mark);
  raw.set(zmq::sockopt::rcvhwm, options_.high_water_mark);
  raw.set(zmq::sockopt::maxmsgsize,
          static_cast<std::int64_t>(options_.max_message_bytes));
  raw.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  raw.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  raw.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  raw.set(zmq::sockopt::tcp_maxrt, kTransportTimeoutMs);
  return socket;
}

Status RelayLinks::Listen() {
  try {
    request_socket_ = MakeSocket(zmq::socket_type::router);
    request_socket_->raw().bind(kScheme + options_.bind_address);
    bound_address_ = request_socket_->raw()
                         .get(zmq::sockopt::last_endpoint)
                         .substr(std::strlen(kScheme));
  } catch (const zmq::error_t& e) {
    request_socket_.reset();
    return Error{ErrorCode::kUnavailable, "relay.listen", options_.bind_address,
                 e.what()};
  }
  request_socket_->Start([this] { return DrainRequests(); });
  return Unit{};
}

bool RelayLinks::DrainRequests() {
  zmq::message_t requester;
  zmq::message_t frame;
  for (int n = 0; n < kReadBatch; ++n) {
    if (!request_socket_->Receive(&requester)) {
      return false;
    }
    wire::Envelope envelope;
    const bool whole = requester.more() && request_socket_->Receive(&frame);
    if (!whole || frame.more() ||
        !internal::DecodeEnvelope(frame.data(), frame.size(), &envelope) ||
        !envelope.has_watch_ask()) {
      log_(events::kRelayMessageDropped, {{"from", "asker"}});
      continue;
    }
    const wire::WatchAsk& ask = envelope.watch_ask();
    hooks_.on_request({requester.to_string(), ask.number(), ask.prefix(),
                       ask.from_version()});
  }
  return true;
}

void RelayLinks::Open(const std::string& address) {
  if (answer_socket_) {
    answer_socket_->Close();
    answer_socket_.reset();
  }
  relay_address_ = address;
  try {
    answer_socket_ = MakeSocket(zmq::socket_type::dealer);
    answer_socket_->raw().connect(kScheme + address);
  } catch (const zmq::error_t& e) {
    log_(events::kRelayNotReached, {{"relay", address}, {"error", e.what()}});
    answer_socket_.reset();
    return;
  }
  answer_socket_->Start([this] { return DrainAnswers(); });
}

bool RelayLinks::Ask(const std::string& address, std::uint64_t number,
                     const std::string& prefix, std::uint64_t from) {
  if (address != relay_address_ || !answer_socket_) {
    Open(address);
  }
  wire::Envelope envelope;
  wire::WatchAsk* ask = envelope.mutable_watch_ask();
  ask->set_number(number);
  ask->set_prefix(prefix);
  ask->set_from_version(from);
  return answer_socket_ && Send(answer_socket_.get(), "", envelope);
}

bool RelayLinks::DrainAnswers() {
  // A hook may send a request to another relay, which closes this socket.
  const std::shared_ptr<ZmqSocket> socket = answer_socket_;
  zmq::message_t frame;
  for (int n = 0; n < kReadBatch; ++n) {
    if (!socket || socket->is_closed() || !socket->Receive(&frame)) {
      return false;
    }
    wire::Envelope envelope;
    if (frame.more() ||
        !internal::DecodeEnvelope(frame.data(), frame.size(), &envelope) ||
        !envelope.has_watch_answer()) {
      log_(events::kRelayMessageDropped, {{"from", relay_address_}});
      continue;
    }
    const wire::WatchAnswer& answer = envelope.watch_answer();
    hooks_.on_answer(answer.number(), FromMessage(relay_address_, answer));
  }
  return true;
}

void RelayLinks::Answer(const std::string& requester, std::uint64_t number,
                        const Result<WatchBatch>& answer) {
  wire::Envelope envelope;
  *envelope.mutable_watch_answer() = ToMessage(number, answer);
  if (request_socket_ && !Send(request_socket_.get(), requester, envelope)) {
    log_(events::kRelayMessageDropped, {{"to", "asker"}});
  }
}

bool RelayLinks::Send(ZmqSocket* socket, const std::string& requester,
                      const wire::Envelope& message) {
  zmq::message_t frame;
  if (!internal::EncodeEnvelope(message, options_.max_message_bytes, &frame)) {
    return false;
  }
  // ZeroMQ accepts the second frame of a message if it accepted the first.
  const bool sent =
      (requester.empty() || socket->Send(zmq::message_t(requester),
                                         /*more=*/true) == SendResult::kSent) &&
      socket->Send(std::move(frame), /*more=*/false) == SendResult::kSent;
  socket->ScheduleCheck();
  return sent;
}

}  // namespace indigolead
