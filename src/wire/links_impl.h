#ifndef INDIGOLEAD_WIRE_LINKS_IMPL_H_
#define INDIGOLEAD_WIRE_LINKS_IMPL_H_

#include <utility>
// Boost 1.74 uses std::exchange without including <utility>.
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/membership/link_monitor.h"
#include "core/membership/peer_table.h"
#include "wire/key_files.h"
#include "wire/link_metrics.h"
#include "wire/links.h"
#include "wire/transport_monitor.h"
#include "wire/zap_handler.h"
#include "wire/zmq_socket.h"

namespace indigolead {

/// Implementation of `Links`: one ROUTER socket for the connections that peers
/// open, and one DEALER socket for each address that this process dials.
class Links::Impl {
 public:
  Impl(boost::asio::io_context* io, Options options, Hooks hooks, Clock clock,
       IdSource ids, EventLog log, MetricsRegistry* metrics);
  ~Impl();

  Status Start();
  const std::string& bound_address() const { return bound_address_; }
  void Connect(const std::string& address);
  void Disconnect(const std::string& address);
  bool Send(LinkId id, const wire::Envelope& message);
  void Stop(const std::string& reason);

 private:
  using SendResult = internal::SendResult;
  using TransportEvent = internal::TransportMonitor::Event;

  /// An address that is kept connected, by one connection after another.
  struct Dial {
    Dial(std::string dialled, DialMonitor dial_monitor)
        : address(std::move(dialled)), monitor(dial_monitor) {}

    std::string address;
    DialMonitor monitor;
    std::shared_ptr<internal::ZmqSocket> socket;
    std::unique_ptr<internal::TransportMonitor> transport;
    bool hello_sent = false;
    std::size_t dial_attempts = 0;  ///< Picks the trusted key to try next.
    std::uint64_t link = 0;         ///< 0 until the peer's hello.
    /// Link of another dial that reached the same process; 0 if none. This dial
    /// is not opened while that link is up: each hello replaces the earlier
    /// link at the peer, so two addresses of one process would keep closing
    /// each other's connection.
    std::uint64_t suspended_by = 0;
  };

  /// A connection on which both ends have sent their hello.
  struct Link {
    Link(LinkMonitor link_monitor, std::string name)
        : monitor(link_monitor), instance(std::move(name)) {}

    LinkMonitor monitor;
    std::string instance;
    std::string identity;          ///< Accepted links: routing id of the peer.
    std::string address;           ///< Opened links: the dialled address.
    std::uint32_t descriptor = 0;  ///< Accepted links: the TCP socket.
    std::uint64_t sent_sequence = 0;
    std::uint64_t seen_sequence = 0;
    bool needs_probe = false;  ///< Send a heartbeat to test the link.
  };

  // Sockets.
  void SetCommonOptions(zmq::socket_t* socket) const;
  Status Bind();
  bool DrainRouter();
  bool DrainDealer(const std::string& address, internal::ZmqSocket* read);
  void OnRouterTransport(TransportEvent event, std::uint32_t descriptor);
  void OnDealerTransport(const std::string& address, TransportEvent event);
  std::string NewRoutingId();

  // Keys.
  Status StartKeys();
  void ReloadKeys(TimePoint now);
  void SetServerKeys(zmq::socket_t* socket) const;
  void SetClientKeys(const Dial& dial, zmq::socket_t* socket) const;

  // Dials.
  void OpenDial(Dial* dial);
  void CloseDial(Dial* dial);
  void CloseDialGracefully(Dial* dial, const std::string& reason);
  void OnDialLost(Dial* dial, const Error& error);
  void SendOpeningHello(Dial* dial);

  // Messages.
  void OnRouterFrame(const std::string& identity, const zmq::message_t& frame);
  void OnDealerFrame(Dial* dial, const zmq::message_t& frame);
  void OnAcceptedHello(const std::string& identity, std::uint32_t descriptor,
                       const wire::Hello& hello);
  void OnOpenedHello(Dial* dial, const wire::Hello& hello);
  void OnLinkMessage(std::uint64_t id, wire::Envelope&& message);
  /// Returns the reason to refuse `hello`, or an empty string.
  std::string CheckHello(const wire::Hello& hello, LinkDirection direction,
                         std::uint64_t id);
  void SuspendDialOf(std::uint64_t old, std::uint64_t newer);
  void AddLink(std::uint64_t id, Link link, const wire::Hello& hello);

  // Sending.
  SendResult SendOn(Link* link, const wire::Envelope& message);
  SendResult SendToIdentity(const std::string& identity,
                            const wire::Envelope& message);
  void SendGoodbye(const std::string& identity, const std::string& reason);
  void SendHeartbeat(std::uint64_t id);

  // Closing links.
  void DropLink(std::uint64_t id, const Error& error);
  void DropLater(std::uint64_t id);
  void DropLostLinks();

  // Sockets that have sent a goodbye and wait for the peer's.
  void AnswerGoodbye(Link* link);
  bool DrainClosing(internal::ZmqSocket* socket);
  void OnClosingFrame(const std::string& identity, const zmq::message_t& frame);
  void CloseRouter();
  void ExpireClosing(TimePoint now);
  void WaitForGoodbyes();
  bool IsClosing() const {
    return !closing_sockets_.empty() || !closing_identities_.empty();
  }

  // Timer.
  void ArmTimer();
  void Tick();
  void PollLinks(TimePoint now, bool paused);
  void PollDials(TimePoint now);

  bool IsEncrypted() const { return !options_.secret_key_file.empty(); }
  Error MakeError(ErrorCode code, const std::string& peer,
                  const std::string& detail) const;

  boost::asio::io_context* io_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  IdSource ids_;
  EventLog log_;
  internal::LinkMetrics metrics_;
  LinkTiming timing_;
  PauseDetector pause_detector_;
  PeerTable peers_;

  internal::CurveKeys keys_;
  TimePoint keys_read_at_;

  zmq::context_t context_;
  std::unique_ptr<internal::ZapHandler> zap_;
  std::shared_ptr<internal::ZmqSocket> router_;
  std::unique_ptr<internal::TransportMonitor> router_transport_;
  boost::asio::steady_timer timer_;
  std::string bound_address_;
  bool started_ = false;
  bool stopped_ = false;

  std::map<std::string, std::unique_ptr<Dial>> dials_;
  std::unordered_map<std::uint64_t, Link> links_;
  std::unordered_map<std::string, std::uint64_t> link_of_identity_;
  std::unordered_multimap<std::uint32_t, std::uint64_t> link_of_descriptor_;
  std::set<std::uint64_t> lost_links_;  ///< Dropped by a posted task.
  bool drop_posted_ = false;

  /// A socket that stays open until the peer has answered the goodbye, so that
  /// closing it does not reset the connection with frames still in flight.
  struct ClosingSocket {
    std::shared_ptr<internal::ZmqSocket> socket;
    TimePoint until;
  };
  std::unordered_map<internal::ZmqSocket*, ClosingSocket> closing_sockets_;
  std::set<std::string> closing_identities_;  ///< Peers of ROUTER.
  TimePoint router_deadline_;
  std::uint64_t next_link_ = 1;
  /// Expires with this object, so that posted tasks can detect its destruction.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_LINKS_IMPL_H_
