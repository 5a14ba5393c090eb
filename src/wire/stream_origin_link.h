#ifndef INDIGOLEAD_WIRE_STREAM_ORIGIN_LINK_H_
#define INDIGOLEAD_WIRE_STREAM_ORIGIN_LINK_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/result.h"
#include "core/placement/backlog_digest.h"
#include "core/request/stream_origin.h"
#include "envelope.pb.h"
#include "observe/event_log.h"

namespace indigolead {

/// Exchanges the origins of streams, and what each entry has outstanding at
/// engines, with other entries, as protobuf messages in datagrams.
///
/// Datagrams, because an entry sends each record to others of a whole fleet: a
/// connection to each of hundreds would cost more than the records. A lost one
/// is made up for by another copy, or by repeating the question. They are not
/// encrypted; the operator must protect the network between entries.
///
/// Runs on the thread of its io_context.
class StreamOriginLink {
 public:
  struct Hooks {
    std::function<void(const std::string& id, const StreamOrigin&)> on_record;
    /// `address` is the sender's, "IP:port".
    std::function<void(const std::string& address, const std::string& id)>
        on_question;
    std::function<void(const std::string& address, const std::string& id,
                       const std::optional<StreamOrigin>&)>
        on_reply;
    /// Unset: digests are ignored.
    std::function<void(const std::string& address, const BacklogDigest&)>
        on_digest = {};
  };

  /// `io` must outlive this object.
  StreamOriginLink(boost::asio::io_context* io, Hooks hooks, EventLog log);
  ~StreamOriginLink();
  StreamOriginLink(const StreamOriginLink&) = delete;
  StreamOriginLink& operator=(const StreamOriginLink&) = delete;

  /// Starts to receive at `address`, "IP:port"; port 0 picks one. Fails if it
  /// cannot be bound.
  Status Listen(const std::string& address);

  /// Returns the address that receives, "IP:port".
  const std::string& bound_address() const { return bound_address_; }

  void SendRecord(const std::string& address, const std::string& id,
                  const StreamOrigin& origin);
  void SendQuestion(const std::string& address, const std::string& id);
  void SendReply(const std::string& address, const std::string& id,
                 const std::optional<StreamOrigin>& origin);
  void SendDigest(const std::string& address, const BacklogDigest& digest);

 private:
  /// Longest datagram; an Ethernet frame carries it in one piece.
  static constexpr std::size_t kMaxBytes = 1400;

  void Send(const std::string& address, const wire::Envelope& message);
  void Receive();
  void Drain();
  void Handle(const std::string& address, std::size_t bytes);

  Hooks hooks_;
  EventLog log_;
  boost::asio::ip::udp::socket socket_;
  std::string bound_address_;
  std::array<char, kMaxBytes> buffer_{};
  std::string sent_;  ///< The datagram being sent.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_STREAM_ORIGIN_LINK_H_
