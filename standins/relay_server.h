#ifndef INDIGOLEAD_STANDINS_RELAY_SERVER_H_
#define INDIGOLEAD_STANDINS_RELAY_SERVER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace indigolead::standins {

/// Passes TCP connections on to another address, and can lose track of them.
///
/// Stands for what lies between two processes: a path that goes silent on its
/// open connections while new ones work, delays, cuts, or is partitioned. Has
/// a thread of its own; public methods are safe from any other thread.
class RelayServer {
 public:
  /// Listens on 127.0.0.1 at `port` (0: a free one) and passes connections on
  /// to `to`, "IP:port". Throws if the port is taken or `to` is not valid.
  RelayServer(std::uint16_t port, const std::string& to);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  std::uint16_t port() const;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;

  /// Loses track of every open connection for good: both ends keep it open,
  /// what they send is swallowed, and nothing arrives. New ones work.
  void SilenceOpenConnections();

  /// While set, every connection is silent, new ones too: a partition. Those
  /// opened meanwhile stay silent for good, as do the ones open at the start.
  void SetPartitioned(bool partitioned);

  /// Passes each piece of data on after `delay`, from now on.
  void SetDelay(std::chrono::milliseconds delay);

  /// Cuts every open connection with a reset. New ones work.
  void CutOpenConnections();

  /// Returns the number of connections accepted so far.
  std::uint64_t accepted();

  /// Returns the number of connections open now, silent ones included.
  std::size_t open_connections();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_RELAY_SERVER_H_
