#ifndef INDIGOLEAD_WIRE_RELAY_LINKS_H_
#define INDIGOLEAD_WIRE_RELAY_LINKS_H_

#include <utility>
// Boost 1.74 uses std::exchange without including <utility>.
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "core/base/result.h"
#include "envelope.pb.h"
#include "observe/event_log.h"
#include "store/polled_watch.h"

namespace indigolead {

namespace internal {
class ZmqSocket;
}  // namespace internal

/// A watch request to an entry that relays store changes.
struct RelayRequest {
  std::string requester;  ///< Routing id of the connection; opaque.
  std::uint64_t number = 0;
  std::string prefix;
  std::uint64_t from = 0;

  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

/// Sends watch requests to the relaying entry, and returns its answers, over
/// ZeroMQ.
///
/// Delivery is not guaranteed, so the client needs its own timeout. The
/// connections are not encrypted, like those to the store, where the data comes
/// from; the operator must protect the network between entries.
///
/// Runs on the thread of its io_context.
class RelayLinks {
 public:
  struct Options {
    std::string bind_address;  ///< "IP:port"; port 0 picks one.
    /// Sufficient for a full list of some thousand targets.
    std::size_t max_message_bytes = 8U << 20;
    /// Messages queued for one peer.
    int high_water_mark = 64;
  };
  struct Hooks {
    std::function<void(const RelayRequest&)> on_request;
    std::function<void(std::uint64_t number, const Result<WatchBatch>&)>
        on_answer;
  };

  /// `io` must outlive this object.
  RelayLinks(boost::asio::io_context* io, Options options, Hooks hooks,
             EventLog log);
  ~RelayLinks();
  RelayLinks(const RelayLinks&) = delete;
  RelayLinks& operator=(const RelayLinks&) = delete;

  /// Starts to accept requests. Fails if the address cannot be bound.
  Status Listen();

  /// Returns the address that accepts requests, "IP:port".
  const std::string& bound_address() const { return bound_address_; }

  /// Sends a request to the entry at `address`. Only the connection to the most
  /// recent address is kept. Returns false if the request cannot be sent.
  bool Ask(const std::string& address, std::uint64_t number,
           const std::string& prefix, std::uint64_t from);

  /// Answers a request.
  void Answer(const std::string& requester, std::uint64_t number,
              const Result<WatchBatch>& answer);

 private:
  zmq::context_t* Context();
  std::shared_ptr<internal::ZmqSocket> MakeSocket(zmq::socket_type type);
  bool DrainRequests();
  bool DrainAnswers();
  void Open(const std::string& address);
  bool Send(internal::ZmqSocket* socket, const std::string& requester,
            const wire::Envelope& message);

  boost::asio::io_context* io_;
  Options options_;
  Hooks hooks_;
  EventLog log_;
  /// Created on first use, since it starts threads that small fleets do not
  /// need.
  std::unique_ptr<zmq::context_t> context_;
  std::shared_ptr<internal::ZmqSocket> request_socket_;
  std::shared_ptr<internal::ZmqSocket> answer_socket_;
  std::string relay_address_;
  std::string bound_address_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_RELAY_LINKS_H_
