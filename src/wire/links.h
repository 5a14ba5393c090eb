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

/// Identifies one connection to one incarnation of a peer. A reconnect gets a
/// new id, so a message for an earlier connection is never sent on a later one.
struct LinkId {
  std::uint64_t value = 0;

  friend auto operator<=>(const LinkId&, const LinkId&) = default;
};

/// Sends and receives envelopes between processes, over ZeroMQ.
///
/// The thread that runs the io_context owns the sockets and calls the hooks;
/// every method must be called on it. Both ends of a connection send a `Hello`
/// first and heartbeats afterwards. A connection without incoming messages for
/// `silence_timeout` is closed; the end that opened it then connects again
/// under a new routing id. An accepted send may still be lost: only a reply
/// from the peer proves delivery.
class Links {
 public:
  struct Options {
    /// "IP:port"; port 0 picks one. Empty: no listener.
    std::string bind_address;
    Duration heartbeat_interval = std::chrono::milliseconds(500);
    Duration silence_timeout = std::chrono::milliseconds(1500);
    /// A link that carried only heartbeats for this long sends them at a sixth
    /// of the rate, and its silence timeout is six times as long. Must be the
    /// same at both ends.
    Duration idle_after = std::chrono::seconds(60);
    /// Envelopes queued for one peer before `Send` returns false.
    int high_water_mark = 4096;
    std::size_t max_message_bytes = 16U << 20;
    std::size_t max_links = 4096;
    /// CURVE key files. Empty: no encryption, which only loopback addresses
    /// allow.
    std::string public_key_file;
    std::string secret_key_file;
    std::string trusted_keys_file;
  };

  /// Callbacks to the owner. A hook may call any method, but must not destroy
  /// this object. `on_down` is never called from inside `Send` or `Disconnect`,
  /// and no hook is called after `Stop`.
  struct Hooks {
    /// Returns the `Hello` for a new connection: identity, target and the
    /// current revisions. Peers refuse a hello without an instance name or with
    /// an incarnation that is not 16 bytes.
    std::function<wire::Hello()> make_hello;
    /// Adds load and changes to a heartbeat; optional.
    std::function<void(wire::Heartbeat*)> fill_heartbeat;
    /// Called when a peer's hello has been accepted on a new connection.
    std::function<void(LinkId, const wire::Hello&)> on_up;
    /// Called when the connection has ended, for example by the silence
    /// timeout, a goodbye or a newer connection of the same peer. Whether
    /// messages without a reply were delivered is unknown.
    std::function<void(LinkId, const Error&)> on_down;
    /// Called for each received message except hellos and goodbyes, heartbeats
    /// included.
    std::function<void(LinkId, wire::Envelope&&)> on_message;
  };

  /// `io`, the targets of `log`, and `metrics` must outlive this object.
  Links(boost::asio::io_context* io, Options options, Hooks hooks, Clock clock,
        IdSource ids, EventLog log, MetricsRegistry* metrics);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  /// Binds and starts the timers. Fails with `kInvalidInput` if the address
  /// cannot be bound.
  Status Start();

  /// Returns the bound address, "IP:port", after a successful start.
  std::string bound_address() const;

  /// Keeps one connection open to the process at `address` ("IP:port") until
  /// `Disconnect`. Repeated calls have no effect.
  void Connect(const std::string& address);
  void Disconnect(const std::string& address);

  /// Queues `message` for the peer. Returns false, and sends nothing, if the
  /// link is gone or its queue is full.
  bool Send(LinkId link, const wire::Envelope& message);

  /// Sends a goodbye on every link and closes the sockets once the peers have
  /// answered, or after 500 ms. The destructor waits for the answers within
  /// that limit, and up to 200 ms for unsent answers to the goodbyes of peers.
  void Stop(const std::string& reason);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_LINKS_H_
