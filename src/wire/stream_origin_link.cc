#include "wire/stream_origin_link.h"

#include "runtime/address.h"
#include "wire/codec.h"
#include "wire/events.h"
#include "wire/queue_codec.h"

namespace indigolead {
namespace {

using boost::asio::ip::udp;

/// Datagrams read before control returns to the event loop.
constexpr int kReadBatch = 64;

wire::StreamOriginRecord ToMessage(const std::string& id,
                                   const StreamOrigin& origin) {
  wire::StreamOriginRecord record;
  record.set_request_id(id);
  record.set_service(origin.service);
  record.set_software_version(origin.software_version);
  return record;
}

StreamOrigin FromMessage(const wire::StreamOriginRecord& record) {
  return {record.service(), record.software_version()};
}

Result<udp::endpoint> ParseUdpEndpoint(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!IsOk(endpoint)) {
    return ErrorOf(endpoint);
  }
  return udp::endpoint(ValueOf(endpoint).address(), ValueOf(endpoint).port());
}

std::string TextOf(const udp::endpoint& endpoint) {
  return ToText({endpoint.address(), endpoint.port()});
}

}  // namespace

StreamOriginLink::StreamOriginLink(boost::asio::io_context* io, Hooks hooks,
                                   EventLog log)
    : hooks_(std::move(hooks)), log_(std::move(log)), socket_(*io) {}

StreamOriginLink::~StreamOriginLink() { *alive_ = false; }

Status StreamOriginLink::Listen(const std::string& address) {
  const auto endpoint = ParseUdpEndpoint(address);
  if (!IsOk(endpoint)) {
    return ErrorOf(endpoint);
  }
  boost::system::error_code ec;
  socket_.open(ValueOf(endpoint).protocol(), ec);
  if (!ec) {
    socket_.bind(ValueOf(endpoint), ec);
  }
  if (!ec) {
    socket_.non_blocking(true, ec);
  }
  if (ec) {
    boost::system::error_code ignored;
    socket_.close(ignored);
    return Error{ErrorCode::kUnavailable, "stream-origins.listen", address,
                 ec.message()};
  }
  bound_address_ = TextOf(socket_.local_endpoint(ec));
  Receive();
  return Unit{};
}

void StreamOriginLink::Receive() {
  socket_.async_wait(
      udp::socket::wait_read,
      [this, alive = alive_](const boost::system::error_code& ec) {
        if (*alive && !ec) {
          Drain();
          Receive();
        }
      });
}

void StreamOriginLink::Drain() {
  for (int n = 0; n < kReadBatch; ++n) {
    udp::endpoint sender;
    boost::system::error_code ec;
    const std::size_t bytes =
        socket_.receive_from(boost::asio::buffer(buffer_), sender, 0, ec);
    if (ec == boost::asio::error::would_block) {
      return;
    }
    if (ec) {
      // A refusal of a datagram sent before: nothing listens at its address.
      continue;
    }
    Handle(TextOf(sender), bytes);
  }
}

void StreamOriginLink::Handle(const std::string& address, std::size_t bytes) {
  wire::Envelope message;
  if (!internal::DecodeEnvelope(buffer_.data(), bytes, &message)) {
    log_(events::kStreamOriginDropped, {{"peer", address}});
    return;
  }
  switch (message.body_case()) {
    case wire::Envelope::kStreamOriginRecord: {
      const wire::StreamOriginRecord& record = message.stream_origin_record();
      hooks_.on_record(record.request_id(), FromMessage(record));
      return;
    }
    case wire::Envelope::kStreamOriginQuestion:
      hooks_.on_question(address,
                         message.stream_origin_question().request_id());
      return;
    case wire::Envelope::kStreamOriginReply: {
      const wire::StreamOriginReply& reply = message.stream_origin_reply();
      hooks_.on_reply(address, reply.record().request_id(),
                      reply.known() ? std::optional(FromMessage(reply.record()))
                                    : std::nullopt);
      return;
    }
    case wire::Envelope::kQueueDigest:
      if (const auto digest = DecodeQueueDigest(message.queue_digest())) {
        if (hooks_.on_digest) {
          hooks_.on_digest(address, *digest);
        }
        return;
      }
      log_(events::kStreamOriginDropped, {{"peer", address}});
      return;
    default:
      log_(events::kStreamOriginDropped, {{"peer", address}});
  }
}

void StreamOriginLink::SendRecord(const std::string& address,
                                  const std::string& id,
                                  const StreamOrigin& origin) {
  wire::Envelope message;
  *message.mutable_stream_origin_record() = ToMessage(id, origin);
  Send(address, message);
}

void StreamOriginLink::SendQuestion(const std::string& address,
                                    const std::string& id) {
  wire::Envelope message;
  message.mutable_stream_origin_question()->set_request_id(id);
  Send(address, message);
}

void StreamOriginLink::SendReply(const std::string& address,
                                 const std::string& id,
                                 const std::optional<StreamOrigin>& origin) {
  wire::Envelope message;
  wire::StreamOriginReply* reply = message.mutable_stream_origin_reply();
  *reply->mutable_record() = ToMessage(id, origin.value_or(StreamOrigin{}));
  reply->set_known(origin.has_value());
  Send(address, message);
}

void StreamOriginLink::SendDigest(const std::string& address,
                                  const BacklogDigest& digest) {
  wire::Envelope message;
  *message.mutable_queue_digest() = EncodeQueueDigest(digest);
  Send(address, message);
}

void StreamOriginLink::Send(const std::string& address,
                            const wire::Envelope& message) {
  const auto endpoint = ParseUdpEndpoint(address);
  if (!socket_.is_open() || !IsOk(endpoint) ||
      message.ByteSizeLong() > kMaxBytes) {
    log_(events::kStreamOriginNotSent,
         {{"peer", address},
          {"bytes", std::to_string(message.ByteSizeLong())},
          {"error", IsOk(endpoint) ? "socket closed or message too long"
                                   : ToString(ErrorOf(endpoint))}});
    return;
  }
  message.SerializeToString(&sent_);
  boost::system::error_code ec;
  socket_.send_to(boost::asio::buffer(sent_), ValueOf(endpoint), 0, ec);
  if (ec) {
    log_(events::kStreamOriginNotSent, {{"peer", address},
                                        {"bytes", std::to_string(sent_.size())},
                                        {"error", ec.message()}});
  }
}

}  // namespace indigolead
