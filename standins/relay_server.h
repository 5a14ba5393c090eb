#ifndef INDIGOLEAD_STANDINS_RELAY_SERVER_H_
#define INDIGOLEAD_STANDINS_RELAY_SERVER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace indigolead::standins {

/// Forwards TCP connections to another address and injects network faults.
///
/// Simulates the network between two processes: dropped connection state (open
/// connections go silent while new ones work), delays, resets and partitions.
/// Has its own thread; public methods may be called from any other thread.
class RelayServer {
 public:
  /// Listens on 127.0.0.1 at `port` (0: a free port) and forwards connections
  /// to `to`, "IP:port". Throws if the port is in use or `to` is invalid.
  RelayServer(std::uint16_t port, const std::string& to);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  std::uint16_t port() const;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;

  /// Silences all open connections permanently: they stay open, but data from
  /// either end is discarded. New connections work.
  void SilenceOpenConnections();

  /// Simulates a network partition: while set, all connections are silent,
  /// including new ones. Connections open at the start or opened during the
  /// partition stay silent after it ends.
  void SetPartitioned(bool partitioned);

  /// Forwards each block of data after `delay` from now on.
  void SetDelay(std::chrono::milliseconds delay);

  /// Resets all open connections. New connections work.
  void ResetOpenConnections();

  /// Returns the total number of connections accepted.
  std::uint64_t accepted();

  /// Returns the number of open connections, including silent ones.
  std::size_t open_connections();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_RELAY_SERVER_H_
