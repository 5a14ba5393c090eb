#ifndef INDIGOLEAD_WIRE_LINKS_H_
#define INDIGOLEAD_WIRE_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/base/ids.h"
#include "core/base/result.h"
#include "core/base/time.h"
#include "envelope.pb.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace indigolead {

/// Names one connection to one run of a peer. A reconnect has a new one, so
/// nothing meant for an earlier connection can be delivered on a later one.
struct LinkId {
  std::uint64_t value = 0;

  friend auto operator<=>(const LinkId&, const LinkId&) = default;
};

/// Sends and receives envelopes between processes, over ZeroMQ.
///
/// One thread, the one that runs the io_context given, owns the sockets and
/// calls the hooks; every method must be called on it. Connections open with a
/// `Hello` each way and carry heartbeats each way; one that stays silent for
/// `silence_timeout` is closed and, by the side that opened it, opened anew
/// with a fresh identity. A send that was accepted may still be lost: only an
/// answer from the peer proves anything.
class Links {
 public:
  struct Options {
    std::string bind_address;  ///< "IP:port"; port 0 picks one; empty: none.
    Duration heartbeat_interval = std::chrono::milliseconds(500);
    Duration silence_timeout = std::chrono::milliseconds(1500);
    /// A link that carried nothing but heartbeats for this long sends six
    /// times fewer of them, and is given six times the silence timeout. Must
    /// be the same at both ends.
    Duration idle_after = std::chrono::seconds(60);
    /// Envelopes queued in a socket for one peer before `Send` refuses.
    int high_water_mark = 4096;
    std::size_t max_message_bytes = 16U << 20;
    std::size_t max_links = 4096;
    /// CURVE key files; empty turns encryption off (loopback only).
    std::string public_key_file;
    std::string secret_key_file;
    std::string trusted_keys_file;
  };

  /// What the owner of the links reacts to. A hook may call any method, but
  /// must not destroy the links. `on_down` is never called from inside `Send`
  /// or `Disconnect`, and no hook is called after `Stop`.
  struct Hooks {
    /// Returns the `Hello` to open a connection with: identity, target, and
    /// the revisions held now. Peers refuse one without an instance name or
    /// with an incarnation that is not 16 bytes.
    std::function<wire::Hello()> make_hello;
    /// Fills a heartbeat with load and changes; may leave it as it is.
    std::function<void(wire::Heartbeat*)> fill_heartbeat;
    /// A peer has said hello on a new connection.
    std::function<void(LinkId, const wire::Hello&)> on_up;
    /// The connection was closed for silence, a goodbye or a newer connection
    /// of the same peer. Nothing sent on it and unanswered is known.
    std::function<void(LinkId, const Error&)> on_down;
    /// A message other than hello came. Heartbeats are passed on too.
    std::function<void(LinkId, wire::Envelope&&)> on_message;
  };

  /// `io`, `log` targets and `metrics` must outlive this object.
  Links(boost::asio::io_context* io, Options options, Hooks hooks, Clock clock,
        IdSource ids, EventLog log, MetricsRegistry* metrics);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  /// Binds and starts the timers. Fails with `kInvalidInput` if the address
  /// cannot be bound.
  Status Start();

  /// Returns the address bound, "IP:port", once started.
  std::string bound_address() const;

  /// Keeps one connection open to the process at `address` ("IP:port") until
  /// `Disconnect`. Repeating it has no effect.
  void Connect(const std::string& address);
  void Disconnect(const std::string& address);

  /// Queues `message` for the peer. Returns false, and sends nothing, if the
  /// link is gone or its queue is full.
  bool Send(LinkId link, const wire::Envelope& message);

  /// Says goodbye on every link, then closes them. Goodbyes not yet written
  /// hold the destructor for 200 ms at most.
  void Stop(const std::string& reason);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_LINKS_H_
